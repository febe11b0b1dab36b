// The latest headroom summaries of all owners, and the work that this daemon has sent
// to each owner since.
#pragma once

#include "verbenahold/messages.hpp"
#include "verbenahold/types.hpp"

#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace verbenahold {

class summary_table {
public:
    // Replaces all rows of the daemon and of earlier incarnations of its host.
    // Ignores summaries older than the latest one from that host. Call it for live
    // daemons only: a late summary of a dead daemon would stay in the table.
    void on_summary(const daemon_id& from, const owner_summary& summary, time_point now);
    // Removes the rows of exactly this incarnation.
    void forget(const daemon_id& daemon);
    // Adds sent work, to be subtracted from the headroom until the next summary.
    void record_sent(const daemon_id& to, const service_name& service, const zone_name& zone, std::int64_t tokens,
                     length_class length);

    struct row {
        daemon_id owner;
        headroom room;
        time_point received{};
        int requests_sent_since = 0;
        std::int64_t tokens_sent_since = 0;
        // Those of tokens_sent_since that belong to long and very long prompts.
        std::int64_t long_tokens_sent_since = 0;
        // Position of room.zone in zones().
        std::size_t zone_index = 0;
    };
    // All rows of one service.
    [[nodiscard]] std::span<const row> rows(const service_name& service) const;
    // Every zone that a summary has named so far. Zones are only appended.
    [[nodiscard]] std::span<const zone_name> zones() const;

private:
    struct latest_summary {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        // Services and zones of that host's rows.
        std::vector<std::pair<service_name, zone_name>> keys;
    };

    row* find_row(const host_name& host, const service_name& service, const zone_name& zone);
    void remove_row(const host_name& host, const service_name& service, const zone_name& zone);
    std::size_t find_or_add_zone(const zone_name& zone);

    std::unordered_map<service_name, std::vector<row>> m_rows;
    std::unordered_map<host_name, latest_summary> m_latest;
    std::vector<zone_name> m_zones;
};

}  // namespace verbenahold
