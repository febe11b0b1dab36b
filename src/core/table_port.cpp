#include "table_port.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

template <class Calls, class Answer>
void finish(Calls& calls, const Answer& answer, time_point now, table_port::commands& out) {
    auto node = calls.extract(answer.call);
    if (!node.empty()) {
        node.mapped().done(answer, now, out);
    }
}

// All calls have the same time limit, so the call with the lowest number times
// out first.
template <class Answer, class Calls>
void expire(Calls& calls, time_point now, table_port::commands& out) {
    while (!calls.empty() && calls.begin()->second.give_up <= now) {
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

void table_port::read(std::vector<std::string> keys, time_point now, commands& out, read_action done) {
    const std::uint64_t call = ++m_last;
    m_reads.emplace(call, open_call<read_action>{now + call_limit, std::move(done)});
    out.emplace_back(read_rows{call, std::move(keys)});
}

void table_port::scan(std::string prefix, std::string after, int limit, time_point now, commands& out,
                      read_action done) {
    const std::uint64_t call = ++m_last;
    m_reads.emplace(call, open_call<read_action>{now + call_limit, std::move(done)});
    out.emplace_back(scan_rows{call, std::move(prefix), std::move(after), limit});
}

void table_port::transact(row_transaction transaction, time_point now, commands& out, transact_action done) {
    const std::uint64_t call = ++m_last;
    m_transactions.emplace(call, open_call<transact_action>{now + call_limit, std::move(done)});
    out.emplace_back(transact_rows{call, std::move(transaction)});
}

void table_port::on_answer(const rows_read& answer, time_point now, commands& out) {
    finish(m_reads, answer, now, out);
}

void table_port::on_answer(const rows_transacted& answer, time_point now, commands& out) {
    finish(m_transactions, answer, now, out);
}

void table_port::on_tick(time_point now, commands& out) {
    expire<rows_read>(m_reads, now, out);
    expire<rows_transacted>(m_transactions, now, out);
}

std::optional<time_point> table_port::next_wakeup() const {
    std::optional<time_point> next;
    if (!m_reads.empty()) {
        next = m_reads.begin()->second.give_up;
    }
    if (!m_transactions.empty()) {
        const time_point limit = m_transactions.begin()->second.give_up;
        next = next ? std::min(*next, limit) : limit;
    }
    return next;
}

}  // namespace verbenahold
