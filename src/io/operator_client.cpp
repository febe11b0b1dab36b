#include "operator_client.hpp"

#include <QEventLoop>
#include <QJsonDocument>
#include <QRandomGenerator>

#include <array>
#include <utility>

namespace verbenahold {

namespace {

QString text_of(std::string_view text) {
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

QString path_of(const record_key& key) {
    return "/v1/records/" + text_of(to_string(key.kind)) + '/' + text_of(key.name);
}

operator_result result_of(int status, const QString& code) {
    constexpr std::array results{
        std::pair{401, operator_result::unauthorized},
        std::pair{404, operator_result::not_found},
        std::pair{409, operator_result::conflict},
        std::pair{422, operator_result::invalid},
    };
    for (const auto& [known, result] : results) {
        if (status == known) {
            return result;
        }
    }
    if (status / 100 == 2) {
        return operator_result::ok;
    }
    if (code == "store_unavailable") {
        return operator_result::store_down;
    }
    if (code == "draining") {
        return operator_result::unreachable;
    }
    return status / 100 == 5 ? operator_result::unknown : operator_result::invalid;
}

operator_answer read_answer(const http_answer& answer) {
    operator_answer result;
    result.body = QJsonDocument::fromJson(answer.body).object();
    const QJsonObject error = result.body["error"].toObject();
    result.result = result_of(answer.status, error["code"].toString());
    result.message = error["message"].toString().toStdString();
    if (result.message.empty() && result.result != operator_result::ok) {
        result.message = "HTTP status " + std::to_string(answer.status);
    }
    return result;
}

}  // namespace

std::string make_operation_id() {
    std::array<quint32, 4> words{};
    QRandomGenerator::system()->fillRange(words.data(), static_cast<qsizetype>(words.size()));
    const QByteArray bytes(reinterpret_cast<const char*>(words.data()), sizeof words);
    return bytes.toHex().toStdString();
}

operator_client::operator_client(std::vector<QUrl> controls, QByteArray key)
    : m_controls(std::move(controls)), m_key(std::move(key)) {}

http_answer operator_client::send_and_wait(const http_call& call) {
    http_answer result;
    QEventLoop loop;
    bool ended = false;
    m_http.send(call, [&](const http_answer& answer) {
        result = answer;
        ended = true;
        loop.quit();
    });
    if (!ended) {
        loop.exec();
    }
    return result;
}

operator_answer operator_client::call(const QByteArray& method, const QString& path, const QString& query,
                                      const QByteArray& body) {
    const bool write = !body.isEmpty();
    bool outcome_unknown = false;
    operator_answer last;
    last.message = "no control process could be reached";
    for (const QUrl& control : m_controls) {
        http_call request;
        request.method = method;
        request.url = control;
        request.url.setPath(path);
        request.url.setQuery(query);
        request.body = body;
        request.content_type = write ? "application/json" : "";
        request.headers.emplace_back("Authorization", "Bearer " + m_key);
        request.timeout = call_timeout;
        const http_answer answer = send_and_wait(request);
        if (answer.failure != http_failure::none) {
            outcome_unknown = outcome_unknown || (write && answer.failure != http_failure::refused);
            continue;
        }
        operator_answer current = read_answer(answer);
        if (current.result == operator_result::unreachable || (!write && current.result == operator_result::unknown)) {
            continue;
        }
        if (current.result == operator_result::unknown) {
            outcome_unknown = true;
            last = current;
            continue;
        }
        // A write with an unknown outcome may still take effect, unless this
        // answer confirms it or reports a conflict with a newer record.
        const bool is_conclusive = current.result == operator_result::ok || current.result == operator_result::conflict;
        if (is_conclusive || !outcome_unknown) {
            return current;
        }
    }
    if (outcome_unknown) {
        last.result = operator_result::unknown;
        last.message = "the write may have taken effect";
    }
    return last;
}

operator_answer operator_client::get(const QString& path, const QString& query) {
    return call("GET", path, query, {});
}

operator_answer operator_client::get_record(const record_key& key) {
    return get(path_of(key));
}

operator_answer operator_client::put_record(const record& value, const std::string& operation) {
    QJsonObject body = to_json(value);
    body["operation"] = text_of(operation);
    return call("PUT", path_of(value.key), {}, QJsonDocument(body).toJson(QJsonDocument::Compact));
}

}  // namespace verbenahold
