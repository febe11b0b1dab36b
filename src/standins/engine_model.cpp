#include "engine_model.hpp"

#include "token_text.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace verbenahold::standins {

namespace {

constexpr std::int64_t bytes_per_token = 4;
// Slowdown of a cold engine that was given more than `cold_capacity` requests.
constexpr double collapse_slowdown = 10;
// How long an answer that has been read to its end can be read again.
constexpr duration read_answer_retention = std::chrono::seconds(30);

std::int64_t count_tokens(std::string_view prompt) {
    return (static_cast<std::int64_t>(prompt.size()) + bytes_per_token - 1) / bytes_per_token;
}

bool runs_before(const model_stream* a, const model_stream* b) {
    return std::pair(-a->priority, a->sequence) < std::pair(-b->priority, b->sequence);
}

double seconds_of(duration span) {
    return std::chrono::duration<double>(span).count();
}

}  // namespace

engine_model::engine_model(engine_settings settings, std::string crash_marker)
    : m_settings(std::move(settings)),
      m_crash_marker(std::move(crash_marker)),
      m_cache(m_settings.prefix_cache_tokens, m_settings.event_lag),
      m_model_version(m_settings.model_version) {
    if (m_settings.starts_cold) {
        make_cold();
    }
}

int engine_model::count_active() const {
    return static_cast<int>(
        std::count_if(m_streams.begin(), m_streams.end(), [](const auto& item) { return item.second.is_active(); }));
}

int engine_model::batch_limit() const {
    return m_cold ? std::min(m_settings.cold_capacity, m_settings.max_batch) : m_settings.max_batch;
}

std::int64_t engine_model::own_kv_tokens(const stream_request& request) const {
    std::int64_t prompt = count_tokens(request.prompt);
    for (const group_part& part : request.parts) {
        prompt -= part.tokens;
    }
    const std::int64_t answer = std::max(request.max_tokens, static_cast<std::int64_t>(request.generated.size()));
    return std::max<std::int64_t>(prompt, 0) + answer;
}

start_result engine_model::start(const stream_request& request, time_point now) {
    advance(now);
    if (m_streams.contains(request.id)) {
        return start_result::stream_exists;
    }
    if (m_cold && count_active() >= m_settings.cold_capacity) {
        ++m_counters.cold_overloads;
        m_collapsed_until = now + m_settings.collapse_time;
    }
    if (now < m_collapsed_until || m_loading_version) {
        ++m_counters.refused;
        return start_result::overloaded;
    }
    const std::int64_t needed = own_kv_tokens(request);
    if (kv_used() + needed > m_settings.kv_tokens) {
        ++m_counters.refused;
        return start_result::out_of_memory;
    }

    model_stream stream;
    stream.id = request.id;
    stream.prompt_hash = hash_prompt(request.prompt);
    stream.prefix_hashes = hash_prompt_blocks(request.prompt);
    stream.prompt_tokens = count_tokens(request.prompt);
    stream.cached_tokens = std::min(m_cache.find(stream.prefix_hashes), stream.prompt_tokens);
    stream.max_tokens = request.max_tokens;
    stream.produced = static_cast<std::int64_t>(request.generated.size());
    stream.priority = request.priority;
    stream.sequence = ++m_last_sequence;
    stream.prefill_left = static_cast<double>(stream.prompt_tokens - stream.cached_tokens + stream.produced);
    stream.kv_tokens = needed;
    stream.created = now;
    stream.parts = request.parts;
    stream.crashes_engine = !m_crash_marker.empty() && request.prompt.find(m_crash_marker) != std::string::npos;
    for (std::size_t i = 0; i < request.generated.size(); ++i) {
        m_counters.wrong_generated += request.generated[i] == token_text(stream.prompt_hash, i) ? 0 : 1;
    }
    // KV cache imported under this stream's id now belongs to the stream.
    if (const auto imported = m_reservations.find(request.id); imported != m_reservations.end()) {
        stream.prefill_left = std::max(0.0, stream.prefill_left - static_cast<double>(imported->second.imported));
        m_reservations.erase(imported);
    }
    ++m_counters.started;
    m_counters.cached_tokens += static_cast<std::uint64_t>(stream.cached_tokens);
    m_streams.emplace(request.id, std::move(stream));
    return start_result::started;
}

