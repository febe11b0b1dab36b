#include "judge.hpp"

#include "answer_text.hpp"
#include "coroutines.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <limits>
#include <span>

namespace verbenahold::soak {

namespace {

// The bounds of the platform's pages.
constexpr double contact_ms = 3'000;
constexpr double grace_ms = 8'000;
constexpr double stop_after_grace_ms = 1'000;
constexpr double loss_slack_ms = 200;
constexpr double idle_max_ms = 9'000;
constexpr double free_ms = 4'000;
constexpr double shortest_stretch_ms = 2'000;
constexpr double last_chance_ms = 3'000;
constexpr std::size_t allowed_lost_on_kept_channels = 3;
// A request that ends this shortly before its time limit has reached it.
constexpr double time_limit_margin_ms = 60;

using spans = std::vector<time_span>;

const time_span* overlapping(const spans& all, double from, double to) {
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const time_span& span) { return span.from <= to && span.to >= from; });
    return found == all.end() ? nullptr : &*found;
}

const spans& spans_of(const std::map<std::string, spans>& by_name, const std::string& name) {
    static const spans none;
    const auto found = by_name.find(name);
    return found == by_name.end() ? none : found->second;
}

bool is_promise(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

bool may_be_own(int status) {
    constexpr std::array<int, 12> own{400, 401, 403, 404, 408, 413, 421, 429, 431, 502, 503, 504};
    return std::find(own.begin(), own.end(), status) != own.end();
}

class judging {
public:
    explicit judging(const journal& notes) : m_notes(notes) {}

    verdict run() {
        for (const auto& [id, request] : m_notes.requests) {
            judge_request(request);
        }
        judge_kept_channels();
        judge_desired_states();
        for (const auto& reservation : m_notes.reservations) {
            judge_reservation(reservation);
        }
        for (const auto& text : m_notes.unknown_arrivals) {
            m_verdict.broken["UNASKED"].push_back({"UNASKED", text, {}, {}});
        }
        for (const auto& end : m_notes.ends) {
            m_verdict.broken["ENDED"].push_back(
                {"ENDED", end.host + " ended by itself at " + time_text(end.at) + ": " + end.how, {}, {}});
        }
        return std::move(m_verdict);
    }

private:
    using request_ptr = std::shared_ptr<request_record>;

    void add(const std::string& rule, const request_ptr& request, const std::string& what) {
        m_verdict.broken[rule].push_back({rule, what, request, {}});
    }
    void note(const std::string& rule, const request_ptr& request, const std::string& what) {
        m_verdict.noted[rule].push_back({rule, what, request, {}});
    }

    void judge_request(const request_ptr& request) {
        const auto& kind = *request->kind;
        if (!request->outcome) {
            ++m_verdict.outcomes["open at the end"];
            return;
        }
        const auto& outcome = *request->outcome;
        ++m_verdict.outcomes[outcome.complete      ? std::to_string(outcome.status)
                             : outcome.gave_up     ? "client left"
                             : outcome.status != 0 ? "cut off"
                                                   : "no answer"];
        const auto runs = std::count_if(request->arrivals.begin(), request->arrivals.end(),
                                        [](const auto& seen) { return seen->began.has_value(); });
        if (!kind.may_run_again && runs > 1) {
            add("TWICE", request, "ran " + std::to_string(runs) + " times");
        }
        if (!kind.may_run_again && outcome.complete && is_promise(outcome.status) && runs > 0) {
            add("REFUSED", request, "answered " + std::to_string(outcome.status) + " and ran");
        }
        judge_answer(request);
        if (!outcome.complete && !outcome.gave_up) {
            judge_loss(request);
        }
        const bool could_be_answered = !request->is_pipelined && !request->is_read_slowly;
        if (outcome.gave_up && could_be_answered && outcome.ended > request->sent + request->deadline_ms + 500 &&
            is_in_touch(*request, outcome.ended)) {
            note("UNANSWERED", request, "no final answer half a second after the time limit");
        }
    }

    // MIXED and ORDER.
    void judge_answer(const request_ptr& request) {
        const auto& outcome = *request->outcome;
        if (!outcome.malformed.empty()) {
            add("MIXED", request, "bytes that are no answer: " + outcome.malformed);
        }
        if (!outcome.surplus.empty()) {
            add("MIXED", request, "bytes with no request waiting: " + outcome.surplus);
        }
        if (!outcome.complete) {
            return;
        }
        if (!outcome.attempt_id.empty() && outcome.attempt_id != request->id) {
            add("MIXED", request, "an answer for " + outcome.attempt_id);
        }
        const auto& seen = request->arrivals;
        if (outcome.status >= 300) {
            const bool given =
                std::any_of(seen.begin(), seen.end(), [&](const auto& one) { return one->status == outcome.status; });
            if (!given && !may_be_own(outcome.status)) {
                add("MIXED", request, "status " + std::to_string(outcome.status) + ", which no server gave");
            }
            if (!given && (outcome.status == 401 || outcome.status == 404)) {
                note("DENIED", request, "status " + std::to_string(outcome.status));
            }
            return;
        }
        const auto origin = std::find_if(seen.begin(), seen.end(),
                                         [&](const auto& one) { return one->signature == outcome.signature; });
        if (outcome.signature.empty() || origin == seen.end()) {
            add("MIXED", request, "a success without a signature of its own: \"" + outcome.signature + '"');
            return;
        }
        if (request->kind->streams) {
            judge_stream(request);
        } else if ((*origin)->body != outcome.body) {
            add("MIXED", request, "a body that isn't the server's");
        }
    }

    void judge_stream(const request_ptr& request) {
        const auto& body = request->outcome->body;
        std::string expected;
        int events = 0;
        while (expected.size() < body.size()) {
            expected += event_text(request->id, events++);
        }
        if (expected != body) {
            add("ORDER", request, "an event is missing, doubled or foreign");
            return;
        }
        const bool whole = std::any_of(request->arrivals.begin(), request->arrivals.end(),
                                       [&](const auto& one) { return one->answered && one->next_event == events; });
        if (!whole) {
            add("MIXED", request, "a stream that ended after " + std::to_string(events) + " events looks complete");
        }
    }

    // The daemon was in touch at that moment.
    bool is_in_touch(const request_record& request, double at) const {
        const bool needs_store = request.kind->streams;
        return overlapping(spans_of(m_notes.host_impairments, request.host), at - contact_ms, at) == nullptr &&
               overlapping(spans_of(m_notes.stops, request.host), at - contact_ms, at) == nullptr &&
               (!needs_store || overlapping(m_notes.store_impairments, at - contact_ms, at) == nullptr);
    }

    // An impairment of the host, of a server that was asked, or of the store for
    // requests that it excuses; null if there is none.
    const time_span* impairment(const request_record& request) const {
        const double from = request.sent - contact_ms;
        const double to = request.outcome->ended;
        for (const auto& seen : request.arrivals) {
            if (const auto* span = overlapping(spans_of(m_notes.server_impairments, seen->server), from, to)) {
                return span;
            }
        }
        if (const auto* span = overlapping(spans_of(m_notes.host_impairments, request.host), from, to)) {
            return span;
        }
        return request.kind->streams ? overlapping(m_notes.store_impairments, from, to) : nullptr;
    }

    // The request's channel ended without a complete answer. Every such request is
    // reported, also where a rule excuses it.
    void judge_loss(const request_ptr& request) {
        const auto& outcome = *request->outcome;
        const bool passed_on = !request->arrivals.empty();
        const auto excuse = [&](const std::string& why) { note("excused", request, why); };
        if (passed_on && !request->arrivals.back()->disruption.empty()) {
            excuse("the server broke off: " + request->arrivals.back()->disruption);
            return;
        }
        if (outcome.ended - request->sent > request->deadline_ms - time_limit_margin_ms) {
            excuse("the time limit was reached");
            return;
        }
        if (const auto* span = impairment(*request)) {
            excuse("impairment: " + span->what);
            return;
        }
        if (passed_on && outcome.status == 0 && request->number_on_channel > 1 &&
            is_in_touch(*request, outcome.ended)) {
            m_lost_on_kept_channels.push_back(request);
        }
        // Unread bytes make the kernel reset the channel.
        if (!passed_on && (outcome.channel_reset || outcome.ended - request->sent <= loss_slack_ms)) {
            excuse("not read");
            return;
        }
        judge_planned_work(request, passed_on);
    }

    void judge_planned_work(const request_ptr& request, bool passed_on) {
        const auto& outcome = *request->outcome;
        for (const auto& stop : spans_of(m_notes.stops, request->host)) {
            const bool around = outcome.ended >= stop.from && request->sent <= stop.to &&
                                outcome.ended <= stop.from + grace_ms + stop_after_grace_ms;
            if (!around) {
                continue;
            }
            const bool at_work_to_the_end =
                passed_on && request->sent <= stop.from + last_chance_ms &&
                request->arrivals.back()->ended.value_or(outcome.ended) >= stop.from + grace_ms * 5 / 6;
            if (at_work_to_the_end) {
                note("excused", request, "at work in the last sixth of the grace period");
            } else {
                add("LOST", request,
                    "cut in a planned stop" + std::string(passed_on ? "" : ", not passed on") +
                        (request->is_pipelined ? ", pipelined" : ""));
            }
            return;
        }
        for (const auto& reload : spans_of(m_notes.reloads, request->host)) {
            if (request->sent >= reload.from && request->sent <= reload.to && outcome.ended >= reload.from) {
                add("LOST", request, "cut after a SIGHUP");
                return;
            }
        }
        m_cuts_at_sound_hosts.push_back(request);
    }

    void judge_kept_channels() {
        for (const auto& request : m_lost_on_kept_channels) {
            const std::string what = "passed on from a kept channel and closed without an answer";
            if (m_lost_on_kept_channels.size() > allowed_lost_on_kept_channels) {
                add("LOST", request, what);
            } else {
                note("LOST, up to three allowed", request, what);
            }
        }
    }

    // Beside a desired state, cuts count if they are three times as frequent as else.
    void judge_desired_states() {
        double last = 0;
        for (const auto& [id, request] : m_notes.requests) {
            last = std::max(last, request->sent);
        }
        double inside_ms = 0;
        double covered_to = 0;
        for (const auto& state : m_notes.desired_states) {
            const double to = std::min(state.to, last);
            inside_ms += std::max(0.0, to - std::max(state.from, covered_to));
            covered_to = std::max(covered_to, to);
        }
        std::map<std::string, std::pair<std::vector<request_ptr>, std::vector<request_ptr>>> cuts;
        for (const auto& request : m_cuts_at_sound_hosts) {
            const double took = request->outcome->ended - request->sent;
            const bool inside =
                took < 0.7 * request->deadline_ms &&
                overlapping(m_notes.desired_states, request->outcome->ended, request->outcome->ended) != nullptr;
            auto& of_host = cuts[request->host];
            (inside ? of_host.first : of_host.second).push_back(request);
        }
        for (const auto& [host, both] : cuts) {
            const auto& [inside, outside] = both;
            const double rate_inside = static_cast<double>(inside.size()) / std::max(1.0, inside_ms);
            const double rate_outside = static_cast<double>(outside.size()) / std::max(1.0, last - inside_ms);
            // With hardly any time outside, there is nothing to compare with.
            const bool counts = rate_inside > 3 * rate_outside && inside_ms < 0.8 * last;
            for (const auto& request : inside) {
                if (counts) {
                    add("LOST", request, "cut beside a change of the desired state");
                } else {
                    note("CUT", request, "cut off at a sound host and server");
                }
            }
            for (const auto& request : outside) {
                note("CUT", request, "cut off at a sound host and server");
            }
        }
    }

    // The parts of a stretch in which the core was stable and the server not cut off.
    double counted_ms(const reservation_record& reservation, double from, double to) const {
        std::vector<time_span> disturbed;
        for (const auto& span : m_notes.store_impairments) {
            disturbed.push_back({span.from, span.to + contact_ms, span.what});
        }
        for (const auto& span : spans_of(m_notes.server_impairments, reservation.server)) {
            disturbed.push_back(span);
        }
        std::sort(disturbed.begin(), disturbed.end(),
                  [](const auto& left, const auto& right) { return left.from < right.from; });
        double sum = 0;
        double at = from;
        const auto count = [&](double end) { sum += end - at >= shortest_stretch_ms ? end - at : 0; };
        for (const auto& span : disturbed) {
            if (span.to <= at || span.from >= to) {
                continue;
            }
            count(std::min(to, span.from));
            at = std::max(at, std::min(to, span.to));
        }
        count(to);
        return sum;
    }

    // STUCK and LEAK.
    void judge_reservation(const std::shared_ptr<reservation_record>& reservation) {
        const auto& changes = reservation->changes;
        std::size_t at = 0;
        bool was_used = false;
        while (at < changes.size() && changes[at].phase != reservation_phase::over) {
            if (changes[at].phase == reservation_phase::used) {
                was_used = true;
                ++at;
                continue;
            }
            std::size_t end = at;
            while (end < changes.size() && (changes[end].phase == reservation_phase::held ||
                                            changes[end].phase == reservation_phase::waiting)) {
                ++end;
            }
            const double to = end < changes.size() ? changes[end].at : now_ms();
            const double idle = counted_ms(*reservation, changes[at].at, to);
            if (idle > idle_max_ms) {
                m_verdict.broken["STUCK"].push_back(
                    {"STUCK", std::to_string(static_cast<int>(idle)) + " ms set aside and unused", {}, reservation});
            } else if (was_used && idle > free_ms) {
                m_verdict.broken["LEAK"].push_back(
                    {"LEAK",
                     std::to_string(static_cast<int>(idle)) + " ms set aside after the last use",
                     {},
                     reservation});
            }
            m_verdict.outcomes["longest unused reservation, ms"] =
                std::max(m_verdict.outcomes["longest unused reservation, ms"], static_cast<int>(idle));
            at = end;
        }
    }

    const journal& m_notes;
    verdict m_verdict;
    std::vector<request_ptr> m_lost_on_kept_channels;
    std::vector<request_ptr> m_cuts_at_sound_hosts;
};

void add_log_lines(std::string& text, const std::string& path, const std::string& name) {
    std::ifstream log(path);
    for (std::string line; std::getline(log, line);) {
        if (line.find(name) != std::string::npos) {
            text += "    log: " + line + '\n';
        }
    }
}

}  // namespace

