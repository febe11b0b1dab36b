#include "operator_api.hpp"

#include "record_field_reader.hpp"
#include "record_rows.hpp"

#include <QJsonArray>

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_invalid = 422;
constexpr int status_unavailable = 503;
// Maximum number of changes in one answer; a watcher asks again for more.
constexpr int max_changes_per_answer = 200;

QJsonObject table_unreachable_error() {
    return operator_error("store_unavailable", "the table service cannot be reached; nothing was written");
}

operator_reply invalid_reply(std::uint64_t ticket, const record_fault& fault) {
    QJsonObject body = operator_error("invalid", fault.field + ": " + fault.message);
    QJsonObject error = body["error"].toObject();
    error["field"] = to_qstring(fault.field);
    body["error"] = error;
    return {ticket, status_invalid, body};
}

operator_reply reply_to(std::uint64_t ticket, const write_outcome& outcome) {
    switch (outcome.status) {
        case write_status::accepted: {
            QJsonObject body{{"accepted", "yes"}, {"version", static_cast<qint64>(outcome.version)}};
            if (outcome.stored) {
                body["record"] = to_json(*outcome.stored);
            }
            return {ticket, status_ok, body};
        }
        case write_status::conflict: {
            const std::uint64_t version = outcome.stored ? outcome.stored->record_version : 0;
            QJsonObject body =
                operator_error("conflict", "the record stands at record_version " + std::to_string(version));
            if (outcome.stored) {
                body["record"] = to_json(*outcome.stored);
            }
            return {ticket, status_conflict, body};
        }
        case write_status::operation_reused:
            return {ticket, status_invalid,
                    operator_error("operation_reused", "the operation id was used for another write")};
        case write_status::newer_schema:
            return {ticket, status_invalid,
                    operator_error("newer_schema",
                                   "the record is stored in a newer schema version than this control "
                                   "process reads; write it through a newer one")};
        case write_status::table_unreachable:
            return {ticket, status_unavailable, table_unreachable_error()};
        case write_status::unknown:
            break;
    }
    return {ticket, status_unavailable,
            operator_error("outcome_unknown",
                           "the table service did not answer after the write was sent; repeat it with the same "
                           "operation id to find out",
                           "unknown")};
}

QJsonObject records_body(const config_snapshot& config, record_kind kind) {
    QJsonArray records;
    for (const auto& [key, value] : config.records()) {
        if (key.kind == kind) {
            records.append(to_json(value));
        }
    }
    return {{"records", records}};
}

std::optional<QJsonObject> record_body(const config_snapshot& config, const record_key& key) {
    const auto found = config.records().find(key);
    if (found == config.records().end()) {
        return std::nullopt;
    }
    return QJsonObject{{"record", to_json(found->second)}};
}

QJsonObject changes_body(const std::vector<config_change>& changes, std::uint64_t head) {
    QJsonArray list;
    for (const config_change& change : changes) {
        QJsonObject item{{"version", static_cast<qint64>(change.version)}};
        if (change.value) {
            item["record"] = to_json(*change.value);
        }
        list.append(item);
    }
    return {{"version", static_cast<qint64>(head)}, {"whole", false}, {"changes", list}};
}

// All current records, for a watcher that needs changes that were removed.
QJsonObject all_records_body(const config_snapshot& config) {
    std::vector<config_change> changes;
    for (const auto& [key, value] : config.records()) {
        changes.push_back({value.record_version, key, value});
    }
    std::sort(changes.begin(), changes.end(), [](const auto& a, const auto& b) { return a.version < b.version; });
    QJsonObject body = changes_body(changes, config.version());
    body["whole"] = true;
    return body;
}

}  // namespace

QJsonObject operator_error(std::string_view code, std::string_view message, std::string_view accepted) {
    return {{"error",
             QJsonObject{
                 {"code", to_qstring(code)}, {"message", to_qstring(message)}, {"accepted", to_qstring(accepted)}}}};
}

operator_api::operator_api(table_client& table, record_cache& cache, std::chrono::seconds unix_time_at_zero)
    : m_table(table), m_cache(cache), m_writer(table, unix_time_at_zero) {}

// ---- writes

void operator_api::on_event(const write_request& request, time_point now, commands& out) {
    if (m_draining) {
        out.emplace_back(operator_reply{request.ticket, status_unavailable,
                                        operator_error("draining", "this control process is stopping; use another")});
        return;
    }
    const auto parsed = parse_record(request.record);
    if (!parsed) {
        out.emplace_back(invalid_reply(request.ticket, parsed.error()));
        return;
    }
    if (!is_record_name(request.operation)) {
        out.emplace_back(invalid_reply(
            request.ticket,
            {record_error::bad_value, "operation", "an id of 1 to 63 characters of a-z, 0-9 and '-' is expected"}));
        return;
    }
    m_waiting.push_back({request.ticket, parsed.value(), request.operation, now});
    for (const host_entry& host : m_schemas.daemons_to_ask(now)) {
        out.emplace_back(read_schema_versions{host.host, host.caller_endpoint});
    }
    start_ready_writes(now, out);
}

