// Calls from an operator's program to control processes, which are tried one
// after another, each with a timeout. A write is retried at the next control
// process with the same operation id, so it takes effect at most once.
#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QUrl>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "http_client.hpp"
#include "verbenahold/records.hpp"

namespace verbenahold {

enum class operator_result : std::uint8_t {
    ok,
    invalid,
    conflict,
    not_found,
    unauthorized,
    // No control process could be reached, and nothing was written.
    unreachable,
    // The table service is unavailable; nothing was written.
    store_down,
    // A write may have taken effect.
    unknown,
};

struct operator_answer {
    operator_result result = operator_result::unreachable;
    // The body of the answer; empty if there is none.
    QJsonObject body;
    // Error message.
    std::string message;
};

class operator_client {
public:
    // Longer than a control process spends on a write.
    static constexpr std::chrono::milliseconds call_timeout{10'000};

    operator_client(std::vector<QUrl> controls, QByteArray key);

    operator_answer get(const QString& path, const QString& query = {});
    operator_answer get_record(const record_key& key);
    operator_answer put_record(const record& value, const std::string& operation);

private:
    operator_answer call(const QByteArray& method, const QString& path, const QString& query, const QByteArray& body);
    http_answer send_and_wait(const http_call& call);

    http_client m_http;
    std::vector<QUrl> m_controls;
    QByteArray m_key;
};

// A random operation id from the system's random generator.
std::string make_operation_id();

}  // namespace verbenahold
