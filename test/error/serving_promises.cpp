// Tests the statuses that promise callers that a request did not run. Guards against such
// a promise for a request that ran or runs later, whatever servers state, echo, repeat or
// leave out.
#include "member_group.hpp"
#include "serving_rig.hpp"

#include <boost/asio/steady_timer.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <set>

using namespace verbenahold;
using namespace verbenahold::serving;
using verbenahold::testing::read_seed;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

constexpr std::array promising_statuses{408, 421, 429, 503};

int status_of(const scripted_caller& caller) {
    return caller.received().starts_with("HTTP/1.1 ") ? std::stoi(caller.received().substr(9, 3)) : 0;
}

bool is_promise(int status) {
    return std::find(promising_statuses.begin(), promising_statuses.end(), status) != promising_statuses.end();
}

std::string id_of(const http_request& request) {
    return std::string(field_value(request.fields, "Verbenahold-Attempt-Id"));
}

std::string field_line(const std::string& name, const std::string& value) {
    return name + ": " + value + "\r\n";
}

std::string id_line(const http_request& request) {
    return field_line("Verbenahold-Attempt-Id", id_of(request));
}

const std::string proof_line = field_line("Verbenahold-Origin-Signature", "proof");
const std::string not_executed_line = field_line("Verbenahold-Not-Executed", "1");

std::string answer_text(int status, const std::string& fields, const std::string& body = {}) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool has_answer(const scripted_caller& caller) {
    return caller.received().find("\r\n\r\n") != std::string::npos;
}

bool has_end(const scripted_caller& caller) {
    return has_answer(caller) || caller.ended();
}

}  // namespace

TEST_CASE("a refusal that does not state that the request did not run is not passed on as one") {
    const auto status = GENERATE(408, 429, 503);
    const auto proof = GENERATE(std::string(), proof_line);
    const auto path = GENERATE(std::string("/unsafe/x"), std::string("/stream/x"), std::string("/safe/x"));
    CAPTURE(status, proof, path);
    serving_rig rig;
    std::size_t runs = 0;
    const auto run_and_refuse = [&](const http_request& request, const session_pointer& session) {
        ++runs;
        session->write(answer_text(status, id_line(request) + proof + field_line("Retry-After", "0.1")));
    };
    rig.add_server("i-1", run_and_refuse);
    rig.add_server("i-2", run_and_refuse);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", path, "a-1", "order"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(status_of(caller) == 502);
    CHECK(caller.received().find("Origin-Signature") == std::string::npos);
    CHECK(runs == (path == "/safe/x" ? 2 : 1));
}

