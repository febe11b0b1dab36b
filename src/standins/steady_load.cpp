#include "steady_load.hpp"

#include <algorithm>

namespace verbenahold::standins {

namespace {

constexpr std::chrono::milliseconds poll_period(10);

}  // namespace

steady_load::steady_load(const test_deployment& deployment, const std::vector<std::string>& entries, completion pattern)
    : m_deployment(deployment), m_pattern(std::move(pattern)) {
    for (const std::string& entry : entries) {
        m_lanes.push_back({entry, false, {}, nullptr});
    }
    for (lane& each : m_lanes) {
        start(each);
    }
    connect(&m_timer, &QTimer::timeout, this, [this] { poll_exchanges(); });
    m_timer.start(poll_period);
}

void steady_load::start(lane& which) {
    which.request = m_pattern;
    which.request.prompt += " " + std::to_string(++m_number);
    which.exchange = m_deployment.send(which.entry, which.request);
}

void steady_load::poll_exchanges() {
    for (lane& each : m_lanes) {
        if (!each.exchange || !each.exchange->is_over()) {
            continue;
        }
        record_result(each);
        each.exchange.reset();
        if (!each.stopped) {
            start(each);
        }
    }
}

void steady_load::record_result(const lane& which) {
    if (is_expected_answer(*which.exchange, which.request)) {
        ++m_complete_answers;
        return;
    }
    m_failures.push_back(which.entry + ": status " + std::to_string(which.exchange->status()) + " " +
                         which.exchange->body().right(200).toStdString());
}

void steady_load::stop_entry(const std::string& entry) {
    for (lane& each : m_lanes) {
        each.stopped = each.stopped || each.entry == entry;
    }
}

bool steady_load::finish(std::chrono::milliseconds limit) {
    for (lane& each : m_lanes) {
        each.stopped = true;
    }
    return wait_until(
        [this] {
            return std::none_of(m_lanes.begin(), m_lanes.end(),
                                [](const lane& each) { return each.exchange != nullptr; });
        },
        limit);
}

}  // namespace verbenahold::standins
