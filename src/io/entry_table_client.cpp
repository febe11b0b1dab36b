#include "entry_table_client.hpp"

#include <QJsonObject>
#include <QTimer>

#include <chrono>
#include <utility>

#include "record_rows.hpp"

namespace verbenahold {

namespace {

constexpr int rows_per_page = 500;
// A read of all records is repeated if a change was accepted during the read.
// At 10,000 changes a day, there is one every 8.6 s.
constexpr int full_read_tries = 5;
constexpr int claim_read_tries = 3;
constexpr int outcome_tries = 5;
constexpr std::chrono::seconds outcome_retry_delay{2};

QString hex(std::uint64_t value) {
    return QString::number(value, 16);
}

QJsonObject outcome_json(const keyed_reply& outcome) {
    return {{"replied", outcome.replied},
            {"status", outcome.status},
            {"content_type", to_qstring(outcome.content_type)},
            {"body", QString::fromLatin1(QByteArray::fromStdString(outcome.body).toBase64())},
            {"error_code", to_qstring(outcome.error_code)},
            {"ran", to_qstring(to_string(outcome.ran))}};
}

ran_state parse_ran(const QString& text) {
    if (text == "no") {
        return ran_state::no;
    }
    return text == "yes" ? ran_state::yes : ran_state::unknown;
}

keyed_reply parse_outcome(const QJsonObject& json) {
    keyed_reply outcome;
    outcome.replied = json["replied"].toBool();
    outcome.status = json["status"].toInt();
    outcome.content_type = json["content_type"].toString().toStdString();
    outcome.body = QByteArray::fromBase64(json["body"].toString().toLatin1()).toStdString();
    outcome.error_code = json["error_code"].toString().toStdString();
    outcome.ran = parse_ran(json["ran"].toString());
    return outcome;
}

QJsonObject claim_json(const daemon_id& holder, std::uint64_t body_hash) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return {{"host", to_qstring(holder.host.value)},
            {"incarnation", hex(holder.incarnation)},
            {"body_hash", hex(body_hash)},
            {"written_at_s", static_cast<qint64>(std::chrono::duration_cast<std::chrono::seconds>(now).count())}};
}

claim_answered parse_claim(const std::string& key, const QJsonObject& row) {
    claim_answered answer;
    answer.key = key;
    answer.body_hash = row["body_hash"].toString().toULongLong(nullptr, 16);
    answer.holder = {host_name(row["host"].toString().toStdString()),
                     row["incarnation"].toString().toULongLong(nullptr, 16)};
    answer.state = claim_state::held_by_other;
    if (row["outcome"].isObject()) {
        answer.state = claim_state::finished;
        answer.outcome = parse_outcome(row["outcome"].toObject());
    }
    return answer;
}

claim_answered unavailable_claim(const std::string& key) {
    claim_answered answer;
    answer.key = key;
    return answer;
}

std::string claim_row_key(const std::string& key) {
    return std::string(claim_row_prefix) + key;
}

}  // namespace

struct entry_table_client::full_read {
    std::uint64_t version = 0;
    int tries_left = 0;
    std::string after;
    std::vector<config_change> changes;
};

entry_table_client::entry_table_client(platform_client& platform, daemon_id self, event_sink sink, QObject* parent)
    : QObject(parent), m_platform(platform), m_self(std::move(self)), m_sink(std::move(sink)) {}

void entry_table_client::fail(table_operation operation) {
    m_sink(table_failed{operation});
}

// ---- configuration

void entry_table_client::run(const read_head& /*command*/) {
    m_platform.read({std::string(head_row_key)}, [this](const platform_result<platform_client::rows>& rows) {
        if (!rows) {
            fail(table_operation::read_head);
            return;
        }
        m_sink(table_head_read{rows.value().empty() ? 0 : version_of_row(rows.value().front().value)});
    });
}

void entry_table_client::run(const read_changes& command) {
    const std::uint64_t from = command.after_version;
    if (from == 0) {
        begin_full_read(full_read_tries);
        return;
    }
    m_platform.scan(std::string(change_row_prefix), change_row_key(from), rows_per_page,
                    [this, from](const platform_result<platform_client::rows>& rows) {
                        if (!rows) {
                            fail(table_operation::read_changes);
                            return;
                        }
                        config_delta delta{from, from, false, {}};
                        for (const table_row& row : rows.value()) {
                            auto change = parse_change_row(row.value);
                            if (!change || change->version != delta.to_version + 1) {
                                // Old changes have been garbage-collected; the
                                // state is read from all records instead.
                                begin_full_read(full_read_tries);
                                return;
                            }
                            delta.to_version = change->version;
                            delta.changes.push_back(*std::move(change));
                        }
                        if (delta.changes.empty()) {
                            begin_full_read(full_read_tries);
                            return;
                        }
                        m_sink(table_changes_read{std::move(delta)});
                    });
}

