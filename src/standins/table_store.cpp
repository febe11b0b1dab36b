#include "table_store.hpp"

#include <QJsonArray>

#include <algorithm>

namespace verbenahold::standins {

namespace {

QJsonObject row_json(const QString& key, const table_row& row) {
    return {{"key", key}, {"value", row.value}, {"revision", static_cast<qint64>(row.revision)}};
}

}  // namespace

std::uint64_t table_store::revision_of(const QString& key) const {
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? 0 : found->second.revision;
}

transaction_result table_store::transact(const QJsonObject& transaction) {
    transaction_failed failed;
    for (const QJsonValue check : transaction["checks"].toArray()) {
        const QString key = check["key"].toString();
        if (revision_of(key) != static_cast<std::uint64_t>(check["revision"].toInteger())) {
            failed.keys.push_back(key);
        }
    }
    if (!failed.keys.empty()) {
        return failed;
    }
    ++m_revision;
    for (const QJsonValue key : transaction["deletes"].toArray()) {
        m_rows.erase(key.toString());
    }
    for (const QJsonValue put : transaction["puts"].toArray()) {
        m_rows[put["key"].toString()] = {put["value"], m_revision};
    }
    return transaction_done{m_revision};
}

QJsonObject table_store::read(const QJsonArray& keys) const {
    QJsonArray rows;
    for (const QJsonValue key : keys) {
        const auto found = m_rows.find(key.toString());
        if (found != m_rows.end()) {
            rows.append(row_json(found->first, found->second));
        }
    }
    return {{"rows", rows}};
}

QJsonObject table_store::scan(const QString& prefix, const QString& after, int limit) const {
    QJsonArray rows;
    auto row = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
    for (; row != m_rows.end() && row->first.startsWith(prefix) && rows.size() < limit; ++row) {
        rows.append(row_json(row->first, row->second));
    }
    return {{"rows", rows}};
}

}  // namespace verbenahold::standins
