#include "kept_prefixes.hpp"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace verbenahold::serving {

namespace {

bool is_unused(time_point used, time_point now) {
    return now - used >= max_unused_prefix_time;
}

}  // namespace

std::vector<prefix_part> hash_prefix_parts(std::span<const prompt_part> parts) {
    std::vector<prefix_part> prefixes;
    prefixes.reserve(parts.size());
    prefix_part last;
    for (const auto& part : parts) {
        if (part.tokens <= 0 || __builtin_add_overflow(last.tokens, part.tokens, &last.tokens)) {
            return {};
        }
        last.hash = XXH64(part.id.data(), part.id.size(), last.hash);
        last.hash = XXH64(&part.tokens, sizeof(part.tokens), last.hash);
        prefixes.push_back(last);
    }
    return select_prefixes(prefixes, max_prefixes_per_prompt);
}

std::vector<prefix_part> select_prefixes(std::span<const prefix_part> prompt, std::size_t count) {
    std::vector<prefix_part> selected(prompt.begin(), prompt.end());
    if (selected.size() > count && count > 0) {
        selected.erase(selected.begin() + 1, selected.end() - static_cast<std::ptrdiff_t>(count - 1));
    }
    return selected;
}

void kept_prefixes::on_prefilled(const server_name& server, std::int64_t started_at_unix_ms,
                                 std::span<const prefix_part> prompt, std::int64_t cache_tokens, time_point now) {
    if (prompt.empty() || cache_tokens <= 0) {
        return;
    }
    auto& node = *m_servers.try_emplace(server).first;
    auto& kept = node.second;
    if (started_at_unix_ms < kept.started_at_unix_ms) {
        return;
    }
    if (started_at_unix_ms > kept.started_at_unix_ms) {
        forget_all(node);
        kept.started_at_unix_ms = started_at_unix_ms;
        kept.reported_at.reset();
    }
    std::vector<entry_list::iterator> used;
    std::int64_t shorter = 0;
    for (const auto& prefix : prompt.first(std::min(prompt.size(), max_prefixes_per_prompt))) {
        if (prefix.tokens <= shorter || prefix.tokens > cache_tokens) {
            break;
        }
        shorter = prefix.tokens;
        used.push_back(find_or_add(node, prefix));
    }
    mark_used(kept, std::move(used), now);
    const bool has_report = kept.reported_at && now - *kept.reported_at < report_lifetime;
    limit_tokens(node, has_report ? std::min(cache_tokens, kept.reported_room) : cache_tokens);
    while (m_size > m_capacity) {
        forget_least_recent();
    }
}

kept_prefixes::entry_list::iterator kept_prefixes::find_or_add(server_node& server, const prefix_part& prefix) {
    auto& kept = server.second;
    const auto [found, is_new] = kept.entry_by_hash.try_emplace(prefix.hash);
    if (is_new) {
        kept.entries.push_front({prefix.hash, prefix.tokens, std::nullopt, prefix.tokens, {}});
        found->second = kept.entries.begin();
        kept.tokens += prefix.tokens;
        auto& holders = m_holders[prefix.hash];
        holders.insert(std::lower_bound(holders.begin(), holders.end(), &server, std::less<>()), &server);
        ++m_size;
    }
    return found->second;
}

// A prompt may come with fewer of its prefixes than an earlier one, so the recorded
// ones between them are used as well.
void kept_prefixes::mark_used(kept_server& server, std::vector<entry_list::iterator> used, time_point now) {
    for (std::size_t index = 0; index < used.size(); ++index) {
        const auto& parent = used[index]->parent;
        const auto found = parent ? server.entry_by_hash.find(*parent) : server.entry_by_hash.end();
        if (found != server.entry_by_hash.end() && std::find(used.begin(), used.end(), found->second) == used.end()) {
            used.push_back(found->second);
        }
    }
    std::sort(used.begin(), used.end(),
              [](const auto& left, const auto& right) { return left->tokens > right->tokens; });
    for (std::size_t index = 0; index < used.size(); ++index) {
        used[index]->used = now;
        server.entries.splice(server.entries.begin(), server.entries, used[index]);
        if (index + 1 < used.size()) {
            set_parent(server, *used[index], *used[index + 1]);
        }
    }
}

