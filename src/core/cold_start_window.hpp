// Cold-start window: the number of requests that a server may run at once.
// After a start or restart it is half of the server's cold capacity. Once
// enough requests have completed at a full window, it grows by one with each
// such completion, up to the warm capacity.
#pragma once

#include <cstdint>

namespace verbenahold {

// The window grows after this many completions at a full window for each slot
// of the cold capacity. The service record has no value for this; growing
// earlier would exceed the cold capacity.
inline constexpr int completions_per_cold_slot = 2;

class cold_start_window {
public:
    // Applies the capacities of the service record. The window keeps its size
    // within the new warm capacity.
    void configure(int cold_capacity, int warm_capacity);
    // Sets the window of a cold server: half of the cold capacity, rounded down
    // but at least 1, so that two owners at the same time stay within it.
    void reset();

    // Requests that may run at once.
    [[nodiscard]] int window() const { return m_window; }
    [[nodiscard]] bool is_cold() const { return m_window < m_warm_capacity; }
    // True while the server can run only one request, so that half of its
    // capacity rounds down to 0. The owner may then dispatch one request, and
    // only after a listing without foreign streams (see cold_claim).
    [[nodiscard]] bool needs_exclusive_use() const { return m_cold_capacity <= 1 && m_window <= 1; }
    // True after a reset until enough requests have completed that the window
    // may grow.
    [[nodiscard]] bool is_before_growth() const { return m_completions < completions_per_cold_slot * m_cold_capacity; }
    // Incremented by each reset. Completions of requests that started in an
    // earlier epoch are not counted.
    [[nodiscard]] std::uint64_t epoch() const { return m_epoch; }
    // A request completed. `max_in_flight` is the larger of the numbers of requests in
    // flight on the server when it started and when it ended.
    void on_completed(std::uint64_t epoch_at_start, int max_in_flight);

private:
    int m_cold_capacity = 2;
    int m_warm_capacity = 16;
    int m_window = 1;
    // Completions at a full window since the reset, counted until the window
    // may grow.
    int m_completions = 0;
    std::uint64_t m_epoch = 0;
};

}  // namespace verbenahold
