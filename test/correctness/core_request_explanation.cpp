// Guards against a wrong explanation of a request: log lines that are misparsed or
// out of order, or a cause that the lines don't support. The lines are taken from
// recorded benchmark runs.
#include "request_explanation.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold::serving;

namespace {

constexpr std::string_view late_sent =
    "   14.3070 front-b-2 2026-05-31 21:59:05,307 INFO  forwarded request=r1 server=i-76 attempt=1 "
    "helpers=\"i-ca,i-81\" tokens=221189 part_ms=958.5 predicted_ms=1023.8 left_ms=13310.5";
constexpr std::string_view late_event =
    "   16.1990 front-b-2 2026-05-31 21:59:07,199 INFO  first event request=r1 server=i-76 took_ms=1892.4 "
    "predicted_ms=1023.8";
constexpr std::string_view late_end =
    "   16.5780 front-b-2 2026-05-31 21:59:07,578 INFO  ended request=r1 route=r-k outcome=answered status=200 "
    "reason=\"stream complete\" took_ms=2271.9 tokens=221189 sent=1 state_version=20";
constexpr std::string_view other_sent =
    "   14.9000 front-a-1 2026-05-31 21:59:05,900 INFO  forwarded request=r2 server=i-99 attempt=1 helpers=\"i-76\" "
    "tokens=154000 part_ms=1484.0 predicted_ms=1500.0 left_ms=9000.0";

std::vector<parsed_log_line> parse(std::initializer_list<std::string_view> texts) {
    std::vector<parsed_log_line> lines;
    for (const auto text : texts) {
        lines.push_back(parse_log_line(text, "file"));
    }
    return lines;
}

bool mentions(const std::string& text, std::string_view part) {
    return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a line is parsed with and without a host in front, and with spaces in values") {
    const auto line = parse_log_line(late_end, "file");
    CHECK(line.host == "front-b-2");
    CHECK(line.time == "2026-05-31 21:59:07,578");
    CHECK(line.level == "INFO");
    CHECK(line.event == "ended");
    CHECK(line.value("reason") == "stream complete");
    CHECK(line.value("status") == "200");
    CHECK(line.value("nothing").empty());
    const auto plain = parse_log_line("2026-05-31 21:59:07,578 WARN  server entry gone server=i-76 version=9", "f");
    CHECK(plain.host == "f");
    CHECK(plain.event == "server entry gone");
    CHECK(plain.value("server") == "i-76");
    CHECK(parse_log_line("built in 3 s", "f").event.empty());
    CHECK(parse_log_line("", "f").event.empty());
}

TEST_CASE("a late answer is explained by the other requests of its server") {
    // Lines of several hosts are not in order of time.
    const auto story = explain_outcome(parse({late_end, other_sent, late_event, late_sent}), "r1");
    REQUIRE(story.lines.size() == 3);
    CHECK(story.lines.front().event == "forwarded");
    CHECK(mentions(story.cause, "the first event took 1892 ms where 1023 ms were predicted"));
    CHECK(mentions(story.cause, "server i-76 was given 1 other requests within 3 s"));
    CHECK(mentions(story.cause, "1484 ms"));
    CHECK(mentions(describe(story), "+1892 ms front-b-2 first event"));
}

TEST_CASE("the cause of a refusal says that the request did not run, and why") {
    const auto story = explain_outcome(
        parse(
            {"   19.4034 front-b-1 2026-05-31 21:59:09,403 WARN  ended request=r3 route=r-k outcome=refused "
             "status=503 reason=\"reading the prompt now would make others late\" took_ms=381.1 tokens=294285 sent=0"}),
        "r3");
    CHECK(story.cause == "refused after 381 ms, not run: reading the prompt now would make others late");
}

TEST_CASE("the cause of a broken stream names the server at fault and its other failures") {
    const auto story = explain_outcome(
        parse({"2026-05-31 21:59:10,000 INFO  forwarded request=r4 server=i-1 attempt=1 tokens=4000 predicted_ms=90.0",
               "2026-05-31 21:59:12,000 WARN  attempt failed request=r4 server=i-1 at_fault=i-2 "
               "reason=\"the server is silent\" status=200",
               "2026-05-31 21:59:12,100 WARN  attempt failed request=r5 server=i-2 at_fault=i-2 reason=x status=0",
               "2026-05-31 21:59:12,500 INFO  server entry gone server=i-2 version=9",
               "2026-05-31 21:59:13,000 WARN  ended request=r4 outcome=\"cut off\" status=0 reason=\"out of time\" "
               "took_ms=3000.0"}),
        "r4");
    CHECK(mentions(story.cause, "cut off after 3000 ms: out of time"));
    CHECK(mentions(story.cause, "server i-2: the server is silent, server entry gone at 21:59:12,500"));
    CHECK(mentions(story.cause, "(1 other requests failed there within 3 s)"));
}

TEST_CASE("missing lines of a request are reported") {
    CHECK(mentions(explain_outcome(parse({late_sent}), "r1").cause, "no line tells its end"));
    const auto unknown = explain_outcome(parse({late_sent}), "r9");
    CHECK(unknown.lines.empty());
    CHECK(describe(unknown) == "no line names this request\n");
    CHECK(explain_outcome(parse({"2026-05-31 21:59:12,500 INFO  server entry gone server=i-2"}), "").lines.empty());
}
