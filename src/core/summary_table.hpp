// Latest headroom summaries of all owners, and the estimate of what this
// daemon has sent to each since.
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
    // Replaces all rows of the daemon, and of earlier incarnations of its host.
    // Ignores summaries older than the latest of the same daemon. To be called
    // for live daemons only: a late summary of a dead one would stay.
    void on_summary(const daemon_id& from, const owner_summary& summary, time_point now);
    void forget(const daemon_id& daemon);
    // Work sent since the last summary counts against the headroom shown.
    void note_sent(const daemon_id& to, const service_name& service, const zone_name& zone, std::int64_t tokens,
                   length_class length);

    struct row {
        daemon_id owner;
        headroom room;
        time_point received{};
        int sent_since = 0;
        std::int64_t tokens_sent_since = 0;
        // The part of tokens_sent_since in long and very long prompts.
        std::int64_t long_tokens_sent_since = 0;
        // Position of room.zone in zones().
        std::size_t zone_index = 0;
    };
    // All rows of one service.
    [[nodiscard]] std::span<const row> rows(const service_name& service) const;
    // Every zone that any summary has named; the order never changes.
    [[nodiscard]] std::span<const zone_name> zones() const;

private:
    struct latest_summary {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        // Services and zones of the rows of that host.
        std::vector<std::pair<service_name, zone_name>> keys;
    };

    row* find_row(const host_name& host, const service_name& service, const zone_name& zone);
    void remove_row(const host_name& host, const service_name& service, const zone_name& zone);
    std::size_t index_zone(const zone_name& zone);

    std::unordered_map<service_name, std::vector<row>> m_rows;
    std::unordered_map<host_name, latest_summary> m_latest;
    std::vector<zone_name> m_zones;
};

}  // namespace verbenahold
