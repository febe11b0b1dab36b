// Predicts the output tokens and the times of a request from completed ones,
// by service and account, and sorts prompts into length classes.
#pragma once

#include "verbenahold/messages.hpp"

namespace verbenahold {

// Largest uncached prompts of each class, in tokens.
inline constexpr std::int64_t short_limit_tokens = 4'096;
inline constexpr std::int64_t medium_limit_tokens = 32'768;

// Very long: does not fit the KV memory of one engine.
length_class classify(std::int64_t uncached_tokens, std::int64_t total_tokens, std::int64_t kv_capacity_tokens);

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
};

}  // namespace verbenahold
