#include "work_queue.hpp"

#include <algorithm>
#include <cmath>

namespace verbenahold {

namespace {

// Minimum weight: an account of weight 0 would never be served.
constexpr double min_account_weight = 0.01;

}  // namespace

void work_queue::push(queued_work work, queue_order order) {
    const bool fair = order == queue_order::fair;
    const account_name account = fair ? work.account : account_name();
    const position place{fair ? work.deadline : time_point{}, m_next_arrival};
    auto queue = std::ranges::find(m_accounts, account, &account_queue::account);
    if (queue == m_accounts.end()) {
        // Insert the account just before the one whose turn it is, so that it is
        // served last in this round.
        queue = m_accounts.insert(m_accounts.begin() + static_cast<std::ptrdiff_t>(m_next_account), account_queue{});
        queue->account = account;
        if (m_accounts.size() > 1)
            ++m_next_account;
    }
    queue->weight = std::max(work.weight, min_account_weight);
    queue->tokens += work.cost_tokens;
    m_tokens += work.cost_tokens;
    m_arrivals[work.attempt] = m_next_arrival;
    m_by_arrival[m_next_arrival] = location{account, place};
    queue->work.emplace(place, std::move(work));
    ++m_next_arrival;
}

bool work_queue::remove(const attempt_id& attempt) {
    const auto found = m_arrivals.find(attempt);
    if (found == m_arrivals.end())
        return false;
    erase(found->second);
    return true;
}

const queued_work* work_queue::next() const {
    if (empty())
        return nullptr;
    return &m_accounts[next_turn().account].work.begin()->second;
}

void work_queue::take() {
    if (empty())
        return;
    const turn chosen = next_turn();
    for (account_queue& queue : m_accounts)
        queue.deficit += chosen.rounds * fair_quantum_tokens * queue.weight;
    account_queue& queue = m_accounts[chosen.account];
    const auto first = queue.work.begin();
    queue.deficit -= static_cast<double>(first->second.cost_tokens);
    m_next_account = chosen.account;
    erase(first->first.second);
}

const queued_work* work_queue::oldest() const {
    if (empty())
        return nullptr;
    const location& where = m_by_arrival.begin()->second;
    const auto queue = std::ranges::find(m_accounts, where.account, &account_queue::account);
    return &queue->work.at(where.place);
}

const queued_work* work_queue::shed_candidate() const {
    if (empty())
        return nullptr;
    const auto heaviest = std::ranges::max_element(
        m_accounts, {}, [](const account_queue& queue) { return static_cast<double>(queue.tokens) / queue.weight; });
    return &heaviest->work.rbegin()->second;
}

// Computes the result of deficit round robin without iterating the rounds:
// the account that needs the fewest further rounds to afford its first work,
// and among equals the one whose turn comes first.
work_queue::turn work_queue::next_turn() const {
    turn best;
    bool found = false;
    for (std::size_t step = 0; step < m_accounts.size(); ++step) {
        const std::size_t index = (m_next_account + step) % m_accounts.size();
        const account_queue& queue = m_accounts[index];
        const double missing = static_cast<double>(queue.work.begin()->second.cost_tokens) - queue.deficit;
        const double rounds = missing <= 0 ? 0 : std::ceil(missing / (fair_quantum_tokens * queue.weight));
        if (!found || rounds < best.rounds)
            best = turn{index, rounds};
        found = true;
    }
    return best;
}

void work_queue::erase(std::uint64_t arrival) {
    const auto where = m_by_arrival.find(arrival);
    const auto queue = std::ranges::find(m_accounts, where->second.account, &account_queue::account);
    const auto work = queue->work.find(where->second.place);
    queue->tokens -= work->second.cost_tokens;
    m_tokens -= work->second.cost_tokens;
    m_arrivals.erase(work->second.attempt);
    queue->work.erase(work);
    m_by_arrival.erase(where);
    if (!queue->work.empty())
        return;
    // An account without queued work loses its credit.
    const auto index = static_cast<std::size_t>(queue - m_accounts.begin());
    m_accounts.erase(queue);
    if (index < m_next_account)
        --m_next_account;
    if (m_next_account >= m_accounts.size())
        m_next_account = 0;
}

}  // namespace verbenahold
