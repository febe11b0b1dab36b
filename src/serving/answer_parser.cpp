#include "answer_parser.hpp"

#include <boost/asio/buffer.hpp>

#include <limits>

namespace verbenahold::serving {

namespace http = boost::beast::http;

namespace {

// Limit for the header of an answer; servers send smaller ones.
constexpr std::size_t max_answer_header_bytes = 64UL * 1024;
// Limit for bytes in a row that add nothing to a body: interim answers, headers,
// extensions of chunks and trailers, any of which may come without end.
constexpr std::size_t max_bytes_without_body = 2 * max_answer_header_bytes;
// Statuses of HTTP. Below first_final_status an answer is interim.
constexpr int first_status = 100;
constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr int status_switching_protocols = 101;

}  // namespace

answer_parser::answer_parser() {
    make_parser();
}

void answer_parser::make_parser() {
    m_parser.emplace(max_answer_header_bytes);
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

std::string answer_parser::head_fault() const {
    const int status = m_parser->status;
    if (status < first_status || status > last_status) {
        return "the status " + std::to_string(status) + " is none of HTTP's";
    }
    // Requests ask for no other protocol.
    if (status == status_switching_protocols) {
        return "a change of protocol that was not asked for";
    }
    const bool never_has_body = status < first_final_status || status == status_no_content;
    if (never_has_body && (m_parser->chunked() || m_parser->announced_length().value_or(0) > 0)) {
        return "a body that the status " + std::to_string(status) + " does not allow";
    }
    return std::string(m_parser->coding_fault());
}

void answer_parser::store_head() {
    m_head = {m_parser->status, std::move(m_parser->reason), std::move(m_parser->fields), m_parser->announced_length()};
    m_has_head = true;
}

answer_parser::progress answer_parser::parse(std::string_view& bytes) {
    while (!bytes.empty()) {
        boost::system::error_code error;
        const auto body_before = m_parser->body.size();
        const auto used = m_parser->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        bytes.remove_prefix(used);
        m_bytes_without_body = m_parser->body.size() > body_before ? 0 : m_bytes_without_body + used;
        if (error && error != http::error::need_more) {
            m_fault = error.message();
            return progress::broken;
        }
        if (!m_has_head && m_parser->is_header_done()) {
            m_fault = head_fault();
            if (!m_fault.empty()) {
                return progress::broken;
            }
        }
        // 1xx answers have no body and precede the final one.
        const bool is_interim = m_parser->is_header_done() && m_parser->status < first_final_status;
        const bool is_final = m_parser->is_done() && !is_interim;
        if (!is_final && m_bytes_without_body + bytes.size() > max_bytes_without_body) {
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
    if (m_input.empty()) {
        m_begun = m_begun || !bytes.empty();
        const auto state = parse(bytes);
        m_input.assign(bytes);
        return state;
    }
    m_input.append(bytes);
    m_begun = true;
    std::string_view rest = m_input;
    const auto state = parse(rest);
    m_input.erase(0, m_input.size() - rest.size());
    if (m_input.empty()) {
        // Idle connections hold no buffer.
        m_input = {};
    }
    return state;
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
    body.swap(m_parser->body);
    return body;
}

bool answer_parser::keep_alive() const {
    return m_parser->is_done() && m_parser->keep_alive();
}

}  // namespace verbenahold::serving
