#include "exchange.hpp"

#include "duration_units.hpp"
#include "lateness_cost.hpp"
#include "log_line.hpp"
#include "wait_policy.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold::serving {

namespace {

// An out-of-time error is sent this long before the caller's deadline: enough
// for the network path to the caller and one event loop iteration.
constexpr duration deadline_margin = std::chrono::milliseconds(40);
// Retry-After before the first desired state is known: the store has been out of reach since
// the start, and an outage is taken to last as long again.
constexpr duration min_retry_after_startup = std::chrono::milliseconds(500);
constexpr duration max_retry_after_startup = std::chrono::seconds(3);
// A request that arrives before the first desired state is known waits this long for it, or
// this part of its time if that is less. Callers retry once, and after a refusal many would
// come back before the state is known.
constexpr duration max_wait_for_state = std::chrono::seconds(1);
constexpr double max_wait_for_state_fraction = 0.2;
constexpr duration state_check_period = std::chrono::milliseconds(20);
// Retry-After for a request that crashed its servers: long, since a retry is
// likely to crash another one.
constexpr duration retry_after_crashes = std::chrono::seconds(60);
// Until this time after its start, a daemon has not heard of all work that others have in
// progress: two heartbeats of active daemons. Long prompts have that much time.
constexpr duration load_settling_time = std::chrono::milliseconds(600);
// Output length that is assumed for a request without a stated maximum.
constexpr std::int64_t default_output_tokens = 1'000;

}  // namespace

exchange::exchange(gateway_state& state, answer_sink& sink, caller_request request, time_point received_at)
    : m_state(state),
      m_sink(&sink),
      m_request(std::move(request)),
      m_held(state.request_bodies.hold()),
      m_received_at(received_at) {
    m_held.resize(m_request.request.body.capacity());
    m_number = ++m_state.last_request;
    ++m_state.open_requests;
}

exchange::~exchange() {
    m_state.timers.unsubscribe(m_deadline_timer);
    m_state.timers.unsubscribe(m_silence_timer);
    --m_state.open_requests;
}

void exchange::start() {
    contained([this] {
        if (!m_state.routes && may_wait_for_state()) {
            m_wait_timer = m_state.timers.after(state_check_period, [self = shared_from_this()] {
                if (!self->m_ended) {
                    self->start();
                }
            });
        } else if (admit()) {
            place();
        }
    });
}

bool exchange::may_wait_for_state() const {
    const auto allowed =
        m_request.time_limit ? scaled(*m_request.time_limit, max_wait_for_state_fraction) : max_wait_for_state;
    return m_state.timers.now() - m_received_at < std::min(allowed, max_wait_for_state) && !m_state.stop.has_begun();
}

duration exchange::retry_after_startup() const {
    return std::clamp(m_state.timers.now() - time_point{}, min_retry_after_startup, max_retry_after_startup);
}

bool exchange::resolve() {
    m_routes = m_state.routes;
    m_service = nullptr;
    m_account = nullptr;
    if (!m_routes) {
        fail(503, "no desired state is known yet", retry_after_startup());
        return false;
    }
    const auto path = path_of(m_request.request.target);
    m_route = m_routes->match(m_request.host, path);
    if (m_route == nullptr) {
        fail(404, "no route matches");
        return false;
    }
    if (m_routes->requires_keys() && !m_route->anonymous) {
        m_account = m_routes->account_of(m_request.api_key);
        if (m_account == nullptr) {
            fail(401, "no account holds the key");
            return false;
        }
    }
    const double share = std::uniform_real_distribution<double>(0, 1)(m_state.random);
    m_service = m_routes->pick_service(*m_route, share);
    if (m_service == nullptr) {
        fail(503, "the route has no service", min_retry_after_startup);
        return false;
    }
    m_traits = traits();
    m_prefixes = prefix_cache_tokens() > 0 ? hash_prefix_parts(m_request.prompt_parts) : std::vector<prefix_part>();
    return true;
}

