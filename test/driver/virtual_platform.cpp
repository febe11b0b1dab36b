#include "virtual_platform.hpp"

namespace verbenahold::testing {

std::uint64_t virtual_platform::commit(record_kind kind, const std::string& name, const QJsonObject& spec,
                                       time_point now) {
    record value;
    value.key = {kind, name};
    value.record_version = 1;
    for (const config_change& change : m_changes) {
        value.record_version += change.key == value.key ? 1 : 0;
    }
    value.spec = spec;
    m_changes.push_back({m_changes.size() + 1, value.key, value});
    if (kind == record_kind::availability_zone) {
        m_out_since.erase(zone_name(name));
        if (spec.value("state").toString() == "out") {
            m_out_since[zone_name(name)] = now;
        }
    }
    return head();
}

config_delta virtual_platform::changes_after(std::uint64_t version) const {
    config_delta delta{version, head(), false, {}};
    if (version < m_changes.size()) {
        delta.changes.assign(m_changes.begin() + static_cast<std::ptrdiff_t>(version), m_changes.end());
    }
    return delta;
}

std::optional<time_point> virtual_platform::out_since(const zone_name& zone) const {
    const auto found = m_out_since.find(zone);
    return found == m_out_since.end() ? std::nullopt : std::optional(found->second);
}

claim_answered virtual_platform::claim(const daemon_id& holder, const std::string& key, std::uint64_t body_hash) {
    if (table_is_down) {
        return {key, claim_state::unavailable, body_hash, {}, {}};
    }
    const auto [row, inserted] = m_claims.try_emplace(key, claim_row{holder, body_hash, {}});
    const claim_state found = row->second.outcome ? claim_state::finished : claim_state::held_by_other;
    return {key, inserted ? claim_state::granted : found, row->second.body_hash, row->second.holder,
            row->second.outcome};
}

void virtual_platform::record_outcome(const std::string& key, const keyed_reply& outcome) {
    const auto row = m_claims.find(key);
    if (!table_is_down && row != m_claims.end()) {
        row->second.outcome = outcome;
    }
}

std::vector<host_entry> virtual_platform::hosts_at(time_point now) const {
    const std::vector<host_entry>* found = &m_hosts.front().second;
    for (const auto& [since, hosts] : m_hosts) {
        found = since + host_list_lag <= now ? &hosts : found;
    }
    return *found;
}

}  // namespace verbenahold::testing
