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

class table_client {
public:
    using commands = std::vector<control_command>;
    using read_handler = std::function<void(const rows_read&, time_point, commands&)>;
    using transact_handler = std::function<void(const rows_transacted&, time_point, commands&)>;

    // The shell's own time limit for a call is 2 s; after twice that the answer
    // counts as lost.
    static constexpr duration call_timeout = std::chrono::seconds(4);

    void read(std::vector<std::string> keys, time_point now, commands& out, read_handler done);
    void scan(std::string prefix, std::string after, int limit, time_point now, commands& out, read_handler done);
    void transact(row_transaction transaction, time_point now, commands& out, transact_handler done);

    // Returns a number for a call that is not made through this class.
    std::uint64_t new_call_number() { return ++m_last_call; }

    // Answers to unknown calls and to calls that have timed out are ignored.
    void on_answer(const rows_read& answer, time_point now, commands& out);
    void on_answer(const rows_transacted& answer, time_point now, commands& out);
    // Ends calls that have timed out: reads with `ok` false, transactions with
    // status `unknown`.
    void on_tick(time_point now, commands& out);
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    template <class Handler>
    struct open_call {
        time_point deadline{};
        Handler done;
    };

    std::uint64_t m_last_call = 0;
    std::map<std::uint64_t, open_call<read_handler>> m_reads;
    std::map<std::uint64_t, open_call<transact_handler>> m_transactions;
};

// The row with `key` among `rows`, if it is there.
const stored_row* find_row(const std::vector<stored_row>& rows, std::string_view key);

}  // namespace verbenahold
