// Commits operators' writes. A write names the record version that it replaces
// and an operation id, and is committed in one transaction. If the answer to
// the transaction is lost, the table is read to find out whether it took
// effect. Each operation id takes effect at most once.
#pragma once

#include "table_port.hpp"

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

enum class write_verdict : std::uint8_t {
    // The transaction is known to be committed.
    accepted,
    // The stored record has another version than the write expects; nothing was
    // written.
    conflict,
    // The operation id was used for another write.
    reused,
    // The stored record has a newer schema version than this program reads;
    // overwriting it would lose data that the program does not understand.
    newer_schema,
    // The table could not be reached in time; nothing was or will be written.
    store_down,
    // The table could not be reached after a transaction was sent; it may have
    // taken effect or may still do so.
    unknown,
};

struct write_outcome {
    write_verdict verdict = write_verdict::unknown;
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

class operation_log {
public:
    using commands = std::vector<control_command>;
    using done_action = std::function<void(const write_outcome&, time_point, commands&)>;

    // Long enough to wait for two lost answers of 2 s each and read the outcome.
    static constexpr duration operation_limit = std::chrono::seconds(8);

    operation_log(table_port& table, std::chrono::seconds unix_time_at_zero);

    // Calls `done` once, within operation_limit.
    void start(planned_write write, time_point now, commands& out, done_action done);
    void on_tick(time_point now, commands& out);
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t open() const { return m_operations.size(); }

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
        time_point give_up{};
        // Set while the operation waits to try again.
        std::optional<time_point> retry_at;
        duration retry_delay{};
        doubt in_doubt = doubt::none;
        std::uint64_t sent_at_head_revision = 0;
        done_action done;
    };

    using operation_id = std::uint64_t;

    void read(operation_id id, time_point now, commands& out);
    void on_read(operation_id id, const rows_read& answer, time_point now, commands& out);
    // Finishes the operation and returns true if its row exists.
    bool finish_if_written(operation_id id, const rows_read& answer, time_point now, commands& out);
    void send(operation_id id, const rows_read& answer, time_point now, commands& out);
    void on_transacted(operation_id id, const rows_transacted& answer, std::uint64_t version, time_point now,
                       commands& out);
    void retry_later(operation& which, time_point now);
    void finish(operation_id id, const write_outcome& outcome, time_point now, commands& out);

    table_port& m_table;
    std::chrono::seconds m_unix_time_at_zero;
    operation_id m_last = 0;
    std::map<operation_id, operation> m_operations;
};

}  // namespace verbenahold
