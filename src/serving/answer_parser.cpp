#include "answer_parser.hpp"

#include <boost/asio/buffer.hpp>

#include <limits>

namespace verbenahold::serving {

namespace http = boost::beast::http;

namespace {

// Limit for the header of an answer; servers send smaller ones.
constexpr std::uint32_t max_answer_header_bytes = 64 * 1024;
// Limit for bytes in a row that add nothing to a body: interim answers, headers,
// extensions of chunks and trailers, any of which may come without end.
constexpr std::size_t max_bytes_without_body = 2 * std::size_t{max_answer_header_bytes};

}  // namespace

answer_parser::answer_parser() {
    make_parser();
}

void answer_parser::make_parser() {
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(max_answer_header_bytes);
    // Not boost::none: Boost 1.74 takes any length to be over that limit.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    if (m_head_request) {
        m_parser->skip(true);
    }
    m_has_head = false;
    m_begun = false;
}

void answer_parser::restart(bool answers_head_request) {
    m_head_request = answers_head_request;
    m_fault.clear();
    m_bytes_without_body = 0;
    make_parser();
}

void answer_parser::store_head() {
    const auto& message = m_parser->get();
    m_head = {};
    m_head.status = static_cast<int>(message.result_int());
    m_head.reason = std::string(message.reason());
    for (const auto& field : message) {
        m_head.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    m_has_head = true;
}

answer_parser::progress answer_parser::parse() {
    while (!m_input.empty()) {
        boost::system::error_code error;
        const auto body_before = m_parser->get().body().size();
        const auto used = m_parser->put(boost::asio::buffer(m_input), error);
        m_input.erase(0, used);
        m_bytes_without_body = m_parser->get().body().size() > body_before ? 0 : m_bytes_without_body + used;
        if (error && error != http::error::need_more) {
            m_fault = error.message();
            return progress::broken;
        }
        // 1xx answers have no body and precede the final one.
        const bool is_interim = m_parser->is_header_done() && m_parser->get().result_int() < 200;
        const bool is_final = m_parser->is_done() && !is_interim;
        if (!is_final && m_bytes_without_body + m_input.size() > max_bytes_without_body) {
            m_fault = "too many bytes that are no part of a body";
            return progress::broken;
        }
        if (is_interim) {
            make_parser();
            continue;
        }
        if (!m_has_head && m_parser->is_header_done()) {
            store_head();
        }
        if (m_parser->is_done()) {
            return progress::complete;
        }
        if (error == http::error::need_more || used == 0) {
            break;
        }
    }
    return progress::incomplete;
}

answer_parser::progress answer_parser::feed(std::string_view bytes) {
    m_input.append(bytes);
    m_begun = m_begun || !m_input.empty();
    return parse();
}

answer_parser::progress answer_parser::feed_end() {
    if (m_parser->is_done()) {
        return progress::complete;
    }
    boost::system::error_code error;
    m_parser->put_eof(error);
    if (error || !m_has_head || !m_parser->is_done()) {
        m_fault = error ? error.message() : "the connection ended before the answer";
        return progress::broken;
    }
    return progress::complete;
}

std::string answer_parser::take_body() {
    std::string body;
    body.swap(m_parser->get().body());
    return body;
}

bool answer_parser::keep_alive() const {
    return m_parser->is_done() && m_parser->get().keep_alive() && !m_parser->need_eof();
}

}  // namespace verbenahold::serving
