// What the daemons together have given each backend server and how long it
// will take: work that is read, sequences that write and the length of the
// passes that follow from them.
#pragma once

#include "desired_state.hpp"
#include "server_report.hpp"

#include <compare>
#include <map>
#include <vector>

namespace verbenahold::serving {

// One request of one daemon; unique while the request lives.
struct work_id {
    std::uint64_t daemon = 0;
    std::uint64_t number = 0;
    auto operator<=>(const work_id&) const = default;
};

// What one request asks of one server.
struct work_item {
    server_name server;
    // Time that the server reads for it, in milliseconds; 0 for plain calls.
    double read_ms = 0;
    // Tokens of context that it holds there; 0 for a server that only helps read.
    std::int64_t context_tokens = 0;
    bool writes = true;
    // Longest pause that the caller accepts; bounds how long passes may get.
    duration pause_target{};
    // When the caller expects the first event, counted from the sending.
    duration latency_target{};
    // How many callers with an ordinary prompt the request stands for.
    double weight = 1;
};

// A request that is read at a server. All that is read in one pass is done at
// the end of the pass, so more reading delays it.
struct pending_reader {
    time_point sent{};
    duration latency_target{};
    double weight = 1;
};

// A stream that is written at a server, or will be after its reading.
struct open_stream {
    duration pause_target{};
    double weight = 1;
};

// Load of one server at one moment.
struct server_load {
    // Requests that hold a place: they read or write there. Includes those that
    // only the server's own report knows of.
    int places = 0;
    // Writing or reading sequences with a pause target up to `short_pause`.
    int short_sequences = 0;
    std::int64_t context_tokens = 0;
    // Time until all reading that was given to the server is done.
    double backlog_ms = 0;
    // Time that the server's work takes, in that of a sound one.
    double pace = 1;
    std::vector<pending_reader> readers;
    std::vector<open_stream> streams;
};

// Pauses up to this mark interactive streams, which are packed together. It
// lies between the pause targets of short and of longer prompts.
inline constexpr duration short_pause = std::chrono::milliseconds(400);

// Whether the caller notices short pauses.
bool is_interactive(duration pause_target);
// Milliseconds that one server reads `tokens` of a prompt, alone.
double reading_ms(const engine_figures& engine, std::int64_t tokens);
// Milliseconds of a pass in which nothing is read.
double pass_ms(const engine_figures& engine, const server_load& load);

class engine_load {
public:
    // The request was sent to the server; a server may have several items of
    // one request only if they differ in `server`.
    void add(work_id id, const work_item& item, time_point now, time_point expires);
    // The first event came: everything read for the request is done.
    void reading_done(work_id id, time_point now);
    void remove(work_id id, time_point now);
    // An event of a stream came from the server.
    void note_activity(const server_name& server, time_point now);
    // When something last came from the server; the start of time if never.
    [[nodiscard]] time_point last_activity(const server_name& server) const;
    // When something last came from the server or it told its load: whether it
    // lives, though a long pass may keep its streams waiting.
    [[nodiscard]] time_point last_sign_of_life(const server_name& server) const;
    // When the newest request whose reading is done was sent to the server:
    // servers read in the order of arrival, so one that was sent long before
    // is stuck.
    [[nodiscard]] time_point newest_read(const server_name& server) const;
    // The server told its load. What it has beyond the requests known here was
    // given by daemons that have ended, and counts until the next report.
    void on_report(const server_report& report, time_point now);
    // The daemon ended: all its requests are gone.
    void remove_daemon(std::uint64_t daemon, time_point now);
    // Drops items past their time, whose end was never heard of.
    void drop_expired(time_point now);

    [[nodiscard]] server_load load_of(const server_name& server, time_point now) const;
    [[nodiscard]] std::size_t size() const { return m_requests.size(); }

private:
    struct tracked_request {
        std::vector<work_item> items;
        bool reading = true;
        time_point added{};
        time_point expires{};
    };
    struct tracked_server {
        server_load load;
        std::map<work_id, pending_reader> readers;
        std::map<work_id, open_stream> streams;
        time_point reading_ends{};
        time_point last_activity{};
        time_point newest_read{};
        // Requests and tokens beyond those tracked, and when they were told.
        int foreign_requests = 0;
        std::int64_t foreign_tokens = 0;
        double pace = 1;
        time_point reported{};
        // Most that was tracked since the report before: reports lag.
        int most_places = 0;
        std::int64_t most_tokens = 0;
    };

    void detach(work_id id, const tracked_request& request);
    void stop_reading(work_id id, tracked_request& request, time_point now);

    std::map<work_id, tracked_request> m_requests;
    std::map<server_name, tracked_server> m_servers;
};

}  // namespace verbenahold::serving