void kept_prefixes::set_parent(kept_server& server, entry& which, const entry& parent) {
    if (parent.tokens >= which.tokens) {
        return;
    }
    const std::int64_t added = which.tokens - parent.tokens;
    server.tokens += added - which.added_tokens;
    which.added_tokens = added;
    which.parent = parent.hash;
}

void kept_prefixes::forget_last(server_node& server) {
    auto& kept = server.second;
    const auto& last = kept.entries.back();
    kept.tokens -= last.added_tokens;
    const auto holders = m_holders.find(last.hash);
    std::erase(holders->second, &server);
    if (holders->second.empty()) {
        m_holders.erase(holders);
    }
    kept.entry_by_hash.erase(last.hash);
    kept.entries.pop_back();
    --m_size;
}

void kept_prefixes::forget_all(server_node& server) {
    while (!server.second.entries.empty()) {
        forget_last(server);
    }
}

void kept_prefixes::limit_tokens(server_node& server, std::int64_t tokens) {
    while (!server.second.entries.empty() && server.second.tokens > tokens) {
        forget_last(server);
    }
}

void kept_prefixes::forget_least_recent() {
    server_node* oldest = nullptr;
    for (auto& server : m_servers) {
        const auto& entries = server.second.entries;
        if (!entries.empty() && (oldest == nullptr || entries.back().used < oldest->second.entries.back().used)) {
            oldest = &server;
        }
    }
    forget_last(*oldest);
}

void kept_prefixes::on_report(const server_report& report, std::int64_t memory_tokens, time_point now) {
    const auto found = m_servers.find(report.server);
    if (found == m_servers.end()) {
        return;
    }
    auto& kept = found->second;
    if (report.started_at_unix_ms > kept.started_at_unix_ms) {
        forget_all(*found);
        kept.started_at_unix_ms = report.started_at_unix_ms;
    }
    kept.reported_room = std::max<std::int64_t>(0, memory_tokens - std::max<std::int64_t>(0, report.held_tokens));
    kept.reported_at = now;
    limit_tokens(*found, kept.reported_room);
}

void kept_prefixes::drop_unused(time_point now) {
    for (auto server = m_servers.begin(); server != m_servers.end();) {
        auto& kept = server->second;
        while (!kept.entries.empty() && is_unused(kept.entries.back().used, now)) {
            forget_last(*server);
        }
        const bool has_report = kept.reported_at && now - *kept.reported_at < report_lifetime;
        server = kept.entries.empty() && !has_report ? m_servers.erase(server) : std::next(server);
    }
}

std::int64_t kept_prefixes::kept_tokens(const server_name& server, std::span<const prefix_part> prompt,
                                        time_point now) const {
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return 0;
    }
    for (auto prefix = prompt.rbegin(); prefix != prompt.rend(); ++prefix) {
        const auto known = found->second.entry_by_hash.find(prefix->hash);
        if (known != found->second.entry_by_hash.end() && !is_unused(known->second->used, now)) {
            return known->second->tokens;
        }
    }
    return 0;
}

std::vector<kept_prefix> kept_prefixes::find(std::span<const prefix_part> prompt, time_point now) const {
    std::vector<kept_prefix> kept;
    // Both in the order of m_holders.
    std::vector<const server_node*> seen;
    std::vector<const server_node*> added;
    for (auto prefix = prompt.rbegin(); prefix != prompt.rend(); ++prefix) {
        const auto holders = m_holders.find(prefix->hash);
        if (holders == m_holders.end()) {
            continue;
        }
        added.clear();
        std::set_difference(holders->second.begin(), holders->second.end(), seen.begin(), seen.end(),
                            std::back_inserter(added), std::less<>());
        for (const auto* server : added) {
            const auto& known = *server->second.entry_by_hash.at(prefix->hash);
            if (!is_unused(known.used, now)) {
                kept.push_back({server->first, server->second.started_at_unix_ms, known.tokens});
                seen.insert(std::lower_bound(seen.begin(), seen.end(), server, std::less<>()), server);
            }
        }
    }
    std::sort(kept.begin(), kept.end(),
              [](const kept_prefix& left, const kept_prefix& right) { return left.server < right.server; });
    return kept;
}

std::int64_t kept_prefixes::tokens_of(const server_name& server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? 0 : found->second.tokens;
}

}  // namespace verbenahold::serving