void operator_api::on_event(const schema_versions_read& event, time_point now, commands& out) {
    m_schemas.on_announced(event.host, event.newest, now);
    start_ready_writes(now, out);
}

void operator_api::start_ready_writes(time_point now, commands& out) {
    const bool all_known = m_schemas.daemons_to_ask(now).empty();
    std::vector<waiting_write> ready;
    std::erase_if(m_waiting, [&](waiting_write& write) {
        if (!all_known && now - write.since < announcement_timeout) {
            return false;
        }
        ready.push_back(std::move(write));
        return true;
    });
    for (const waiting_write& write : ready) {
        start(write, now, out);
    }
}

void operator_api::start(const waiting_write& write, time_point now, commands& out) {
    auto stored_form = convert_schema(write.requested, m_schemas.max_writable_version());
    if (!stored_form) {
        record_fault fault = stored_form.error();
        fault.message +=
            " (daemons that read only schema version " + std::to_string(m_schemas.max_writable_version()) + " live)";
        out.emplace_back(invalid_reply(write.ticket, fault));
        return;
    }
    m_writer.start(
        {write.requested, std::move(stored_form).value(), write.operation}, now, out,
        [ticket = write.ticket, key = write.requested.key](const write_outcome& outcome, time_point, commands& more) {
            more.emplace_back(reply_to(ticket, outcome));
            const bool accepted = outcome.status == write_status::accepted;
            more.emplace_back(count{accepted ? "writes_accepted" : "writes_refused"});
            if (accepted) {
                more.emplace_back(log_change{"accepted " + std::string(to_string(key.kind)) + '/' + key.name +
                                             " at version " + std::to_string(outcome.version)});
            }
        });
}

// ---- reads

void operator_api::on_event(const read_request& request, time_point now, commands& out) {
    m_cache.refresh(now, out, [this, request](bool ok, time_point, commands& more) {
        const config_snapshot& config = *m_cache.current();
        if (!ok && config.version() == 0) {
            more.emplace_back(operator_reply{request.ticket, status_unavailable, table_unreachable_error()});
            return;
        }
        std::optional<QJsonObject> body = request.name ? record_body(config, {request.kind, *request.name})
                                                       : std::optional(records_body(config, request.kind));
        const int status = body ? status_ok : status_not_found;
        QJsonObject answer = body ? *body : operator_error("not_found", "there is no such record");
        answer["version"] = static_cast<qint64>(config.version());
        // False if the table service could not be read; the answer is then the
        // state that was last read.
        answer["confirmed"] = ok;
        more.emplace_back(operator_reply{request.ticket, status, answer});
    });
}

void operator_api::on_event(const changes_request& request, time_point now, commands& out) {
    m_cache.refresh(now, out, [this, request](bool ok, time_point at, commands& more) {
        const shared_config config = m_cache.current();
        if (!ok) {
            more.emplace_back(operator_reply{request.ticket, status_unavailable, table_unreachable_error()});
            return;
        }
        if (request.after >= config->version()) {
            more.emplace_back(operator_reply{request.ticket, status_ok, changes_body({}, config->version())});
            return;
        }
        m_table.scan(std::string(change_row_prefix), change_row_key(request.after), max_changes_per_answer, at, more,
                     [ticket = request.ticket, after = request.after, config](const rows_read& rows, time_point,
                                                                              commands& last) {
                         std::vector<config_change> changes;
                         for (const stored_row& row : rows.rows) {
                             if (auto change = parse_change_row(row.value)) {
                                 changes.push_back(*std::move(change));
                             }
                         }
                         if (!rows.ok) {
                             last.emplace_back(operator_reply{ticket, status_unavailable, table_unreachable_error()});
                         } else if (changes.empty() || changes.front().version != after + 1) {
                             last.emplace_back(operator_reply{ticket, status_ok, all_records_body(*config)});
                         } else {
                             const std::uint64_t head = std::max(config->version(), changes.back().version);
                             last.emplace_back(operator_reply{ticket, status_ok, changes_body(changes, head)});
                         }
                     });
    });
}

// ---- time

void operator_api::on_tick(time_point now, commands& out) {
    start_ready_writes(now, out);
    m_writer.on_tick(now, out);
}

std::optional<time_point> operator_api::next_wakeup() const {
    std::optional<time_point> next = m_writer.next_wakeup();
    for (const waiting_write& write : m_waiting) {
        const time_point limit = write.since + announcement_timeout;
        next = next ? std::min(*next, limit) : limit;
    }
    return next;
}

}  // namespace verbenahold
