// What verbenahold-load sends and when: an open-loop plan that depends on the
// settings and the seed only.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace verbenahold::standins {

// The weight is the account's share of the requests.
struct load_account {
    std::string key;
    double weight = 1;
};

// Writes an availability_zone record at a time after the start.
struct zone_event {
    duration at{};
    std::string zone;
    // "in" or "out".
    std::string state;
};

struct load_settings {
    // Addresses "IP:port" of entries that are asked for the list of entries.
    std::vector<std::string> entries;
    // Zone that the callers say they are in; may be empty.
    std::string zone;
    std::vector<load_account> accounts;
    std::string model;
    std::string service;
    // Requests a second, on average.
    double rate = 10;
    duration length = std::chrono::seconds(30);
    std::uint64_t seed = 1;
    // Shares of the requests; the rest are completions.
    double order_share = 0.03;
    double lookup_share = 0.05;
    // Share of the completions with prompts above huge_prompt_tokens.
    double huge_share = 0.02;
    // Upper limit of the prompt lengths, in tokens.
    std::int64_t max_prompt_tokens = 1'000'000;
    // Completions with longer prompts are left out of the plan while all other
    // requests stay the same, to compare a load with and without long prompts.
    std::int64_t drop_above_tokens = 1'000'000;
    // Prompts of one account begin with the same tokens.
    std::int64_t shared_prefix_tokens = 1'024;
    std::int64_t max_output_tokens = 64;
    duration deadline = std::chrono::seconds(30);
    duration huge_deadline = std::chrono::seconds(300);
    std::vector<std::string> controls;
    std::string operator_key;
    std::vector<zone_event> zone_events;
    // Addresses of the fake services whose statistics show doubled orders.
    std::vector<std::string> service_addresses;
    std::string json_file;
    std::string svg_file;
};

inline constexpr std::int64_t min_prompt_tokens = 1'000;
inline constexpr std::int64_t huge_prompt_tokens = 100'000;

enum class load_kind : std::uint8_t { completion, order, lookup };

struct planned_request {
    duration at{};
    load_kind kind = load_kind::completion;
    std::size_t account = 0;
    std::uint64_t seed = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;
    duration deadline{};
};

// Poisson arrivals, ordered by time.
std::vector<planned_request> make_plan(const load_settings& settings);

// Text of exactly prompt_tokens * 4 lower-case letters and spaces.
std::string make_prompt(const planned_request& request, std::int64_t shared_prefix_tokens);

}  // namespace verbenahold::standins
