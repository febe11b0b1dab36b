#include "route_table.hpp"

#include <algorithm>
#include <cctype>

namespace verbenahold::serving {

std::string normalized_host(std::string_view host) {
    const auto port = host.rfind(':');
    if (port != std::string_view::npos && host.find(']', port) == std::string_view::npos) {
        host = host.substr(0, port);
    }
    std::string lower(host);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

route_table::route_table(desired_state state) : m_state(std::move(state)) {
    for (const auto& entry : m_state.routes) {
        m_by_host[normalized_host(entry.host)].push_back(&entry);
    }
    for (auto& [host, routes] : m_by_host) {
        std::stable_sort(routes.begin(), routes.end(), [](const route* left, const route* right) {
            return left->path_prefix.size() > right->path_prefix.size();
        });
    }
    for (const auto& account : m_state.accounts) {
        for (const auto& key : account.api_keys) {
            // Requests without a key have an empty one.
            if (!key.empty()) {
                m_by_key.emplace(key, &account);
            }
        }
    }
}

const route* route_table::match(std::string_view host, std::string_view path) const {
    const auto found = m_by_host.find(normalized_host(host));
    if (found == m_by_host.end()) {
        return nullptr;
    }
    for (const route* candidate : found->second) {
        if (path.starts_with(candidate->path_prefix)) {
            return candidate;
        }
    }
    return nullptr;
}

const client_account* route_table::account_of(std::string_view api_key) const {
    const auto found = m_by_key.find(std::string(api_key));
    return found == m_by_key.end() ? nullptr : found->second;
}

const service* route_table::find_service(const service_name& name) const {
    const auto found = m_state.services.find(name);
    return found == m_state.services.end() ? nullptr : &found->second;
}

const service* route_table::pick_service(const route& wanted, double draw) const {
    double total = 0;
    for (const auto& share : wanted.split) {
        total += share.weight;
    }
    double left = draw * total;
    const service* last = nullptr;
    for (const auto& share : wanted.split) {
        if (share.weight <= 0) {
            continue;
        }
        if (const service* candidate = find_service(share.service)) {
            last = candidate;
            if (left < share.weight) {
                return candidate;
            }
        }
        left -= share.weight;
    }
    return last;
}

}  // namespace verbenahold::serving
