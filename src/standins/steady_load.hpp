// Closed-loop load of a test: keeps completions running through several
// entries and starts a new one when one ends, until finish() is called.
#pragma once

#include "test_deployment.hpp"

#include <QObject>
#include <QTimer>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace verbenahold::standins {

class steady_load : public QObject {
public:
    // Runs one request at a time for each element of `entries`, which may name
    // an entry several times.
    steady_load(const test_deployment& deployment, const std::vector<std::string>& entries, completion pattern);

    // Starts no more requests through the entry.
    void stop_entry(const std::string& entry);
    // Starts no more requests and waits for those that run.
    bool finish(std::chrono::milliseconds limit);
    [[nodiscard]] int complete_answers() const { return m_complete_answers; }
    // A description of each request that ended without its complete answer.
    [[nodiscard]] const std::vector<std::string>& failures() const { return m_failures; }

private:
    struct lane {
        std::string entry;
        bool stopped = false;
        completion request;
        std::unique_ptr<http_exchange> exchange;
    };

    void poll_exchanges();
    void start(lane& which);
    void record_result(const lane& which);

    const test_deployment& m_deployment;
    completion m_pattern;
    std::vector<lane> m_lanes;
    QTimer m_timer;
    std::int64_t m_number = 0;
    int m_complete_answers = 0;
    std::vector<std::string> m_failures;
};

}  // namespace verbenahold::standins
