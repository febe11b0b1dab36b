// What clients, backend servers and the operator of a soak run saw, with times.
// Times are milliseconds since the start of the run.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbenahold::soak {

// A kind of request; each has a route of its own.
struct request_kind {
    std::string name;
    std::string service;
    bool streams = false;
    bool may_run_again = false;
    double deadline_ms = 0;
    // Prompt tokens and events of the answer at the mean.
    double prompt_tokens = 0;
    double events = 0;
    // Share of all requests.
    double share = 0;
};

// The kinds of requests that clients send.
const std::vector<request_kind>& request_kinds();

// A stretch of time with a cause.
struct time_span {
    double from = 0;
    double to = 0;
    std::string what;
};

// A request that reached a backend server.
struct arrival {
    std::string server;
    std::string attempt;
    double at = 0;
    // When the server began to work on it; empty if it never did.
    std::optional<double> began;
    std::optional<double> ended;
    // Status of the server's answer; 0 if it sent none.
    int status = 0;
    bool states_not_executed = false;
    // The whole answer was written.
    bool answered = false;
    bool caller_left = false;
    // What the server did wrong to this request; empty if nothing.
    std::string disruption;
    std::string signature;
    std::string body;
    int events = 0;
    // Number of the event after the last one that was sent.
    int next_event = 0;
};

// How a request ended for its client.
struct client_outcome {
    double ended = 0;
    int status = 0;
    bool complete = false;
    bool channel_ended = false;
    bool channel_reset = false;
    // The client gave up or left.
    bool gave_up = false;
    std::size_t body_bytes = 0;
    double retry_after_ms = 0;
    std::string attempt_id;
    std::string signature;
    std::string body;
    // Bytes that are no HTTP answer.
    std::string malformed;
    std::string surplus;
};

struct request_record {
    std::string id;
    const request_kind* kind = nullptr;
    std::string host;
    int number_on_channel = 0;
    // Sent together with the request before it on the channel.
    bool is_pipelined = false;
    bool is_read_slowly = false;
    double deadline_ms = 0;
    double sent = 0;
    std::string body;
    std::string target;
    // The client account whose key it carries.
    std::string account;
    std::vector<std::shared_ptr<arrival>> arrivals;
    std::optional<client_outcome> outcome;
};

enum class reservation_phase : std::uint8_t { waiting, held, used, over };

// Memory set aside at a server.
struct reservation_record {
    std::string server;
    std::string name;
    std::int64_t tokens = 0;
    struct change {
        double at = 0;
        reservation_phase phase = reservation_phase::held;
        std::string why;
    };
    std::vector<change> changes;
    int orders = 0;
    // Requests that named the reservation, in the order of their arrival.
    std::vector<std::string> requests;
};

// A process of a daemon that ended though nobody ended it.
struct unexpected_end {
    std::string host;
    double at = 0;
    std::string how;
};

struct journal {
    std::unordered_map<std::string, std::shared_ptr<request_record>> requests;
    // Requests whose id no client sent, by server.
    std::vector<std::string> unknown_arrivals;
    std::vector<std::shared_ptr<reservation_record>> reservations;
    // Impairments and planned work by host, impairments of the store, of servers and
    // times in which a new desired state may be in force.
    std::map<std::string, std::vector<time_span>> host_impairments;
    std::map<std::string, std::vector<time_span>> stops;
    std::map<std::string, std::vector<time_span>> reloads;
    std::map<std::string, std::vector<time_span>> server_impairments;
    std::vector<time_span> store_impairments;
    std::vector<time_span> desired_states;
    std::vector<unexpected_end> ends;
    // Faults and changes in the order of time.
    std::vector<std::pair<double, std::string>> events;

    void note(const std::string& text);
};

// Starts a span that lasts until it is closed.
std::size_t open_span(std::vector<time_span>& spans, const std::string& what);
void close_span(std::vector<time_span>& spans, std::size_t which);

}  // namespace verbenahold::soak