TEST_CASE("an idempotent request that a server refused without a statement is served by another") {
    const auto status = GENERATE(408, 429, 503);
    CAPTURE(status);
    serving_rig rig;
    int asked = 0;
    const auto refuse_first = [&](const http_request& request, const session_pointer& session) {
        session->write(asked++ == 0 ? answer_text(status, id_line(request)) : proved_answer(request, "fine"));
    };
    rig.add_server("i-1", refuse_first);
    rig.add_server("i-2", refuse_first);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("GET", "/safe/x", "a-1"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(status_of(caller) == 200);
}

TEST_CASE("a server's own failure other than a refusal is passed on with its status and proof") {
    const auto status = GENERATE(400, 404, 500, 504);
    CAPTURE(status);
    serving_rig rig;
    rig.add_server("i-1", [&](const http_request& request, const session_pointer& session) {
        session->write(answer_text(status, id_line(request) + proof_line, "why"));
    });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/unsafe/x", "a-1", "order"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(status_of(caller) == status);
    CHECK(caller.received().find(proof_line) != std::string::npos);
    CHECK(caller.received().ends_with("why"));
}

TEST_CASE("a success that claims that the request did not run is no refusal and is not sent again") {
    const auto path = GENERATE(std::string("/unsafe/x"), std::string("/stream/x"));
    CAPTURE(path);
    serving_rig rig;
    int runs = 0;
    const auto contradict = [&](const http_request& request, const session_pointer& session) {
        ++runs;
        session->write(answer_text(200, id_line(request) + proof_line + not_executed_line, "id: 1\ndata: x\n\n"));
    };
    rig.add_server("i-1", contradict);
    rig.add_server("i-2", contradict);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", path, "a-1", "order"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(status_of(caller) == 502);
    CHECK(runs == 1);
}

TEST_CASE("a late copy of a rejection without an id does not count for the request that runs") {
    const auto late_status = GENERATE(421, 503);
    CAPTURE(late_status);
    serving_rig rig;
    int runs = 0;
    const auto answer_late = [&](const http_request& request, const session_pointer& session) {
        ++runs;
        if (id_of(request) != "a-1") {
            session->write(answer_text(late_status, not_executed_line));
        }
        session->write(proved_answer(request, "fine"));
    };
    rig.add_server("i-1", answer_late);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& first = rig.call("host-1", request_text("POST", "/unsafe/x", "a-1", "order"));
    REQUIRE(rig.run_until([&] { return has_answer(first); }));
    CHECK(status_of(first) == 200);
    auto& second = rig.call("host-1", request_text("POST", "/unsafe/x", "a-2", "order"));
    REQUIRE(rig.run_until([&] { return has_answer(second); }));
    CHECK_FALSE(is_promise(status_of(second)));
    CHECK(runs == 2);
}

TEST_CASE("a late copy of a rejection does not count for the next attempt at the same address") {
    serving_rig rig;
    std::map<session_pointer, std::string> answered;
    int asked = 0;
    const auto reject_first = [&](const http_request& request, const session_pointer& session) {
        session->write(answered[session]);
        answered[session] =
            ++asked == 1 ? answer_text(503, id_line(request) + not_executed_line) : proved_answer(request, "fine");
        session->write(answered[session]);
    };
    const auto& server = rig.add_server("i-1", reject_first);
    rig.store.put(
        "servers", "i-2",
        R"({"service":"app","address":")" + server.address() + R"(","zone":"zone-a","slots":4,"state":"ready"})");
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/unsafe/x", "a-1", "order"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(status_of(caller) == 200);
    CHECK(asked == 2);
}

namespace {

// What a server does with one request.
enum class behavior {
    answers,
    fails,
    refuses_unstated,
    loses_answer,
    tears_answer,
    stays_silent,
    rejects,
    rejects_without_id,
    is_another_server,
    repeats_earlier_answer,
    answers_twice,
};
using behaviors = std::vector<behavior>;

// Servers that behave at random, each request in one of the given ways, and one that can't be
// reached. Notes which requests ran.
class unreliable_fleet : public serving_rig {
public:
    unreliable_fleet(std::uint64_t seed, behaviors ways) : m_random(seed), m_ways(std::move(ways)) {
        for (const auto* id : {"i-1", "i-2", "i-3", "i-4"}) {
            add_server(id, [this](const auto& request, const auto& session) { behave(request, session); });
        }
        store.put("servers", "i-5",
                  R"({"service":"app","address":")" + free_loopback_address(loop) +
                      R"(","zone":"zone-a","slots":4,"state":"ready"})");
        put_desired_state();
        start_daemon("host-1");
    }

    // Sends requests at the same time and awaits the ends of all.
    void send_wave(int count) {
        std::vector<std::pair<std::string, scripted_caller*>> wave;
        for (int number = 0; number < count; ++number) {
            const auto id = "a-" + std::to_string(++m_asked);
            const bool safe = draw(8) == 0;
            auto text = request_text("POST", safe ? "/safe/x" : "/unsafe/x", id, "order");
            const std::string deadline = "Deadline-Ms: 2000";
            text.replace(text.find(deadline), deadline.size(), "Deadline-Ms: 250");
            wave.emplace_back(id, &call("host-1", text));
            if (!safe) {
                m_once.insert(id);
            }
        }
        all_ended = all_ended && run_until([&] {
                        return std::all_of(wave.begin(), wave.end(), [](const auto& w) { return has_end(*w.second); });
                    });
        for (const auto& [id, caller] : wave) {
            m_statuses[id] = status_of(*caller);
            const auto& answer = caller->received();
            const bool own = answer.find("Attempt-Id: " + id + "\r\n") != std::string::npos;
            const bool whole = m_statuses[id] != 200 || answer.ends_with("answer to " + id);
            foreign += !answer.empty() && (!own || !whole) ? 1 : 0;
        }
    }

    // Requests with at-most-once semantics that ran and whose callers were promised that they
    // did not.
    [[nodiscard]] std::vector<std::string> broken_promises() const {
        std::vector<std::string> broken;
        for (const auto& id : m_once) {
            if (m_runs.contains(id) && is_promise(m_statuses.at(id))) {
                broken.push_back(id + " answered " + std::to_string(m_statuses.at(id)));
            }
        }
        return broken;
    }
    // Requests with at-most-once semantics that ran more than once.
    [[nodiscard]] std::vector<std::string> repeated() const {
        std::vector<std::string> found;
        for (const auto& [id, runs] : m_runs) {
            if (m_once.contains(id) && runs > 1) {
                found.push_back(id);
            }
        }
        return found;
    }
    [[nodiscard]] std::size_t ran() const { return m_runs.size(); }

    bool all_ended = true;
    // Answers to callers that are not those of their requests.
    int foreign = 0;

private:
    unsigned draw(std::size_t count) {
        return static_cast<unsigned>(std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random));
    }

    // Later answers may overtake each other on different connections.
    void write_later(const session_pointer& session, const std::string& bytes) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(loop, std::chrono::milliseconds(draw(5)));
        timer->async_wait([timer, session, bytes](const boost::system::error_code&) { session->write(bytes); });
    }

    void behave(const http_request& request, const session_pointer& session) {
        const auto way = m_ways[draw(m_ways.size())];
        const auto own = id_line(request);
        const auto right = answer_text(200, own + proof_line, "answer to " + id_of(request));
        const auto refused = std::array{408, 429, 503}[draw(3)];
        auto& last = m_last_answers[session];
        const auto before = last;
        const auto answer = [&](const std::string& bytes) {
            last = bytes;
            write_later(session, bytes);
        };
        if (way != behavior::rejects && way != behavior::rejects_without_id && way != behavior::is_another_server) {
            ++m_runs[id_of(request)];
        }
        switch (way) {
            case behavior::answers:
                return answer(right);
            case behavior::fails:
                return answer(answer_text(500, own + proof_line));
            case behavior::refuses_unstated:
                return answer(answer_text(refused, own + (draw(2) == 0 ? proof_line : "")));
            case behavior::loses_answer:
                return draw(2) == 0 ? session->reset() : session->close();
            case behavior::tears_answer:
                session->write(right.substr(0, right.size() - 4));
                return session->close();
            case behavior::stays_silent:
                return;
            case behavior::rejects:
                return answer(answer_text(refused, own + not_executed_line));
            case behavior::rejects_without_id:
                return answer(answer_text(503, not_executed_line));
            case behavior::is_another_server:
                return answer(answer_text(421, own));
            case behavior::repeats_earlier_answer:
                session->write(before);
                return answer(right);
            case behavior::answers_twice:
                session->write(right);
                return answer(right);
        }
    }

    std::mt19937_64 m_random;
    behaviors m_ways;
    int m_asked = 0;
    std::set<std::string> m_once;
    std::map<std::string, int> m_runs;
    std::map<std::string, int> m_statuses;
    std::map<session_pointer, std::string> m_last_answers;
};

