// Cache of the configuration records in the table service. A refresh reads only
// the changes since the cached version, or all records if these changes have
// been removed.
#pragma once

#include "table_client.hpp"

#include "verbenahold/control_commands.hpp"
#include "verbenahold/records.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold {

class record_cache {
public:
    using commands = std::vector<control_command>;
    // The first argument is true if the cache is at least as new as the table
    // was when the refresh began.
    using refresh_handler = std::function<void(bool, time_point, commands&)>;

    explicit record_cache(table_client& table);

    // A call during a running refresh waits for the next one, so that `done`
    // never sees a state older than the call.
    void refresh(time_point now, commands& out, refresh_handler done);

    [[nodiscard]] const shared_config& current() const { return m_current; }
    [[nodiscard]] bool refreshing() const { return m_refreshing; }

private:
    void read_head(time_point now, commands& out);
    void read_changes(time_point now, commands& out);
    void read_all(std::uint64_t version, const std::string& after, time_point now, commands& out);
    void on_changes(const rows_read& answer, time_point now, commands& out);
    void on_page(const rows_read& answer, std::uint64_t version, time_point now, commands& out);
    void finish(bool ok, time_point now, commands& out);

    table_client& m_table;
    shared_config m_current = std::make_shared<const config_snapshot>();
    bool m_refreshing = false;
    // Version of the head row that the running refresh has to reach.
    std::uint64_t m_target_version = 0;
    // Records that the running read_all() has read so far.
    config_snapshot::record_map m_read_records;
    std::vector<refresh_handler> m_running_handlers;
    std::vector<refresh_handler> m_waiting_handlers;
};

}  // namespace verbenahold
