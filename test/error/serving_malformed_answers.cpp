// Tests what callers get when a backend server in trouble sends bytes that are no answer of
// HTTP. Guards against such bytes, or an answer that is hidden in them, reaching a caller as
// an answer, and against sound but unusual answers that are refused.
#include "log_recorder.hpp"
#include "malformed_answers.hpp"
#include "serving_rig.hpp"

#include <boost/asio/steady_timer.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace verbenahold;
using namespace verbenahold::samples;
using namespace verbenahold::serving;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

std::string with_id(std::string text, const http_request& request) {
    const auto id = field_value(request.fields, "Verbenahold-Attempt-Id");
    for (auto found = text.find(id_mark); found != std::string::npos; found = text.find(id_mark)) {
        text.replace(found, id_mark.size(), id);
    }
    return text;
}

bool is_status(const scripted_caller& caller, int status) {
    return caller.received().starts_with("HTTP/1.1 " + std::to_string(status));
}

bool has_answer(const scripted_caller& caller) {
    return caller.received().find("\r\n\r\n") != std::string::npos;
}

// One daemon in front of one server.
class answer_rig : public serving_rig {
public:
    answer_rig() {
        add_server("i-1", [this](const http_request& request, const session_pointer& session) {
            ++requests;
            reused = !sessions.empty() && sessions.back() == session;
            sessions.push_back(session);
            if (request.target.ends_with("/sound")) {
                session->write(proved_answer(request, "fine"));
                return;
            }
            session->write(with_id(text, request));
            if (ends_connection) {
                session->close();
            } else if (!text_after.empty()) {
                // As a separate segment, once the daemon has read the first.
                m_rest.expires_after(10ms);
                m_rest.async_wait([this, request, session](const boost::system::error_code& error) {
                    if (!error) {
                        session->write(with_id(text_after, request));
                    }
                });
            }
        });
        put_desired_state();
        start_daemon("host-1");
    }

    // Asks with the next id and runs until an answer or the connection's end.
    scripted_caller& ask(const std::string& path, const std::string& method = "POST") {
        auto& caller = call("host-1", request_text(method, path, "a-" + std::to_string(++m_asked), "order"));
        run_until([&] { return caller.ended() || has_answer(caller); });
        return caller;
    }
    [[nodiscard]] std::string last_id() const { return "a-" + std::to_string(m_asked); }

    // What the server answers, but for paths that end with "/sound".
    std::string text;
    // Follows a moment later.
    std::string text_after;
    bool ends_connection = false;
    int requests = 0;
    // The last request came on the connection of the one before.
    bool reused = false;
    // Of each request.
    std::vector<session_pointer> sessions;

private:
    int m_asked = 0;
    boost::asio::steady_timer m_rest{loop};
};

// The caller gets this daemon's failure at once, nothing of the server's bytes, and the
// request runs once.
void check_refused(const std::vector<answer_sample>& samples) {
    const auto path = GENERATE("/unsafe/x"s, "/stream/x"s);
    const bool on_kept_connection = GENERATE(false, true);
    const log_recorder log;
    answer_rig rig;
    REQUIRE(rig.run_until_ready("host-1"));
    for (const auto& [name, text] : samples) {
        CAPTURE(name, path, on_kept_connection);
        if (on_kept_connection) {
            CHECK(is_status(rig.ask("/unsafe/sound"), 200));
        }
        rig.text = text;
        const int before = rig.requests;
        auto& caller = rig.ask(path);
        INFO("received " << caller.received().substr(0, caller.received().find('\r')));
        CHECK(is_status(caller, 502));
        CHECK(caller.received().find("proof") == std::string::npos);
        CHECK(caller.received().find("from the server") == std::string::npos);
        CHECK(rig.requests == before + 1);
        CHECK((rig.reused || !on_kept_connection));
        const auto request = "request=" + rig.last_id() + ' ';
        CHECK_FALSE(log.find("attempt failed", {request, "server=i-1", "reason="}).empty());
    }
}

}  // namespace

