// In-memory stand-in of the table service and the host list.
#pragma once

#include "verbenahold/events.hpp"
#include "verbenahold/records.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold::testing {

class virtual_platform {
public:
    // An operator's accepted change of a record; returns the new version.
    std::uint64_t commit(record_kind kind, const std::string& name, const QJsonObject& spec, time_point now);
    [[nodiscard]] std::uint64_t head() const { return m_changes.size(); }
    [[nodiscard]] config_delta changes_after(std::uint64_t version) const;
    // Time of the latest record that took the zone out; nothing while it is in.
    [[nodiscard]] std::optional<time_point> out_since(const zone_name& zone) const;
    claim_answered claim(const daemon_id& holder, const std::string& key, std::uint64_t body_hash);
    void record_outcome(const std::string& key, const keyed_reply& outcome);

    void set_hosts(std::vector<host_entry> hosts, time_point now) { m_hosts.emplace_back(now, std::move(hosts)); }
    // The host list as it was `host_list_lag` ago.
    [[nodiscard]] std::vector<host_entry> hosts_at(time_point now) const;
    [[nodiscard]] const std::vector<host_entry>& true_hosts() const { return m_hosts.back().second; }

    bool table_is_down = false;
    // Number of the next claims that take effect but are answered late, as if
    // the answer had been lost and read again.
    int lost_answers = 0;
    bool host_list_is_down = false;
    duration host_list_lag = std::chrono::milliseconds(500);

private:
    struct claim_row {
        daemon_id holder;
        std::uint64_t body_hash = 0;
        std::optional<keyed_reply> outcome;
    };

    std::vector<config_change> m_changes;
    std::map<zone_name, time_point> m_out_since;
    std::map<std::string, claim_row> m_claims;
    std::deque<std::pair<time_point, std::vector<host_entry>>> m_hosts;
};

}  // namespace verbenahold::testing
