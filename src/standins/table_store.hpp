// In-memory table with row revisions and transactions: the platform's table
// service without network.
#pragma once

#include <QJsonObject>
#include <QJsonValue>
#include <QString>

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace verbenahold::standins {

struct table_row {
    QJsonValue value;
    std::uint64_t revision = 0;
};

struct transaction_done {
    std::uint64_t revision = 0;
};

struct transaction_failed {
    // Keys whose checks failed.
    std::vector<QString> keys;
};

using transaction_result = std::variant<transaction_done, transaction_failed>;

class table_store {
public:
    // Applies a transaction {"checks","puts","deletes"} completely, or not at all if
    // a check fails. Each row written gets the transaction's revision; a check of
    // revision 0 requires that the row does not exist.
    transaction_result transact(const QJsonObject& transaction);
    // Returns the existing rows among `keys` as {"rows":[...]}.
    [[nodiscard]] QJsonObject read(const QJsonArray& keys) const;
    // Returns up to `limit` rows whose key starts with `prefix` and is greater than
    // `after`, in the same form.
    [[nodiscard]] QJsonObject scan(const QString& prefix, const QString& after, int limit) const;

private:
    [[nodiscard]] std::uint64_t revision_of(const QString& key) const;

    std::map<QString, table_row> m_rows;
    std::uint64_t m_revision = 0;
};

}  // namespace verbenahold::standins
