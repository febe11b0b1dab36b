// Queue of requests of one service and one length class. Client accounts are
// served by weighted deficit round robin over tokens; within an account the
// earliest deadline goes first.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace verbenahold {

// Tokens credited per round to an account of weight 1. About one short prompt,
// so that accounts with short requests alternate after each request.
inline constexpr double fair_quantum_tokens = 4'096;

enum class queue_order : std::uint8_t {
    // Weighted fair between accounts, earliest deadline first within one.
    fair,
    // First come, first served. A baseline for comparison.
    arrival,
};

struct queued_work {
    attempt_id attempt;
    account_name account;
    double weight = 1;
    // Prompt tokens and predicted output tokens.
    std::int64_t cost_tokens = 0;
    time_point deadline{};
    time_point queued_at{};
};

class work_queue {
public:
    void push(queued_work work, queue_order order);
    bool remove(const attempt_id& attempt);
    // The work to dispatch next. It stays queued until take().
    [[nodiscard]] const queued_work* next() const;
    // Removes the work that next() returns and charges its account.
    void take();
    // The work that has waited longest.
    [[nodiscard]] const queued_work* oldest() const;
    // The work that load shedding drops first: the latest deadline of the account
    // with the most queued tokens relative to its weight.
    [[nodiscard]] const queued_work* shed_candidate() const;

    [[nodiscard]] std::size_t size() const { return m_by_arrival.size(); }
    [[nodiscard]] bool empty() const { return m_by_arrival.empty(); }
    [[nodiscard]] std::int64_t tokens() const { return m_tokens; }

private:
    // Sort key within an account: deadline (none for queue_order::arrival), then
    // arrival number.
    using position = std::pair<time_point, std::uint64_t>;

    struct account_queue {
        account_name account;
        double weight = 1;
        double deficit = 0;
        std::int64_t tokens = 0;
        std::map<position, queued_work> work;
    };

    struct location {
        account_name account;
        position place;
    };

    struct turn {
        std::size_t account = 0;
        double rounds = 0;
    };

    [[nodiscard]] turn next_turn() const;
    void erase(std::uint64_t arrival);

    // Accounts with queued work, in round-robin order.
    std::vector<account_queue> m_accounts;
    std::size_t m_next_account = 0;
    std::map<std::uint64_t, location> m_by_arrival;
    std::unordered_map<attempt_id, std::uint64_t> m_arrivals;
    std::uint64_t m_next_arrival = 0;
    std::int64_t m_tokens = 0;
};

}  // namespace verbenahold