bool exchange::admit() {
    m_state.counters.add("requests_received");
    if (!resolve()) {
        return false;
    }
    const auto allowed = std::min(m_route->timeout, m_request.time_limit.value_or(m_route->timeout));
    m_deadline = m_received_at + allowed;
    if (time_left() <= deadline_margin) {
        fail(503, "no time is left for the request", retry_after_rejection);
        return false;
    }
    if (!m_state.stop.may_forward(m_state.timers.now(), m_deadline)) {
        fail(503, "the daemon is stopping", retry_after_rejection);
        return false;
    }
    m_last_event = m_request.last_event_id;
    m_state.repeats.on_request(m_service->name, m_state.timers.now());
    m_deadline_timer = m_state.timers.after(std::max(duration::zero(), time_left() - deadline_margin),
                                            [this] { contained([this] { on_deadline(); }); });
    return true;
}

std::vector<request_trait> exchange::traits() const {
    const std::string_view account =
        m_account != nullptr ? std::string_view(m_account->name.value) : std::string_view();
    std::vector<request_trait> found{trait_of_request(account, m_request.request.target, m_request.request.body)};
    for (const auto& part : m_request.shared_parts) {
        found.push_back(trait_of_part(m_service->name.value, part));
    }
    std::sort(found.begin(), found.end());
    found.erase(std::unique(found.begin(), found.end()), found.end());
    return found;
}

std::int64_t exchange::prefix_cache_tokens() const {
    return m_service->engine ? m_service->engine->prefix_cache_tokens : 0;
}

// A prompt that was divided among servers leaves only parts of itself on each.
std::vector<prefix_part> exchange::note_prefilled() {
    const auto& placed = m_attempt->placed;
    if (m_prefixes.empty() || !placed.helpers.empty()) {
        return {};
    }
    m_state.prefixes.on_prefilled(placed.primary.id, placed.primary.started_at_unix_ms, m_prefixes,
                                  prefix_cache_tokens(), m_state.timers.now());
    return select_prefixes(m_prefixes, max_announced_prefixes);
}

// A request whose answer has begun didn't crash the server that began it.
bool exchange::crashes_servers() const {
    return !m_history.answer_begun && m_state.crashes.is_blocked(m_traits, m_state.timers.now());
}

void exchange::place() {
    if (crashes_servers()) {
        m_state.counters.add("requests_blocked");
        log_line("request blocked")
            .add("request", m_request.attempt_id)
            .add("parts", joined(m_request.shared_parts))
            .info();
        refuse("servers crash on requests like this one", retry_after_crashes);
        return;
    }
    if (is_behind_others()) {
        wait_for_capacity({"requests that arrived before wait for capacity", {}, false, {}, true});
        return;
    }
    if (is_load_unknown()) {
        wait_for_capacity({"the load of the servers is not known yet", {}, false, {}, true});
        return;
    }
    const auto result = choose_servers();
    if (const auto* none = std::get_if<no_placement>(&result)) {
        auto reason = *none;
        if (const auto pause = time_until_end_of_pause(); pause > duration::zero()) {
            reason.reason = "every server of the service wants a pause";
            reason.min_retry_delay = std::max(reason.min_retry_delay, pause);
        }
        wait_for_server(reason);
        return;
    }
    if (m_state.waiters.queue().contains(m_number)) {
        m_state.timers.unsubscribe(m_wait_timer);
        m_state.waiters.remove(m_number, true);
    }
    begin_attempt(std::get<placement>(result));
}

void exchange::place_again() {
    const bool is_untouched = m_history.may_have_run == 0 && !m_history.answer_begun;
    if (is_untouched && m_routes != m_state.routes) {
        const auto service_before = m_service->name;
        if (!resolve()) {
            return;
        }
        if (m_service->name != service_before) {
            m_state.repeats.on_request(m_service->name, m_state.timers.now());
        }
    }
    place();
}

