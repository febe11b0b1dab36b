#include "metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cmath>

namespace verbenahold {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.95, 0.99};
// The extended P-square estimate needs one sample for each of its markers.
constexpr std::size_t samples_for_estimate = 2 * quantiles.size() + 3;

// Adds the prefix and replaces characters that metric names may not contain by
// '_'.
QByteArray full_name(std::string_view name) {
    QByteArray text = "verbenahold_";
    for (const char letter : name) {
        text += std::isalnum(static_cast<unsigned char>(letter)) != 0 ? letter : '_';
    }
    return text;
}

QByteArray number_text(double value) {
    if (std::isnan(value)) {
        return "NaN";
    }
    return QByteArray::number(value, 'g', 12);
}

void append_line(QByteArray& text, const QByteArray& name, const QByteArray& value) {
    text += name + ' ' + value + '\n';
}

void append_type(QByteArray& text, const QByteArray& name, const char* type) {
    text += "# TYPE " + name + ' ' + type + '\n';
}

}  // namespace

struct metrics::distribution {
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>> samples{
        acc::extended_p_square_probabilities = quantiles};
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::add(std::string_view name, std::int64_t amount) {
    auto found = m_counters.find(name);
    if (found == m_counters.end()) {
        found = m_counters.emplace(std::string(name), 0).first;
    }
    found->second += amount;
}

void metrics::set_counter(std::string_view name, std::int64_t value) {
    m_counters[std::string(name)] = value;
}

void metrics::set_gauge(std::string_view name, double value) {
    m_gauges[std::string(name)] = value;
}

void metrics::observe(std::string_view name, double sample) {
    if (!std::isfinite(sample)) {
        return;
    }
    auto found = m_distributions.find(name);
    if (found == m_distributions.end()) {
        found = m_distributions.emplace(std::string(name), std::make_unique<distribution>()).first;
    }
    found->second->samples(sample);
}

std::int64_t metrics::counter(std::string_view name) const {
    const auto found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second;
}

QByteArray metrics::text() const {
    QByteArray text;
    for (const auto& [name, value] : m_counters) {
        const QByteArray full = full_name(name) + "_total";
        append_type(text, full, "counter");
        append_line(text, full, QByteArray::number(static_cast<qint64>(value)));
    }
    for (const auto& [name, value] : m_gauges) {
        append_type(text, full_name(name), "gauge");
        append_line(text, full_name(name), number_text(value));
    }
    for (const auto& [name, held] : m_distributions) {
        const QByteArray full = full_name(name);
        append_type(text, full, "summary");
        const auto count = acc::count(held->samples);
        for (std::size_t i = 0; i < quantiles.size() && count >= samples_for_estimate; ++i) {
            append_line(text, full + "{quantile=\"" + number_text(quantiles[i]) + "\"}",
                        number_text(acc::extended_p_square(held->samples)[static_cast<std::ptrdiff_t>(i)]));
        }
        append_line(text, full + "_sum", number_text(acc::sum(held->samples)));
        append_line(text, full + "_count", QByteArray::number(static_cast<quint64>(count)));
    }
    return text;
}

}  // namespace verbenahold
