// Parses one HTTP message into its parts, with strict framing. Memory grows with
// the bytes that have arrived, never with a length that the peer announces.
#pragma once

#include "http_types.hpp"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace verbenahold::serving {

template <bool IsRequest>
class message_parser : public boost::beast::http::basic_parser<IsRequest> {
public:
    // Of a request.
    std::string method;
    std::string target;
    // Of an answer.
    int status = 0;
    std::string reason;

    bool is_http_1_0 = false;
    // Header fields. Trailers are checked and dropped.
    header_fields fields;
    // Bytes of the body that were not taken yet.
    std::string body;

    // Limits the bytes of all field names and values together.
    explicit message_parser(std::size_t max_field_bytes) : m_max_field_bytes(max_field_bytes) {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(max_field_bytes));
    }

    // The announced length of the body; empty if none was announced.
    [[nodiscard]] std::optional<std::uint64_t> announced_length() const {
        const auto length = this->content_length();
        return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
    }

    // Why the transfer coding leaves the message's end or body uncertain; empty if it does
    // not. Valid once the header is done, before the fields are moved.
    [[nodiscard]] std::string_view coding_fault() const {
        const auto is_coding = [](const header_field& field) {
            return same_field_name(field.name, "Transfer-Encoding");
        };
        const auto codings = std::count_if(fields.begin(), fields.end(), is_coding);
        if (codings == 0) {
            return {};
        }
        const auto coding = field_value(fields, "Transfer-Encoding");
        if (codings > 1 || !same_field_name(coding, "chunked") || is_http_1_0) {
            return "a transfer coding other than chunked";
        }
        return {};
    }

private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, string_view method_text, string_view target_text, int version,
                         error_code&) override {
        method.assign(method_text.data(), method_text.size());
        target.assign(target_text.data(), target_text.size());
        is_http_1_0 = version < 11;
    }

    void on_response_impl(int code, string_view reason_text, int version, error_code&) override {
        status = code;
        reason.assign(reason_text.data(), reason_text.size());
        is_http_1_0 = version < 11;
    }

    void on_field_impl(boost::beast::http::field, string_view name, string_view value, error_code& error) override {
        m_field_bytes += name.size() + value.size();
        if (m_field_bytes > m_max_field_bytes) {
            error = boost::beast::http::error::header_limit;
        } else if (!this->is_header_done()) {
            fields.push_back({std::string(name.data(), name.size()), std::string(value.data(), value.size())});
        }
    }

    void on_header_impl(error_code&) override {}
    void on_body_init_impl(boost::optional<std::uint64_t> const&, error_code&) override {}

    std::size_t on_body_impl(string_view bytes, error_code&) override {
        append_arrived(body, {bytes.data(), bytes.size()}, announced_length());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes, error_code&) override {
        append_arrived(body, {bytes.data(), bytes.size()}, std::nullopt);
        return bytes.size();
    }

    void on_finish_impl(error_code&) override {}

    std::size_t m_max_field_bytes;
    std::size_t m_field_bytes = 0;
};

}  // namespace verbenahold::serving