placement_result exchange::choose_servers() {
    const auto now = m_state.timers.now();
    placement_request wanted;
    wanted.wanted = m_service;
    wanted.matched = m_route;
    wanted.own_zone = m_state.settings.zone;
    wanted.prompt_tokens = m_request.prompt_tokens;
    wanted.max_output_tokens = m_request.max_output_tokens > 0 ? m_request.max_output_tokens : default_output_tokens;
    wanted.time_left = std::min(time_left(), m_received_at + time_allowed_for_first_event() - now);
    wanted.waited = now - m_received_at;
    wanted.answer_begun = m_history.answer_begun;
    wanted.excluded = m_tried_servers;
    std::vector<kept_prefix> kept;
    if (!m_prefixes.empty()) {
        kept = m_state.prefixes.find(m_prefixes, now);
        wanted.kept = kept;
    }
    const int daemons = m_state.sharing_daemons();
    const auto contenders = m_state.turns.contenders(m_state.own_turn_weight(), m_state.daemons.sharing_boots(), now);
    if (daemons > 1) {
        wanted.turns = &m_state.turns;
        wanted.contenders = contenders;
    }
    wanted.yields = yields_to_others();
    const auto may_send = [&](const server_entry& server) {
        return m_state.statements.may_send(server, now) && m_state.pacer.may_send(server.id, *m_service, daemons, now);
    };
    return m_state.placing.place(wanted, m_state.servers, m_state.load, may_send, now);
}

duration exchange::time_until_end_of_pause() const {
    if (m_service == nullptr) {
        return duration::zero();
    }
    const auto now = m_state.timers.now();
    return m_state.statements.time_until_end_of_pause(m_state.servers.usable(m_service->name, now), now);
}

void exchange::announce_work(work_event event) {
    const auto now = m_state.timers.now();
    work_update update;
    update.id = m_attempt->work;
    update.event = event;
    update.lifetime = time_left() + std::chrono::seconds(1);
    if (event == work_event::started) {
        const auto& placed = m_attempt->placed;
        const auto context = m_request.prompt_tokens + m_request.max_output_tokens;
        std::int64_t reserved = 0;
        const double weight = m_service->engine ? request_weight(*m_service->engine, m_request.prompt_tokens) : 1;
        update.items.push_back({m_attempt->server, placed.part_ms, context, true, m_route->event_gap_target,
                                m_route->latency_target, weight});
        for (const auto& helper : placed.helpers) {
            reserved += helper.reserved_tokens;
            update.items.push_back(
                {helper.server.id, placed.part_ms, helper.reserved_tokens, false, {}, m_route->latency_target, weight});
        }
        update.items.front().context_tokens -= std::min(reserved, context);
        for (const auto& item : update.items) {
            m_state.load.add(update.id, item, now, now + update.lifetime);
        }
        set_account_use(update);
    } else if (event == work_event::read) {
        m_state.load.on_prefill_done(update.id, now);
        update.prefixes = note_prefilled();
    } else {
        m_state.load.remove(update.id, now);
        if (m_attempt->succeeded && !m_attempt->prefill_done_announced) {
            update.prefixes = note_prefilled();
        }
    }
    if (!update.prefixes.empty()) {
        update.items.push_back({.server = m_attempt->server});
    }
    if (m_state.notices.on_work) {
        m_state.notices.on_work(update);
    }
}

waiting_request exchange::as_waiting() const {
    waiting_request waiting;
    waiting.lane = is_interactive(m_route->event_gap_target) ? admission_lane::interactive : admission_lane::bulk;
    waiting.arrived = m_received_at;
    const double alone_ms = prefill_time_ms(*m_service->engine, m_request.prompt_tokens) /
                            (waiting.lane == admission_lane::bulk ? static_cast<double>(max_helpers) : 1);
    const double iteration_ms = decode_iteration_ms(*m_service->engine, {});
    waiting.timely_until = m_received_at + m_route->latency_target - from_ms(alone_ms + 1.5 * iteration_ms);
    waiting.yields = yields_to_others();
    waiting.priority = m_account != nullptr && m_account->priority ? *m_account->priority : m_route->priority;
    return waiting;
}

bool exchange::yields_to_others() const {
    return m_account != nullptr &&
           m_state.shares.is_over_share(account_hash(m_account->name.value), m_state.timers.now());
}

