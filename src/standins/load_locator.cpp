#include "load_locator.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace verbenahold::standins {

namespace {

constexpr int keys_per_request = 16;
// Limits the keys kept for later orders: a key is valid for 10 minutes only.
constexpr std::size_t max_keys_kept = 64;
constexpr std::chrono::milliseconds pause_between_requests{100};

}  // namespace

load_locator::load_locator(http_client& client, timer_service& timers, const load_settings& settings,
                           std::string account_key)
    : m_client(client), m_timers(timers), m_settings(settings), m_account_key(std::move(account_key)) {}

void load_locator::locate(bool needs_key, callback ready) {
    m_waiters.push_back({needs_key, std::move(ready)});
    serve_waiters();
    if (!m_waiters.empty() && !m_request_open) {
        request_entries();
    }
}

void load_locator::serve_waiters() {
    std::vector<waiter> waiting = std::exchange(m_waiters, {});
    const bool fresh = !m_entries.empty() && m_timers.now() < m_valid_until;
    for (waiter& item : waiting) {
        if (!fresh || (item.needs_key && m_keys.empty())) {
            m_waiters.push_back(std::move(item));
            continue;
        }
        std::string key;
        if (item.needs_key) {
            key = std::move(m_keys.front());
            m_keys.pop_front();
        }
        item.ready(m_entries, key);
    }
}

// Alternates between the known and the configured entries, so that neither a
// stale list nor a dead configured entry stops the load.
void load_locator::request_entries() {
    m_request_open = true;
    const bool use_known = !m_entries.empty() && m_requests_sent % 2 == 0;
    const std::vector<std::string>& addresses = use_known ? m_entries : m_settings.entries;
    const std::string& address = addresses[m_requests_sent / 2 % addresses.size()];
    ++m_requests_sent;
    http_call call;
    call.url = QUrl(QString::fromStdString("http://" + address + "/v1/locate?zone=" + m_settings.zone +
                                           "&keys=" + std::to_string(keys_per_request)));
    call.headers = {{"Authorization", QByteArray::fromStdString("Bearer " + m_account_key)}};
    m_client.send(call, [this](const http_answer& answer) { on_answer(answer); });
}

void load_locator::on_answer(const http_answer& answer) {
    const QJsonObject located = QJsonDocument::fromJson(answer.body).object();
    std::vector<std::string> entries;
    for (const QJsonValue entry : located["entries"].toArray()) {
        entries.push_back(entry.toObject()["address"].toString().toStdString());
    }
    if (!answer.is_success() || entries.empty()) {
        m_timers.after(pause_between_requests, [this] { request_entries(); });
        return;
    }
    m_entries = std::move(entries);
    m_valid_until = m_timers.now() + std::chrono::milliseconds(located["ttl_ms"].toInteger());
    for (const QJsonValue key : located["keys"].toArray()) {
        m_keys.push_back(key.toString().toStdString());
    }
    while (m_keys.size() > max_keys_kept) {
        m_keys.pop_front();
    }
    serve_waiters();
    m_request_open = !m_waiters.empty();
    if (m_request_open) {
        m_timers.after(pause_between_requests, [this] { request_entries(); });
    }
}

}  // namespace verbenahold::standins
