// Tests streams whose event ids increase by other amounts than one. Guards against sound
// streams that are cut, and against events that are lost or doubled when another server goes on.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

#include <QByteArray>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

constexpr int event_count = 6;

std::string chunk_of(const std::string& bytes) {
    return QByteArray::number(static_cast<qulonglong>(bytes.size()), 16).toStdString() + "\r\n" + bytes + "\r\n";
}

std::string event_text(int number, int tokens) {
    return "id: " + std::to_string(number * tokens) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

std::string stream_body(int first, int tokens) {
    std::string text;
    for (int number = first; number <= event_count; ++number) {
        text += event_text(number, tokens);
    }
    return text;
}

// The pieces that a caller got, in order.
std::vector<int> pieces_of(const scripted_caller& caller) {
    std::vector<int> pieces;
    const auto& text = caller.received();
    const std::string mark = "data: piece ";
    for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + 1)) {
        pieces.push_back(std::stoi(text.substr(at + mark.size())));
    }
    return pieces;
}

const std::vector<int> all_pieces{1, 2, 3, 4, 5, 6};

// Two servers; the first that is asked breaks off, the second goes on as it is told to.
class breaking_rig : public serving_rig {
public:
    using answer = std::function<void(const http_request&, const session_pointer&)>;

    breaking_rig(answer first, answer second) {
        for (const auto* id : {"i-1", "i-2"}) {
            add_server(id, [this, first, second](const auto& request, const auto& session) {
                resumed_after = std::string(field_value(request.fields, "Last-Event-Id"));
                (arrivals++ == 0 ? first : second)(request, session);
            });
        }
        put_desired_state();
        start_daemon("host-1");
        is_ready = run_until_ready("host-1");
    }

    scripted_caller& ask(const std::string& path) {
        return call("host-1", request_text("POST", path, "a-1", "prompt"));
    }

    int arrivals = 0;
    std::string resumed_after;
    bool is_ready = false;
};

}  // namespace

TEST_CASE("streams whose event ids increase by more than one reach callers whole on a kept connection") {
    const int tokens = GENERATE(1, 2, 51);
    const std::string path = GENERATE("/resumable/x", "/stream/x");
    serving_rig rig;
    auto& server = rig.add_server("i-1", [&](const http_request& request, const session_pointer& session) {
        session->write(stream_head(request));
        for (int number = 1; number <= event_count; ++number) {
            session->write(chunk_of(event_text(number, tokens)));
        }
        session->write(stream_end);
    });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", path, "a-1", "prompt"));
    REQUIRE(rig.run_until([&] { return caller.received().ends_with(stream_end) || caller.ended(); }));
    CHECK(pieces_of(caller) == all_pieces);
    caller.send(request_text("POST", path, "a-2", "prompt"));
    REQUIRE(rig.run_until([&] { return pieces_of(caller).size() == 2 * event_count || caller.ended(); }));
    CHECK_FALSE(caller.ended());
    CHECK(server.requests().size() == 2);
}

TEST_CASE("a broken stream goes on after the last whole event, in any numbering") {
    const int tokens = GENERATE(1, 51);
    // Servers may send again what comes before, too.
    const int first_again = GENERATE(1, 3);
    breaking_rig rig(
        [&](const auto& request, const auto& session) {
            session->write(stream_head(request));
            session->write(chunk_of(event_text(1, tokens) + event_text(2, tokens)));
            session->write(chunk_of(event_text(3, tokens).substr(0, 12)));
            session->reset();
        },
        [&](const auto& request, const auto& session) {
            session->write(stream_head(request) + chunk_of(stream_body(first_again, tokens)) + stream_end);
        });
    REQUIRE(rig.is_ready);
    auto& caller = rig.ask("/resumable/x");
    REQUIRE(rig.run_until([&] { return caller.received().ends_with(stream_end) || caller.ended(); }));
    CHECK(pieces_of(caller) == all_pieces);
    CHECK(rig.resumed_after == std::to_string(2 * tokens));
}

TEST_CASE("a stream that its caller resumes goes on after the caller's last event") {
    breaking_rig rig(
        [](const auto& request, const auto& session) {
            session->write(stream_head(request) + chunk_of(stream_body(1, 51)) + stream_end);
        },
        {});
    REQUIRE(rig.is_ready);
    auto& caller = rig.call("host-1", request_text("POST", "/resumable/x", "a-1", "prompt", "Last-Event-Id: 204\r\n"));
    REQUIRE(rig.run_until([&] { return caller.received().ends_with(stream_end) || caller.ended(); }));
    CHECK(pieces_of(caller) == std::vector<int>{5, 6});
}

TEST_CASE("a stream is not continued after an event without an id, which would come twice") {
    const bool has_id_before = GENERATE(true, false);
    breaking_rig rig(
        [&](const auto& request, const auto& session) {
            session->write(stream_head(request));
            session->write(chunk_of((has_id_before ? event_text(1, 51) : std::string()) + "data: piece 2\n\n"));
            session->reset();
        },
        [](const auto& request, const auto& session) {
            session->write(stream_head(request) + chunk_of("data: piece 2\n\n" + event_text(3, 51)) + stream_end);
        });
    REQUIRE(rig.is_ready);
    auto& caller = rig.ask("/resumable/x");
    REQUIRE(rig.run_until([&] { return caller.received().ends_with(stream_end) || caller.ended(); }));
    CHECK(pieces_of(caller).back() == 2);
    CHECK_FALSE(caller.received().ends_with(stream_end));
    CHECK(rig.arrivals == 1);
}

TEST_CASE("a stream goes on after a comment behind its last event") {
    breaking_rig rig(
        [](const auto& request, const auto& session) {
            session->write(stream_head(request) + chunk_of(event_text(1, 51) + ": alive\n\n"));
            session->reset();
        },
        [](const auto& request, const auto& session) {
            session->write(stream_head(request) + chunk_of(stream_body(2, 51)) + stream_end);
        });
    REQUIRE(rig.is_ready);
    auto& caller = rig.ask("/resumable/x");
    REQUIRE(rig.run_until([&] { return caller.received().ends_with(stream_end) || caller.ended(); }));
    CHECK(pieces_of(caller) == all_pieces);
}
