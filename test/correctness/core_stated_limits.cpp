// Tests the limits that servers state. Guards against daemons that together send more
// than the limit, against one that was lifted and stays, and against one that stays
// unknown since an older word came later.
#include "stated_limits.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

const server_name server("one");

time_point at(duration since_start) {
    return time_point(1h + since_start);
}

// Several daemons that hear of each other's requests a moment later.
class daemon_group {
public:
    explicit daemon_group(std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            m_daemons.emplace_back(index);
        }
    }

    stated_limits& operator[](std::size_t index) { return m_daemons[index]; }
    // The groups in which daemons hear each other; all in one by default.
    std::size_t groups = 1;

    void state(std::optional<double> limit, time_point now) {
        for (auto& daemon : m_daemons) {
            daemon.on_statement({server, limit, now}, now);
        }
    }
    // Each daemon has a request at this moment with the probability `busy`, and sends it
    // if it may.
    void step(time_point now, double busy) {
        while (!m_heard.empty() && m_heard.front().at <= now) {
            for (std::size_t index = 0; index < m_daemons.size(); ++index) {
                if (index != m_heard.front().sender && index % groups == m_heard.front().sender % groups) {
                    m_daemons[index].on_sent(server, now);
                }
            }
            m_heard.pop_front();
        }
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            if (m_chance(m_random) < busy && m_daemons[index].may_send(server, now)) {
                m_daemons[index].on_sent(server, now);
                m_heard.push_back({now + hearing_delay, index});
                sent.push_back(now);
            }
        }
    }
    // The most requests within four seconds.
    [[nodiscard]] std::ptrdiff_t most() const {
        std::ptrdiff_t found = 0;
        for (auto first = sent.begin(); first != sent.end(); ++first) {
            found = std::max(found, std::lower_bound(first, sent.end(), *first + 4s) - first);
        }
        return found;
    }

    std::vector<time_point> sent;

private:
    static constexpr duration hearing_delay = 3ms;
    struct heard_request {
        time_point at{};
        std::size_t sender = 0;
    };
    std::vector<stated_limits> m_daemons;
    std::deque<heard_request> m_heard;
    std::mt19937 m_random{7};
    std::uniform_real_distribution<double> m_chance{0, 1};
};

// The platform's bound on the requests in four seconds.
std::ptrdiff_t bound_of(double limit) {
    return static_cast<std::ptrdiff_t>(1.5 * limit * 4 + 5);
}

}  // namespace

TEST_CASE("daemons that hear of each other's requests keep a server's limit, and use it, wherever callers come") {
    const double limit = GENERATE(0.4, 1.0, 3.8, 25.0);
    const std::size_t count = GENERATE(1, 3, 15);
    CAPTURE(limit, count);
    daemon_group group(count);
    group.state(limit, at(0s));
    for (duration now{}; now < 20s; now += 1ms) {
        group.step(at(now), 0.2);
    }
    CHECK(group.most() <= bound_of(limit));
    CHECK(static_cast<double>(group.sent.size()) >= 0.8 * limit * 20);
}

TEST_CASE("two parts of the daemons that can't hear each other keep a server's limit together") {
    const double limit = GENERATE(1.0, 3.8, 25.0);
    CAPTURE(limit);
    constexpr std::size_t count = 10;
    daemon_group group(count);
    group.groups = 2;
    group.state(limit, at(0s));
    for (std::size_t index = 0; index < count; ++index) {
        group[index].set_share(0.5);
    }
    for (duration now{}; now < 20s; now += 1ms) {
        group.step(at(now), 0.2);
    }
    CHECK(group.most() <= bound_of(limit));
}

TEST_CASE("a limit holds from the latest word on, until an answer without one or a new start of the server") {
    stated_limits limits(1);
    const auto may_send_many = [&](time_point now) {
        for (int number = 0; number < 20; ++number) {
            if (!limits.may_send(server, now)) {
                return false;
            }
            limits.on_sent(server, now);
        }
        return true;
    };
    CHECK(may_send_many(at(0s)));
    CHECK(limits.on_statement({server, 2.0, at(1s)}, at(1s)));
    CHECK_FALSE(limits.on_statement({server, 2.0, at(2s)}, at(2s)));
    CHECK_FALSE(may_send_many(at(2s)));
    CHECK(limits.on_statement({server, std::nullopt, at(3s)}, at(3s)));
    CHECK(may_send_many(at(3s)));
    // Another daemon's word of before.
    CHECK_FALSE(limits.on_statement({server, 2.0, at(2'500ms)}, at(3'500ms)));
    CHECK(may_send_many(at(4s)));
    CHECK(limits.on_statement({server, 1.0, at(5s)}, at(5s)));
    CHECK(limits.size() == 1);
    CHECK_FALSE(may_send_many(at(5s)));
    limits.forget(server);
    CHECK(may_send_many(at(5s)));
}

TEST_CASE("a server that takes nothing is asked now and then, since only its answers lift the limit") {
    stated_limits limits(1);
    limits.on_statement({server, 0.0, at(0s)}, at(0s));
    int sent = 0;
    for (duration now{}; now < 60s; now += 100ms) {
        if (limits.may_send(server, at(now))) {
            limits.on_sent(server, at(now));
            ++sent;
        }
    }
    CHECK(sent > 0);
    CHECK(sent <= 15 * bound_of(0));
}

TEST_CASE("requests that others sent beyond the limit count, but don't close the server for long") {
    stated_limits limits(1);
    limits.on_statement({server, 2.0, at(0s)}, at(0s));
    for (int number = 0; number < 500; ++number) {
        limits.on_sent(server, at(1s));
    }
    CHECK_FALSE(limits.may_send(server, at(3s)));
    CHECK(limits.may_send(server, at(1s) + max_debt_time + 1s));
}

TEST_CASE("word of a limit is passed on while it is new") {
    stated_limits here(1);
    stated_limits there(2);
    here.on_statement({server, 2.0, at(0s)}, at(0s));
    for (const auto& statement : here.list_recent(at(1s))) {
        there.on_statement(statement, at(1s));
    }
    CHECK(there.size() == 1);
    CHECK(here.list_recent(at(0s) + statement_announcement_time).empty());
}
