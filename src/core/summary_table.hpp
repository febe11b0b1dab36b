// Latest headroom summaries of all owners, and the estimate of what this
// daemon has sent to each since.
#pragma once

#include "verbenahold/messages.hpp"
#include "verbenahold/types.hpp"

#include <optional>
#include <span>
#include <vector>

namespace verbenahold {

class summary_table {
public:
    // Ignores summaries older than the latest of the same daemon.
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
    };
    // All rows of one service.
    [[nodiscard]] std::span<const row> rows(const service_name& service) const;
};

}  // namespace verbenahold
