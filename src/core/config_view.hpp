// The configuration that a daemon works from: moves only forward, takes
// changes from the table service or from peers, and knows whether it is
// confirmed to be current.
#pragma once

#include "membership.hpp"

#include "verbenahold/commands.hpp"
#include "verbenahold/records.hpp"

#include <optional>

namespace verbenahold {

class config_view {
public:
    explicit config_view(daemon_id self, std::uint64_t seed);

    void on_table_head(std::uint64_t version, time_point now, std::vector<entry_command>& out);
    void on_table_changes(const config_delta& delta, time_point now, std::vector<entry_command>& out);
    void on_table_failed(table_operation operation, time_point now);
    void on_fetch(const daemon_id& from, const config_fetch& message, const membership& members,
                  std::vector<entry_command>& out) const;
    void on_delta(const daemon_id& from, const config_delta& delta, time_point now, std::vector<entry_command>& out);
    // Looks at what members announce, polls the head and asks for changes.
    void on_tick(const membership& members, time_point now, std::vector<entry_command>& out);

    [[nodiscard]] const shared_config& current() const;
    // True when the version was confirmed by the table or by a live peer that
    // is itself confirmed, within the last confirmation_limit (5 s).
    [[nodiscard]] bool is_confirmed(time_point now) const;
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
};

}  // namespace verbenahold
