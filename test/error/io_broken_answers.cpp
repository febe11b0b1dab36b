// Tests what the HTTP client of the stand-alone programs takes for an answer. Guards against
// answers that are broken off, or bytes that are no answer, being passed on as complete.
#include <QTcpServer>
#include <QTcpSocket>

#include <catch2/catch.hpp>

#include "../correctness/io_wait.hpp"
#include "../rig/malformed_answers.hpp"
#include "http_client.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace verbenahold;
using namespace verbenahold::samples;

namespace {

enum class connection_end { none, in_order, reset };

// Answers each request, once it has been read, with the same bytes.
class raw_server {
public:
    explicit raw_server(std::string text, connection_end end = connection_end::none)
        : m_text(std::move(text)), m_end(end) {
        m_server.listen(QHostAddress::LocalHost);
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] {
            auto* socket = m_server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { answer(*socket); });
        });
    }

    [[nodiscard]] QUrl url() const { return url_of("127.0.0.1:" + std::to_string(m_server.serverPort()), "/"); }

private:
    void answer(QTcpSocket& socket) {
        if (!socket.readAll().contains("\r\n\r\n")) {
            return;
        }
        socket.write(QByteArray::fromStdString(m_text));
        if (m_end == connection_end::in_order) {
            socket.disconnectFromHost();
        } else if (m_end == connection_end::reset) {
            socket.flush();
            const linger at_once{1, 0};
            ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            socket.abort();
        }
    }

    std::string m_text;
    connection_end m_end;
    QTcpServer m_server;
};

http_answer ask(const raw_server& server) {
    http_client client;
    http_answer answer;
    bool done = false;
    client.send({.url = server.url(), .timeout = std::chrono::milliseconds(300)}, [&](const http_answer& got) {
        answer = got;
        done = true;
    });
    REQUIRE(wait_until([&] { return done; }));
    return answer;
}

struct stream_result {
    http_answer answer;
    bool opened = false;
    int events = 0;
};

stream_result read_stream(const raw_server& server) {
    http_client client;
    stream_result result;
    bool done = false;
    client.open_stream({.url = server.url(), .timeout = std::chrono::milliseconds(300)}, std::chrono::milliseconds(300),
                       {.on_open = [&] { result.opened = true; },
                        .on_event = [&](const QByteArray&) { ++result.events; },
                        .on_end =
                            [&](const http_answer& got) {
                                result.answer = got;
                                done = true;
                            }});
    REQUIRE(wait_until([&] { return done; }));
    return result;
}

void check_refused(const std::vector<answer_sample>& samples) {
    for (const auto& [name, text] : samples) {
        CAPTURE(name);
        const raw_server server(text);
        CHECK(ask(server).failure == http_failure::bad_answer);
        const auto stream = read_stream(server);
        CHECK(stream.answer.failure == http_failure::bad_answer);
        CHECK(stream.events == 0);
    }
}

}  // namespace

TEST_CASE("the client refuses an answer whose status is none of HTTP's") {
    check_refused(wrong_statuses());
}

TEST_CASE("the client refuses an answer with a body that its status does not allow") {
    check_refused(wrong_interims());
}

TEST_CASE("the client refuses an answer with a blank or a control byte in the name of a field") {
    check_refused(wrong_names());
}

TEST_CASE("the client refuses an answer with a control byte in the value of a field") {
    check_refused(wrong_values());
}

TEST_CASE("the client refuses an answer whose end can't be told") {
    check_refused(wrong_framings());
}

TEST_CASE("the client refuses an answer in a content coding") {
    check_refused({{"gzip", answer_with_line("Content-Encoding: gzip")}});
}

