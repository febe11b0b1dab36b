#include "load_report.hpp"

#include <QJsonArray>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <sstream>

namespace verbenahold::standins {

namespace {

struct prompt_class {
    const char* name = "";
    std::int64_t max_tokens = 0;
};

// Classes of prompt lengths, by their upper bound in tokens.
constexpr std::array prompt_classes{prompt_class{"short", 4'096}, prompt_class{"medium", 32'768},
                                    prompt_class{"long", 100'000}, prompt_class{"huge", 1'000'000}};

double to_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

std::size_t class_of(std::int64_t tokens) {
    std::size_t index = 0;
    while (index + 1 < prompt_classes.size() && tokens > prompt_classes.at(index).max_tokens) {
        ++index;
    }
    return index;
}

QJsonObject summarize(const std::vector<double>& samples) {
    return {{"count", static_cast<qint64>(samples.size())},
            {"p50", percentile(samples, 50)},
            {"p95", percentile(samples, 95)},
            {"p99", percentile(samples, 99)}};
}

bool has_first_token(const load_result& result) {
    return result.end == load_end::answered && result.request.kind == load_kind::completion;
}

QJsonObject first_token_times(const std::vector<load_result>& results) {
    std::array<std::vector<double>, prompt_classes.size()> times;
    for (const load_result& result : results) {
        if (has_first_token(result)) {
            times.at(class_of(result.request.prompt_tokens)).push_back(to_seconds(result.first_token));
        }
    }
    QJsonObject by_class;
    for (std::size_t index = 0; index < times.size(); ++index) {
        by_class[prompt_classes.at(index).name] = summarize(times.at(index));
    }
    return by_class;
}

struct second_of_service {
    int arrived = 0;
    // Counted in the second of the last token.
    int answered = 0;
    int not_answered = 0;
    std::int64_t tokens = 0;
};

std::vector<second_of_service> service_by_second(const std::vector<load_result>& results) {
    std::vector<second_of_service> seconds;
    const auto at = [&](duration time) -> second_of_service& {
        const auto index = static_cast<std::size_t>(to_seconds(time));
        seconds.resize(std::max(seconds.size(), index + 1));
        return seconds[index];
    };
    for (const load_result& result : results) {
        ++at(result.request.at).arrived;
        second_of_service& end = at(result.request.at + result.finished);
        if (result.end == load_end::answered) {
            ++end.answered;
            end.tokens += result.request.prompt_tokens + result.request.output_tokens;
        } else {
            ++end.not_answered;
        }
    }
    return seconds;
}

QJsonObject count_ends(const std::vector<load_result>& results) {
    std::map<std::string, qint64> counts;
    for (const load_end end :
         {load_end::answered, load_end::refused, load_end::failed, load_end::lost, load_end::wrong, load_end::late}) {
        counts[to_string(end)] = 0;
    }
    qint64 resent = 0;
    for (const load_result& result : results) {
        ++counts[to_string(result.end)];
        resent += result.attempts > 1 ? 1 : 0;
    }
    QJsonObject json{{"planned", static_cast<qint64>(results.size())}, {"resent", resent}};
    for (const auto& [name, count] : counts) {
        json[QString::fromStdString(name)] = count;
    }
    return json;
}

QJsonObject count_codes(const std::vector<load_result>& results) {
    QJsonObject codes;
    for (const load_result& result : results) {
        if (result.end != load_end::answered && !result.code.empty()) {
            const QString code = QString::fromStdString(result.code);
            codes[code] = codes[code].toInteger() + 1;
        }
    }
    return codes;
}

// ---- chart

constexpr double width = 900;
constexpr double panel_height = 260;
constexpr double left = 70;
constexpr double right = 870;
constexpr double first_top = 40;
constexpr double second_top = 370;

// Maps values to coordinates in one panel of the chart.
struct panel {
    double top = 0;
    double x_least = 0;
    double x_most = 1;
    double y_least = 0;
    double y_most = 1;

    [[nodiscard]] double x(double value) const {
        return left + (value - x_least) / (x_most - x_least) * (right - left);
    }
    [[nodiscard]] double y(double value) const {
        return top + panel_height - (value - y_least) / (y_most - y_least) * panel_height;
    }
};

void draw_text(std::ostream& svg, double x, double y, const std::string& text, const char* anchor = "middle") {
    svg << "<text x='" << x << "' y='" << y << "' text-anchor='" << anchor << "'>" << text << "</text>\n";
}

void draw_line(std::ostream& svg, double x1, double y1, double x2, double y2, const char* style) {
    svg << "<line x1='" << x1 << "' y1='" << y1 << "' x2='" << x2 << "' y2='" << y2 << "' " << style << "/>\n";
}

void draw_frame(std::ostream& svg, const panel& area, const std::string& title) {
    svg << "<rect x='" << left << "' y='" << area.top << "' width='" << right - left << "' height='" << panel_height
        << "' fill='none' stroke='#888'/>\n";
    draw_text(svg, left, area.top - 10, title, "start");
}

constexpr const char* grid_style = "stroke='#ddd'";

void draw_first_tokens(std::ostream& svg, const std::vector<load_result>& results) {
    // 1,000 to 1,000,000 tokens, 10 ms to 1,000 s, both axes logarithmic.
    const panel area{first_top, 3, 6, -2, 3};
    for (int power = 3; power <= 6; ++power) {
        draw_line(svg, area.x(power), area.y(-2), area.x(power), area.y(3), grid_style);
        draw_text(svg, area.x(power), area.y(-2) + 16, std::to_string(std::llround(std::pow(10, power))));
    }
    const char* labels[] = {"10 ms", "100 ms", "1 s", "10 s", "100 s", "1000 s"};
    for (int power = -2; power <= 3; ++power) {
        draw_line(svg, area.x(3), area.y(power), area.x(6), area.y(power), grid_style);
        draw_text(svg, left - 6, area.y(power) + 4, labels[power + 2], "end");
    }
    std::map<int, std::vector<double>> bins;
    for (const load_result& result : results) {
        if (!has_first_token(result)) {
            continue;
        }
        const double length = std::log10(static_cast<double>(result.request.prompt_tokens));
        const double time = std::clamp(std::log10(std::max(to_seconds(result.first_token), 1e-6)), -2.0, 3.0);
        svg << "<circle cx='" << area.x(length) << "' cy='" << area.y(time) << "' r='1.6' fill='#48c' "
            << "fill-opacity='0.4'/>\n";
        bins[static_cast<int>(std::floor(length * 4))].push_back(time);
    }
    svg << "<polyline fill='none' stroke='#c33' stroke-width='2' points='";
    for (const auto& [bin, times] : bins) {
        svg << area.x(std::clamp((bin + 0.5) / 4, 3.0, 6.0)) << ',' << area.y(percentile(times, 95)) << ' ';
    }
    svg << "'/>\n";
    draw_frame(svg, area, "Time to first token by prompt tokens (line: 95th percentile)");
}

void draw_service(std::ostream& svg, const load_client& client) {
    const std::vector<second_of_service> seconds = service_by_second(client.results());
    int most = 1;
    for (const second_of_service& second : seconds) {
        most = std::max({most, second.arrived, second.answered, second.not_answered});
    }
    const panel area{second_top, 0, std::max(1.0, static_cast<double>(seconds.size())), 0, most * 1.1};
    for (int part = 0; part <= 4; ++part) {
        const double time = area.x_most * part / 4;
        const double count = area.y_most * part / 4;
        draw_line(svg, left, area.y(count), right, area.y(count), grid_style);
        draw_text(svg, area.x(time), area.y(0) + 16, std::to_string(std::lround(time)) + " s");
        draw_text(svg, left - 6, area.y(count) + 4, std::to_string(std::lround(count)), "end");
    }
    const auto draw_series = [&](int second_of_service::*field, const char* colour) {
        svg << "<polyline fill='none' stroke='" << colour << "' stroke-width='1.5' points='";
        for (std::size_t second = 0; second < seconds.size(); ++second) {
            svg << area.x(static_cast<double>(second) + 0.5) << ',' << area.y(seconds[second].*field) << ' ';
        }
        svg << "'/>\n";
    };
    draw_series(&second_of_service::arrived, "#999");
    draw_series(&second_of_service::answered, "#283");
    draw_series(&second_of_service::not_answered, "#c33");
    for (const zone_event_result& event : client.zone_event_results()) {
        if (event.accepted) {
            const double x = area.x(std::min(to_seconds(event.accepted_at), area.x_most));
            draw_line(svg, x, area.y(0), x, area.top, "stroke='#a3c' stroke-dasharray='4 3'");
            draw_text(svg, x, area.top + 14, event.event.zone + ' ' + event.event.state);
        }
    }
    draw_frame(svg, area, "Requests a second: arrived (grey), answered (green), not answered (red)");
}

// The requests that waited longest for their first token, so that a slow run
// can be investigated.
QJsonArray list_slowest(const std::vector<load_result>& results) {
    constexpr std::size_t listed = 20;
    std::vector<const load_result*> slowest;
    for (const load_result& result : results) {
        if (has_first_token(result) && result.request.prompt_tokens <= prompt_classes[0].max_tokens) {
            slowest.push_back(&result);
        }
    }
    std::sort(slowest.begin(), slowest.end(),
              [](const load_result* a, const load_result* b) { return a->first_token > b->first_token; });
    slowest.resize(std::min(slowest.size(), listed));
    QJsonArray list;
    for (const load_result* result : slowest) {
        list.append(QJsonObject{{"arrival_s", to_seconds(result->request.at)},
                                {"prompt_tokens", static_cast<qint64>(result->request.prompt_tokens)},
                                {"first_token_s", to_seconds(result->first_token)},
                                {"tries", result->attempts},
                                {"last_code", QString::fromStdString(result->code)}});
    }
    return list;
}

}  // namespace

double percentile(std::vector<double> samples, double percent) {
    if (samples.empty()) {
        return 0;
    }
    const double rank = std::ceil(percent / 100 * static_cast<double>(samples.size()));
    const auto place = samples.begin() + std::max<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(rank) - 1);
    std::nth_element(samples.begin(), place, samples.end());
    return *place;
}

QJsonObject make_report(const load_settings& settings, const load_client& client) {
    const std::vector<load_result>& results = client.results();
    QJsonArray goodput;
    for (const second_of_service& second : service_by_second(results)) {
        goodput.append(QJsonObject{{"arrived", second.arrived},
                                   {"answered", second.answered},
                                   {"not_answered", second.not_answered},
                                   {"tokens", static_cast<qint64>(second.tokens)}});
    }
    QJsonArray events;
    for (const zone_event_result& event : client.zone_event_results()) {
        events.append(QJsonObject{{"zone", QString::fromStdString(event.event.zone)},
                                  {"state", QString::fromStdString(event.event.state)},
                                  {"accepted", event.accepted},
                                  {"accepted_at_s", to_seconds(event.accepted_at)}});
    }
    const order_audit& audit = client.audit();
    const QJsonObject orders{{"audit_complete", audit.complete},
                             {"doubled", audit.doubled},
                             {"wrong_ran_no", audit.wrong_ran_no},
                             {"answered_but_not_run", audit.missing}};
    const std::vector<float>& gaps = client.token_gaps();
    return {{"seed", static_cast<qint64>(settings.seed)},
            {"rate", settings.rate},
            {"length_s", to_seconds(settings.length)},
            {"requests", count_ends(results)},
            {"errors_by_code", count_codes(results)},
            {"orders", orders},
            {"time_to_first_token_s", first_token_times(results)},
            {"time_between_tokens_s", summarize(std::vector<double>(gaps.begin(), gaps.end()))},
            {"service_by_second", goodput},
            {"slowest_short_requests", list_slowest(results)},
            {"zone_events", events}};
}

std::string draw_chart(const load_settings& settings, const load_client& client) {
    std::ostringstream svg;
    svg << "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 " << width << " 680' font-family='sans-serif' "
        << "font-size='12'>\n<rect width='100%' height='100%' fill='white'/>\n";
    draw_first_tokens(svg, client.results());
    draw_service(svg, client);
    draw_text(svg, left, 665,
              "verbenahold-load, seed " + std::to_string(settings.seed) + ", " +
                  std::to_string(client.results().size()) + " requests",
              "start");
    svg << "</svg>\n";
    return svg.str();
}

}  // namespace verbenahold::standins
