#include "request_reader.hpp"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <iterator>

namespace verbenahold::serving {

namespace http = boost::beast::http;

request_reader::request_reader(request_bounds bounds) : m_bounds(bounds) {
    make_parser();
}

void request_reader::make_parser() {
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_bounds.max_header_bytes));
    m_parser->body_limit(m_bounds.max_body_bytes);
    m_state = progress::incomplete;
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
    m_input.append(bytes);
    if (m_state == progress::incomplete) {
        parse();
    }
}

void request_reader::parse() {
    while (!m_input.empty()) {
        m_begun = true;
        boost::system::error_code error;
        const auto used = m_parser->put(boost::asio::buffer(m_input), error);
        m_input.erase(0, used);
        if (error && error != http::error::need_more) {
            m_state = progress::broken;
            m_fault = error.message();
            m_fault_status = error == http::error::body_limit ? 413 : error == http::error::header_limit ? 431 : 400;
            return;
        }
        if (const auto fault = m_parser->is_header_done() ? framing_fault() : std::string_view(); !fault.empty()) {
            m_state = progress::broken;
            m_fault = fault;
            m_fault_status = 400;
            return;
        }
        if (m_parser->is_done()) {
            m_state = progress::complete;
            m_keep_alive = m_parser->get().keep_alive();
            m_http_1_0 = m_parser->get().version() < 11;
            return;
        }
        if (error == http::error::need_more || used == 0) {
            return;
        }
    }
}

std::string_view request_reader::framing_fault() const {
    const auto& message = m_parser->get();
    const auto lengths = message.count(http::field::content_length);
    const auto codings = message.equal_range(http::field::transfer_encoding);
    const auto coding_count = std::distance(codings.first, codings.second);
    const auto length = message[http::field::content_length];
    const auto is_digit = [](char letter) { return letter >= '0' && letter <= '9'; };
    if (lengths > 1 || !std::all_of(length.begin(), length.end(), is_digit)) {
        return "several lengths, or one that is no number";
    }
    if (coding_count == 0) {
        return {};
    }
    if (lengths > 0) {
        return "a length and a transfer coding";
    }
    const auto coding = codings.first->value();
    const bool chunked = same_field_name({coding.data(), coding.size()}, "chunked");
    if (coding_count > 1 || !chunked || message.version() < 11) {
        return "a transfer coding other than chunked";
    }
    return {};
}

http_request request_reader::take_request() {
    auto& message = m_parser->get();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        request.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    make_parser();
    return request;
}

bool request_reader::take_expects_continue() {
    if (m_continue_sent || m_state != progress::incomplete || !header_done()) {
        return false;
    }
    if (!same_field_name(
            std::string_view(m_parser->get()[http::field::expect].data(), m_parser->get()[http::field::expect].size()),
            "100-continue")) {
        return false;
    }
    m_continue_sent = true;
    return true;
}

}  // namespace verbenahold::serving
