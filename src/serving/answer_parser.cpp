#include "answer_parser.hpp"

#include <boost/asio/buffer.hpp>

namespace verbenahold::serving {

namespace http = boost::beast::http;

namespace {

// Limit for the header of an answer; servers send smaller ones.
constexpr std::uint32_t max_answer_header_bytes = 64 * 1024;

}  // namespace

answer_parser::answer_parser() {
    make_parser();
}

void answer_parser::make_parser() {
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(max_answer_header_bytes);
    m_parser->body_limit(boost::none);
    if (m_head_request) {
        m_parser->skip(true);
    }
    m_has_head = false;
    m_begun = false;
}

void answer_parser::restart(bool answers_head_request) {
    m_head_request = answers_head_request;
    m_fault.clear();
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
        const auto used = m_parser->put(boost::asio::buffer(m_input), error);
        m_input.erase(0, used);
        if (error && error != http::error::need_more) {
            m_fault = error.message();
            return progress::broken;
        }
        if (!m_has_head && m_parser->is_header_done()) {
            // Skips 1xx answers, which have no body and precede the final one.
            if (m_parser->get().result_int() < 200) {
                make_parser();
                continue;
            }
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
