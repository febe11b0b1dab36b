// Incremental parser for HTTP answers with strict framing by length, chunks or
// the end of the connection.
#pragma once

#include "message_parser.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace verbenahold::serving {

class answer_parser {
public:
    // State of the current answer after the bytes fed so far.
    enum class progress { incomplete, complete, broken };

    answer_parser();

    // Starts the next answer on the connection. Bytes after the previous answer
    // are kept.
    void restart(bool answers_head_request);
    progress feed(std::string_view bytes);
    // The peer closed the connection without a reset, which completes an answer
    // without a length.
    progress feed_end();

    [[nodiscard]] bool has_head() const { return m_has_head; }
    // Valid once has_head().
    [[nodiscard]] const http_answer_head& head() const { return m_head; }
    // Returns the body bytes that arrived since the last call.
    std::string take_body();
    // The connection may carry another request.
    [[nodiscard]] bool keep_alive() const;
    // The answer has neither a length nor chunks, so the connection's end ends it.
    [[nodiscard]] bool ends_with_connection() const { return m_parser->need_eof(); }
    // There are bytes after the complete answer.
    [[nodiscard]] bool has_surplus() const { return !m_input.empty(); }
    // Some bytes of the answer have arrived.
    [[nodiscard]] bool has_begun() const { return m_begun; }
    // Why the answer is broken.
    [[nodiscard]] const std::string& fault() const { return m_fault; }

private:
    // Parses from the front of `bytes` and removes what was used.
    progress parse(std::string_view& bytes);
    // Why the head that was parsed belongs to no answer; empty if it does.
    [[nodiscard]] std::string head_fault() const;
    void store_head();
    void make_parser();

    std::optional<message_parser<false>> m_parser;
    // Bytes that wait to be parsed.
    std::string m_input;
    http_answer_head m_head;
    std::string m_fault;
    // Bytes in a row that added nothing to a body.
    std::size_t m_bytes_without_body = 0;
    bool m_head_request = false;
    bool m_has_head = false;
    bool m_begun = false;
};

}  // namespace verbenahold::serving
