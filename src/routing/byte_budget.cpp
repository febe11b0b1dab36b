#include "byte_budget.hpp"

#include <algorithm>
#include <bit>
#include <numeric>
#include <utility>

namespace verbenahold::serving {

namespace {

// The part of the memory that is for bytes in flight. The rest is for the program, its
// tables, the buffers that each connection has, and the allocator.
constexpr std::uint64_t memory_divisor = 2;
// One read of a connection.
constexpr std::size_t growth_margin = 16UL * 1024;

}  // namespace

std::string_view byte_use_label(byte_use use) {
    switch (use) {
        case byte_use::small_requests:
            return "small_requests";
        case byte_use::large_requests:
            return "large_requests";
        case byte_use::answers:
            return "answers";
        case byte_use::calls:
            return "calls";
    }
    return "unknown";
}

void byte_budget::set_memory(std::uint64_t memory_bytes) {
    m_total = static_cast<std::size_t>(memory_bytes / memory_divisor);
}

std::size_t byte_budget::guaranteed(byte_use use) const {
    switch (use) {
        case byte_use::small_requests:
        case byte_use::large_requests:
        case byte_use::answers:
            return m_total / 8;
        case byte_use::calls:
            return m_total / 16;
    }
    return 0;
}

std::size_t byte_budget::capacity(byte_use use) const {
    std::size_t of_others = 0;
    for (const auto other : all_byte_uses) {
        of_others += other == use ? 0 : guaranteed(other);
    }
    return m_total - of_others;
}

std::size_t byte_budget::available(byte_use use) const {
    std::size_t taken = held(use);
    for (const auto other : all_byte_uses) {
        taken += other == use ? 0 : std::max(held(other), guaranteed(other));
    }
    const auto own = guaranteed(use);
    const auto own_left = own > held(use) ? own - held(use) : 0;
    return std::max(own_left, m_total > taken ? m_total - taken : 0);
}

std::size_t byte_budget::held() const {
    return std::accumulate(m_held.begin(), m_held.end(), std::size_t{0});
}

bool byte_budget::try_take(byte_use use, std::size_t bytes) {
    const bool others_wait =
        std::any_of(m_waiting.begin(), m_waiting.end(), [use](const waiter& other) { return other.use == use; });
    if (others_wait || bytes > available(use)) {
        return false;
    }
    take(use, bytes);
    return true;
}

void byte_budget::take(byte_use use, std::size_t bytes) {
    m_held[index_of(use)] += bytes;
    m_peak = std::max(m_peak, held());
}

void byte_budget::give_back(byte_use use, std::size_t bytes) {
    m_held[index_of(use)] -= std::min(bytes, held(use));
    if (!m_waiting.empty() && m_on_room) {
        m_on_room();
    }
}

byte_budget::ticket byte_budget::wait_for(byte_use use, std::size_t bytes, std::function<void()> on_granted) {
    m_waiting.push_back({++m_last_ticket, use, bytes, std::move(on_granted)});
    return m_last_ticket;
}

void byte_budget::stop_waiting(ticket which) {
    const auto removed = std::erase_if(m_waiting, [which](const waiter& other) { return other.id == which; });
    if (removed > 0 && !m_waiting.empty() && m_on_room) {
        m_on_room();
    }
}

void byte_budget::grant_waiting() {
    std::array<bool, all_byte_uses.size()> blocked{};
    for (std::size_t index = 0; index < m_waiting.size();) {
        const auto use = m_waiting[index].use;
        // In order within a use: a smaller need doesn't overtake an earlier one.
        if (blocked[index_of(use)] || m_waiting[index].bytes > available(use)) {
            blocked[index_of(use)] = true;
            ++index;
            continue;
        }
        const auto next = std::move(m_waiting[index]);
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
        take(next.use, next.bytes);
        next.on_granted();
        // The callback may have changed the queue.
        blocked = {};
        index = 0;
    }
}

byte_share::byte_share(byte_share&& other) noexcept
    : m_budget(other.m_budget), m_use(other.m_use), m_bytes(std::exchange(other.m_bytes, 0)) {}

byte_share& byte_share::operator=(byte_share&& other) noexcept {
    if (this != &other) {
        release();
        m_budget = other.m_budget;
        m_use = other.m_use;
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

bool byte_share::try_hold(std::size_t bytes) {
    if (bytes > m_bytes && !m_budget->try_take(m_use, bytes - m_bytes)) {
        return false;
    }
    if (bytes < m_bytes) {
        m_budget->give_back(m_use, m_bytes - bytes);
    }
    m_bytes = bytes;
    return true;
}

bool byte_share::try_hold(byte_use use, std::size_t bytes) {
    if (use == m_use) {
        return try_hold(bytes);
    }
    if (!m_budget->try_take(use, bytes)) {
        return false;
    }
    adopt(use, bytes);
    return true;
}

bool byte_share::try_hold_beyond(std::size_t always, std::size_t bytes) {
    if (bytes > always) {
        return try_hold(bytes);
    }
    hold(bytes);
    return true;
}

void byte_share::hold(std::size_t bytes) {
    if (bytes > m_bytes) {
        m_budget->take(m_use, bytes - m_bytes);
    } else if (bytes < m_bytes) {
        m_budget->give_back(m_use, m_bytes - bytes);
    }
    m_bytes = bytes;
}

void byte_share::adopt(byte_use use, std::size_t bytes) {
    if (use != m_use) {
        release();
        m_use = use;
    }
    m_bytes += bytes;
}

read_decision decide_reading(const byte_budget& budget, byte_share& share, const request_progress& request) {
    if (request.complete) {
        share.hold(request.held);
        return read_on{};
    }
    // A body without a length, or a head, asks for more as it grows, ahead of the next read.
    const std::uint64_t expected =
        request.announced ? *request.announced : std::bit_ceil(request.received + growth_margin);
    const auto wanted = std::max<std::uint64_t>(expected, request.received);
    const auto use = wanted <= max_small_request_bytes ? byte_use::small_requests : byte_use::large_requests;
    if (use == share.use() && wanted <= share.bytes()) {
        return read_on{};
    }
    if (wanted > budget.capacity(use)) {
        return never_fits{};
    }
    const auto bytes = static_cast<std::size_t>(wanted);
    if (share.try_hold(use, bytes)) {
        return read_on{};
    }
    return await_room{use, use == share.use() ? bytes - share.bytes() : bytes};
}

}  // namespace verbenahold::serving
