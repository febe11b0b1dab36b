// Tests what callers get when a backend server in trouble sends bytes that are no answer of
// HTTP. Guards against such bytes, or an answer that is hidden in them, reaching a caller as
// an answer, and against sound but unusual answers that are refused.
#include "log_recorder.hpp"
#include "serving_rig.hpp"

#include <boost/asio/steady_timer.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

// In a text, the place of the request's id.
constexpr std::string_view id_mark = "{id}";
const std::string own_fields = "Verbenahold-Attempt-Id: {id}\r\nVerbenahold-Origin-Signature: proof\r\n";
const std::string event = "id: 1\ndata: from the server\n\n";
const std::string sound_answer = "HTTP/1.1 200 OK\r\n" + own_fields + "Content-Length: 29\r\n\r\n" + event;

// An answer with this status line and these further header lines, each with its line end.
std::string answer_with(const std::string& status_line, const std::string& fields, const std::string& body = event) {
    return status_line + "\r\n" + own_fields + fields + "\r\n" + body;
}

// An answer of status 200 with these header lines beside a sound length.
std::string answer_with_line(const std::string& line) {
    return answer_with("HTTP/1.1 200 OK", line + "\r\nContent-Length: 29\r\n");
}

struct sample {
    std::string name;
    // Holds id_mark.
    std::string text;
};

std::vector<sample> wrong_statuses() {
    std::vector<sample> found;
    for (const auto* status : {"000", "001", "099", "600", "999"}) {
        const auto line = "HTTP/1.1 "s + status + " Status";
        found.push_back({status, answer_with(line, "Content-Length: 29\r\n")});
        found.push_back({status + " without a body"s, answer_with(line, "Content-Length: 0\r\n", {})});
        found.push_back({status + " without a length"s, answer_with(line, {}, {})});
        found.push_back({status + " before an answer"s, answer_with(line, {}, {}) + sound_answer});
        found.push_back(
            {status + " around an answer"s,
             answer_with(line, "Content-Length: " + std::to_string(sound_answer.size()) + "\r\n", {}) + sound_answer});
    }
    found.push_back({"an empty status", answer_with("HTTP/1.1  OK", "Content-Length: 29\r\n")});
    found.push_back({"a status of two digits", answer_with("HTTP/1.1 20 OK", "Content-Length: 29\r\n")});
    found.push_back({"a status of four digits", answer_with("HTTP/1.1 2000 OK", "Content-Length: 29\r\n")});
    found.push_back({"a negative status", answer_with("HTTP/1.1 -20 OK", "Content-Length: 29\r\n")});
    found.push_back({"a control byte in the reason", answer_with("HTTP/1.1 200 O\x01K", "Content-Length: 29\r\n")});
    return found;
}

std::vector<sample> wrong_interims() {
    const auto around = [](const std::string& status_line) {
        return status_line + "\r\nContent-Length: " + std::to_string(sound_answer.size()) + "\r\n\r\n" + sound_answer;
    };
    return {
        {"a change of protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + sound_answer},
        {"an interim answer with a body", around("HTTP/1.1 103 Early Hints")},
        {"an interim answer in chunks", "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + sound_answer},
        {"no content with a body", answer_with("HTTP/1.1 204 No Content", "Content-Length: 29\r\n")},
        {"no content in chunks",
         answer_with("HTTP/1.1 204 No Content", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n")}};
}

std::vector<sample> wrong_names() {
    std::vector<sample> found;
    for (const int code : {0x00, 0x01, 0x09, 0x0b, 0x0d, 0x1f, 0x20, 0x22, 0x28, 0x2f, 0x5b, 0x7b, 0x7f, 0x80, 0xff}) {
        const std::string letter(1, static_cast<char>(code));
        const auto name = "byte " + std::to_string(code);
        found.push_back({name + " in a name", answer_with_line("Na" + letter + "me: x")});
        found.push_back({name + " after a name", answer_with_line("Name" + letter + ": x")});
        found.push_back({name + " after Content-Length",
                         answer_with("HTTP/1.1 200 OK", "Content-Length" + letter + ": 4\r\nContent-Length: 29\r\n")});
        found.push_back({name + " after the only Content-Length",
                         answer_with("HTTP/1.1 200 OK", "Content-Length" + letter + ": 29\r\n")});
        found.push_back({name + " after Transfer-Encoding",
                         answer_with("HTTP/1.1 200 OK", "Transfer-Encoding" + letter + ": chunked\r\n",
                                     "1d\r\n" + event + "\r\n0\r\n\r\n")});
        found.push_back({name + " in an interim answer's name",
                         "HTTP/1.1 103 Early Hints\r\nNa" + letter + "me: x\r\n\r\n" + sound_answer});
        found.push_back(
            {name + " in a trailer's name", answer_with("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
                                                        "1d\r\n" + event + "\r\n0\r\nNa" + letter + "me: x\r\n\r\n")});
    }
    found.push_back({"an empty name", answer_with_line(": x")});
    found.push_back({"a line without a colon", answer_with_line("Name")});
    found.push_back({"a blank before the first name",
                     "HTTP/1.1 200 OK\r\n Name: x\r\n" + own_fields + "Content-Length: 29\r\n\r\n" + event});
    return found;
}

std::vector<sample> wrong_values() {
    return {{"a zero byte in a value", answer_with_line("Name: a\0b"s)},
            {"a control byte in a value", answer_with_line("Name: a\x01"
                                                           "b")},
            {"a carriage return in a value", answer_with_line("Name: a\rb")},
            {"a line feed in a value", answer_with_line("Name: a\nb")},
            {"a line that ends without a carriage return", answer_with_line("Name: a\nName: b")}};
}

std::vector<sample> wrong_framings() {
    std::vector<sample> found;
    for (const auto* coding : {"gzip", "identity", "xchunked", "chunked, gzip", "gzip, chunked", "chunked, chunked",
                               "chunked\r\nTransfer-Encoding: gzip", "gzip\r\nTransfer-Encoding: chunked", ""}) {
        const auto fields = "Transfer-Encoding: "s + coding + "\r\n";
        found.push_back({"coding "s + coding, answer_with("HTTP/1.1 200 OK", fields)});
        found.push_back({"chunks and coding "s + coding,
                         answer_with("HTTP/1.1 200 OK", fields, "1d\r\n" + event + "\r\n0\r\n\r\n")});
    }
    for (const auto* length : {"+29", "-29", "0x1d", "29x", "29 29", "29, 30", "29\r\nContent-Length: 30",
                               "29\r\nTransfer-Encoding: chunked", "", "99999999999999999999999"}) {
        found.push_back({"length "s + length, answer_with("HTTP/1.1 200 OK", "Content-Length: "s + length + "\r\n")});
    }
    for (const auto* size : {"", "x", "-1d", "+1d", "0x1d", "1d x", "1d;a b", "100000000000000000"}) {
        found.push_back({"chunk size "s + size, answer_with("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
                                                            size + "\r\n"s + event + "\r\n0\r\n\r\n")});
    }
    found.push_back({"a chunk longer than its size", answer_with("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
                                                                 "1c\r\n" + event + "\r\n0\r\n\r\n")});
    found.push_back({"chunks in HTTP 1.0", answer_with("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n",
                                                       "1d\r\n" + event + "\r\n0\r\n\r\n")});
    for (const auto* version : {"HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/11", "http/1.1", "ICY"}) {
        found.push_back({version, answer_with(version + " 200 OK"s, "Content-Length: 29\r\n")});
    }
    return found;
}

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
void check_refused(const std::vector<sample>& samples) {
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
    const std::vector<sample> samples{
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
