#include "server_state.hpp"

#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>

namespace verbenahold {

namespace {

// Weight of the newest token gap in the moving average.
constexpr double gap_average_weight = 0.2;
// Gaps needed before the average is used.
constexpr int min_gap_samples = 8;
// A server whose token gaps are at least this many times the predicted gap is
// treated as cold.
constexpr double cold_slowdown = 3;
// An answer is stalled when it produced no token for this long plus
// cold_slowdown predicted token gaps.
constexpr duration min_stall_time = std::chrono::milliseconds(500);
// When two load reports are further apart than this, this daemon itself was
// paused, and answers may only appear stalled.
constexpr duration max_report_interval = 2 * load_poll_interval;
// Stalled answers needed to treat the server as cold. A single stalled answer
// may only be waiting for KV memory.
constexpr int min_stalled_answers = 2;
// Minimum time between two window resets of a server that stays slow.
constexpr duration slow_reset_interval = std::chrono::seconds(2);

bool is_long(const attempt_record& record) {
    return record.request.length >= length_class::long_prompt;
}

}  // namespace

std::int64_t kv_tokens_needed(const submit& request) {
    const auto earlier_tokens = static_cast<std::int64_t>(request.generated.size());
    std::int64_t tokens = request.prompt_tokens + std::max(request.predicted_output_tokens, earlier_tokens);
    for (const memory_part& part : request.parts)
        tokens -= part.tokens;
    return std::max<std::int64_t>(0, tokens);
}

std::int64_t prefill_tokens_needed(const submit& request, const server_name& server) {
    return request.preferred_server == server ? request.uncached_tokens : request.prompt_tokens;
}

server_state::server_state(backend_server server, bool released, time_point now) : m_server(std::move(server)) {
    m_window.reset();
    set_owned(released, now);
}

void server_state::configure(const service_spec& spec) {
    m_is_model = spec.type == service_type::model;
    const bool first = m_kv_capacity == 0;
    m_window.configure(spec.cold_capacity, spec.warm_capacity);
    if (!first)
        return;
    m_kv_capacity = spec.kv_capacity_tokens;
    m_window.reset();
}

void server_state::set_owned(bool released, time_point now) {
    m_owned = true;
    m_window.reset();
    m_ready_at = released ? now : now + handover_wait;
    m_foreign_known = false;
    m_next_poll = now;
    m_next_listing = now;
}

void server_state::end_handover(time_point now) {
    m_ready_at = std::min(m_ready_at, now);
}

void server_state::start(attempt_record& record, time_point now) {
    const submit& request = record.request;
    const auto earlier_tokens = static_cast<std::int64_t>(request.generated.size());
    record.started = now;
    record.last_heard = now;
    record.window_epoch = m_window.epoch();
    record.kv_tokens = kv_tokens_needed(request);
    record.prefill_tokens = prefill_tokens_needed(request, m_server.name) + earlier_tokens;
    m_running.insert(&record);
    m_own_kv += record.kv_tokens;
    m_prefill_backlog += record.prefill_tokens;
    if (is_long(record)) {
        m_long_prefill += record.prefill_tokens;
        m_long_kv += record.kv_tokens;
        ++m_long_running;
    }
    if (request.length == length_class::short_prompt)
        ++m_short_running;
    record.in_flight_at_start = in_flight();
    if (m_claim.is_confirmed())
        m_claim.on_dispatch();
    update_own_peak(now);
}

void server_state::end_prefill(attempt_record& record) {
    m_prefill_backlog -= record.prefill_tokens;
    if (is_long(record))
        m_long_prefill -= record.prefill_tokens;
    record.prefill_tokens = 0;
}

void server_state::end(attempt_record& record, time_point now) {
    if (!m_running.contains(&record))
        return;
    update_own_peak(now);
    m_running.erase(&record);
    end_prefill(record);
    m_own_kv -= record.kv_tokens;
    if (is_long(record)) {
        m_long_kv -= record.kv_tokens;
        --m_long_running;
    }
    if (record.request.length == length_class::short_prompt)
        --m_short_running;
    record.kv_tokens = 0;
}

void server_state::count_completion(const attempt_record& record) {
    m_window.on_completed(record.window_epoch, std::max(record.in_flight_at_start, in_flight()));
}

bool server_state::on_report(const load_report& report, time_point now) {
    bool changed = false;
    update_incarnation(report.incarnation, changed, now);
    if (!m_model_version.empty() && report.model_version != m_model_version) {
        m_window.reset();
        changed = true;
    }
    m_model_version = report.model_version;
    if (report.kv_capacity_tokens > 0)
        m_kv_capacity = report.kv_capacity_tokens;
    m_reported_foreign_requests = std::max(0, report.running + report.queued - recent_own_peak(now));
    m_failed_polls = 0;
    m_previous_report_at = std::exchange(m_reported_at, now);
    if (m_dead)
        request_listing(now);
    m_dead = false;
    m_foreign_known = m_foreign_known || !m_is_model;
    m_next_poll = now + load_poll_interval;
    return changed;
}

bool server_state::on_listing(const stream_listing& listing, std::string_view own_stream_suffix, time_point now) {
    bool changed = false;
    update_incarnation(listing.incarnation, changed, now);
    m_listed_foreign_requests = 0;
    m_listed_foreign_kv = 0;
    std::unordered_map<std::string_view, std::int64_t> own_kv;
    for (const listed_stream& stream : listing.streams) {
        if (std::string_view(stream.stream).ends_with(own_stream_suffix)) {
            own_kv[stream.stream] = stream.kv_tokens;
            continue;
        }
        ++m_listed_foreign_requests;
        m_listed_foreign_kv += stream.kv_tokens;
    }
    // The engine may use more KV memory for a stream than was predicted.
    for (attempt_record* record : m_running)
        if (const auto held = own_kv.find(record->stream); held != own_kv.end())
            raise_kv(*record, held->second);
    m_listed_reservations.clear();
    for (const listed_reservation& reservation : listing.reservations) {
        m_listed_reservations[reservation.reservation] = reservation.tokens;
        if (!m_parts.contains(reservation.reservation))
            m_listed_foreign_kv += reservation.tokens;
    }
    m_assumed_used_kv = 0;
    m_listed_at = now;
    m_listing_requested = false;
    m_listing_outstanding = false;
    m_foreign_known = true;
    m_next_listing = now + (m_listed_foreign_requests > 0 ? foreign_listing_interval : listing_interval);
    return changed;
}

void server_state::raise_kv(attempt_record& record, std::int64_t tokens) {
    const std::int64_t more = tokens - record.kv_tokens;
    if (more <= 0)
        return;
    record.kv_tokens += more;
    m_own_kv += more;
    if (is_long(record))
        m_long_kv += more;
}

void server_state::hold_part(const std::string& reservation, std::int64_t tokens) {
    m_parts[reservation] = tokens;
    // Count the reservation once: as a part, not as foreign memory.
    if (const auto listed = find_listed_reservation(reservation))
        m_listed_foreign_kv = std::max<std::int64_t>(0, m_listed_foreign_kv - *listed);
}

std::optional<std::int64_t> server_state::find_listed_reservation(const std::string& reservation) const {
    const auto found = m_listed_reservations.find(reservation);
    return found == m_listed_reservations.end() ? std::nullopt : std::optional(found->second);
}

bool server_state::check_stalls(duration predicted_gap, time_point now) {
    if (m_window.is_before_growth() || now - m_previous_report_at > max_report_interval)
        return false;
    const duration limit = min_stall_time + static_cast<int>(cold_slowdown) * predicted_gap;
    int decoding = 0;
    int stalled = 0;
    for (const attempt_record* record : m_running) {
        if (!record->has_tokens)
            continue;
        ++decoding;
        stalled += now - record->last_token > limit ? 1 : 0;
    }
    if (stalled < min_stalled_answers || 2 * stalled < decoding)
        return false;
    m_window.reset();
    return true;
}

void server_state::on_poll_failed(time_point now) {
    ++m_failed_polls;
    m_next_poll = now + load_poll_interval;
    // The event does not tell whether the poll or the listing failed, so both
    // are repeated.
    if (m_listing_outstanding)
        m_next_listing = now + load_poll_interval;
    m_listing_outstanding = false;
}

void server_state::on_refused_work(time_point now) {
    m_window.reset();
    m_ready_at = std::max(m_ready_at, now + refusal_pause);
    request_listing(now);
}

void server_state::on_out_of_memory(time_point now) {
    // Treat all memory as used until a listing shows the actual use.
    m_assumed_used_kv = std::max<std::int64_t>(0, free_kv());
    m_ready_at = std::max(m_ready_at, now + refusal_pause);
    request_listing(now);
}

void server_state::on_death(time_point now) {
    m_dead = true;
    m_window.reset();
    m_listed_foreign_requests = 0;
    m_listed_foreign_kv = 0;
    m_reported_foreign_requests = 0;
    m_foreign_known = false;
    m_assumed_used_kv = 0;
    m_gap_samples = 0;
    m_claim.end(now);
    m_ready_at = std::max(m_ready_at, now + death_pause);
    m_next_poll = std::min(m_next_poll, now + load_poll_interval);
}

bool server_state::on_token_gap(duration gap, duration predicted, time_point now) {
    const double seconds = std::chrono::duration<double>(gap).count();
    m_gap_seconds = m_gap_samples == 0 ? seconds : m_gap_seconds + gap_average_weight * (seconds - m_gap_seconds);
    ++m_gap_samples;
    const double limit = cold_slowdown * std::chrono::duration<double>(predicted).count();
    if (m_gap_samples < min_gap_samples || limit <= 0 || m_gap_seconds < limit || now < m_gap_reset_at)
        return false;
    m_window.reset();
    m_gap_samples = 0;
    m_gap_reset_at = now + slow_reset_interval;
    return true;
}

bool server_state::take_due_poll(time_point now) {
    if (now < m_next_poll)
        return false;
    m_next_poll = now + poll_answer_timeout;
    return true;
}

bool server_state::take_due_listing(time_point now) {
    if (!m_is_model || now < m_next_listing)
        return false;
    m_next_listing = now + poll_answer_timeout;
    m_listing_outstanding = true;
    m_listing_sent_at = now;
    return true;
}

void server_state::request_listing(time_point now) {
    if (m_listing_requested || m_listing_outstanding)
        return;
    m_listing_requested = true;
    m_next_listing = m_listed_foreign_requests > 0 ? std::max(now, m_listed_at + blocked_listing_interval) : now;
}

time_point server_state::next_due() const {
    return m_is_model ? std::min(m_next_poll, m_next_listing) : m_next_poll;
}

bool server_state::is_usable(time_point now) const {
    return m_owned && !m_server.leaving && !m_dead && m_failed_polls < failed_polls_limit && m_foreign_known &&
           now >= m_ready_at;
}

bool server_state::must_claim_first() const {
    if (!m_window.needs_exclusive_use())
        return false;
    // Plain services have no stream listing or reservations, so the load report
    // decides for them.
    return m_is_model ? !m_claim.is_confirmed() : m_reported_foreign_requests > 0;
}

int server_state::in_flight() const {
    return static_cast<int>(m_running.size()) + foreign_requests();
}

int server_state::foreign_requests() const {
    return std::max(m_listed_foreign_requests, m_reported_foreign_requests);
}

int server_state::free_slots(time_point now) const {
    if (!is_usable(now) || isolated)
        return 0;
    return std::max(0, m_window.window() - in_flight());
}

std::int64_t server_state::free_kv() const {
    std::int64_t free = m_kv_capacity - m_own_kv - m_listed_foreign_kv - m_assumed_used_kv;
    for (const auto& [reservation, tokens] : m_parts)
        free -= tokens;
    return free;
}

void server_state::update_incarnation(std::uint64_t incarnation, bool& changed, time_point now) {
    changed = m_incarnation != 0 && incarnation != m_incarnation;
    m_incarnation = incarnation;
    if (!changed)
        return;
    m_window.reset();
    m_gap_samples = 0;
    m_listed_foreign_requests = 0;
    m_listed_foreign_kv = 0;
    m_reported_foreign_requests = 0;
    m_foreign_known = !m_is_model;
    request_listing(now);
}

int server_state::recent_own_peak(time_point now) const {
    const bool stale = now - m_peak_period_start > 2 * max_report_lag;
    const int running = static_cast<int>(m_running.size());
    return stale ? running : std::max({running, m_own_peak, m_previous_own_peak});
}

void server_state::update_own_peak(time_point now) {
    const int running = static_cast<int>(m_running.size());
    if (now - m_peak_period_start > max_report_lag) {
        m_previous_own_peak = m_own_peak;
        m_own_peak = 0;
        m_peak_period_start = now;
    }
    m_own_peak = std::max(m_own_peak, running);
}

}  // namespace verbenahold
