// Exports finished spans as OTLP/JSON in batches, to the URL of a collector or to
// a file with one batch per line. Spans above a queue limit are dropped.
#pragma once

#include <QFile>
#include <QJsonArray>
#include <QObject>
#include <QPointer>
#include <QTimer>
#include <QUrl>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "http_client.hpp"
#include "verbenahold/commands.hpp"

namespace verbenahold {

class trace_exporter : public QObject {
public:
    static constexpr std::chrono::milliseconds batch_period{500};
    static constexpr qsizetype max_queued_spans = 4'096;

    // `target` is an http URL, a file name, or empty for no export.
    trace_exporter(http_client& client, const std::string& target, const daemon_id& self, QObject* parent = nullptr);

    // Queues a span that has just ended.
    void add(const span_ended& span);
    // Exports the queued spans.
    void flush();
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }
    [[nodiscard]] bool enabled() const { return m_enabled; }

private:
    http_client& m_client;
    bool m_enabled = false;
    QUrl m_url;
    QFile m_file;
    QString m_host;
    QJsonArray m_spans;
    QTimer m_timer;
    std::uint64_t m_dropped = 0;
};

}  // namespace verbenahold
