// Guards against parts of a stream that are lost, duplicated or split when an
// answer ends in the middle of an event.
#include "event_splitter.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold::serving;

TEST_CASE("events are complete and in order however the bytes are split") {
    const std::string bytes = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\ndata: c\n\n";
    for (std::size_t cut = 1; cut <= bytes.size(); ++cut) {
        event_splitter splitter;
        std::string joined;
        std::vector<std::optional<std::int64_t>> ids;
        for (std::size_t begin = 0; begin < bytes.size(); begin += cut) {
            for (const auto& event : splitter.feed(std::string_view(bytes).substr(begin, cut))) {
                joined += event.bytes;
                ids.push_back(event.id);
            }
        }
        CHECK(joined == bytes);
        REQUIRE(ids.size() == 4);
        CHECK(ids[0] == 1);
        CHECK(ids[1] == 2);
        CHECK_FALSE(ids[2]);
        CHECK(splitter.pending() == 0);
    }
}

TEST_CASE("an incomplete event is held back") {
    event_splitter splitter;
    CHECK(splitter.feed("id: 1\ndata: a\n").empty());
    CHECK(splitter.pending() > 0);
    splitter.reset();
    CHECK(splitter.pending() == 0);
    CHECK(splitter.feed("id: 2\n\n").size() == 1);
}

TEST_CASE("an event beyond the maximum length is detected") {
    event_splitter splitter;
    splitter.feed(std::string(event_splitter::max_event_bytes + 1, 'x'));
    CHECK(splitter.overflowed());
}

TEST_CASE("comments alone are told from events with data") {
    event_splitter splitter;
    const auto events = splitter.feed(": alive\n\nid: 51\ndata: a\n\ndata\n\n");
    REQUIRE(events.size() == 3);
    CHECK_FALSE(events[0].has_data);
    CHECK((events[1].has_data && events[1].id == 51));
    CHECK((events[2].has_data && !events[2].id));
}