duration exchange::time_allowed_for_first_event() const {
    const auto allowed = m_deadline - m_received_at;
    if (m_route->form != answer_form::event_stream || m_history.answer_begun) {
        return allowed;
    }
    return std::min(allowed, caller_patience(m_route->latency_target, m_route->event_gap_target));
}

bool exchange::is_behind_others() const {
    return m_service->engine && !m_history.answer_begun && !m_state.waiters.queue().contains(m_number) &&
           !m_state.waiters.goes_first(as_waiting());
}

bool exchange::is_load_unknown() const {
    return m_service->engine && !m_history.answer_begun && m_state.timers.now() < time_point(load_settling_time) &&
           as_waiting().lane == admission_lane::bulk;
}

void exchange::wait_for_capacity(const no_placement& reason) {
    auto& waiters = m_state.waiters;
    if (waiters.queue().contains(m_number)) {
        return;
    }
    const auto now = m_state.timers.now();
    const auto waiting = as_waiting();
    const auto left = m_received_at + max_capacity_wait(*m_route, time_allowed_for_first_event()) - now;
    const auto predicted = waiters.queue().predicted_wait(waiting.lane, now).value_or(reason.retry_after);
    const auto weak = weak_from_this();
    const bool joined = left > duration::zero() && predicted <= left && waiters.add(m_number, waiting, [weak] {
        if (const auto self = weak.lock(); self && !self->m_ended) {
            self->contained([&] { self->place_again(); });
        }
    });
    if (!joined) {
        m_state.counters.add("requests_refused_for_capacity");
        refuse(reason.reason, std::max(predicted, retry_after_rejection));
        return;
    }
    m_state.counters.add("requests_waiting_for_capacity");
    log_line("waiting for capacity")
        .add("request", m_request.attempt_id)
        .add("reason", reason.reason)
        .add("ahead", waiters.queue().size(waiting.lane) - 1)
        .add("predicted_wait_ms", predicted)
        .add("limit_ms", left)
        .info();
    m_wait_timer = m_state.timers.after(left, [weak, lane = waiting.lane] {
        if (const auto self = weak.lock(); self && !self->m_ended) {
            self->contained([&] { self->refuse_waiting(lane); });
        }
    });
}

void exchange::refuse_waiting(admission_lane lane) {
    const auto now = m_state.timers.now();
    const auto predicted = m_state.waiters.queue().predicted_wait(lane, now).value_or(retry_after_rejection);
    m_state.waiters.remove(m_number, false);
    refuse("no server had capacity for the request in time", std::max(predicted, retry_after_rejection));
}

void exchange::set_account_use(work_update& update) {
    // An attempt that gets no memory at its helpers is announced and not sent.
    if (m_account == nullptr || !m_service->engine || m_sent_at_account_use == m_history.sent) {
        return;
    }
    m_sent_at_account_use = m_history.sent;
    const auto& engine = *m_service->engine;
    const double answer_tokens =
        m_request.max_output_tokens > 0
            ? std::min(static_cast<double>(m_request.max_output_tokens), engine.mean_answer_tokens)
            : engine.mean_answer_tokens;
    const auto servers = static_cast<double>(1 + m_attempt->placed.helpers.size());
    update.account = account_hash(m_account->name.value);
    update.server_ms =
        m_attempt->placed.part_ms * servers + decode_share_ms(engine, m_request.prompt_tokens, answer_tokens);
    m_state.count_account_use(update.account, update.server_ms);
}

void exchange::wait_for_server(const no_placement& reason) {
    const auto now = m_state.timers.now();
    if (reason.waits_for_capacity || (m_state.waiters.queue().contains(m_number) && !reason.is_hopeless)) {
        wait_for_capacity(reason);
        return;
    }
    if (!m_waiting_since) {
        m_waiting_since = now;
    }
    const unplaced_request waiting{m_route, now - *m_waiting_since, time_left(), m_history.answer_begun,
                                   !m_state.servers.usable(m_service->name, now).empty()};
    const auto decision = decide_wait(waiting, reason);
    if (const auto* again = std::get_if<retry_placement>(&decision)) {
        m_wait_timer = m_state.timers.after(again->after, [self = shared_from_this()] {
            if (!self->m_ended) {
                self->contained([&] { self->place_again(); });
            }
        });
    } else {
        refuse(reason.reason, std::get<refuse_request>(decision).retry_after);
    }
}

