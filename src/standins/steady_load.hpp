// Completions that a test keeps running through several entries: each ended
// one is followed by a new one until the load is told to finish.
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
    // One request at a time runs for each mention of an entry in `entries`.
    steady_load(const test_deployment& deployment, const std::vector<std::string>& entries, completion pattern);

    // Starts no more requests through the entry.
    void leave(const std::string& entry);
    // Starts no more requests and waits for those that run.
    bool finish(std::chrono::milliseconds limit);
    [[nodiscard]] int whole() const { return m_whole; }
    // What was wrong with each request that did not end in its whole answer.
    [[nodiscard]] const std::vector<std::string>& faults() const { return m_faults; }

private:
    struct lane {
        std::string entry;
        bool stopped = false;
        completion request;
        std::unique_ptr<http_exchange> exchange;
    };

    void look();
    void start(lane& which);
    void judge(const lane& which);

    const test_deployment& m_deployment;
    completion m_pattern;
    std::vector<lane> m_lanes;
    QTimer m_timer;
    std::int64_t m_number = 0;
    int m_whole = 0;
    std::vector<std::string> m_faults;
};

}  // namespace verbenahold::standins
