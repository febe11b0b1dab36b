// Queued work of one service and one length class. Client accounts take turns
// by deficit round robin in tokens, weighted; within an account the earliest
// deadline goes first.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace verbenahold {

// Tokens that an account of weight 1 is credited in each round. About one
// short prompt, so that accounts alternate between single short requests.
inline constexpr double fair_quantum_tokens = 4'096;

enum class queue_order : std::uint8_t {
    // Fair between accounts, earliest deadline first.
    fair,
    // First come, first served; a baseline for measurements.
    arrival,
};

struct queued_work {
    attempt_id attempt;
    account_name account;
    double weight = 1;
    // Predicted prompt and output tokens.
    std::int64_t cost = 0;
    time_point deadline{};
    time_point queued_at{};
};

class work_queue {
public:
    void push(queued_work work, queue_order order);
    bool remove(const attempt_id& attempt);
    // The work whose turn it is; stays queued until removed by take().
    [[nodiscard]] const queued_work* next() const;
    // Removes the work that next() names and charges its account.
    void take();
    // The work that has waited longest.
    [[nodiscard]] const queued_work* oldest() const;
    // What load shedding drops first: of the account with most queued tokens
    // for its weight, the work that can wait longest.
    [[nodiscard]] const queued_work* most_sheddable() const;

    [[nodiscard]] std::size_t size() const { return m_by_arrival.size(); }
    [[nodiscard]] bool empty() const { return m_by_arrival.empty(); }
    [[nodiscard]] std::int64_t tokens() const { return m_tokens; }

private:
    // Time to sort by, then arrival number.
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

    struct choice {
        std::size_t account = 0;
        double rounds = 0;
    };

    [[nodiscard]] choice choose() const;
    void erase(std::uint64_t arrival);

    // Accounts with queued work, in the order in which they take turns.
    std::vector<account_queue> m_accounts;
    std::size_t m_turn = 0;
    std::map<std::uint64_t, location> m_by_arrival;
    std::unordered_map<attempt_id, std::uint64_t> m_arrivals;
    std::uint64_t m_next_arrival = 0;
    std::int64_t m_tokens = 0;
};

}  // namespace verbenahold
