#include "group_watch.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include <algorithm>
#include <memory>

namespace verbenahold::standins {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds check_period(500);
constexpr int request_timeout_ms = 1000;
// Failed checks in a row after which a part is lost. A part whose engine
// answers that it has no such reservation is lost at once.
constexpr int failures_until_lost = 2;

QNetworkRequest request_to(const std::string& url, const char* path) {
    QNetworkRequest request(QUrl("http://" + QString::fromStdString(url) + path));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setTransferTimeout(request_timeout_ms);
    return request;
}

bool lists_reservation(const QJsonObject& listing, const std::string& reservation) {
    const QJsonArray reservations = listing["reservations"].toArray();
    return std::any_of(reservations.begin(), reservations.end(), [&](const QJsonValue& item) {
        return item["reservation"].toString().toStdString() == reservation;
    });
}

}  // namespace

std::string strip_url(const std::string& url) {
    QString text = QString::fromStdString(url);
    if (text.startsWith("http://")) {
        text.remove(0, 7);
    }
    while (text.endsWith('/')) {
        text.chop(1);
    }
    return text.toStdString();
}

group_watch::group_watch(timer_service& timers, lost_callback on_lost)
    : m_timers(timers), m_on_lost(std::move(on_lost)) {}

void group_watch::confirm(const std::vector<group_part>& parts, const confirm_callback& done) {
    struct progress {
        std::size_t left = 0;
        bool ok = true;
        std::int64_t imported = 0;
    };
    const auto state = std::make_shared<progress>();
    state->left = parts.size();
    for (const group_part& part : parts) {
        const QJsonObject body{{"reservation", QString::fromStdString(part.reservation)},
                               {"tokens", static_cast<qint64>(part.tokens)},
                               {"expires_ms", 0},
                               {"existing", true}};
        QNetworkReply* reply = m_network.post(request_to(part.url, "/v1/reservations"),
                                              QJsonDocument(body).toJson(QJsonDocument::Compact));
        QObject::connect(reply, &QNetworkReply::finished, reply, [reply, state, done] {
            const QJsonObject answer = QJsonDocument::fromJson(reply->readAll()).object();
            state->ok = state->ok && reply->error() == QNetworkReply::NoError;
            state->imported += answer["imported"].toInteger();
            reply->deleteLater();
            if (--state->left == 0) {
                done(state->ok, state->imported);
            }
        });
    }
}

void group_watch::watch(const std::string& stream, const group_part& part) {
    m_watched[stream].push_back({part.url, part.reservation, 0});
    if (m_timer == 0) {
        m_timer = m_timers.every(check_period, [this] { check_all(); });
    }
}

void group_watch::forget(const std::string& stream) {
    m_watched.erase(stream);
    if (m_watched.empty() && m_timer != 0) {
        m_timers.unsubscribe(m_timer);
        m_timer = 0;
    }
}

void group_watch::check_all() {
    for (const auto& [stream, parts] : m_watched) {
        for (const watched& part : parts) {
            check(stream, part);
        }
    }
}

void group_watch::check(const std::string& stream, const watched& part) {
    QNetworkReply* reply = m_network.get(request_to(part.url, "/v1/streams"));
    QObject::connect(reply, &QNetworkReply::finished, reply,
                     [this, reply, stream, url = part.url, reservation = part.reservation] {
                         const bool answered = reply->error() == QNetworkReply::NoError;
                         const QJsonObject listing = QJsonDocument::fromJson(reply->readAll()).object();
                         reply->deleteLater();
                         report(stream, url, lists_reservation(listing, reservation), answered);
                     });
}

void group_watch::report(const std::string& stream, const std::string& url, bool present, bool answered) {
    const auto found = m_watched.find(stream);
    if (found == m_watched.end()) {
        return;
    }
    std::vector<watched>& parts = found->second;
    const auto part = std::find_if(parts.begin(), parts.end(), [&](const watched& item) { return item.url == url; });
    if (part == parts.end()) {
        return;
    }
    part->failures = answered ? 0 : part->failures + 1;
    const bool gone = answered ? !present : part->failures >= failures_until_lost;
    if (gone) {
        parts.erase(part);
        m_on_lost(stream, url);
    }
}

}  // namespace verbenahold::standins
