// JSON format of completions: parsing of requests, and formatting of complete
// and streamed (server-sent events) answers in the format of common completion
// APIs.
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
    // Zero if the request has no deadline.
    duration deadline{};
};

inline constexpr std::int64_t default_max_tokens = 256;
inline constexpr std::int64_t max_tokens_limit = 1'000'000;
inline constexpr std::int64_t max_deadline_ms = 24LL * 3600 * 1000;

// Error message about an invalid request, returned to the caller.
struct request_fault {
    std::string message;
};

template <class T>
using request_result =
    BOOST_OUTCOME_V2_NAMESPACE::result<T, request_fault, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

request_result<completion_request> parse_completion(const QByteArray& body);
// Parses the value of the header X-Deadline-Ms; an empty value gives zero.
request_result<duration> parse_deadline(const QByteArray& text);

// Fields that are repeated in every event of one answer.
struct completion_identity {
    std::uint64_t ticket = 0;
    std::int64_t created_s = 0;
    std::string model;
};

QByteArray completion_body(const completion_identity& identity, std::string_view text, const reply_finished& end);
// A server-sent event that carries tokens.
QByteArray token_event(const completion_identity& identity, const reply_tokens& tokens);
// The final events of a stream: finish reason and usage, then "[DONE]".
QByteArray end_events(const completion_identity& identity, const reply_finished& end);
// {"error":{"code","message","ran"}}
QByteArray error_body(std::string_view code, std::string_view message, ran_state ran);
// The same error as the server-sent event that ends a stream.
QByteArray error_event(std::string_view code, std::string_view message, ran_state ran);

// Appends `text` as a JSON string, including the quotes.
void append_json_string(QByteArray& to, std::string_view text);

}  // namespace verbenahold
