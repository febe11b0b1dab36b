// The cold-start window: how many requests a server may carry until it has
// proven that it can carry more. It stays at half of the cold capacity until
// the server counts as warm, and then grows by one with each completion.
#pragma once

#include <cstdint>

namespace verbenahold {

// A server counts as warm once it has completed this many requests for each
// request that it can carry cold, at a full window. The service record states
// no figure for it; growing earlier would exceed the cold capacity.
inline constexpr int completions_per_cold_place = 2;

class cold_start {
public:
    // Takes the capacities of the service record; the window keeps its place.
    void configure(int cold_capacity, int warm_capacity);
    // The server is cold: back to half of what it can carry cold, rounded
    // down, so that two owners at once stay within its capacity.
    void reset();

    // Requests that may run at once.
    [[nodiscard]] int window() const { return m_window; }
    [[nodiscard]] bool is_cold() const { return m_window < m_warm_capacity; }
    // True while half of the cold capacity rounds down to nothing: the owner
    // may then send one request, and only after a listing without foreign
    // streams.
    [[nodiscard]] bool must_list_first() const { return m_cold_capacity <= 1 && m_window <= 1; }
    // True after a reset until the completions that make the server warm.
    [[nodiscard]] bool is_at_start() const { return m_completions < completions_per_cold_place * m_cold_capacity; }
    // Grows with each reset. A request that started under an earlier epoch
    // proves nothing about the server as it is now.
    [[nodiscard]] std::uint64_t epoch() const { return m_epoch; }
    // A request completed; `carried` is the largest number of requests seen on
    // the server at its start and its end.
    void on_completed(std::uint64_t epoch_at_start, int carried);

private:
    int m_cold_capacity = 2;
    int m_warm_capacity = 16;
    int m_window = 1;
    // Proven completions since the reset, while they matter.
    int m_completions = 0;
    std::uint64_t m_epoch = 0;
};

}  // namespace verbenahold
