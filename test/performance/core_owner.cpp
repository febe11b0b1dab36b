// Measures the time that an owner takes for one submit, with free slots and
// with full queues, and checks its bound. A slow decision delays the first
// token of every request behind it.
#include "../correctness/owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <iostream>
#include <random>

using namespace verbenahold;

namespace {

constexpr int measured_submits = 20'000;
constexpr int warm_capacity = 16;
// Design page, section 1.6.
constexpr std::chrono::microseconds p99_bound{50};

// An owner whose servers answer at once, with a chosen number of open requests.
class loaded_owner {
public:
    loaded_owner(int servers, std::uint64_t seed) : m_random(seed), m_bench(warm_capacity) {
        for (int i = 0; i < servers; ++i)
            m_bench.add_server("backend-host-" + std::to_string(i));
        m_bench.out.clear();
    }

    std::chrono::nanoseconds submit_one() {
        const bool is_long = m_random() % 10 == 0;
        submit message = m_bench.make_submit(is_long ? 20'000 : 2'000);
        message.account = account_name("account-" + std::to_string(m_random() % 10));
        message.prefix_hashes.resize(static_cast<std::size_t>(message.prompt_tokens / 1'024));
        message.time_left = std::chrono::minutes(5);
        auto context = m_bench.ctx();
        const auto start = std::chrono::steady_clock::now();
        m_bench.owner.on_submit(message.attempt.request.origin, message, context);
        const std::chrono::nanoseconds taken = std::chrono::steady_clock::now() - start;
        collect();
        return taken;
    }

    void finish_some(std::size_t open_target) {
        while (open() > open_target && !m_running.empty()) {
            std::swap(m_running[m_random() % m_running.size()], m_running.back());
            const open_stream ended = std::move(m_running.back());
            m_running.pop_back();
            m_bench.feed(stream_tokens{ended.server, ended.stream, 0, {"x"}});
            m_bench.feed(stream_finished{ended.server, ended.stream, 1, 0, "stop"});
            collect();
        }
    }

    [[nodiscard]] std::size_t open() const { return m_bench.owner.running() + m_bench.owner.queued(); }
    [[nodiscard]] std::size_t queued() const { return m_bench.owner.queued(); }

private:
    void collect() {
        for (open_stream& started : m_bench.all<open_stream>())
            m_running.push_back(std::move(started));
        m_bench.out.clear();
        m_bench.now += std::chrono::microseconds(100);
    }

    std::mt19937_64 m_random;
    owner_fixture m_bench;
    std::vector<open_stream> m_running;
};

}  // namespace

TEST_CASE("one submit at its owner takes less than 50 microseconds at the 99th percentile") {
    const int servers = GENERATE(18, 72);
    // Open requests in proportion to the slots of all servers.
    const double load = GENERATE(0.8, 2.0);
    loaded_owner owner(servers, 20'261'204);
    const auto target = static_cast<std::size_t>(load * warm_capacity * servers);
    // Complete enough requests to make every server warm.
    for (int i = 0; i < 200 * servers; ++i) {
        owner.submit_one();
        owner.finish_some(target);
    }
    REQUIRE(owner.open() >= target * 9 / 10);
    std::vector<std::chrono::nanoseconds> times;
    std::size_t queued = 0;
    for (int i = 0; i < measured_submits; ++i) {
        times.push_back(owner.submit_one());
        owner.finish_some(target);
        queued += owner.queued();
    }
    std::ranges::sort(times);
    const std::chrono::nanoseconds p99 = times[times.size() * 99 / 100];
    std::cout << "submit at " << servers << " servers, load " << load << ", mean queue " << queued / measured_submits
              << ": p50 " << times[times.size() / 2].count() << " ns, p99 " << p99.count() << " ns\n";
    REQUIRE(p99 < p99_bound);
}
