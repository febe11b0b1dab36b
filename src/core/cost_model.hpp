// Predicts the output tokens of a request by service and account, and prefill
// and inter-token times by service, from completed requests. Also assigns
// prompts to length classes.
#pragma once

#include "verbenahold/messages.hpp"

#include <array>
#include <unordered_map>

namespace verbenahold {

// Upper limits of the length classes, in uncached prompt tokens.
inline constexpr std::int64_t max_short_prompt_tokens = 4'096;
inline constexpr std::int64_t max_medium_prompt_tokens = 32'768;

// Very long prompts are those that do not fit the KV memory of one engine with
// their output.
length_class classify_length(std::int64_t uncached_tokens, std::int64_t total_tokens, std::int64_t kv_capacity_tokens);

// Estimates used before any sample. 10,000 prefilled tokens a second is slow for
// an engine, so the first predictions are on the safe side. The gap is the
// inter-token latency that capacity is planned for.
inline constexpr duration initial_prefill_per_token = std::chrono::microseconds(100);
inline constexpr duration initial_token_gap = std::chrono::milliseconds(56);

class cost_model {
public:
    // Tokens that the request is unlikely to exceed, at most max_tokens.
    [[nodiscard]] std::int64_t predict_output(const service_name& service, const account_name& account,
                                              std::int64_t max_tokens) const;
    // Prefill time of uncached tokens on an engine without other load.
    [[nodiscard]] duration predict_prefill(const service_name& service, std::int64_t uncached_tokens) const;
    // Mean inter-token latency.
    [[nodiscard]] duration predict_token_gap(const service_name& service) const;

    void on_output(const service_name& service, const account_name& account, std::int64_t output_tokens);
    void on_prefill(const service_name& service, std::int64_t uncached_tokens, duration taken);
    void on_token_gap(const service_name& service, duration gap);

private:
    // Exponential moving averages of a value and of its absolute deviation.
    struct average {
        double mean = 0;
        double deviation = 0;
        bool has_samples = false;
        void add(double value);
    };
    // Least-squares fit of prefill time to tokens: a fixed time per request and a
    // time per token. The sums decay with each sample.
    struct prefill_fit {
        double weight = 0;
        double tokens = 0;
        double seconds = 0;
        double tokens_squared = 0;
        double tokens_seconds = 0;

        void add(double sample_tokens, double sample_seconds);
        [[nodiscard]] double predict(double wanted_tokens) const;
    };
    struct service_costs {
        // One fit for each length class, since prefill slows down with length.
        std::array<prefill_fit, 3> prefill;
        average token_gap;
        average output;
        std::unordered_map<account_name, average> output_by_account;
    };

    static std::size_t prefill_class(std::int64_t uncached_tokens);

    std::unordered_map<service_name, service_costs> m_services;
};

}  // namespace verbenahold
