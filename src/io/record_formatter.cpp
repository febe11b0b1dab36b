#include "record_formatter.hpp"

#include <QJsonDocument>

#include <algorithm>
#include <set>

namespace verbenahold {

namespace {

std::string compact(const QJsonValue& value) {
    if (value.isString()) {
        return value.toString().toStdString();
    }
    const QByteArray list = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
    return list.mid(1, list.size() - 2).toStdString();
}

std::string text(const QJsonValue& value) {
    return value.isUndefined() ? "-" : compact(value);
}

std::string fields_of(const QJsonObject& spec) {
    std::string line;
    for (auto field = spec.begin(); field != spec.end(); ++field) {
        line += (line.empty() ? "" : " ") + field.key().toStdString() + '=' + compact(field.value());
    }
    return line;
}

// The fields of a record that an operator sets.
QJsonObject operator_fields(const QJsonObject& record) {
    QJsonObject fields = record["spec"].toObject();
    fields["schema_version"] = record["schema_version"];
    return fields;
}

}  // namespace

std::string format_table(const std::vector<std::vector<std::string>>& rows) {
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string result;
    for (const auto& row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool last = column + 1 == row.size();
            result += row[column];
            result += last ? "\n" : std::string(widths[column] - row[column].size() + 2, ' ');
        }
    }
    return result;
}

std::string format_records(const QJsonArray& records) {
    std::vector<std::vector<std::string>> rows{{"KIND", "NAME", "VERSION", "SCHEMA", "FIELDS"}};
    for (const auto& item : records) {
        const QJsonObject record = item.toObject();
        rows.push_back({text(record["kind"]), text(record["name"]), text(record["record_version"]),
                        text(record["schema_version"]), fields_of(record["spec"].toObject())});
    }
    return format_table(rows);
}

std::string format_change(const QJsonObject& change) {
    const QJsonObject record = change["record"].toObject();
    return text(change["version"]) + "  " + text(record["kind"]) + '/' + text(record["name"]) + "  " +
           fields_of(record["spec"].toObject()) + '\n';
}

std::string format_status(const QJsonObject& status) {
    const std::string confirmed = status["confirmed"].toBool() ? "confirmed" : "NOT CONFIRMED: the table is down";
    std::string result = "daemon   " + text(status["daemon"]) + " in " + text(status["zone"]) + "\nversion  " +
                         text(status["version"]) + " (" + confirmed + ")\nwrites   schema version " +
                         text(status["writes_schema_version"]) + "\nhosts    " + fields_of(status["hosts"].toObject()) +
                         "\nout      " + text(status["zones_out"]) + "\n\n";
    std::vector<std::vector<std::string>> services{{"SERVICE", "HOLDER", "FENCE", "SERVERS", "OBSERVED", "AT TARGET"}};
    std::vector<std::vector<std::string>> orders{{"ORDERED SERVER", "STAGE", "TARGET"}};
    for (const auto& item : status["services"].toArray()) {
        const QJsonObject service = item.toObject();
        services.push_back({text(service["service"]), text(service["holder"]), text(service["fence"]),
                            text(service["servers"]), text(service["observed"]), text(service["at_target"])});
        for (const auto& order : service["orders"].toArray()) {
            orders.push_back({text(order.toObject()["server"]), text(order.toObject()["stage"]),
                              fields_of(order.toObject()["target"].toObject())});
        }
    }
    result += format_table(services);
    return orders.size() == 1 ? result : result + '\n' + format_table(orders);
}

std::string format_difference(const QJsonObject& stored, const QJsonObject& wanted) {
    const QJsonObject before = stored.isEmpty() ? QJsonObject() : operator_fields(stored);
    const QJsonObject after = operator_fields(wanted);
    std::set<QString> names;
    for (const QString& name : before.keys() + after.keys()) {
        names.insert(name);
    }
    std::string lines;
    for (const QString& name : names) {
        if (before[name] == after[name]) {
            continue;
        }
        if (before.contains(name)) {
            lines += "- " + name.toStdString() + ": " + compact(before[name]) + '\n';
        }
        if (after.contains(name)) {
            lines += "+ " + name.toStdString() + ": " + compact(after[name]) + '\n';
        }
    }
    return lines;
}

std::string format_json(const QJsonValue& value) {
    const QJsonDocument document = value.isArray() ? QJsonDocument(value.toArray()) : QJsonDocument(value.toObject());
    return document.toJson(QJsonDocument::Indented).toStdString();
}

}  // namespace verbenahold
