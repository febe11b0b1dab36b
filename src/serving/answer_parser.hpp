// Reads one HTTP answer from the bytes of a connection: strict framing by
// length, chunks or the end of the connection.
#pragma once

#include "http_types.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace verbenahold::serving {

class answer_parser {
public:
    // What the bytes that were fed so far amount to.
    enum class progress { incomplete, complete, broken };

    answer_parser();

    // Starts over for the next answer on the connection; bytes beyond the
    // previous answer are kept.
    void restart(bool answers_head_request);
    progress feed(std::string_view bytes);
    // The connection ended in order. An answer without a length is complete.
    progress feed_end();

    [[nodiscard]] bool has_head() const { return m_has_head; }
    // Valid once has_head().
    [[nodiscard]] const http_answer_head& head() const { return m_head; }
    // Body bytes that came since the last call.
    std::string take_body();
    // The connection may carry another request.
    [[nodiscard]] bool keep_alive() const;
    // Bytes that came after the complete answer.
    [[nodiscard]] bool has_surplus() const { return !m_input.empty(); }
    // Some bytes of the answer have come.
    [[nodiscard]] bool has_begun() const { return m_begun; }
    // Why the answer is broken.
    [[nodiscard]] const std::string& fault() const { return m_fault; }

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    progress parse();
    void note_head();
    void make_parser();

    std::optional<parser> m_parser;
    std::string m_input;
    http_answer_head m_head;
    std::string m_fault;
    bool m_head_request = false;
    bool m_has_head = false;
    bool m_begun = false;
};

}  // namespace verbenahold::serving
