#include "steady_load.hpp"

#include <algorithm>

namespace verbenahold::standins {

namespace {

constexpr std::chrono::milliseconds look_period(10);

}  // namespace

steady_load::steady_load(const test_deployment& deployment, const std::vector<std::string>& entries, completion pattern)
    : m_deployment(deployment), m_pattern(std::move(pattern)) {
    for (const std::string& entry : entries) {
        m_lanes.push_back({entry, false, {}, nullptr});
    }
    for (lane& each : m_lanes) {
        start(each);
    }
    connect(&m_timer, &QTimer::timeout, this, [this] { look(); });
    m_timer.start(look_period);
}

void steady_load::start(lane& which) {
    which.request = m_pattern;
    which.request.prompt += " " + std::to_string(++m_number);
    which.exchange = m_deployment.send(which.entry, which.request);
}

void steady_load::look() {
    for (lane& each : m_lanes) {
        if (!each.exchange || !each.exchange->is_over()) {
            continue;
        }
        judge(each);
        each.exchange.reset();
        if (!each.stopped) {
            start(each);
        }
    }
}

void steady_load::judge(const lane& which) {
    if (is_whole(*which.exchange, which.request)) {
        ++m_whole;
        return;
    }
    m_faults.push_back(which.entry + ": status " + std::to_string(which.exchange->status()) + " " +
                       which.exchange->body().right(200).toStdString());
}

void steady_load::leave(const std::string& entry) {
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