bool engine_model::cancel(const std::string& id) {
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return false;
    }
    if (found->second.is_active()) {
        ++m_counters.cancelled;
    }
    m_streams.erase(found);
    return true;
}

void engine_model::mark_read(const std::string& id) {
    const auto found = m_streams.find(id);
    if (found != m_streams.end() && !found->second.is_active()) {
        found->second.kv_tokens = 0;
    }
}

const model_stream* engine_model::find(const std::string& id) const {
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : &found->second;
}

bool engine_model::reserve(const std::string& id, std::int64_t tokens, duration expires_in, time_point now) {
    advance(now);
    const auto found = m_reservations.find(id);
    const std::int64_t held = found == m_reservations.end() ? 0 : found->second.tokens;
    if (kv_used() - held + tokens > m_settings.kv_tokens) {
        return false;
    }
    model_reservation& reservation = m_reservations[id];
    if (held == 0) {
        reservation.created = now;
    }
    reservation.tokens = tokens;
    reservation.expires = expires_in > duration::zero() ? std::optional(now + expires_in) : std::nullopt;
    return true;
}

void engine_model::release(const std::string& id) {
    m_reservations.erase(id);
}

bool engine_model::import_cache(const std::string& id, std::int64_t tokens, time_point now) {
    advance(now);
    const auto found = m_reservations.find(id);
    if (found == m_reservations.end() && !reserve(id, tokens, duration::zero(), now)) {
        return false;
    }
    model_reservation& reservation = m_reservations[id];
    reservation.imported = std::min(tokens, reservation.tokens);
    return true;
}

void engine_model::lose_part(const std::string& id, const std::string& url) {
    const auto found = m_streams.find(id);
    if (found == m_streams.end() || !found->second.is_active()) {
        return;
    }
    for (group_part& part : found->second.parts) {
        if (part.url == url) {
            part.lost = true;
            found->second.phase = stream_phase::stalled;
        }
    }
}

bool engine_model::replace_part(const std::string& id, const std::string& lost_url, group_part part,
                                std::int64_t imported) {
    const auto found = m_streams.find(id);
    if (found == m_streams.end() || !found->second.is_active()) {
        return false;
    }
    model_stream& stream = found->second;
    const auto lost = std::find_if(stream.parts.begin(), stream.parts.end(),
                                   [&](const group_part& item) { return item.url == lost_url; });
    if (lost == stream.parts.end()) {
        return false;
    }
    stream.prefill_left += static_cast<double>(std::max<std::int64_t>(0, lost->tokens - imported));
    *lost = std::move(part);
    const bool whole =
        std::none_of(stream.parts.begin(), stream.parts.end(), [](const group_part& item) { return item.lost; });
    stream.phase = whole ? stream_phase::queued : stream_phase::stalled;
    return true;
}

std::vector<model_stream*> engine_model::fill_batch() {
    std::vector<model_stream*> batch;
    std::vector<model_stream*> waiting;
    for (auto& [id, stream] : m_streams) {
        if (stream.phase == stream_phase::queued) {
            waiting.push_back(&stream);
        } else if (stream.phase == stream_phase::prefill || stream.phase == stream_phase::decode) {
            batch.push_back(&stream);
        }
    }
    std::sort(waiting.begin(), waiting.end(), runs_before);
    std::sort(batch.begin(), batch.end(), runs_before);
    const auto limit = static_cast<std::size_t>(batch_limit());
    for (model_stream* stream : waiting) {
        if (batch.size() >= limit) {
            break;
        }
        stream->phase = stream_phase::prefill;
        batch.push_back(stream);
    }
    // The limit drops when the engine becomes cold; streams above it pause.
    batch.resize(std::min(batch.size(), limit));
    std::sort(batch.begin(), batch.end(), runs_before);
    return batch;
}

bool engine_model::advance(time_point now) {
    const duration elapsed = std::max(duration::zero(), now - m_advanced_to);
    m_advanced_to = now;
    expire(now);
    double seconds = seconds_of(elapsed) * m_settings.time_scale;
    if (now < m_collapsed_until) {
        seconds /= collapse_slowdown;
    }
    const std::vector<model_stream*> batch = fill_batch();
    run_decode(batch, seconds, now);
    return run_prefill(batch, seconds * m_settings.prefill_tokens_per_second, now);
}

