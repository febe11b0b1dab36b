// The configuration as this control process has last read it from the table.
// Reads only what changed, unless the change rows are no longer there.
#pragma once

#include "table_port.hpp"

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
    // The argument is true when the cache is as new as the table was when the
    // refresh began.
    using refreshed = std::function<void(bool, time_point, commands&)>;

    explicit record_cache(table_port& table);

    // Calls that come while a refresh runs wait for the next one, so that they
    // never see a state older than themselves.
    void refresh(time_point now, commands& out, refreshed done);

    [[nodiscard]] const shared_config& current() const { return m_current; }
    [[nodiscard]] bool busy() const { return m_busy; }

private:
    void read_head(time_point now, commands& out);
    void read_changes(time_point now, commands& out);
    void read_all(std::uint64_t version, const std::string& after, time_point now, commands& out);
    void on_changes(const rows_read& answer, time_point now, commands& out);
    void on_page(const rows_read& answer, std::uint64_t version, time_point now, commands& out);
    void finish(bool ok, time_point now, commands& out);

    table_port& m_table;
    shared_config m_current = std::make_shared<const config_snapshot>();
    bool m_busy = false;
    std::uint64_t m_target = 0;
    // Records of a whole read that is under way.
    config_snapshot::record_map m_pages;
    std::vector<refreshed> m_running;
    std::vector<refreshed> m_waiting;
};

}  // namespace verbenahold
