// One HTTP request of a test driver on its own connection, never resent. The
// answer can be read while it arrives.
#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QList>
#include <QObject>
#include <QPair>
#include <QTcpSocket>

#include <chrono>
#include <functional>
#include <string>

namespace verbenahold::standins {

struct test_request {
    std::string method = "GET";
    // "address:port"
    std::string address;
    std::string path = "/";
    QList<QPair<QByteArray, QByteArray>> headers;
    QByteArray body;
};

class http_exchange : public QObject {
public:
    explicit http_exchange(const test_request& request);

    // Zero until the status line has arrived.
    [[nodiscard]] int status() const { return m_status; }
    // The body as far as it has arrived, without chunk framing.
    [[nodiscard]] const QByteArray& body() const { return m_body; }
    [[nodiscard]] QJsonObject json() const;
    // The answer has arrived completely.
    [[nodiscard]] bool is_complete() const { return m_complete; }
    // Complete, or the connection ended before that.
    [[nodiscard]] bool is_over() const { return m_over; }
    // Closes the connection, as a caller that disconnects does.
    void abandon();

private:
    void read();
    void read_head();
    void read_body();
    void end(bool complete);
    bool take_chunk();

    QTcpSocket m_socket;
    QByteArray m_received;
    QByteArray m_body;
    int m_status = 0;
    bool m_head_read = false;
    bool m_chunked = false;
    // Negative: the body ends with the connection.
    qint64 m_length = -1;
    bool m_complete = false;
    bool m_over = false;
};

// Runs the event loop until `condition` holds; false after `limit`.
bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds limit);

// Sends a request with a JSON body (none if empty) and waits for the answer.
// Status 0: no complete answer came within the limit.
struct test_answer {
    int status = 0;
    QJsonObject json;
    QByteArray body;
};
test_answer call_json(const std::string& method, const std::string& address, const std::string& path,
                      const QJsonObject& body = {}, const QList<QPair<QByteArray, QByteArray>>& headers = {},
                      std::chrono::milliseconds limit = std::chrono::seconds(5));

}  // namespace verbenahold::standins