verdict judge(const journal& notes) {
    return judging(notes).run();
}

std::string time_line(const broken_case& found, const journal& notes, const std::string& log_folder) {
    std::string text = found.rule + ": " + found.what + '\n';
    double from = 0;
    double to = 0;
    std::vector<std::string> names;
    if (const auto& request = found.request) {
        from = request->sent;
        to = request->outcome ? request->outcome->ended : now_ms();
        names.push_back(request->host);
        text += "    " + time_text(from) + " request " + request->id + ' ' + request->kind->name + " sent to " +
                request->host + " as number " + std::to_string(request->number_on_channel) + " of its channel\n";
        for (const auto& seen : request->arrivals) {
            names.push_back(seen->server);
            text += "    " + time_text(seen->at) + " reached " + seen->server +
                    (seen->began ? ", ran from " + time_text(*seen->began) : std::string(", did not run")) +
                    (seen->ended ? ", ended " + time_text(*seen->ended) : std::string()) + ", status " +
                    std::to_string(seen->status) + ", events " + std::to_string(seen->events) +
                    (seen->answered ? ", answered" : "") + (seen->states_not_executed ? ", states not executed" : "") +
                    (seen->caller_left ? ", the daemon left" : "") +
                    (seen->disruption.empty() ? "" : ", fault: " + seen->disruption) + '\n';
        }
        if (request->outcome) {
            const auto& outcome = *request->outcome;
            text += "    " + time_text(to) + " client: status " + std::to_string(outcome.status) +
                    (outcome.complete ? ", complete" : "") + (outcome.gave_up ? ", gave up" : "") +
                    (outcome.channel_ended ? outcome.channel_reset ? ", channel reset" : ", channel closed" : "") +
                    ", body bytes " + std::to_string(outcome.body_bytes) + '\n';
        }
        add_log_lines(text, log_folder + '/' + request->host + ".log", request->id);
    }
    if (const auto& reservation = found.reservation) {
        from = reservation->changes.front().at;
        to = reservation->changes.back().at;
        names.push_back(reservation->server);
        text += "    reservation " + reservation->name + " of " + std::to_string(reservation->tokens) + " tokens at " +
                reservation->server + ", " + std::to_string(reservation->orders) + " orders\n";
        constexpr std::array<std::string_view, 4> phases{"waiting", "held", "used", "over"};
        for (const auto& change : reservation->changes) {
            text += "    " + time_text(change.at) + ' ' + std::string(phases[static_cast<std::size_t>(change.phase)]) +
                    ": " + change.why + '\n';
        }
        for (const auto& id : reservation->requests) {
            const auto request = notes.requests.find(id);
            if (request != notes.requests.end()) {
                text += time_line({"named by", id, request->second, {}}, notes, log_folder);
            }
        }
    }
    for (const auto& [at, event] : notes.events) {
        const bool names_a_part = std::any_of(
            names.begin(), names.end(), [&](const std::string& name) { return event.find(name) != std::string::npos; });
        const bool is_common = event.starts_with("desired") || event.starts_with("store");
        if (at > from - 10'000 && at < to + 500 && (names_a_part || is_common)) {
            text += "    " + time_text(at) + " event: " + event + '\n';
        }
    }
    return text;
}

}  // namespace verbenahold::soak
