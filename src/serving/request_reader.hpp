// Incremental HTTP request parser with strict framing. It rejects requests whose
// end is ambiguous, to prevent request smuggling: those with several lengths, with a
// length and a transfer coding, or with any transfer coding but "chunked".
#pragma once

#include "message_parser.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace verbenahold::serving {

struct request_bounds {
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304;

    friend bool operator==(const request_bounds&, const request_bounds&) = default;
};

class request_reader {
public:
    enum class progress { incomplete, complete, broken };

    explicit request_reader(request_bounds bounds);

    // Takes effect with the next request that begins.
    void set_bounds(request_bounds bounds);
    void feed(std::string_view bytes);
    [[nodiscard]] progress state() const { return m_state; }

    // Call only when complete. The next feed(), also of no bytes, parses the
    // next request.
    http_request take_request();
    // Connection properties of the last complete request.
    [[nodiscard]] bool keep_alive() const { return m_keep_alive; }
    [[nodiscard]] bool is_http_1_0() const { return m_http_1_0; }

    // HTTP status for the answer to a broken request: 400, 413 or 431.
    [[nodiscard]] int fault_status() const { return m_fault_status; }
    [[nodiscard]] const std::string& fault() const { return m_fault; }

    // A request has begun and is not complete.
    [[nodiscard]] bool has_begun() const { return m_state == progress::incomplete && m_begun; }
    [[nodiscard]] bool header_done() const { return m_parser->is_header_done(); }
    // Memory that holds the current request's body and the bytes that follow it.
    [[nodiscard]] std::size_t held_bytes() const { return m_parser->body.capacity() + m_input.capacity(); }
    // Returns true once if the caller sent "Expect: 100-continue" and waits
    // before it sends the body.
    bool take_expects_continue();
    // Bytes that are received but not parsed yet, such as pipelined requests.
    [[nodiscard]] std::size_t waiting_bytes() const { return m_input.size(); }

private:
    void make_parser();
    // Returns the number of bytes that were used.
    std::size_t parse(std::string_view bytes);
    void reject(int status, std::string reason);
    // Why the end of a request with this header is ambiguous; empty if it is not.
    [[nodiscard]] std::string_view framing_fault() const;

    request_bounds m_bounds;
    std::optional<message_parser<true>> m_parser;
    // Bytes that wait to be parsed.
    std::string m_input;
    // Bytes in a row that added nothing to a body.
    std::size_t m_bytes_without_body = 0;
    progress m_state = progress::incomplete;
    std::string m_fault;
    int m_fault_status = 400;
    bool m_begun = false;
    bool m_keep_alive = true;
    bool m_http_1_0 = false;
    bool m_continue_sent = false;
};

}  // namespace verbenahold::serving
