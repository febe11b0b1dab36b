#include "request_reader.hpp"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <utility>

namespace verbenahold::serving {

namespace http = boost::beast::http;

request_reader::request_reader(request_bounds bounds) : m_bounds(bounds) {
    make_parser();
}

void request_reader::make_parser() {
    m_parser.emplace(m_bounds.max_header_bytes);
    m_parser->body_limit(m_bounds.max_body_bytes);
    m_state = progress::incomplete;
    m_bytes_without_body = 0;
    m_begun = false;
    m_continue_sent = false;
}

void request_reader::set_bounds(request_bounds bounds) {
    const bool changed = bounds != m_bounds;
    m_bounds = bounds;
    if (changed && !m_begun && m_state == progress::incomplete) {
        make_parser();
    }
}

void request_reader::feed(std::string_view bytes) {
    if (m_state != progress::incomplete) {
        m_input.append(bytes);
        return;
    }
    if (m_input.empty()) {
        m_input.assign(bytes.substr(parse(bytes)));
        return;
    }
    m_input.append(bytes);
    m_input.erase(0, parse(m_input));
    if (m_input.empty()) {
        // Idle connections hold no buffer.
        m_input = {};
    }
}

std::size_t request_reader::parse(std::string_view bytes) {
    std::size_t used = 0;
    while (used < bytes.size()) {
        m_begun = true;
        boost::system::error_code error;
        const auto body_before = m_parser->body.size();
        const auto rest = bytes.substr(used);
        const auto parsed = m_parser->put(boost::asio::buffer(rest.data(), rest.size()), error);
        used += parsed;
        m_bytes_without_body = m_parser->body.size() > body_before ? 0 : m_bytes_without_body + parsed;
        if (error && error != http::error::need_more) {
            reject(error == http::error::body_limit     ? 413
                   : error == http::error::header_limit ? 431
                                                        : 400,
                   error.message());
            return used;
        }
        if (const auto fault = m_parser->is_header_done() ? framing_fault() : std::string_view(); !fault.empty()) {
            reject(400, std::string(fault));
            return used;
        }
        if (m_parser->is_done()) {
            m_state = progress::complete;
            m_keep_alive = m_parser->keep_alive();
            m_http_1_0 = m_parser->is_http_1_0;
            return used;
        }
        // Extensions of chunks and trailers may come without end, as may a header.
        if (m_bytes_without_body + bytes.size() - used > 2 * m_bounds.max_header_bytes) {
            reject(431, "too many bytes that are no part of a body");
            return used;
        }
        if (error == http::error::need_more || parsed == 0) {
            return used;
        }
    }
    return used;
}

void request_reader::reject(int status, std::string reason) {
    m_state = progress::broken;
    m_fault_status = status;
    m_fault = std::move(reason);
}

std::string_view request_reader::framing_fault() const {
    std::size_t lengths = 0;
    std::string_view length;
    for (const auto& field : m_parser->fields) {
        if (same_field_name(field.name, "Content-Length")) {
            ++lengths;
            length = field.value;
        }
    }
    const auto is_digit = [](char letter) { return letter >= '0' && letter <= '9'; };
    if (lengths > 1 || !std::all_of(length.begin(), length.end(), is_digit)) {
        return "several lengths, or one that is no number";
    }
    if (lengths > 0 && !field_value(m_parser->fields, "Transfer-Encoding").empty()) {
        return "a length and a transfer coding";
    }
    return m_parser->coding_fault();
}

http_request request_reader::take_request() {
    http_request request{std::move(m_parser->method), std::move(m_parser->target), std::move(m_parser->fields),
                         std::move(m_parser->body)};
    make_parser();
    return request;
}

bool request_reader::take_expects_continue() {
    if (m_continue_sent || m_state != progress::incomplete || !header_done()) {
        return false;
    }
    if (!same_field_name(field_value(m_parser->fields, "Expect"), "100-continue")) {
        return false;
    }
    m_continue_sent = true;
    return true;
}

}  // namespace verbenahold::serving
