#include "journal.hpp"

#include "coroutines.hpp"

#include <limits>

namespace verbenahold::soak {

const std::vector<request_kind>& request_kinds() {
    static const std::vector<request_kind> kinds{
        {"chat", "llm", true, true, 10'000, 4'960, 33, 0.55},
        {"review", "llm", true, true, 10'000, 45'000, 20, 0.05},
        {"compare", "llm", true, true, 15'000, 154'000, 16, 0.04},
        {"once", "llm", true, false, 15'000, 4'960, 20, 0.11},
        {"order", "shop", false, false, 1'000, 0, 0, 0.14},
        {"status", "shop", false, true, 1'000, 0, 0, 0.11},
    };
    return kinds;
}

void journal::note(const std::string& text) {
    events.emplace_back(now_ms(), text);
}

std::size_t open_span(std::vector<time_span>& spans, const std::string& what) {
    spans.push_back({now_ms(), std::numeric_limits<double>::max(), what});
    return spans.size() - 1;
}

void close_span(std::vector<time_span>& spans, std::size_t which) {
    spans[which].to = now_ms();
}

}  // namespace verbenahold::soak