void entry_table_client::begin_full_read(int tries_left) {
    if (tries_left == 0) {
        fail(table_operation::read_changes);
        return;
    }
    auto state = std::make_shared<full_read>();
    state->tries_left = tries_left;
    m_platform.read({std::string(head_row_key)}, [this, state](const platform_result<platform_client::rows>& rows) {
        if (!rows) {
            fail(table_operation::read_changes);
            return;
        }
        state->version = rows.value().empty() ? 0 : version_of_row(rows.value().front().value);
        read_record_page(state);
    });
}

void entry_table_client::read_record_page(const std::shared_ptr<full_read>& state) {
    m_platform.scan(std::string(record_row_prefix), state->after, rows_per_page,
                    [this, state](const platform_result<platform_client::rows>& rows) {
                        if (!rows) {
                            fail(table_operation::read_changes);
                            return;
                        }
                        for (const table_row& row : rows.value()) {
                            if (auto value = parse_record_row(row.value)) {
                                const record_key key = value->key;
                                state->changes.push_back({state->version, key, std::move(value)});
                            }
                        }
                        if (rows.value().size() < static_cast<std::size_t>(rows_per_page)) {
                            finish_full_read(state);
                            return;
                        }
                        state->after = rows.value().back().key;
                        read_record_page(state);
                    });
}

void entry_table_client::finish_full_read(const std::shared_ptr<full_read>& state) {
    m_platform.read({std::string(head_row_key)}, [this, state](const platform_result<platform_client::rows>& rows) {
        if (!rows) {
            fail(table_operation::read_changes);
            return;
        }
        const std::uint64_t version = rows.value().empty() ? 0 : version_of_row(rows.value().front().value);
        if (version != state->version) {
            begin_full_read(state->tries_left - 1);
            return;
        }
        m_sink(table_changes_read{config_delta{0, version, true, std::move(state->changes)}});
    });
}

// ---- claims

void entry_table_client::run(const claim_key& command) {
    table_transaction transaction;
    const std::string row = claim_row_key(command.key);
    transaction.checks.push_back({row, 0});
    transaction.puts.push_back({row, claim_json(m_self, command.body_hash)});
    m_platform.transact(transaction, [this, command](const platform_result<std::uint64_t>& result) {
        if (result) {
            claim_answered answer;
            answer.key = command.key;
            answer.state = claim_state::granted;
            answer.body_hash = command.body_hash;
            answer.holder = m_self;
            m_sink(std::move(answer));
        } else if (result.error().unknown || result.error().error == platform_error::conflict) {
            read_claim(command, claim_read_tries);
        } else {
            m_sink(unavailable_claim(command.key));
        }
    });
}

void entry_table_client::read_claim(const claim_key& command, int tries_left) {
    const std::string row = claim_row_key(command.key);
    m_platform.read({row}, [this, command, tries_left](const platform_result<platform_client::rows>& rows) {
        if (!rows && tries_left > 1) {
            read_claim(command, tries_left - 1);
        } else if (!rows || rows.value().empty()) {
            // No row: the write was lost, or it may still take effect later.
            // The call has not run in either case.
            m_sink(unavailable_claim(command.key));
        } else {
            m_sink(parse_claim(command.key, rows.value().front().value.toObject()));
        }
    });
}

void entry_table_client::run(const record_outcome& command) {
    write_outcome(command, outcome_tries);
}

void entry_table_client::write_outcome(const record_outcome& command, int tries_left) {
    const std::string row = claim_row_key(command.key);
    m_platform.read({row}, [this, row, command, tries_left](const platform_result<platform_client::rows>& rows) {
        const auto retry = [this, command, tries_left] {
            if (tries_left > 1) {
                QTimer::singleShot(outcome_retry_delay, this,
                                   [this, command, tries_left] { write_outcome(command, tries_left - 1); });
            }
        };
        if (!rows) {
            retry();
            return;
        }
        if (rows.value().empty()) {
            return;
        }
        QJsonObject value = rows.value().front().value.toObject();
        value["outcome"] = outcome_json(command.outcome);
        table_transaction transaction;
        transaction.checks.push_back({row, rows.value().front().revision});
        transaction.puts.push_back({row, value});
        m_platform.transact(transaction, [retry](const platform_result<std::uint64_t>& result) {
            if (!result) {
                retry();
            }
        });
    });
}

}  // namespace verbenahold