bool engine_model::run_prefill(const std::vector<model_stream*>& batch, double tokens, time_point now) {
    for (model_stream* stream : batch) {
        if (stream->phase != stream_phase::prefill) {
            continue;
        }
        const double taken = std::min(tokens, stream->prefill_left);
        stream->prefill_left -= taken;
        tokens -= taken;
        m_counters.prefilled_tokens += taken;
        if (stream->prefill_left > 0) {
            continue;
        }
        if (stream->crashes_engine) {
            return true;
        }
        m_cache.store(stream->prefix_hashes, now);
        stream->phase = stream_phase::decode;
        // The end of prefill yields the first token.
        produce(*stream, 1, now);
    }
    return false;
}

void engine_model::run_decode(const std::vector<model_stream*>& batch, double seconds, time_point now) {
    const auto decoding = std::count_if(
        batch.begin(), batch.end(), [](const model_stream* stream) { return stream->phase == stream_phase::decode; });
    const double step =
        seconds_of(m_settings.decode_step) * (1 + m_settings.decode_step_growth * static_cast<double>(decoding - 1));
    for (model_stream* stream : batch) {
        if (stream->phase != stream_phase::decode) {
            continue;
        }
        stream->decode_progress += seconds / step;
        const double whole = std::floor(stream->decode_progress);
        stream->decode_progress -= whole;
        produce(*stream, static_cast<std::int64_t>(whole), now);
    }
}

void engine_model::produce(model_stream& stream, std::int64_t tokens, time_point now) {
    stream.produced = std::min(stream.produced + tokens, stream.max_tokens);
    if (stream.produced < stream.max_tokens) {
        return;
    }
    stream.phase = stream_phase::finished;
    stream.ended = now;
    ++m_counters.finished;
    if (m_cold && ++m_completions_while_cold >= m_settings.warm_after) {
        m_cold = false;
    }
}

void engine_model::expire(time_point now) {
    std::erase_if(m_reservations, [&](const auto& item) { return item.second.expires && *item.second.expires <= now; });
    std::erase_if(m_streams, [&](const auto& item) {
        const model_stream& stream = item.second;
        return !stream.is_active() && stream.kv_tokens == 0 && stream.ended + read_answer_retention <= now;
    });
}

bool engine_model::is_busy() const {
    return std::any_of(m_streams.begin(), m_streams.end(), [](const auto& item) {
        return item.second.is_active() && item.second.phase != stream_phase::stalled;
    });
}

void engine_model::make_cold() {
    m_cold = true;
    m_completions_while_cold = 0;
    ++m_counters.cold_phases;
    m_cache.clear();
}

bool engine_model::begin_load(const std::string& version) {
    if (version == m_loading_version.value_or(m_model_version)) {
        return false;
    }
    m_counters.cut_by_load += static_cast<std::uint64_t>(count_active());
    m_streams.clear();
    m_loading_version = version;
    ++m_counters.model_loads;
    make_cold();
    return true;
}

void engine_model::end_load() {
    if (m_loading_version) {
        m_model_version = *m_loading_version;
        m_loading_version.reset();
    }
}

std::int64_t engine_model::kv_used() const {
    std::int64_t used = 0;
    for (const auto& [id, stream] : m_streams) {
        used += stream.kv_tokens;
    }
    for (const auto& [id, reservation] : m_reservations) {
        used += reservation.tokens;
    }
    return used;
}

engine_load engine_model::load() const {
    engine_load report;
    double backlog = 0;
    for (const auto& [id, stream] : m_streams) {
        const bool waits = stream.phase == stream_phase::queued;
        report.running += stream.is_active() && !waits ? 1 : 0;
        report.queued += waits ? 1 : 0;
        backlog += stream.is_active() ? stream.prefill_left : 0;
    }
    report.kv_used = kv_used();
    report.prefill_backlog = static_cast<std::int64_t>(backlog);
    report.model_version = m_loading_version ? std::string() : m_model_version;
    return report;
}

}  // namespace verbenahold::standins
