// Bounds the bytes that a daemon holds for all its connections together, so that no
// peer can make it exceed the memory of its host. Each use has bytes of its own,
// which no other use can take; the rest is for whichever use needs it.
#pragma once

#include "verbenahold/types.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenahold::serving {

// What bytes are held for.
enum class byte_use {
    // Heads and small bodies of callers' requests.
    small_requests,
    // Bodies of callers' requests that are longer.
    large_requests,
    // Answers of servers, until they are written to their callers.
    answers,
    // Answers to this daemon's own calls to the store, servers and other daemons.
    calls,
};

inline constexpr std::array all_byte_uses{byte_use::small_requests, byte_use::large_requests, byte_use::answers,
                                          byte_use::calls};

std::string_view byte_use_label(byte_use use);

// Requests up to this size don't wait behind large ones.
inline constexpr std::size_t max_small_request_bytes = 64UL * 1024;
// An answer up to this size is held also if it doesn't fit: one read of its connection.
inline constexpr std::size_t max_small_answer_bytes = 16UL * 1024;

class byte_budget {
public:
    using ticket = std::uint64_t;

    // For a process that may use `memory_bytes`. Half of them are for bytes in flight.
    explicit byte_budget(std::uint64_t memory_bytes) { set_memory(memory_bytes); }
    // A lower value takes effect as bytes are given back.
    void set_memory(std::uint64_t memory_bytes);

    // False if the bytes don't fit, or if others wait for bytes of this use.
    [[nodiscard]] bool try_take(byte_use use, std::size_t bytes);
    // Takes bytes that are held already, also if they don't fit.
    void take(byte_use use, std::size_t bytes);
    void give_back(byte_use use, std::size_t bytes);

    // Waits for bytes behind those that wait already. `on_granted` is called by
    // grant_waiting() after the bytes were taken.
    ticket wait_for(byte_use use, std::size_t bytes, std::function<void()> on_granted);
    // Does nothing if the bytes were granted.
    void stop_waiting(ticket which);
    void grant_waiting();
    // Called when bytes are given back for which others wait. It must not call
    // grant_waiting() itself but arrange for it, since it may be called from anywhere.
    void set_room_callback(std::function<void()> on_room) { m_on_room = std::move(on_room); }

    // Bytes of this use that fit now.
    [[nodiscard]] std::size_t available(byte_use use) const;
    // Bytes of this use that fit when nothing is held.
    [[nodiscard]] std::size_t capacity(byte_use use) const;
    // The most that one connection should hold now: a part of what is left, so that
    // one connection can't take it all.
    [[nodiscard]] std::size_t fair_share(byte_use use) const { return available(use) / 8; }

    [[nodiscard]] std::size_t total() const { return m_total; }
    [[nodiscard]] std::size_t held(byte_use use) const { return m_held[index_of(use)]; }
    [[nodiscard]] std::size_t held() const;
    // The most that was held at any time.
    [[nodiscard]] std::size_t peak() const { return m_peak; }
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

private:
    struct waiter {
        ticket id = 0;
        byte_use use = byte_use::small_requests;
        std::size_t bytes = 0;
        std::function<void()> on_granted;
    };

    static constexpr std::size_t index_of(byte_use use) { return static_cast<std::size_t>(use); }
    [[nodiscard]] std::size_t guaranteed(byte_use use) const;

    std::size_t m_total = 0;
    std::array<std::size_t, all_byte_uses.size()> m_held{};
    std::size_t m_peak = 0;
    std::deque<waiter> m_waiting;
    ticket m_last_ticket = 0;
    std::function<void()> m_on_room;
};

// The bytes that one connection or request holds. They are given back at its end.
class byte_share {
public:
    byte_share(byte_budget& budget, byte_use use) : m_budget(&budget), m_use(use) {}
    ~byte_share() { release(); }
    byte_share(const byte_share&) = delete;
    byte_share& operator=(const byte_share&) = delete;
    byte_share(byte_share&& other) noexcept;
    byte_share& operator=(byte_share&& other) noexcept;

    // Holds this many bytes in all. False, without a change, if more don't fit.
    [[nodiscard]] bool try_hold(std::size_t bytes);
    // As above, for another use from now on.
    [[nodiscard]] bool try_hold(byte_use use, std::size_t bytes);
    // As above, and true for up to `always` bytes.
    [[nodiscard]] bool try_hold_beyond(std::size_t always, std::size_t bytes);
    // Holds this many bytes in all, also if they don't fit.
    void hold(std::size_t bytes);
    // Adds bytes that the budget has granted. Bytes of another use are given back.
    void adopt(byte_use use, std::size_t bytes);
    void release() { hold(0); }

    [[nodiscard]] byte_use use() const { return m_use; }
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    byte_budget* m_budget;
    byte_use m_use;
    std::size_t m_bytes = 0;
};

// A request that is being received.
struct request_progress {
    // Bytes received so far, and the memory that holds them.
    std::size_t received = 0;
    std::size_t held = 0;
    // The announced length of its body; empty if it is not known.
    std::optional<std::uint64_t> announced;
    bool complete = false;
};

struct read_on {};
// Reading pauses until the budget grants these bytes, beyond those that the share holds
// for the same use.
struct await_room {
    byte_use use = byte_use::small_requests;
    std::size_t bytes = 0;
};
// The request doesn't fit, however long it waits.
struct never_fits {};

using read_decision = std::variant<read_on, await_room, never_fits>;

// Decides whether more of a request may be received. `share` is what the request holds;
// it takes what is needed to read on.
read_decision decide_reading(const byte_budget& budget, byte_share& share, const request_progress& request);

}  // namespace verbenahold::serving