void check_promises(std::uint64_t seed, const behaviors& ways) {
    CAPTURE(seed);
    unreliable_fleet fleet(seed, ways);
    REQUIRE(fleet.run_until_ready("host-1"));
    for (int wave = 0; wave < 40; ++wave) {
        fleet.send_wave(6);
    }
    // Requests may also run after their callers were answered.
    fleet.run_for(50ms);
    CHECK(fleet.all_ended);
    CHECK(fleet.broken_promises() == std::vector<std::string>{});
    CHECK(fleet.repeated() == std::vector<std::string>{});
    CHECK(fleet.foreign == 0);
    CHECK(fleet.ran() > 60);
}

}  // namespace

TEST_CASE("no request that ran is promised not to have where answers are lost, torn or missing") {
    using enum behavior;
    const behaviors ways{answers, answers, loses_answer, tears_answer, stays_silent, rejects, is_another_server};
    check_promises(read_seed(51), ways);
}

TEST_CASE("no request that ran is promised not to have where servers fail and refuse without a statement") {
    using enum behavior;
    check_promises(read_seed(52), {answers, answers, fails, refuses_unstated, rejects, is_another_server});
}

TEST_CASE("no request that ran is promised not to have where answers come twice, late or without an id") {
    using enum behavior;
    const behaviors ways{answers,      rejects, is_another_server, rejects_without_id, repeats_earlier_answer,
                         answers_twice};
    check_promises(read_seed(53), ways);
}

TEST_CASE("no request that ran is promised not to have whatever servers answer") {
    using enum behavior;
    const behaviors ways{answers,
                         answers,
                         fails,
                         refuses_unstated,
                         loses_answer,
                         tears_answer,
                         answers,
                         rejects,
                         rejects_without_id,
                         is_another_server,
                         stays_silent,
                         answers,
                         repeats_earlier_answer,
                         answers_twice};
    check_promises(read_seed(54) + GENERATE(0U, 1U), ways);
}
