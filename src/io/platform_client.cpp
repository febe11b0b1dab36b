#include "platform_client.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace verbenahold {

namespace {

enum class call_type : std::uint8_t { read, write };

std::optional<platform_fault> fault_of(const http_answer& answer, call_type type) {
    const bool write = type == call_type::write;
    switch (answer.failure) {
        case http_failure::refused:
            return platform_fault{platform_error::unreachable, false, {}};
        case http_failure::reset:
        case http_failure::timed_out:
            return platform_fault{platform_error::timed_out, write, {}};
        case http_failure::bad_answer:
            return platform_fault{platform_error::bad_answer, write, {}};
        case http_failure::none:
            break;
    }
    if (answer.is_success()) {
        return std::nullopt;
    }
    if (answer.status == 429) {
        return platform_fault{platform_error::rate_limited, false, {}};
    }
    if (answer.status == 409) {
        return platform_fault{platform_error::conflict, false, {}};
    }
    if (answer.status == 503) {
        return platform_fault{platform_error::unavailable, false, {}};
    }
    // After other 5xx answers, the outcome of a write is unknown.
    if (answer.status / 100 == 5) {
        return platform_fault{platform_error::unavailable, write, {}};
    }
    return platform_fault{platform_error::bad_answer, false, {}};
}

std::string text_of(const QJsonValue& value) {
    return value.toString().toStdString();
}

QJsonArray names_of(const std::vector<std::string>& names) {
    QJsonArray list;
    for (const std::string& name : names) {
        list.append(QString::fromStdString(name));
    }
    return list;
}

QByteArray body_of(const QJsonObject& object) {
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

QByteArray body_of(const table_transaction& transaction) {
    QJsonArray checks;
    for (const table_check& check : transaction.checks) {
        checks.append(
            QJsonObject{{"key", QString::fromStdString(check.key)}, {"revision", static_cast<qint64>(check.revision)}});
    }
    QJsonArray puts;
    for (const table_put& put : transaction.puts) {
        puts.append(QJsonObject{{"key", QString::fromStdString(put.key)}, {"value", put.value}});
    }
    return body_of(QJsonObject{{"checks", checks}, {"puts", puts}, {"deletes", names_of(transaction.deletes)}});
}

std::optional<platform_client::rows> parse_rows(const QByteArray& body) {
    const QJsonValue list = QJsonDocument::fromJson(body).object().value("rows");
    if (!list.isArray()) {
        return std::nullopt;
    }
    platform_client::rows rows;
    for (const auto item : list.toArray()) {
        const QJsonObject row = item.toObject();
        if (!row.value("key").isString()) {
            return std::nullopt;
        }
        rows.push_back({text_of(row.value("key")), row.value("value"),
                        static_cast<std::uint64_t>(row.value("revision").toInteger())});
    }
    return rows;
}

std::optional<std::vector<host_entry>> parse_hosts(const QByteArray& body) {
    const QJsonValue list = QJsonDocument::fromJson(body).object().value("hosts");
    if (!list.isArray()) {
        return std::nullopt;
    }
    std::vector<host_entry> hosts;
    for (const auto item : list.toArray()) {
        const QJsonObject json = item.toObject();
        if (!json.value("host").isString()) {
            return std::nullopt;
        }
        host_entry host;
        host.host = host_name(text_of(json.value("host")));
        host.zone = zone_name(text_of(json.value("zone")));
        host.role = json.value("role").toString() == "entry" ? host_role::entry : host_role::backend;
        host.state = json.value("state").toString() == "leaving" ? host_state::leaving : host_state::live;
        host.peer_endpoint = endpoint{text_of(json.value("peer_endpoint"))};
        host.caller_endpoint = endpoint{text_of(json.value("caller_endpoint"))};
        host.service = service_name(text_of(json.value("service")));
        host.server_endpoint = endpoint{text_of(json.value("server_endpoint"))};
        hosts.push_back(std::move(host));
    }
    return hosts;
}

// Makes a callback that passes `done` the fault, or the result of `parse` for a
// successful answer.
template <class T, class Parse>
http_client::answer_callback parsed(call_type type, platform_client::callback<T> done, Parse parse) {
    return [type, done = std::move(done), parse](const http_answer& answer) {
        if (const auto fault = fault_of(answer, type)) {
            done(*fault);
            return;
        }
        std::optional<T> value = parse(answer.body);
        if (!value) {
            done(platform_fault{platform_error::bad_answer, type == call_type::write, {}});
            return;
        }
        done(*std::move(value));
    };
}

std::optional<bool> accept_any(const QByteArray& /*body*/) {
    return true;
}

QString encoded(const std::string& name) {
    return QString::fromUtf8(QUrl::toPercentEncoding(QString::fromStdString(name)));
}

}  // namespace

std::string_view to_string(platform_error error) {
    switch (error) {
        case platform_error::unreachable:
            return "unreachable";
        case platform_error::timed_out:
            return "timed_out";
        case platform_error::unavailable:
            return "unavailable";
        case platform_error::rate_limited:
            return "rate_limited";
        case platform_error::conflict:
            return "conflict";
        case platform_error::bad_answer:
            return "bad_answer";
    }
    return "bad_answer";
}

platform_client::platform_client(http_client& client, const QUrl& base, QObject* parent)
    : QObject(parent), m_client(client), m_base(base) {}

void platform_client::call(const char* method, const QString& path, const QByteArray& content_type,
                           const QByteArray& body, http_client::answer_callback done) {
    http_call request;
    request.method = method;
    request.url = m_base;
    request.url.setPath(path, QUrl::StrictMode);
    request.content_type = content_type;
    request.body = body;
    request.timeout = call_timeout;
    // After the destruction of this client, its callbacks are not called.
    const QPointer<platform_client> self(this);
    m_client.send(request, [self, done = std::move(done)](const http_answer& answer) {
        if (self) {
            done(answer);
        }
    });
}

void platform_client::transact(const table_transaction& transaction, callback<std::uint64_t> done) {
    call("POST", "/v1/table/transact", "application/json", body_of(transaction),
         [done = std::move(done)](const http_answer& answer) {
             const QJsonObject json = QJsonDocument::fromJson(answer.body).object();
             if (auto fault = fault_of(answer, call_type::write)) {
                 for (const auto key : json.value("failed").toArray()) {
                     fault->failed_keys.push_back(text_of(key));
                 }
                 done(*fault);
             } else if (!json.value("revision").isDouble()) {
                 done(platform_fault{platform_error::bad_answer, true, {}});
             } else {
                 done(static_cast<std::uint64_t>(json.value("revision").toInteger()));
             }
         });
}

void platform_client::read(const std::vector<std::string>& keys, callback<rows> done) {
    call("POST", "/v1/table/read", "application/json", body_of(QJsonObject{{"keys", names_of(keys)}}),
         parsed<rows>(call_type::read, std::move(done), parse_rows));
}

void platform_client::scan(const std::string& prefix, const std::string& after, int limit, callback<rows> done) {
    const QJsonObject body{
        {"prefix", QString::fromStdString(prefix)}, {"after", QString::fromStdString(after)}, {"limit", limit}};
    call("POST", "/v1/table/scan", "application/json", body_of(body),
         parsed<rows>(call_type::read, std::move(done), parse_rows));
}

void platform_client::list_hosts(callback<std::vector<host_entry>> done) {
    call("GET", "/v1/hosts", {}, {}, parsed<std::vector<host_entry>>(call_type::read, std::move(done), parse_hosts));
}

void platform_client::get_object(const std::string& name, callback<std::optional<QByteArray>> done) {
    call("GET", "/v1/objects/" + encoded(name), {}, {}, [done = std::move(done)](const http_answer& answer) {
        if (answer.failure == http_failure::none && answer.status == 404) {
            done(std::optional<QByteArray>());
        } else if (const auto fault = fault_of(answer, call_type::read)) {
            done(*fault);
        } else {
            done(std::optional<QByteArray>(answer.body));
        }
    });
}

void platform_client::put_object(const std::string& name, const QByteArray& bytes, callback<bool> done) {
    call("PUT", "/v1/objects/" + encoded(name), "application/octet-stream", bytes,
         parsed<bool>(call_type::write, std::move(done), accept_any));
}

void platform_client::delete_object(const std::string& name, callback<bool> done) {
    call("DELETE", "/v1/objects/" + encoded(name), {}, {}, parsed<bool>(call_type::write, std::move(done), accept_any));
}

void platform_client::fetch_weights(const std::string& model, const std::string& version, callback<bool> done) {
    call("GET", "/v1/weights/" + encoded(model) + "/" + encoded(version), {}, {},
         parsed<bool>(call_type::read, std::move(done), accept_any));
}

}  // namespace verbenahold
