// The HTTP interface for operators in a control process.
#pragma once

#include <QByteArray>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "control_shell.hpp"
#include "http_server.hpp"

namespace verbenahold {

class operator_listener : public http_server {
public:
    // `key_hashes` are the SHA-256 hashes of the accepted operator keys; more
    // than one allows key rotation. `shell` must outlive this object.
    operator_listener(control_shell& shell, std::vector<QByteArray> key_hashes, QObject* parent = nullptr);

private:
    using request_action = std::function<void(const http_request&, std::uint64_t ticket, const shared_reply&)>;

    void add_operator_route(const QByteArray& method, const QString& prefix, request_action action);
    [[nodiscard]] bool is_authorized(const http_request& request) const;
    void read_record(const http_request& request, std::uint64_t ticket, const shared_reply& reply);
    void write_record(const http_request& request, std::uint64_t ticket, const shared_reply& reply);
    void answer(const operator_reply& reply);

    control_shell& m_shell;
    std::vector<QByteArray> m_key_hashes;
    std::uint64_t m_last_ticket = 0;
    std::map<std::uint64_t, shared_reply> m_open;
};

// Parses a list such as "hash,hash"; empty if an item is not a SHA-256 hash of
// 64 hexadecimal digits.
std::vector<QByteArray> parse_key_hashes(std::string_view text);

}  // namespace verbenahold
