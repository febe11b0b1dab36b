// The requests of one daemon that wait for capacity of servers, and the order in which
// they are tried again. Answers a load above what the servers can do for some seconds:
// requests that each try again on their own overtake each other at random, so that all
// of them become late. A daemon orders its own requests; the batch slots that are left to
// requests in time (see admission.hpp) keep that order between daemons without messages.
#pragma once

#include "verbenahold/types.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace verbenahold::serving {

// Requests wait apart by the capacity that they need: batch slots for interactive
// streams, prefill for long prompts.
enum class admission_lane { interactive, bulk };

struct waiting_request {
    admission_lane lane = admission_lane::interactive;
    time_point arrived{};
    // Until then the request can meet its target, by the prediction when it began to wait.
    time_point timely_until{};
    // 0 is the most urgent.
    int priority = 0;
    // Its client account uses more than its share.
    bool yields = false;
};

// Requests that one lane holds. Each keeps its body in memory meanwhile.
inline constexpr std::size_t max_waiting_in_lane = 1'024;

class admission_queue {
public:
    using request_id = std::uint64_t;

    // False if the lane is full.
    bool add(request_id id, const waiting_request& request, time_point now);
    // `placed`: the request got capacity; else it was refused or its caller left.
    void remove(request_id id, bool placed, time_point now);
    [[nodiscard]] bool contains(request_id id) const { return m_requests.contains(id); }
    [[nodiscard]] std::size_t size(admission_lane lane) const;

    // Whether a request that arrives now is tried before those that wait.
    [[nodiscard]] bool goes_first(const waiting_request& arriving, time_point now);
    // The requests to try now, in this order, at most `count`.
    [[nodiscard]] std::vector<request_id> next(admission_lane lane, std::size_t count, time_point now);
    // Predicted time until a request that joins the lane gets capacity, from the rate at
    // which others got it; empty while nothing is known.
    [[nodiscard]] std::optional<duration> predicted_wait(admission_lane lane, time_point now) const;

private:
    // Requests of a lower rank are tried first.
    struct rank {
        bool yields = false;
        int priority = 0;
        auto operator<=>(const rank&) const = default;
    };
    using by_time = std::set<std::pair<time_point, request_id>>;
    using by_rank = std::map<rank, by_time>;
    struct lane_state {
        std::size_t waiting = 0;
        // Since when requests have waited without a pause.
        time_point waiting_since{};
        // When requests got capacity, the last few.
        std::deque<time_point> placed;
        // By arrival.
        by_rank timely;
        by_rank late;
        // The timely ones, by the time until which they are.
        by_time timely_until;
    };

    // Newest first once requests have waited for a while: the oldest are about to become
    // late, and each that is served at its last moment makes the next one late too. The late
    // ones go by arrival, so that none waits forever.
    [[nodiscard]] static bool newest_first(admission_lane lane, const lane_state& state, time_point now);
    // Moves the requests whose time to be timely has passed to the late ones.
    void update_late(lane_state& lane, time_point now);
    [[nodiscard]] static rank rank_of(const waiting_request& request) { return {request.yields, request.priority}; }
    [[nodiscard]] const lane_state& state(admission_lane lane) const { return m_lanes[static_cast<std::size_t>(lane)]; }
    lane_state& state(admission_lane lane) { return m_lanes[static_cast<std::size_t>(lane)]; }

    std::unordered_map<request_id, waiting_request> m_requests;
    lane_state m_lanes[2];
};

}  // namespace verbenahold::serving
