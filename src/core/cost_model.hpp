// Predicts the output tokens and the times of a request from completed ones,
// by service and account, and sorts prompts into length classes.
#pragma once

#include "verbenahold/messages.hpp"

#include <array>
#include <unordered_map>

namespace verbenahold {

// Largest uncached prompts of each class, in tokens.
inline constexpr std::int64_t short_limit_tokens = 4'096;
inline constexpr std::int64_t medium_limit_tokens = 32'768;

// Very long: does not fit the KV memory of one engine.
length_class classify(std::int64_t uncached_tokens, std::int64_t total_tokens, std::int64_t kv_capacity_tokens);

// Guesses before anything has completed. 10,000 prefilled tokens a second is
// slow for an engine, so the first requests are not promised too much; the gap
// is the time between tokens that the two-year plan asks for.
inline constexpr duration first_prefill_per_token = std::chrono::microseconds(100);
inline constexpr duration first_token_gap = std::chrono::milliseconds(56);

class cost_model {
public:
    // Tokens that the request will probably generate, at most max_tokens.
    [[nodiscard]] std::int64_t predict_output(const service_name& service, const account_name& account,
                                              std::int64_t max_tokens) const;
    // Prefill time of uncached tokens on an engine that does nothing else.
    [[nodiscard]] duration predict_prefill(const service_name& service, std::int64_t uncached_tokens) const;
    // Time between two tokens at ordinary load.
    [[nodiscard]] duration predict_token_gap(const service_name& service) const;

    void on_output(const service_name& service, const account_name& account, std::int64_t output_tokens);
    void on_prefill(const service_name& service, std::int64_t uncached_tokens, duration taken);
    void on_token_gap(const service_name& service, duration gap);

private:
    // Exponential averages of a value and of its distance from the average.
    struct average {
        double mean = 0;
        double deviation = 0;
        bool known = false;
        void add(double value);
    };
    // Least-squares line of prefill time over tokens, from sums that decay
    // with each sample: a fixed cost per request and a cost per token.
    struct prefill_line {
        double weight = 0;
        double tokens = 0;
        double seconds = 0;
        double tokens_squared = 0;
        double tokens_seconds = 0;

        void add(double sample_tokens, double sample_seconds);
        [[nodiscard]] double predict(double wanted_tokens) const;
    };
    struct service_costs {
        // Prefill slows down with length, so each length class has its own.
        std::array<prefill_line, 3> prefill;
        average token_gap;
        average output;
        std::unordered_map<account_name, average> output_by_account;
    };

    static std::size_t speed_class(std::int64_t uncached_tokens);

    std::unordered_map<service_name, service_costs> m_services;
};

}  // namespace verbenahold