TEST_CASE("an answer whose status is none of HTTP's is refused") {
    check_refused(wrong_statuses());
}

TEST_CASE("an answer after one whose status is none of HTTP's is not the request's") {
    const auto status = GENERATE("000"s, "099"s);
    CAPTURE(status);
    answer_rig rig;
    rig.text = answer_with("HTTP/1.1 " + status + " Status", "Content-Length: 29\r\n", {});
    rig.text_after = sound_answer;
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.ask("/unsafe/x");
    CHECK(is_status(caller, 502));
    CHECK(caller.received().find("from the server") == std::string::npos);
}

TEST_CASE("an answer with a body that its status does not allow is refused") {
    check_refused(wrong_interims());
}

TEST_CASE("an answer with a blank or a control byte in the name of a field is refused") {
    check_refused(wrong_names());
}

TEST_CASE("an answer with a control byte in the value of a field is refused") {
    check_refused(wrong_values());
}

TEST_CASE("an answer whose end can't be told is refused") {
    check_refused(wrong_framings());
}

TEST_CASE("a malformed answer of the server that should continue a stream is not written into it") {
    serving_rig rig;
    std::string text;
    std::map<std::string, int, std::less<>> attempts;
    // Each sample costs a repeat.
    rig.repeats.allowance = 1'000;
    const auto begin_and_fail = [&](const http_request& request, const session_pointer& session) {
        if (++attempts[std::string(field_value(request.fields, "Verbenahold-Attempt-Id"))] > 1) {
            session->write(with_id(text, request));
            return;
        }
        session->write(stream_head(request) + stream_chunk(1));
        session->reset();
    };
    rig.add_server("i-1", begin_and_fail);
    rig.add_server("i-2", begin_and_fail);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto samples = wrong_statuses();
    samples.push_back({"no content", answer_with("HTTP/1.1 204 No Content", {}, {})});
    for (const auto& more : {wrong_interims(), wrong_values(), wrong_framings()}) {
        samples.insert(samples.end(), more.begin(), more.end());
    }
    for (std::size_t index = 0; index < samples.size(); ++index) {
        CAPTURE(samples[index].name);
        text = samples[index].text;
        const auto id = "a-" + std::to_string(index);
        auto& caller = rig.call("host-1", request_text("POST", "/resumable/x", id, "prompt"));
        REQUIRE(rig.run_until([&] { return caller.ended() || caller.received().ends_with(stream_end); }));
        CHECK(attempts[id] == 2);
        CHECK(caller.was_reset());
        CHECK(caller.received().find("HTTP/1.1", 1) == std::string::npos);
        CHECK(caller.received().find("from the server") == std::string::npos);
    }
}

TEST_CASE("a call whose answer is malformed fails, on new and kept connections") {
    const bool on_kept_connection = GENERATE(false, true);
    std::string text;
    boost::asio::io_context loop;
    metrics counters;
    handler_guard guard(counters);
    loop_timers timers(loop, guard);
    http_client client(loop, timers);
    const scripted_server server(loop, [&](const http_request& request, const session_pointer& session) {
        session->write(request.target == "/sound" ? proved_answer(request, "fine") : text);
    });
    const auto call = [&](const std::string& target) {
        std::optional<call_result> result;
        client.call(server.address(), {"POST", target, {}, "order"}, {1s, max_rows_bytes},
                    [&](const call_result& done) { result = done; });
        for (const auto end = std::chrono::steady_clock::now() + 5s;
             !result && std::chrono::steady_clock::now() < end;) {
            loop.run_one_for(10ms);
            loop.restart();
        }
        REQUIRE(result);
        return *result;
    };
    for (const auto& samples : {wrong_statuses(), wrong_interims(), wrong_names(), wrong_values(), wrong_framings()}) {
        for (const auto& sample : samples) {
            CAPTURE(sample.name, on_kept_connection);
            text = sample.text;
            const auto opened = client.opened();
            if (on_kept_connection) {
                REQUIRE(call("/sound").answer);
            }
            const auto result = call("/x");
            CHECK_FALSE(result.answer);
            CHECK_FALSE(result.failure.empty());
            CHECK(result.failure != "no answer within the time limit");
            CHECK(client.opened() == opened + 1);
        }
    }
}

