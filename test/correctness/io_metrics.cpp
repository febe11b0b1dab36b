// Guards the text of /metrics: names, types and values that Prometheus reads.
#include <catch2/catch.hpp>

#include <cmath>
#include <iostream>

#include "metrics.hpp"

using namespace verbenahold;

TEST_CASE("metrics text holds counters, gauges and distributions") {
    metrics values;
    values.add("requests.answered", 2);
    values.add("requests.answered");
    values.set_gauge("live_members", 9);
    for (int i = 1; i <= 1000; ++i) {
        values.observe("request_seconds", i / 1000.0);
    }
    values.observe("request_seconds", std::nan(""));
    values.observe("few", 2);
    const QByteArray text = values.text();
    CHECK(
        text.contains("# TYPE verbenahold_requests_answered_total counter\n"
                      "verbenahold_requests_answered_total 3\n"));
    CHECK(text.contains("# TYPE verbenahold_live_members gauge\nverbenahold_live_members 9\n"));
    CHECK(text.contains("verbenahold_request_seconds_sum 500.5\nverbenahold_request_seconds_count 1000\n"));
    CHECK(text.contains("# TYPE verbenahold_few summary\nverbenahold_few_sum 2\nverbenahold_few_count 1\n"));
    const QByteArray label = "verbenahold_request_seconds{quantile=\"0.95\"} ";
    const qsizetype start = text.indexOf(label);
    REQUIRE(start >= 0);
    const QByteArray line = text.mid(start + label.size(), text.indexOf('\n', start) - start - label.size());
    CHECK(line.toDouble() == Approx(0.95).margin(0.02));
    std::cout << "metrics text: passed\n";
}
