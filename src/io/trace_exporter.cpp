#include "trace_exporter.hpp"

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>

#include "trace_context.hpp"

namespace verbenahold {

namespace {

// OTLP codes of span kind and status.
constexpr int span_kind_server = 2;
constexpr int status_ok = 1;
constexpr int status_error = 2;

QString trace_id(std::string_view traceparent) {
    return QString::fromLatin1(traceparent.data() + 3, 32);
}
QString span_id(std::string_view traceparent) {
    return QString::fromLatin1(traceparent.data() + 36, 16);
}

QJsonObject attribute(const char* key, const QString& value) {
    return {{"key", key}, {"value", QJsonObject{{"stringValue", value}}}};
}

}  // namespace

trace_exporter::trace_exporter(http_client& client, const std::string& target, const daemon_id& self, QObject* parent)
    : QObject(parent), m_client(client), m_host(QString::fromStdString(self.host.value)) {
    const QString text = QString::fromStdString(target);
    if (text.startsWith("http://") || text.startsWith("https://")) {
        m_url = QUrl(text);
        m_enabled = m_url.isValid();
    } else if (!text.isEmpty()) {
        m_file.setFileName(text);
        m_enabled = m_file.open(QIODevice::Append);
    }
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] { flush(); });
}

void trace_exporter::add(const span_ended& span) {
    if (!m_enabled || !is_valid_traceparent(span.traceparent)) {
        return;
    }
    if (m_spans.size() >= max_queued_spans) {
        ++m_dropped;
        return;
    }
    const qint64 end_us = QDateTime::currentMSecsSinceEpoch() * 1'000;
    const qint64 start_us = end_us - span.length.count();
    m_spans.append(QJsonObject{{"traceId", trace_id(span.traceparent)},
                               {"spanId", span_id(span.traceparent)},
                               {"parentSpanId", is_valid_traceparent(span.parent) ? span_id(span.parent) : QString()},
                               {"name", QString::fromUtf8(span.name.data(), static_cast<qsizetype>(span.name.size()))},
                               {"kind", span_kind_server},
                               {"startTimeUnixNano", QString::number(start_us) + "000"},
                               {"endTimeUnixNano", QString::number(end_us) + "000"},
                               {"status", QJsonObject{{"code", span.ok ? status_ok : status_error}}}});
    if (!m_timer.isActive()) {
        m_timer.start(batch_period);
    }
}

void trace_exporter::flush() {
    if (m_spans.isEmpty()) {
        return;
    }
    const QJsonArray attributes{attribute("service.name", "verbenahold-entry"), attribute("host.name", m_host)};
    const QJsonObject scope{{"scope", QJsonObject{{"name", "verbenahold"}}}, {"spans", m_spans}};
    const QJsonObject resource{{"resource", QJsonObject{{"attributes", attributes}}},
                               {"scopeSpans", QJsonArray{scope}}};
    const QByteArray batch =
        QJsonDocument(QJsonObject{{"resourceSpans", QJsonArray{resource}}}).toJson(QJsonDocument::Compact);
    const auto count = static_cast<std::uint64_t>(m_spans.size());
    m_spans = {};
    if (m_file.isOpen()) {
        m_file.write(batch + '\n');
        m_file.flush();
        return;
    }
    http_call call;
    call.method = "POST";
    call.url = m_url;
    call.content_type = "application/json";
    call.body = batch;
    const QPointer<trace_exporter> self(this);
    m_client.send(call, [self, count](const http_answer& answer) {
        if (self && !answer.is_success()) {
            self->m_dropped += count;
        }
    });
}

}  // namespace verbenahold
