// JSON forms of completions: the request as callers send it, and the answers,
// whole and as server-sent events, in the form that clients of completion
// services know.
#pragma once

#include <QByteArray>

#include <boost/outcome.hpp>

#include <cstdint>
#include <string>
#include <string_view>

#include "verbenahold/commands.hpp"
#include "verbenahold/types.hpp"

namespace verbenahold {

struct completion_request {
    std::string model;
    std::string prompt;
    std::int64_t max_tokens = 0;
    bool stream = false;
    // Zero: none was given.
    duration deadline{};
};

inline constexpr std::int64_t default_max_tokens = 256;
inline constexpr std::int64_t most_max_tokens = 1'000'000;
inline constexpr std::int64_t longest_deadline_ms = 24LL * 3600 * 1000;

// What is wrong with a request, for its caller.
struct request_fault {
    std::string message;
};

template <class T>
using request_result =
    BOOST_OUTCOME_V2_NAMESPACE::result<T, request_fault, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

request_result<completion_request> parse_completion(const QByteArray& body);
// Deadline in milliseconds from the header X-Deadline-Ms; zero if empty.
request_result<duration> parse_deadline(const QByteArray& text);

// What identifies an answer in each of its parts.
struct completion_identity {
    std::uint64_t ticket = 0;
    std::int64_t created_s = 0;
    std::string model;
};

QByteArray whole_completion(const completion_identity& identity, std::string_view text, const reply_finished& end);
// One event with tokens.
QByteArray token_event(const completion_identity& identity, const reply_tokens& tokens);
// The last events of a stream: finish reason and usage, then "[DONE]".
QByteArray end_events(const completion_identity& identity, const reply_finished& end);
// {"error":{"code","message","ran"}}
QByteArray error_body(std::string_view code, std::string_view message, ran_state ran);
// The same as an event that ends a stream.
QByteArray error_event(std::string_view code, std::string_view message, ran_state ran);

// Appends `text` as a JSON string with its quotes.
void append_json_string(QByteArray& to, std::string_view text);

}  // namespace verbenahold
