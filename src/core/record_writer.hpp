// Commits operators' writes. A write names the record version that it replaces
// and an operation id, and is committed in one transaction. If the answer to
// the transaction is lost, the table is read to find out whether it took
// effect. Each operation id takes effect at most once.
#pragma once

#include "table_client.hpp"

#include "verbenahold/control_commands.hpp"
#include "verbenahold/records.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold {

enum class write_status : std::uint8_t {
    // The transaction is known to be committed.
    accepted,
    // The stored record has another version than the write expects; nothing was
    // written.
    conflict,
    // The operation id was used for another write.
    operation_reused,
    // The stored record has a newer schema version than this program reads;
    // overwriting it would lose data that the program does not understand.
    newer_schema,
    // The table could not be reached in time; nothing was or will be written.
    table_unreachable,
    // The table could not be reached after a transaction was sent; it may have
    // taken effect or may still do so.
    unknown,
};

struct write_outcome {
    write_status status = write_status::unknown;
    // The version at which the write took effect, if accepted.
    std::uint64_t version = 0;
    // The record as written; with a conflict, the record as stored.
    std::optional<record> stored;
};

// One write. `requested` is the record that the operator sent, `stored_form`
// the same record in the schema version in which it is stored.
struct planned_write {
    record requested;
    record stored_form;
    std::string operation;
};

class record_writer {
public:
    using commands = std::vector<control_command>;
    using done_handler = std::function<void(const write_outcome&, time_point, commands&)>;

    // Long enough to wait for two lost answers of 2 s each and read the outcome.
    static constexpr duration operation_timeout = std::chrono::seconds(8);

    record_writer(table_client& table, std::chrono::seconds unix_time_at_zero);

    // Calls `done` once, within operation_timeout.
    void start(planned_write write, time_point now, commands& out, done_handler done);
    void on_tick(time_point now, commands& out);
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t open_operations() const { return m_operations.size(); }

private:
    // Whether an unanswered transaction may have taken effect.
    enum class doubt : std::uint8_t {
        none,
        // It may have taken effect, or may still do so.
        possible,
        // The head row has changed since, so the transaction has taken effect
        // or never will. The next read of the operation row shows which.
        superseded,
    };

    struct operation {
        planned_write write;
        std::string fingerprint;
        time_point deadline{};
        // Set while the operation waits to try again.
        std::optional<time_point> retry_at;
        duration retry_delay{};
        doubt in_doubt = doubt::none;
        std::uint64_t sent_head_revision = 0;
        done_handler done;
    };

    using write_id = std::uint64_t;

    void read(write_id id, time_point now, commands& out);
    void on_read(write_id id, const rows_read& answer, time_point now, commands& out);
    // Finishes the operation and returns true if its row exists.
    bool finish_if_written(write_id id, const rows_read& answer, time_point now, commands& out);
    void send(write_id id, const rows_read& answer, time_point now, commands& out);
    void on_transacted(write_id id, const rows_transacted& answer, std::uint64_t version, time_point now,
                       commands& out);
    void schedule_retry(operation& op, time_point now);
    void finish(write_id id, const write_outcome& outcome, time_point now, commands& out);

    table_client& m_table;
    std::chrono::seconds m_unix_time_at_zero;
    write_id m_last_id = 0;
    std::map<write_id, operation> m_operations;
};

}  // namespace verbenahold
