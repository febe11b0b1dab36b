// Tests TLS on the HTTP server with a certificate that the openssl command
// creates for each run.
#include <QProcess>
#include <QSslSocket>
#include <QTemporaryDir>

#include <catch2/catch.hpp>

#include <iostream>

#include "http_client.hpp"
#include "http_server.hpp"
#include "io_wait.hpp"

using namespace verbenahold;

TEST_CASE("an https request is answered and a wrong key file is reported") {
    const QTemporaryDir folder;
    const QString key = folder.filePath("key.pem");
    const QString certificate = folder.filePath("certificate.pem");
    const QStringList arguments{"req",
                                "-x509",
                                "-newkey",
                                "ec",
                                "-pkeyopt",
                                "ec_paramgen_curve:prime256v1",
                                "-nodes",
                                "-keyout",
                                key,
                                "-out",
                                certificate,
                                "-days",
                                "1",
                                "-subj",
                                "/CN=127.0.0.1",
                                "-addext",
                                "subjectAltName=IP:127.0.0.1"};
    REQUIRE(QProcess::execute("openssl", arguments) == 0);
    http_server server;
    CHECK_FALSE(server.use_tls(key.toStdString(), key.toStdString()).empty());
    CHECK_FALSE(server.use_tls(certificate.toStdString(), certificate.toStdString()).empty());
    REQUIRE(server.use_tls(certificate.toStdString(), key.toStdString()).empty());
    server.add_route("POST", "/", [](const http_request& request, const shared_reply& reply) {
        reply->send(200, "text/plain", request.body + " over TLS");
    });
    const auto address = server.listen_on(endpoint{"127.0.0.1:0"});
    REQUIRE(address);
    const QUrl url = url_of(address->address, "/");
    QSslSocket socket;
    QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
    configuration.setCaCertificates(QSslCertificate::fromPath(certificate));
    socket.setSslConfiguration(configuration);
    QByteArray received;
    QObject::connect(&socket, &QSslSocket::readyRead, [&] { received += socket.readAll(); });
    QObject::connect(&socket, &QSslSocket::encrypted,
                     [&] { socket.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"); });
    socket.connectToHostEncrypted(url.host(), static_cast<quint16>(url.port()));
    CHECK(wait_until([&] { return received.endsWith("body over TLS"); }));

    const auto before = QSslConfiguration::defaultConfiguration();
    QSslConfiguration::setDefaultConfiguration(configuration);
    http_client client;
    int answers = 0;
    http_answer answer;
    // The second call goes over the first one's connection.
    for (int round = 1; round <= 2; ++round) {
        client.send({.method = "POST", .url = url_of(address->address, "/", "https"), .body = "call"},
                    [&](const http_answer& got) {
                        answer = got;
                        ++answers;
                    });
        REQUIRE(wait_until([&] { return answers == round; }));
        CHECK(answer.failure == http_failure::none);
        CHECK(answer.status == 200);
        CHECK(answer.body == "call over TLS");
    }
    CHECK(server.open_connections() == 2);

    // Without the certificate, the handshake fails and nothing is sent.
    QSslConfiguration::setDefaultConfiguration(before);
    http_client distrusting;
    distrusting.send({.method = "POST", .url = url_of(address->address, "/", "https"), .body = "call"},
                     [&](const http_answer& got) {
                         answer = got;
                         ++answers;
                     });
    REQUIRE(wait_until([&] { return answers == 3; }));
    CHECK(answer.failure == http_failure::reset);
    std::cout << "TLS: passed\n";
}
