// Counters, gauges and distributions of one process, exported in the Prometheus
// text format.
#pragma once

#include <QByteArray>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace verbenahold {

class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    // Adds to a counter. Names have no prefix, as in "requests_refused".
    void add(std::string_view name, std::int64_t amount = 1);
    // Sets a counter whose value is counted elsewhere.
    void set_counter(std::string_view name, std::int64_t value);
    void set_gauge(std::string_view name, double value);
    // Adds a sample to a distribution.
    void observe(std::string_view name, double sample);
    [[nodiscard]] std::int64_t counter(std::string_view name) const;

    // All values, each name prefixed with "verbenahold_". Distributions are
    // exported as summaries with estimated quantiles, which are omitted until
    // there are enough samples for an estimate.
    [[nodiscard]] QByteArray text() const;

private:
    struct distribution;

    std::map<std::string, std::int64_t, std::less<>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
    std::map<std::string, std::unique_ptr<distribution>, std::less<>> m_distributions;
};

}  // namespace verbenahold
