#include "cost_model.hpp"

#include <algorithm>
#include <cmath>

namespace verbenahold {

namespace {

// Weight of a new sample in an average. About the last 20 samples count.
constexpr double sample_weight = 0.1;
// Output lengths vary widely, and a prediction that is too low reserves too
// little KV memory. Two mean deviations above the mean cover most requests.
constexpr double deviations_above_mean = 2;

duration to_duration(double seconds) {
    return std::chrono::round<duration>(std::chrono::duration<double>(seconds));
}

// A slope is fitted if the standard deviation of the samples' token counts is
// more than this fraction of their mean.
constexpr double min_relative_spread = 0.1;

double to_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

}  // namespace

length_class classify_length(std::int64_t uncached_tokens, std::int64_t total_tokens, std::int64_t kv_capacity_tokens) {
    if (total_tokens > kv_capacity_tokens) {
        return length_class::very_long_prompt;
    }
    if (uncached_tokens <= max_short_prompt_tokens) {
        return length_class::short_prompt;
    }
    return uncached_tokens <= max_medium_prompt_tokens ? length_class::medium_prompt : length_class::long_prompt;
}

void cost_model::average::add(double value) {
    if (!has_samples) {
        mean = value;
        // Half of the first sample, as RFC 6298 does for round-trip times.
        deviation = value / 2;
        has_samples = true;
        return;
    }
    deviation += sample_weight * (std::abs(value - mean) - deviation);
    mean += sample_weight * (value - mean);
}

void cost_model::prefill_fit::add(double sample_tokens, double sample_seconds) {
    const double kept = 1 - sample_weight;
    weight = kept * weight + 1;
    tokens = kept * tokens + sample_tokens;
    seconds = kept * seconds + sample_seconds;
    tokens_squared = kept * tokens_squared + sample_tokens * sample_tokens;
    tokens_seconds = kept * tokens_seconds + sample_tokens * sample_seconds;
}

double cost_model::prefill_fit::predict(double wanted_tokens) const {
    const double mean_tokens = tokens / weight;
    const double mean_seconds = seconds / weight;
    const double variance = tokens_squared / weight - mean_tokens * mean_tokens;
    const double covariance = tokens_seconds / weight - mean_tokens * mean_seconds;
    // Samples of nearly equal length do not determine the slope. Without the
    // upper limit, the fixed cost of tiny prompts would be taken for a low
    // prefill speed.
    const double min_spread = min_relative_spread * mean_tokens;
    double slope = std::min(to_seconds(initial_prefill_per_token), mean_seconds / mean_tokens);
    if (variance > min_spread * min_spread && covariance > 0) {
        slope = covariance / variance;
    }
    const double fixed = std::max(0.0, mean_seconds - slope * mean_tokens);
    return fixed + slope * wanted_tokens;
}

std::size_t cost_model::prefill_class(std::int64_t uncached_tokens) {
    if (uncached_tokens <= max_short_prompt_tokens) {
        return 0;
    }
    return uncached_tokens <= max_medium_prompt_tokens ? 1 : 2;
}

std::int64_t cost_model::predict_output(const service_name& service, const account_name& account,
                                        std::int64_t max_tokens) const {
    const auto costs = m_services.find(service);
    if (costs == m_services.end() || !costs->second.output.has_samples) {
        return max_tokens;
    }
    const auto own = costs->second.output_by_account.find(account);
    const average& output = own == costs->second.output_by_account.end() ? costs->second.output : own->second;
    const double predicted = std::ceil(output.mean + deviations_above_mean * output.deviation);
    if (predicted >= static_cast<double>(max_tokens)) {
        return max_tokens;
    }
    return std::max(std::min<std::int64_t>(1, max_tokens), static_cast<std::int64_t>(predicted));
}

duration cost_model::predict_prefill(const service_name& service, std::int64_t uncached_tokens) const {
    const auto tokens = static_cast<double>(std::max<std::int64_t>(0, uncached_tokens));
    const auto costs = m_services.find(service);
    if (costs != m_services.end()) {
        // Uses the own class or else the nearest one with samples, first among
        // the shorter classes, then among the longer ones.
        const auto wanted = static_cast<std::ptrdiff_t>(prefill_class(uncached_tokens));
        for (const std::ptrdiff_t offset : {0, -1, -2, 1, 2}) {
            const std::ptrdiff_t index = wanted + offset;
            if (index < 0 || index >= std::ssize(costs->second.prefill)) {
                continue;
            }
            const prefill_fit& fit = costs->second.prefill.at(static_cast<std::size_t>(index));
            if (fit.weight > 0) {
                return to_duration(fit.predict(tokens));
            }
        }
    }
    return to_duration(to_seconds(initial_prefill_per_token) * tokens);
}

duration cost_model::predict_token_gap(const service_name& service) const {
    const auto costs = m_services.find(service);
    if (costs == m_services.end() || !costs->second.token_gap.has_samples) {
        return initial_token_gap;
    }
    return to_duration(costs->second.token_gap.mean);
}

void cost_model::on_output(const service_name& service, const account_name& account, std::int64_t output_tokens) {
    service_costs& costs = m_services[service];
    costs.output.add(static_cast<double>(output_tokens));
    costs.output_by_account[account].add(static_cast<double>(output_tokens));
}

void cost_model::on_prefill(const service_name& service, std::int64_t uncached_tokens, duration taken) {
    if (uncached_tokens <= 0 || taken < duration::zero()) {
        return;
    }
    m_services[service]
        .prefill.at(prefill_class(uncached_tokens))
        .add(static_cast<double>(uncached_tokens), to_seconds(taken));
}

void cost_model::on_token_gap(const service_name& service, duration gap) {
    if (gap < duration::zero()) {
        return;
    }
    m_services[service].token_gap.add(to_seconds(gap));
}

}  // namespace verbenahold
