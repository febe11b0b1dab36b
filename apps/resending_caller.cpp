// Example caller that sends one order and, while it fails, retries it through
// other entries up to a maximum number of attempts. The idempotency key from
// locate makes retries safe: the order runs at most once.
//
//     resending_caller ENTRY ACCOUNT_KEY SERVICE BODY
//
// ENTRY is any entry's address, such as 127.0.0.1:8080. Exit codes: 0 the order
// ran, 1 the order did not run, 2 the outcome is unknown or the usage is wrong.
#include "http_client.hpp"

#include <QCoreApplication>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>

#include <iostream>

namespace {

using namespace verbenahold;

constexpr int max_attempts = 5;
constexpr std::chrono::milliseconds order_timeout{10'000};
constexpr std::chrono::milliseconds retry_pause{500};

class resending_caller {
public:
    resending_caller(QString account_key, QString service, QByteArray body)
        : m_account_key(std::move(account_key)), m_service(std::move(service)), m_body(std::move(body)) {}

    void start(const QString& entry) {
        http_call call;
        call.url = QUrl("http://" + entry + "/v1/locate?keys=1");
        call.headers = {{"Authorization", authorization()}};
        m_client.send(call, [this](const http_answer& answer) { on_located(answer); });
    }

private:
    [[nodiscard]] QByteArray authorization() const { return "Bearer " + m_account_key.toUtf8(); }

    void on_located(const http_answer& answer) {
        const QJsonObject located = QJsonDocument::fromJson(answer.body).object();
        const QJsonArray keys = located["keys"].toArray();
        m_entries = located["entries"].toArray();
        if (!answer.is_success() || keys.isEmpty() || m_entries.isEmpty()) {
            std::cout << "no entry could be located\n";
            QCoreApplication::exit(1);
            return;
        }
        m_key = keys[0].toString().toUtf8();
        send_order();
    }

    void send_order() {
        const QString entry = m_entries[m_attempts % m_entries.size()].toObject()["address"].toString();
        ++m_attempts;
        http_call call;
        call.method = "POST";
        call.url = QUrl("http://" + entry + "/v1/services/" + m_service + "/orders");
        call.content_type = "application/json";
        call.body = m_body;
        call.headers = {{"Authorization", authorization()}, {"Idempotency-Key", m_key}};
        call.timeout = order_timeout;
        m_client.send(call, [this](const http_answer& answer) { on_answer(answer); });
    }

    void on_answer(const http_answer& answer) {
        if (answer.is_success()) {
            std::cout << "ran: " << answer.body.toStdString() << "\n";
            QCoreApplication::exit(0);
            return;
        }
        const QString ran =
            QJsonDocument::fromJson(answer.body).object()["error"].toObject()["ran"].toString("unknown");
        std::cout << "attempt " << m_attempts << ": status " << answer.status << ", ran: " << ran.toStdString() << "\n";
        if (m_attempts < max_attempts) {
            QTimer::singleShot(retry_pause, &m_client, [this] { send_order(); });
            return;
        }
        QCoreApplication::exit(ran == "no" ? 1 : 2);
    }

    http_client m_client;
    QString m_account_key;
    QString m_service;
    QByteArray m_body;
    QByteArray m_key;
    QJsonArray m_entries;
    int m_attempts = 0;
};

}  // namespace

int main(int argc, char* argv[]) {
    const QCoreApplication application(argc, argv);
    const QStringList arguments = QCoreApplication::arguments();
    constexpr int argument_count = 5;
    if (arguments.size() != argument_count) {
        std::cerr << "usage: resending_caller ENTRY ACCOUNT_KEY SERVICE BODY\n";
        return 2;
    }
    resending_caller caller(arguments[2], arguments[3], arguments[4].toUtf8());
    caller.start(arguments[1]);
    return QCoreApplication::exec();
}