TEST_CASE("the client takes an answer that is unusual but valid") {
    const auto status = GENERATE(200, 201, 203, 299, 304, 399, 418, 451, 511, 599);
    CAPTURE(status);
    const auto line = "HTTP/1.1 " + std::to_string(status) + " What It Is";
    const std::string body = status == 304 ? std::string() : event;
    for (const auto& text :
         {answer_with(line, "!#$%&'*+-.^_`|~09AZaz: \xc3\xa9\r\nContent-Length: 29\r\n", body),
          "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer_with(line, "Content-Length: 29\r\n", body),
          answer_with(line, "Transfer-Encoding: Chunked\r\n",
                      status == 304 ? std::string() : "1D;a=b\r\n" + event + "\r\n0\r\nName: x\r\n\r\n")}) {
        CAPTURE(text);
        const raw_server server(text);
        const auto answer = ask(server);
        CHECK(answer.failure == http_failure::none);
        CHECK(answer.status == status);
        CHECK(answer.body.toStdString() == body);
    }
}

TEST_CASE("the client takes an answer without a length for complete only if it ends in order") {
    const auto end = GENERATE(connection_end::in_order, connection_end::reset);
    const bool in_order = end == connection_end::in_order;
    CAPTURE(in_order);
    const raw_server server("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + event, end);
    const auto answer = ask(server);
    CHECK((answer.failure == http_failure::none) == in_order);
    if (in_order) {
        CHECK(answer.body.toStdString() == event);
    }
    const auto stream = read_stream(server);
    CHECK((stream.answer.failure == http_failure::none) == in_order);
}

TEST_CASE("the client takes an answer that is reset during the upload for incomplete") {
    // The server reads the head and not the body, which fills the connection's buffers.
    QTcpServer server;
    REQUIRE(server.listen(QHostAddress::LocalHost));
    const int segment_bytes = 1'460;
    ::setsockopt(static_cast<int>(server.socketDescriptor()), IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                 sizeof segment_bytes);
    QObject::connect(&server, &QTcpServer::newConnection, [&] {
        auto* socket = server.nextPendingConnection();
        socket->setReadBufferSize(1'024);
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
            socket->write("HTTP/1.1 200 OK\r\n\r\nthe first part");
            socket->flush();
            // Unread input makes the close a reset.
            socket->abort();
        });
    });
    http_client client;
    http_answer answer;
    bool done = false;
    http_call call{.method = "POST", .url = url_of("127.0.0.1:" + std::to_string(server.serverPort()), "/")};
    call.body = QByteArray(2'000'000, 'p');
    client.send(call, [&](const http_answer& got) {
        answer = got;
        done = true;
    });
    REQUIRE(wait_until([&] { return done; }));
    CHECK(answer.failure == http_failure::reset);
}

TEST_CASE("a call is sent again only if a kept connection closes before its answer and it has no body") {
    const auto body = GENERATE(QByteArray(), QByteArray("order"));
    CAPTURE(body.size());
    QTcpServer server;
    REQUIRE(server.listen(QHostAddress::LocalHost));
    int requests = 0;
    QObject::connect(&server, &QTcpServer::newConnection, [&] {
        auto* socket = server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [&requests, socket] {
            socket->readAll();
            // The second request comes on the first one's connection.
            if (++requests == 2) {
                socket->disconnectFromHost();
            } else {
                socket->write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine");
            }
        });
    });
    http_client client;
    http_call call{.url = url_of("127.0.0.1:" + std::to_string(server.serverPort()), "/"), .body = body};
    http_answer answer;
    for (int round = 1; round <= 2; ++round) {
        bool done = false;
        client.send(call, [&](const http_answer& got) {
            answer = got;
            done = true;
        });
        REQUIRE(wait_until([&] { return done; }));
    }
    CHECK(answer.failure == (body.isEmpty() ? http_failure::none : http_failure::reset));
    CHECK(requests == (body.isEmpty() ? 3 : 2));
}

TEST_CASE("a server is reached by a name of which another address refuses") {
    const raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\n" + event);
    QUrl url = server.url();
    url.setHost("localhost");
    http_client client;
    http_answer answer;
    bool done = false;
    client.send({.url = url}, [&](const http_answer& got) {
        answer = got;
        done = true;
    });
    REQUIRE(wait_until([&] { return done; }));
    CHECK(answer.failure == http_failure::none);
    CHECK(answer.body.toStdString() == event);
}