TEST_CASE("an unusual but valid status is passed on with its reason, proof and body") {
    answer_rig rig;
    REQUIRE(rig.run_until_ready("host-1"));
    for (const int status : {201, 202, 203, 206, 207, 208, 226, 299, 300, 302, 399, 400,
                             402, 418, 422, 431, 451, 499, 500, 501, 507, 510, 511, 599}) {
        CAPTURE(status);
        rig.text = answer_with("HTTP/1.1 " + std::to_string(status) + " What It Is", "Content-Length: 29\r\n");
        auto& caller = rig.ask("/unsafe/x");
        CHECK(caller.received().starts_with("HTTP/1.1 " + std::to_string(status) + " What It Is\r\n"));
        CHECK(caller.received().find("Origin-Signature: proof") != std::string::npos);
        CHECK(rig.run_until([&] { return caller.received().ends_with(event); }));
    }
}

TEST_CASE("an answer that is unusual but valid is passed on whole") {
    const auto framed = [](const std::string& fields) {
        return answer_with("HTTP/1.1 200 OK", fields + "Content-Length: 29\r\n");
    };
    const auto chunked = [](const std::string& coding, const std::string& body) {
        return answer_with("HTTP/1.1 200 OK", coding + "\r\n", body);
    };
    const std::vector<answer_sample> samples{
        {"interim answers before it",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nName: x\r\n\r\n"
         "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" +
             sound_answer},
        {"every letter of a name", framed("!#$%&'*+-.^_`|~09AZaz: x\r\n")},
        {"a name of one letter", framed("x: y\r\n")},
        {"an empty value", framed("Name:\r\n")},
        {"a value with tabs, quotes and letters of other sets", framed("Name: \t\"a\tb\" \xc3\xa9\xff \r\n")},
        {"a folded value", framed("Name: a\r\n b\r\n")},
        {"a value of a kilobyte", framed("Name: " + std::string(1'024, 'v') + "\r\n")},
        {"no reason", answer_with("HTTP/1.1 200 ", "Content-Length: 29\r\n")},
        {"a reason with letters of other sets", answer_with("HTTP/1.1 200 D\xc3\xa9j\xe0", "Content-Length: 29\r\n")},
        {"HTTP 1.0", answer_with("HTTP/1.0 200 OK", "Content-Length: 29\r\n")},
        {"the same length twice", framed("Content-Length: 29\r\n")},
        {"chunks in capitals", chunked("TRANSFER-ENCODING: Chunked", "1D\r\n" + event + "\r\n000\r\n\r\n")},
        {"chunks with extensions and trailers",
         chunked("Transfer-Encoding: chunked",
                 "4;a=b;c=\"d e\"\r\nid: \r\n19;e\r\n" + event.substr(4) + "\r\n0;f\r\nName: x\r\nOther: y\r\n\r\n")}};
    const auto path = GENERATE("/unsafe/x"s, "/stream/x"s);
    answer_rig rig;
    REQUIRE(rig.run_until_ready("host-1"));
    for (const auto& [name, text] : samples) {
        CAPTURE(name, path);
        rig.text = text;
        auto& caller = rig.ask(path);
        CHECK(is_status(caller, 200));
        CHECK(caller.received().find("Origin-Signature: proof") != std::string::npos);
        CHECK(rig.run_until([&] { return caller.received().find(event) != std::string::npos; }));
        CHECK(rig.run_until(
            [&] { return caller.received().ends_with(path == "/unsafe/x" ? event : std::string(stream_end)); }));
    }
}

TEST_CASE("an answer without a length that ends in order is complete") {
    const auto path = GENERATE("/unsafe/x"s, "/stream/x"s);
    const auto version = GENERATE("HTTP/1.0"s, "HTTP/1.1"s);
    const auto fields = GENERATE(""s, "Connection: close\r\n"s);
    CAPTURE(path, version, fields);
    answer_rig rig;
    rig.text = answer_with(version + " 200 OK", fields);
    rig.ends_connection = true;
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.ask(path);
    CHECK(is_status(caller, 200));
    CHECK(caller.received().find("Origin-Signature: proof") != std::string::npos);
    CHECK(rig.run_until(
        [&] { return caller.received().ends_with(path == "/unsafe/x" ? event : std::string(stream_end)); }));
}

TEST_CASE("an answer that has no body by its status or method is complete without one") {
    const auto status_line = GENERATE("HTTP/1.1 204 No Content"s, "HTTP/1.1 304 Not Modified"s, "HTTP/1.1 200 OK"s);
    const auto method = status_line.find("200") == std::string::npos ? "POST"s : "HEAD"s;
    const auto fields = GENERATE(""s, "Content-Length: 0\r\n"s, "Content-Length: 29\r\n"s);
    if (status_line.find("204") != std::string::npos && fields.find("29") != std::string::npos) {
        return;
    }
    CAPTURE(status_line, method, fields);
    answer_rig rig;
    rig.text = answer_with(status_line, fields, {});
    REQUIRE(rig.run_until_ready("host-1"));
    for (int round = 0; round < 2; ++round) {
        auto& caller = rig.ask("/unsafe/x", method);
        CHECK(caller.received().starts_with(status_line));
        CHECK(caller.received().find("Origin-Signature: proof") != std::string::npos);
        CHECK(caller.received().ends_with("\r\n\r\n"));
    }
    // The connection carried both requests.
    CHECK(rig.reused);
}

TEST_CASE("an answer without a body on a streaming route is passed on without chunks") {
    const auto status_line = GENERATE("HTTP/1.1 204 No Content"s, "HTTP/1.1 200 OK"s);
    const auto method = status_line.find("200") == std::string::npos ? "POST"s : "HEAD"s;
    CAPTURE(status_line);
    answer_rig rig;
    rig.text = answer_with(status_line, "Content-Type: text/event-stream\r\n", {});
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.ask("/stream/x", method);
    CHECK(caller.received().starts_with(status_line));
    CHECK(caller.received().find("Origin-Signature: proof") != std::string::npos);
    CHECK(caller.received().find("Transfer-Encoding") == std::string::npos);
    const auto first = caller.received();
    caller.send(request_text("POST", "/unsafe/sound", "b-1", "order"));
    REQUIRE(rig.run_until([&] { return caller.ended() || caller.received().ends_with("fine"); }));
    CHECK(first.ends_with("\r\n\r\n"));
    CHECK(caller.received().substr(first.size()).starts_with("HTTP/1.1 200 OK"));
}

TEST_CASE("an answer in a content coding is refused, as no request asks for one") {
    const auto path = GENERATE("/unsafe/x"s, "/stream/x"s);
    const auto status = GENERATE(200, 500);
    CAPTURE(path, status);
    const log_recorder log;
    answer_rig rig;
    rig.text = answer_with("HTTP/1.1 " + std::to_string(status) + " Status",
                           "Content-Encoding: gzip\r\nContent-Length: 29\r\n");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.ask(path);
    CHECK(is_status(caller, 502));
    CHECK(caller.received().find("proof") == std::string::npos);
    CHECK(caller.received().find("from the server") == std::string::npos);
    CHECK(rig.requests == 1);
    CHECK_FALSE(log.find("attempt failed", {"server=i-1", "content coding"}).empty());
}

TEST_CASE("a rejection in a content coding still states that the request did not run") {
    answer_rig rig;
    rig.text = answer_with("HTTP/1.1 503 Service Unavailable",
                           "Verbenahold-Not-Executed: 1\r\nContent-Encoding: gzip\r\nContent-Length: 29\r\n");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.ask("/unsafe/x");
    CHECK(is_status(caller, 503));
    CHECK(caller.received().find("from the server") == std::string::npos);
}
