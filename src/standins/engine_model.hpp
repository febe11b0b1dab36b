// Cost model of a simulated engine, without network: continuous batching with
// chunked prefill, KV memory, priorities, the prefix cache and the cold phase.
//
// Prefill: `prefill_tokens_per_second` uncached tokens a second for the whole
// batch, spent on the streams with the highest priority first. Decode: each
// stream of the batch gets one token per step; a step takes `decode_step` and
// grows by `decode_step_growth` of it with each further stream.
#pragma once

#include "prefix_cache.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "verbenahold/types.hpp"

namespace verbenahold::standins {

struct engine_settings {
    double prefill_tokens_per_second = 20'000;
    duration decode_step = std::chrono::milliseconds(30);
    double decode_step_growth = 0.01;
    std::int64_t kv_tokens = 400'000;
    int max_batch = 16;
    std::int64_t prefix_cache_tokens = 200'000;
    duration event_lag = std::chrono::milliseconds(500);
    // Requests that a cold engine can hold, and completions after which it is
    // warm.
    int cold_capacity = 2;
    int warm_after = 4;
    bool starts_cold = true;
    // How long a cold engine runs slowly after the last request above
    // `cold_capacity`.
    duration collapse_time = std::chrono::seconds(2);
    std::string model_version = "1";
    // Engine time per real time: 10 makes the engine ten times as fast.
    double time_scale = 1;
};

struct group_part {
    std::string url;
    std::string reservation;
    std::int64_t tokens = 0;
    bool lost = false;
};

struct stream_request {
    std::string id;
    std::string prompt;
    std::vector<std::string> generated;
    std::int64_t max_tokens = 0;
    int priority = 0;
    std::vector<group_part> parts;
};

enum class stream_phase : std::uint8_t { queued, prefill, decode, stalled, finished };

struct model_stream {
    std::string id;
    std::uint64_t prompt_hash = 0;
    std::vector<std::uint64_t> prefix_hashes;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t max_tokens = 0;
    // Tokens of the answer so far, those of earlier attempts included.
    std::int64_t produced = 0;
    int priority = 0;
    std::uint64_t sequence = 0;
    double prefill_left = 0;
    // Fraction of the next decode step that has passed.
    double decode_progress = 0;
    // KV memory held; zero once the answer has been read to its end.
    std::int64_t kv_tokens = 0;
    stream_phase phase = stream_phase::queued;
    time_point created{};
    time_point ended{};
    std::vector<group_part> parts;
    bool crashes_engine = false;

    [[nodiscard]] bool is_active() const { return phase != stream_phase::finished; }
};

struct model_reservation {
    std::int64_t tokens = 0;
    // Tokens of KV cache imported into the reservation.
    std::int64_t imported = 0;
    time_point created{};
    std::optional<time_point> expires;
};

enum class start_result : std::uint8_t { started, stream_exists, overloaded, out_of_memory };

struct engine_load {
    int running = 0;
    int queued = 0;
    std::int64_t kv_used = 0;
    std::int64_t prefill_backlog = 0;
    // Empty while a model is being loaded.
    std::string model_version;
};

struct engine_counters {
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    // Requests that arrived while the engine was cold and already held
    // `cold_capacity` active ones.
    std::uint64_t cold_overloads = 0;
    std::uint64_t cold_phases = 0;
    std::uint64_t model_loads = 0;
    // Streams that a model load ended.
    std::uint64_t cut_by_load = 0;
    // Tokens of earlier attempts that differ from the expected answer.
    std::uint64_t wrong_generated = 0;
    std::uint64_t cached_tokens = 0;
    // Not an integer: one step can prefill a fraction of a token.
    double prefilled_tokens = 0;
};

class engine_model {
public:
    engine_model(engine_settings settings, std::string crash_marker);

    start_result start(const stream_request& request, time_point now);
    // Frees the stream's memory; false if there is no such stream.
    bool cancel(const std::string& id);
    // The whole answer has been read: frees its KV memory. The stream can be
    // read again for a while.
    void mark_read(const std::string& id);
    // Null if the stream is unknown.
    [[nodiscard]] const model_stream* find(const std::string& id) const;
    [[nodiscard]] const std::map<std::string, model_stream>& streams() const { return m_streams; }

    // False if the memory does not fit. Repeating changes size and expiry;
    // an `expires_in` of zero keeps the reservation until it is released.
    bool reserve(const std::string& id, std::int64_t tokens, duration expires_in, time_point now);
    void release(const std::string& id);
    [[nodiscard]] const std::map<std::string, model_reservation>& reservations() const { return m_reservations; }
    // Imports KV cache for a reservation, or for a stream that starts later.
    bool import_cache(const std::string& id, std::int64_t tokens, time_point now);

    // Marks a part as lost; the stream stalls until the part is replaced.
    void lose_part(const std::string& id, const std::string& url);
    // Replaces a lost part; `imported` tokens of the new one need no prefill.
    bool replace_part(const std::string& id, const std::string& lost_url, group_part part, std::int64_t imported);

    // Runs the engine until `now`; true if a prompt with the crash marker
    // crashes it.
    bool advance(time_point now);
    // Whether time changes anything.
    [[nodiscard]] bool is_busy() const;
    void make_cold();
    // Ends all streams and refuses new ones until end_load(), after which the
    // engine is cold. Does nothing if that version is loaded or being loaded;
    // returns whether a load began.
    bool begin_load(const std::string& version);
    void end_load();

    [[nodiscard]] engine_load load() const;
    [[nodiscard]] std::int64_t kv_used() const;
    [[nodiscard]] bool is_cold() const { return m_cold; }
    [[nodiscard]] const engine_counters& counters() const { return m_counters; }
    [[nodiscard]] const engine_settings& settings() const { return m_settings; }
    prefix_cache& cache() { return m_cache; }

private:
    [[nodiscard]] int count_active() const;
    [[nodiscard]] int batch_limit() const;
    [[nodiscard]] std::int64_t own_kv_tokens(const stream_request& request) const;
    // Streams of the batch, highest priority first, oldest first within a
    // priority.
    std::vector<model_stream*> fill_batch();
    bool run_prefill(const std::vector<model_stream*>& batch, double tokens, time_point now);
    void run_decode(const std::vector<model_stream*>& batch, double seconds, time_point now);
    void produce(model_stream& stream, std::int64_t tokens, time_point now);
    void expire(time_point now);

    engine_settings m_settings;
    std::string m_crash_marker;
    prefix_cache m_cache;
    std::map<std::string, model_stream> m_streams;
    std::map<std::string, model_reservation> m_reservations;
    std::uint64_t m_last_sequence = 0;
    time_point m_advanced_to{};
    bool m_cold = false;
    int m_completions_while_cold = 0;
    time_point m_collapsed_until{};
    std::string m_model_version;
    std::optional<std::string> m_loading_version;
    engine_counters m_counters;
};

}  // namespace verbenahold::standins