void exchange::on_deadline() {
    const auto self = shared_from_this();
    if (m_history.answer_begun) {
        cut_off(early_end::out_of_time, "out of time");
    } else if (m_history.may_have_run > 0) {
        fail(504, "out of time");
    } else {
        refuse("out of time before a server took the request", retry_after_rejection);
    }
}

void exchange::on_stop() {
    contained([this] { give_up_for(early_end::stopping, "the daemon is stopping"); });
}

void exchange::on_internal_fault() {
    if (!m_ended) {
        give_up_for(early_end::internal_fault, "an exception in the daemon");
    } else if (m_sink != nullptr) {
        // The exception came before the caller was told how the request ended.
        std::exchange(m_sink, nullptr)->cut_off(early_end::internal_fault);
    }
}

void exchange::give_up_for(early_end cause, std::string_view reason) {
    if (m_history.answer_begun) {
        cut_off(cause, reason);
    } else {
        refuse(reason, retry_after_rejection);
    }
}

void exchange::send_answer(const http_answer& answer) {
    auto* sink = m_sink;
    finish("answered", answer.head.status, "");
    if (sink != nullptr) {
        sink->answer(answer);
    }
}

void exchange::fail(int status, std::string_view reason, std::optional<duration> retry_after) {
    if (retry_after) {
        // Random spread, so that callers don't all retry at the same time.
        const double spread = std::uniform_real_distribution<double>(0.8, 1.4)(m_state.random);
        const double later = std::uniform_real_distribution<double>(1.0, 1.25)(m_state.random);
        retry_after = std::max(scaled(*retry_after, spread), scaled(time_until_end_of_pause(), later));
    }
    auto* sink = m_sink;
    finish(status == 503 ? "refused" : "failed", status, reason);
    if (sink != nullptr) {
        sink->answer({{status, {}, m_state.wire.own_answer_fields(m_request, retry_after)}, {}});
    }
}

void exchange::refuse(std::string_view reason, duration retry_after) {
    if (m_history.may_have_run > 0) {
        fail(502, reason);
    } else {
        fail(503, reason, retry_after);
    }
}

void exchange::cut_off(early_end cause, std::string_view reason) {
    auto* sink = m_sink;
    finish("cut off", 0, reason);
    if (sink != nullptr) {
        sink->cut_off(cause);
    }
}

void exchange::on_connection_ended(early_end cause) {
    m_sink = nullptr;
    if (m_ended) {
        return;
    }
    if (cause == early_end::caller_left) {
        finish("cancelled", 0, "the caller left");
    } else {
        finish("cut off", 0, early_end_name(cause));
    }
}

void exchange::finish(std::string_view outcome, int status, std::string_view reason) {
    if (m_ended) {
        return;
    }
    m_ended = true;
    m_state.timers.unsubscribe(m_deadline_timer);
    m_state.timers.unsubscribe(m_wait_timer);
    m_state.waiters.remove(m_number, false);
    end_attempt();
    const auto took = m_state.timers.now() - m_received_at;
    auto counter = "requests_" + std::string(outcome);
    std::replace(counter.begin(), counter.end(), ' ', '_');
    m_state.counters.add(counter);
    log_line line("ended");
    line.add("request", m_request.attempt_id)
        .add("route", m_route != nullptr ? std::string_view(m_route->name) : std::string_view())
        .add("outcome", outcome)
        .add("status", status)
        .add("reason", reason)
        .add("took_ms", took)
        .add("tokens", m_request.prompt_tokens)
        .add("sent", m_history.sent)
        .add("longest_gap_ms", m_longest_gap)
        .add("state_version", m_routes ? m_routes->state().version : 0);
    if (outcome == "answered") {
        line.info();
    } else {
        line.warn();
    }
    m_sink = nullptr;
}

}  // namespace verbenahold::serving
