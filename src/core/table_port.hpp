// The core's calls to the table service: numbers them, runs the handler of a
// call when its answer arrives, and answers a call itself if the shell does not
// in time.
#pragma once

#include "verbenahold/control_commands.hpp"
#include "verbenahold/control_events.hpp"
#include "verbenahold/types.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold {

class table_port {
public:
    using commands = std::vector<control_command>;
    using read_action = std::function<void(const rows_read&, time_point, commands&)>;
    using transact_action = std::function<void(const rows_transacted&, time_point, commands&)>;

    // The shell's own time limit for a call is 2 s; after twice that the answer
    // counts as lost.
    static constexpr duration call_limit = std::chrono::seconds(4);

    void read(std::vector<std::string> keys, time_point now, commands& out, read_action done);
    void scan(std::string prefix, std::string after, int limit, time_point now, commands& out, read_action done);
    void transact(row_transaction transaction, time_point now, commands& out, transact_action done);

    // Returns a number for a call that is not made through this class.
    std::uint64_t next_call() { return ++m_last; }

    // Answers to unknown calls and to calls that have timed out are ignored.
    void on_answer(const rows_read& answer, time_point now, commands& out);
    void on_answer(const rows_transacted& answer, time_point now, commands& out);
    // Ends calls that have timed out: reads with `ok` false, transactions with
    // status `unknown`.
    void on_tick(time_point now, commands& out);
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    template <class Action>
    struct open_call {
        time_point give_up{};
        Action done;
    };

    std::uint64_t m_last = 0;
    std::map<std::uint64_t, open_call<read_action>> m_reads;
    std::map<std::uint64_t, open_call<transact_action>> m_transactions;
};

// The row with `key` among `rows`, if it is there.
const stored_row* find_row(const std::vector<stored_row>& rows, std::string_view key);

}  // namespace verbenahold
