#include "load_plan.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace verbenahold::standins {

namespace {

using generator = std::mt19937_64;

// Uniform in (0, 1]. Written out because std::uniform_real_distribution may
// differ between standard libraries, and a seed must always give the same plan.
double draw_unit(generator& random) {
    constexpr double steps = 9007199254740992.0;  // 2^53
    return (static_cast<double>(random() >> 11U) + 1) / steps;
}

std::int64_t draw_log_uniform(std::int64_t least, std::int64_t most, generator& random) {
    if (most <= least) {
        return most;
    }
    const double low = std::log(static_cast<double>(least));
    const double high = std::log(static_cast<double>(most));
    return std::llround(std::exp(low + (high - low) * draw_unit(random)));
}

std::int64_t draw_length(const load_settings& settings, generator& random) {
    const bool huge = draw_unit(random) <= settings.huge_share;
    const std::int64_t least = huge ? huge_prompt_tokens + 1 : min_prompt_tokens;
    const std::int64_t most =
        huge ? settings.max_prompt_tokens : std::min(huge_prompt_tokens, settings.max_prompt_tokens);
    return draw_log_uniform(std::min(least, most), most, random);
}

std::size_t draw_account(const load_settings& settings, generator& random) {
    double total = 0;
    for (const load_account& account : settings.accounts) {
        total += account.weight;
    }
    double mark = total * draw_unit(random);
    for (std::size_t index = 0; index < settings.accounts.size(); ++index) {
        mark -= settings.accounts[index].weight;
        if (mark <= 0) {
            return index;
        }
    }
    return settings.accounts.size() - 1;
}

load_kind draw_kind(const load_settings& settings, generator& random) {
    const double mark = draw_unit(random);
    if (mark <= settings.order_share) {
        return load_kind::order;
    }
    return mark <= settings.order_share + settings.lookup_share ? load_kind::lookup : load_kind::completion;
}

// Appends letters, eight from each random number; every fourth is a space.
void append_letters(std::string& text, std::size_t size, generator random) {
    constexpr unsigned letters = 26;
    while (text.size() < size) {
        std::uint64_t number = random();
        for (unsigned count = 0; count < 8 && text.size() < size; ++count) {
            const bool space = text.size() % 4 == 3;
            text += space ? ' ' : static_cast<char>('a' + (number & 0xffU) % letters);
            number >>= 8U;
        }
    }
}

}  // namespace

std::vector<planned_request> make_plan(const load_settings& settings) {
    generator random(settings.seed);
    std::vector<planned_request> plan;
    const double end = std::chrono::duration<double>(settings.length).count();
    for (double at = 0;;) {
        at -= std::log(draw_unit(random)) / settings.rate;
        if (at >= end) {
            return plan;
        }
        planned_request request;
        request.at = std::chrono::duration_cast<duration>(std::chrono::duration<double>(at));
        request.account = draw_account(settings, random);
        request.kind = draw_kind(settings, random);
        request.seed = random();
        const std::int64_t length = draw_length(settings, random);
        const std::int64_t output =
            draw_log_uniform(std::min<std::int64_t>(8, settings.max_output_tokens), settings.max_output_tokens, random);
        request.deadline = settings.deadline;
        if (request.kind == load_kind::completion) {
            request.prompt_tokens = length;
            request.output_tokens = output;
            request.deadline = length > huge_prompt_tokens ? settings.huge_deadline : settings.deadline;
        }
        if (request.prompt_tokens <= settings.drop_above_tokens) {
            plan.push_back(request);
        }
    }
}

std::string make_prompt(const planned_request& request, std::int64_t shared_prefix_tokens) {
    const auto size = static_cast<std::size_t>(request.prompt_tokens) * 4;
    std::string prompt;
    prompt.reserve(size);
    append_letters(prompt, std::min(size, static_cast<std::size_t>(shared_prefix_tokens) * 4),
                   generator(request.account));
    append_letters(prompt, size, generator(request.seed));
    return prompt;
}

}  // namespace verbenahold::standins
