#include "table_client.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

template <class Calls, class Answer>
void finish(Calls& calls, const Answer& answer, time_point now, table_client::commands& out) {
    auto node = calls.extract(answer.call);
    if (!node.empty()) {
        node.mapped().done(answer, now, out);
    }
}

// All calls have the same time limit, so the call with the lowest number times
// out first.
template <class Answer, class Calls>
void expire(Calls& calls, time_point now, table_client::commands& out) {
    while (!calls.empty() && calls.begin()->second.deadline <= now) {
        Answer answer;
        answer.call = calls.begin()->first;
        finish(calls, answer, now, out);
    }
}

}  // namespace

const stored_row* find_row(const std::vector<stored_row>& rows, std::string_view key) {
    const auto found = std::find_if(rows.begin(), rows.end(), [&](const stored_row& row) { return row.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

void table_client::read(std::vector<std::string> keys, time_point now, commands& out, read_handler done) {
    const std::uint64_t call = ++m_last_call;
    m_reads.emplace(call, open_call<read_handler>{now + call_timeout, std::move(done)});
    out.emplace_back(read_rows{call, std::move(keys)});
}

void table_client::scan(std::string prefix, std::string after, int limit, time_point now, commands& out,
                        read_handler done) {
    const std::uint64_t call = ++m_last_call;
    m_reads.emplace(call, open_call<read_handler>{now + call_timeout, std::move(done)});
    out.emplace_back(scan_rows{call, std::move(prefix), std::move(after), limit});
}

void table_client::transact(row_transaction transaction, time_point now, commands& out, transact_handler done) {
    const std::uint64_t call = ++m_last_call;
    m_transactions.emplace(call, open_call<transact_handler>{now + call_timeout, std::move(done)});
    out.emplace_back(transact_rows{call, std::move(transaction)});
}

void table_client::on_answer(const rows_read& answer, time_point now, commands& out) {
    finish(m_reads, answer, now, out);
}

void table_client::on_answer(const rows_transacted& answer, time_point now, commands& out) {
    finish(m_transactions, answer, now, out);
}

void table_client::on_tick(time_point now, commands& out) {
    expire<rows_read>(m_reads, now, out);
    expire<rows_transacted>(m_transactions, now, out);
}

std::optional<time_point> table_client::next_wakeup() const {
    std::optional<time_point> next;
    if (!m_reads.empty()) {
        next = m_reads.begin()->second.deadline;
    }
    if (!m_transactions.empty()) {
        const time_point limit = m_transactions.begin()->second.deadline;
        next = next ? std::min(*next, limit) : limit;
    }
    return next;
}

}  // namespace verbenahold
