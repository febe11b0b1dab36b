#include "request_explanation.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace verbenahold::serving {

namespace {

constexpr std::array<std::string_view, 4> levels{"DEBUG", "INFO", "WARN", "ERROR"};
// "YYYY-MM-DD HH:MM:SS,mmm".
constexpr std::size_t time_length = 23;
// Delay beyond the predicted time from which a late first event is explained.
constexpr double notable_delay_ms = 100;
// Log lines within this time before or after a failure are considered as its cause.
constexpr double explaining_window_ms = 3'000;

bool is_time(std::string_view text) {
    return text.size() >= time_length && text[4] == '-' && text[7] == '-' && text[10] == ' ' && text[13] == ':' &&
           text[19] == ',';
}

double number_of(std::string_view text) {
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// Milliseconds since midnight.
double time_of_day_ms(const parsed_log_line& line) {
    const std::string_view time = line.time;
    if (!is_time(time)) {
        return 0;
    }
    return ((number_of(time.substr(11, 2)) * 60 + number_of(time.substr(14, 2))) * 60 + number_of(time.substr(17, 2))) *
               1'000 +
           number_of(time.substr(20, 3));
}

// Reads `name=value` and `name="a value"`.
std::vector<std::pair<std::string, std::string>> read_fields(std::string_view text) {
    std::vector<std::pair<std::string, std::string>> fields;
    while (!text.empty()) {
        const auto equals = text.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        const auto name = text.substr(0, equals);
        text.remove_prefix(equals + 1);
        const bool quoted = !text.empty() && text.front() == '"';
        text.remove_prefix(quoted ? 1 : 0);
        const auto end = std::min(text.find(quoted ? '"' : ' '), text.size());
        fields.emplace_back(name, text.substr(0, end));
        text.remove_prefix(std::min(text.size(), end + 1));
        text.remove_prefix(std::min(text.size(), text.find_first_not_of(' ')));
    }
    return fields;
}

std::string rounded(std::string_view milliseconds) {
    return std::string(milliseconds.substr(0, milliseconds.find('.')));
}

// The last line with this event name; null if there is none.
const parsed_log_line* last_line_of(std::span<const parsed_log_line> lines, std::string_view event) {
    const auto found =
        std::find_if(lines.rbegin(), lines.rend(), [&](const parsed_log_line& line) { return line.event == event; });
    return found == lines.rend() ? nullptr : &*found;
}

class cause_finder {
public:
    cause_finder(std::span<const parsed_log_line> all, std::span<const parsed_log_line> own) : m_all(all), m_own(own) {}

    std::string cause() const {
        const auto* ended = last_line_of(m_own, "ended");
        if (ended == nullptr) {
            return "no line tells its end: its daemon ended first, or later lines are missing";
        }
        const auto outcome = ended->value("outcome");
        std::string text;
        if (outcome == "answered") {
            text = "answered after " + rounded(ended->value("took_ms")) + " ms" + describe_delay();
        } else if (outcome == "cancelled") {
            text = "the caller left after " + rounded(ended->value("took_ms")) + " ms" + describe_delay();
        } else if (outcome == "refused") {
            text = "refused after " + rounded(ended->value("took_ms")) +
                   " ms, not run: " + std::string(ended->value("reason"));
        } else {
            text = std::string(outcome) + " after " + rounded(ended->value("took_ms")) +
                   " ms: " + std::string(ended->value("reason")) + describe_delay();
        }
        return text + describe_failures();
    }

private:
    // Explains a first event that was late or missing; empty otherwise.
    [[nodiscard]] std::string describe_delay() const {
        const auto* first = last_line_of(m_own, "first event");
        const auto* sent = last_line_of(m_own, "forwarded");
        const auto* line = first != nullptr ? first : sent;
        if (line == nullptr) {
            return {};
        }
        const bool is_prompt = number_of(sent != nullptr ? sent->value("tokens") : std::string_view()) > 0;
        if (first == nullptr && !is_prompt) {
            return "; the last server asked was " + std::string(line->value("server"));
        }
        const double predicted = number_of(line->value("predicted_ms"));
        if (first != nullptr && number_of(first->value("took_ms")) < predicted + notable_delay_ms) {
            return {};
        }
        const std::string server(line->value("server"));
        std::string text = first != nullptr
                               ? "; the first event took " + rounded(first->value("took_ms")) + " ms where " +
                                     rounded(first->value("predicted_ms")) + " ms were predicted"
                               : "; no event came";
        return text + concurrent_requests(server, sent != nullptr ? time_of_day_ms(*sent) : time_of_day_ms(*line));
    }

    // Other requests that the server got shortly before or after.
    [[nodiscard]] std::string concurrent_requests(const std::string& server, double at_ms) const {
        int requests = 0;
        double max_part_ms = 0;
        for (const auto& line : m_all) {
            const double apart = std::abs(time_of_day_ms(line) - at_ms);
            const bool own = !m_own.empty() && line.value("request") == m_own.front().value("request");
            if (own || line.event != "forwarded" || apart > explaining_window_ms) {
                continue;
            }
            const auto helpers = line.value("helpers");
            if (line.value("server") == server || helpers.find(server) != std::string_view::npos) {
                ++requests;
                max_part_ms = std::max(max_part_ms, number_of(line.value("part_ms")));
            }
        }
        return "; server " + server + " was given " + std::to_string(requests) +
               " other requests within 3 s, the longest part read in " + std::to_string(static_cast<int>(max_part_ms)) +
               " ms";
    }

    // The failed attempts, with related log lines about their servers.
    [[nodiscard]] std::string describe_failures() const {
        std::string text;
        for (const auto& line : m_own) {
            if (line.event != "attempt failed") {
                continue;
            }
            const auto at_fault = line.value("at_fault").empty() ? line.value("server") : line.value("at_fault");
            text += "; server " + std::string(at_fault) + ": " + std::string(line.value("reason")) +
                    related_events(at_fault, time_of_day_ms(line));
        }
        return text;
    }

    [[nodiscard]] std::string related_events(std::string_view server, double at_ms) const {
        std::set<std::string> others;
        std::string text;
        for (const auto& line : m_all) {
            const bool near = std::abs(time_of_day_ms(line) - at_ms) <= explaining_window_ms;
            if (!near || line.value("server") != server) {
                continue;
            }
            const bool own = line.value("request") == m_own.front().value("request");
            if (line.event == "attempt failed" && !own) {
                others.insert(std::string(line.value("request")));
            } else if (text.empty() && (line.event == "server entry gone" || line.event == "no report from server")) {
                text = ", " + line.event + " at " + line.time.substr(11);
            }
        }
        return text + " (" + std::to_string(others.size()) + " other requests failed there within 3 s)";
    }

    std::span<const parsed_log_line> m_all;
    std::span<const parsed_log_line> m_own;
};

}  // namespace

std::string_view parsed_log_line::value(std::string_view name) const {
    const auto found =
        std::find_if(fields.begin(), fields.end(), [&](const auto& field) { return field.first == name; });
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

parsed_log_line parse_log_line(std::string_view text, std::string_view host) {
    parsed_log_line line;
    line.host = host;
    for (const auto level : levels) {
        const std::string marked = " " + std::string(level) + " ";
        const auto found = text.find(marked);
        if (found == std::string_view::npos || found < time_length) {
            continue;
        }
        const auto time = text.substr(found - time_length, time_length);
        if (!is_time(time)) {
            continue;
        }
        line.time = time;
        line.level = level;
        // A log collector may put its own timestamp and the host before the line.
        auto prefix = text.substr(0, found - time_length);
        prefix = prefix.substr(0, prefix.find_last_not_of(' ') + 1);
        if (const auto space = prefix.find_last_of(' '); !prefix.empty()) {
            line.host = prefix.substr(space == std::string_view::npos ? 0 : space + 1);
        }
        auto rest = text.substr(found + marked.size());
        rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(' ')));
        const auto equals = rest.find('=');
        const auto fields_at = equals == std::string_view::npos ? rest.size() : rest.rfind(' ', equals) + 1;
        line.event = rest.substr(0, fields_at);
        line.event.erase(line.event.find_last_not_of(' ') + 1);
        line.fields = read_fields(rest.substr(fields_at));
        return line;
    }
    return line;
}

request_explanation explain_outcome(std::span<const parsed_log_line> lines, std::string_view request) {
    request_explanation explanation;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(explanation.lines), [&](const parsed_log_line& line) {
        return !line.event.empty() && !request.empty() && line.value("request") == request;
    });
    std::stable_sort(explanation.lines.begin(), explanation.lines.end(),
                     [](const parsed_log_line& left, const parsed_log_line& right) { return left.time < right.time; });
    if (!explanation.lines.empty()) {
        explanation.cause = cause_finder(lines, explanation.lines).cause();
    }
    return explanation;
}

std::string describe(const request_explanation& explanation) {
    if (explanation.lines.empty()) {
        return "no line names this request\n";
    }
    std::string text;
    const double begin = time_of_day_ms(explanation.lines.front());
    for (const auto& line : explanation.lines) {
        text += line.time + " +" + std::to_string(static_cast<int>(time_of_day_ms(line) - begin)) + " ms " + line.host +
                ' ' + line.event;
        for (const auto& [name, value] : line.fields) {
            if (name != "request" && !value.empty()) {
                text.append(" ").append(name).append("=").append(value);
            }
        }
        text += '\n';
    }
    return text + "cause: " + explanation.cause + '\n';
}

}  // namespace verbenahold::serving
