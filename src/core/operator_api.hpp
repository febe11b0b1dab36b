// Handles operators' requests: validates and writes records, and returns
// records and changes.
#pragma once

#include "record_cache.hpp"
#include "record_writer.hpp"
#include "schema_versions.hpp"
#include "table_client.hpp"

#include "verbenahold/control_commands.hpp"
#include "verbenahold/control_events.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold {

class operator_api {
public:
    using commands = std::vector<control_command>;

    // How long a write waits at most for entry daemons to announce the schema
    // versions that they read. A daemon that does not answer counts with its
    // last announcement.
    static constexpr duration announcement_timeout = std::chrono::seconds(1);

    operator_api(table_client& table, record_cache& cache, std::chrono::seconds unix_time_at_zero);

    void on_host_list(std::span<const host_entry> hosts) { m_schemas.on_host_list(hosts); }
    void on_event(const schema_versions_read& event, time_point now, commands& out);
    void on_event(const write_request& request, time_point now, commands& out);
    void on_event(const read_request& request, time_point now, commands& out);
    void on_event(const changes_request& request, time_point now, commands& out);
    void on_tick(time_point now, commands& out);
    // Refuses new writes from now on; open writes are completed.
    void begin_drain() { m_draining = true; }

    [[nodiscard]] std::size_t open_writes() const { return m_waiting.size() + m_writer.open_operations(); }
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] int writable_schema() const { return m_schemas.max_writable_version(); }

private:
    // A valid write that waits for daemons' announcements.
    struct waiting_write {
        std::uint64_t ticket = 0;
        record requested;
        std::string operation;
        time_point since{};
    };

    void start(const waiting_write& write, time_point now, commands& out);
    void start_ready_writes(time_point now, commands& out);

    table_client& m_table;
    record_cache& m_cache;
    record_writer m_writer;
    schema_versions m_schemas;
    std::vector<waiting_write> m_waiting;
    bool m_draining = false;
};

// {"error":{"code","message",...}}; `accepted` is "no" or "unknown".
QJsonObject operator_error(std::string_view code, std::string_view message, std::string_view accepted = "no");

}  // namespace verbenahold
