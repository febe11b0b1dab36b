// Finds the route and the client account of a request in one version of the
// desired state.
#pragma once

#include "desired_state.hpp"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace verbenahold::serving {

class route_table {
public:
    explicit route_table(desired_state state);

    [[nodiscard]] const desired_state& state() const { return m_state; }

    // The route of `host` with the longest prefix of `path`; null if there is none.
    // `host` may have a port and upper-case letters.
    [[nodiscard]] const route* match(std::string_view host, std::string_view path) const;
    // The account that an API key belongs to; null for an unknown key.
    [[nodiscard]] const client_account* account_of(std::string_view api_key) const;
    [[nodiscard]] bool requires_keys() const { return m_state.requires_keys; }
    [[nodiscard]] const service* find_service(const service_name& name) const;
    // The service for a request on the route `wanted`. `draw`, a random number in
    // [0, 1), selects a share of its traffic split.
    [[nodiscard]] const service* pick_service(const route& wanted, double draw) const;

private:
    desired_state m_state;
    // Routes by host, with the longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> m_by_host;
    std::unordered_map<std::string, const client_account*> m_by_key;
};

// A host name in lower case and without a port, the form in which hosts are
// compared.
std::string normalized_host(std::string_view host);

}  // namespace verbenahold::serving
