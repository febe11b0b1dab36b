// Answers operators' requests: checks and writes records, reads records and
// changes back.
#pragma once

#include "operation_log.hpp"
#include "record_cache.hpp"
#include "schema_versions.hpp"
#include "table_port.hpp"

#include "verbenahold/control_commands.hpp"
#include "verbenahold/control_events.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold {

class operator_desk {
public:
    using commands = std::vector<control_command>;

    // A write waits this long at most for daemons that announce what they
    // read; one that does not answer counts with what it last announced.
    static constexpr duration announcement_wait = std::chrono::seconds(1);

    operator_desk(table_port& table, record_cache& cache, std::chrono::seconds unix_time_at_zero);

    void on_hosts(std::span<const host_entry> hosts) { m_schemas.on_host_list(hosts); }
    void on_event(const schema_versions_read& event, time_point now, commands& out);
    void on_event(const write_request& request, time_point now, commands& out);
    void on_event(const read_request& request, time_point now, commands& out);
    void on_event(const changes_request& request, time_point now, commands& out);
    void on_tick(time_point now, commands& out);
    // Refuses writes from now on; those that run are finished.
    void begin_drain() { m_draining = true; }

    [[nodiscard]] std::size_t open() const { return m_waiting.size() + m_log.open(); }
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] int writable_schema() const { return m_schemas.max_writable_version(); }

private:
    // A checked write that waits for announcements.
    struct waiting_write {
        std::uint64_t ticket = 0;
        record requested;
        std::string operation;
        time_point since{};
    };

    void start(const waiting_write& write, time_point now, commands& out);
    void start_ready(time_point now, commands& out);

    table_port& m_table;
    record_cache& m_cache;
    operation_log m_log;
    schema_versions m_schemas;
    std::vector<waiting_write> m_waiting;
    bool m_draining = false;
};

// {"error":{"code","message",...}}; `accepted` is "no" or "unknown".
QJsonObject operator_error(std::string_view code, std::string_view message, std::string_view accepted = "no");

}  // namespace verbenahold
