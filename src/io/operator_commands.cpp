#include "operator_commands.hpp"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QSslConfiguration>
#include <QThread>

#include <algorithm>
#include <istream>
#include <iterator>
#include <limits>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "explain_command.hpp"
#include "operator_client.hpp"
#include "record_formatter.hpp"
#include "settings.hpp"

namespace verbenahold {

namespace {

constexpr std::string_view purpose = R"(the operators' command line

  verbenactl [settings] COMMAND

Commands:
  apply FILE...      write the records of JSON files ("-": standard input; one
                     object or an array). A record with a record_version is
                     written only if it stands at that version. A record that
                     is stored as in the file is left alone.
  diff FILE...       show what apply would change
  get KIND NAME      show one record
  list KIND          show all records of a kind: service, client_account,
                     routing_intention or availability_zone
  watch              print changes as they are accepted, until interrupted
  status             show versions, hosts, leases and open orders
  explain ID [FILE...]
                     tell from the daemons' logs what happened to the request
                     of this attempt id, and why ("-", no file: standard input)
  check-config FILE [--against FILE] [--json]
                     check the serving daemon's configuration in a file, and
                     list its differences from another one ("-": standard
                     input); exit codes: 0 no errors, 1 wrong usage, 2 errors
                     found, 3 a file can't be read
  zone out ZONE      take an availability zone out of service
  zone in ZONE       take it back

Exit codes:
  0 done                          4 no control process could be reached
  1 wrong usage                   5 the table service is down, nothing written
  2 invalid or no such record     6 the operator key was refused
  3 the record has changed        7 outcome unknown: repeat with --operation)";

std::vector<option_definition> operator_options() {
    return {
        {"control", option_type::text, "", "URLs of control processes, separated by commas; tried in order"},
        {"operator-key", option_type::text, "", "operator key; better given by the environment or a file", true, 0, 0,
         true},
        {"operator-key-file", option_type::file, "", "file whose first line is the operator key", true},
        {"ca-file", option_type::file, "", "certificates (PEM) that sign the control processes' certificates", true},
        {"output", option_type::name, "table", "form of the output: table or json"},
        {"operation", option_type::name, "",
         "operation id of a write, to repeat one whose outcome is unknown; default: a new one", true},
        {"after", option_type::integer, "-1", "watch: print changes after this version; -1: after the present one",
         false, -1},
        {"count", option_type::integer, "0", "watch: end after this many changes; 0: never"},
        {"interval-ms", option_type::integer, "1000", "watch: time between two looks", false, 10},
    };
}

class operator_session {
public:
    operator_session(const settings& chosen, operator_client& client, std::istream& input, std::ostream& output,
                     std::ostream& errors)
        : m_settings(chosen), m_client(client), m_input(input), m_output(output), m_errors(errors) {}

    operator_exit run() {
        const std::vector<std::string>& words = m_settings.positional();
        const std::string command = words.empty() ? "" : words[0];
        if ((command == "apply" || command == "diff") && words.size() >= 2) {
            return process_record_files({words.begin() + 1, words.end()}, command == "apply");
        }
        if (command == "get" && words.size() == 3) {
            return get(words[1], words[2]);
        }
        if (command == "list" && words.size() == 2) {
            return list(words[1]);
        }
        if (command == "watch" && words.size() == 1) {
            return watch();
        }
        if (command == "status" && words.size() == 1) {
            return status();
        }
        if (command == "zone" && words.size() == 3 && (words[1] == "in" || words[1] == "out")) {
            return set_zone(words[2], words[1]);
        }
        m_errors << "verbenactl: wrong or missing command; see verbenactl --help\n";
        return operator_exit::usage;
    }

private:
    [[nodiscard]] bool json() const { return m_settings.text("output") == "json"; }

    operator_exit fail(const operator_answer& answer, const std::string& what) {
        m_errors << "verbenactl: " << what << ": " << answer.message << '\n';
        switch (answer.result) {
            case operator_result::ok:
                return operator_exit::ok;
            case operator_result::invalid:
            case operator_result::not_found:
                return operator_exit::invalid;
            case operator_result::conflict:
                return operator_exit::conflict;
            case operator_result::unauthorized:
                return operator_exit::unauthorized;
            case operator_result::unreachable:
                return operator_exit::unreachable;
            case operator_result::store_down:
                return operator_exit::store_down;
            case operator_result::unknown:
                break;
        }
        return operator_exit::unknown_outcome;
    }

    // An unconfirmed answer was read before the table service became
    // unavailable; it is shown, but the exit code says so.
    operator_exit exit_code_of_read(const operator_answer& answer) {
        if (answer.body["confirmed"].toBool()) {
            return operator_exit::ok;
        }
        m_errors << "verbenactl: the table service is down; this is what was last read\n";
        return operator_exit::store_down;
    }

    // ---- records from files

    operator_exit process_record_files(const std::vector<std::string>& files, bool apply_changes) {
        std::vector<QJsonObject> found;
        for (const std::string& file : files) {
            const auto bytes = read_file(file);
            if (!bytes) {
                m_errors << "verbenactl: cannot read " << file << '\n';
                return operator_exit::usage;
            }
            QJsonParseError fault;
            const QJsonDocument document = QJsonDocument::fromJson(*bytes, &fault);
            if (document.isNull()) {
                m_errors << "verbenactl: " << file << ": " << fault.errorString().toStdString() << " at byte "
                         << fault.offset << '\n';
                return operator_exit::invalid;
            }
            for (const auto& item : document.isArray() ? document.array() : QJsonArray{document.object()}) {
                found.push_back(item.toObject());
            }
        }
        // Every record is checked before the first one is written.
        std::vector<record> records;
        for (const QJsonObject& item : found) {
            const auto parsed = parse_record(item);
            if (!parsed) {
                m_errors << "verbenactl: " << item["kind"].toString().toStdString() << '/'
                         << item["name"].toString().toStdString() << ": " << parsed.error().field << ": "
                         << parsed.error().message << '\n';
                return operator_exit::invalid;
            }
            records.push_back(parsed.value());
        }
        for (std::size_t i = 0; i < records.size(); ++i) {
            const bool has_version = found[i].contains("record_version");
            const operator_exit code = apply_changes ? apply(records[i], has_version, i) : show_difference(records[i]);
            if (code != operator_exit::ok) {
                return code;
            }
        }
        return operator_exit::ok;
    }

    std::optional<QByteArray> read_file(const std::string& name) {
        if (name == "-") {
            const std::string text((std::istreambuf_iterator<char>(m_input)), std::istreambuf_iterator<char>());
            return QByteArray::fromStdString(text);
        }
        QFile file(QString::fromStdString(name));
        if (!file.open(QIODevice::ReadOnly)) {
            return std::nullopt;
        }
        return file.readAll();
    }

    static std::string label(const record& value) {
        return std::string(to_string(value.key.kind)) + '/' + value.key.name;
    }

    // Reads the stored record into `stored`, or no value if there is none.
    std::optional<operator_exit> read_stored(const record& value, std::optional<record>& stored) {
        const operator_answer answer = m_client.get_record(value.key);
        if (answer.result == operator_result::not_found && answer.body["confirmed"].toBool()) {
            return std::nullopt;
        }
        if (answer.result != operator_result::ok && answer.result != operator_result::not_found) {
            return fail(answer, label(value));
        }
        if (!answer.body["confirmed"].toBool()) {
            m_errors << "verbenactl: " << label(value) << ": the table service is down; nothing was written\n";
            return operator_exit::store_down;
        }
        const auto parsed = parse_record(answer.body["record"].toObject());
        if (parsed) {
            stored = parsed.value();
        } else {
            // This program can't parse the record; only its version is kept.
            stored = record{value.key, 0, 0, {}};
            stored->record_version =
                static_cast<std::uint64_t>(answer.body["record"].toObject()["record_version"].toInteger());
        }
        return std::nullopt;
    }

    operator_exit apply(record value, bool has_version, std::size_t index) {
        const bool repeats = !m_settings.text("operation").empty();
        if (!has_version) {
            std::optional<record> stored;
            if (const auto code = read_stored(value, stored)) {
                return *code;
            }
            const bool same = stored && stored->spec == value.spec && stored->schema_version == value.schema_version;
            if (same && !repeats) {
                report(label(value) + " unchanged", stored->record_version);
                return operator_exit::ok;
            }
            value.record_version = stored ? stored->record_version : 0;
        }
        return write(value, index);
    }

    operator_exit write(const record& value, std::size_t index) {
        std::string operation = m_settings.text("operation");
        if (operation.empty()) {
            operation = make_operation_id();
        } else if (index > 0) {
            operation += '-' + std::to_string(index);
        }
        const operator_answer answer = m_client.put_record(value, operation);
        if (answer.result == operator_result::ok) {
            report(label(value) + " accepted", static_cast<std::uint64_t>(answer.body["version"].toInteger()));
            return operator_exit::ok;
        }
        const operator_exit code = fail(answer, label(value));
        if (code == operator_exit::unknown_outcome) {
            m_errors << "verbenactl: to find out, repeat with a record_version of " << value.record_version
                     << " in the file and --operation " << operation << '\n';
        }
        return code;
    }

    void report(const std::string& what, std::uint64_t version) {
        if (json()) {
            m_output << format_json(
                QJsonObject{{"result", QString::fromStdString(what)}, {"version", static_cast<qint64>(version)}});
        } else {
            m_output << what << " at version " << version << '\n';
        }
    }

    operator_exit show_difference(const record& value) {
        std::optional<record> stored;
        if (const auto code = read_stored(value, stored)) {
            return *code;
        }
        const std::string lines = format_difference(stored ? to_json(*stored) : QJsonObject(), to_json(value));
        m_output << label(value) << (lines.empty() ? ": same\n" : stored ? ": differs\n" : ": new\n") << lines;
        return operator_exit::ok;
    }

    // ---- zones

    operator_exit set_zone(const std::string& name, const std::string& state) {
        record value{{record_kind::availability_zone, name}, newest_schema_version, 0, {}};
        value.spec["state"] = QString::fromStdString(state);
        if (const auto parsed = parse_record(to_json(value)); !parsed) {
            m_errors << "verbenactl: " << parsed.error().field << ": " << parsed.error().message << '\n';
            return operator_exit::invalid;
        }
        std::optional<record> stored;
        if (const auto code = read_stored(value, stored)) {
            return *code;
        }
        if (stored) {
            // Keeps the other fields of the record.
            QJsonObject spec = stored->spec;
            spec["state"] = value.spec["state"];
            value.spec = spec;
            value.record_version = stored->record_version;
        }
        if (stored && stored->spec == value.spec) {
            report(label(value) + " unchanged", stored->record_version);
            return operator_exit::ok;
        }
        return write(value, 0);
    }

    // ---- reading

    operator_exit get(const std::string& kind_name, const std::string& name) {
        const auto kind = parse_record_kind(kind_name);
        if (!kind) {
            m_errors << "verbenactl: there is no kind '" << kind_name << "'\n";
            return operator_exit::usage;
        }
        const operator_answer answer = m_client.get_record({*kind, name});
        if (answer.result != operator_result::ok) {
            return fail(answer, kind_name + '/' + name);
        }
        m_output << (json() ? format_json(answer.body["record"]) : format_records(QJsonArray{answer.body["record"]}));
        return exit_code_of_read(answer);
    }

    operator_exit list(const std::string& kind_name) {
        if (!parse_record_kind(kind_name)) {
            m_errors << "verbenactl: there is no kind '" << kind_name << "'\n";
            return operator_exit::usage;
        }
        const operator_answer answer = m_client.get("/v1/records/" + QString::fromStdString(kind_name));
        if (answer.result != operator_result::ok) {
            return fail(answer, kind_name);
        }
        const QJsonArray records = answer.body["records"].toArray();
        m_output << (json() ? format_json(records) : format_records(records));
        return exit_code_of_read(answer);
    }

    operator_exit status() {
        const operator_answer answer = m_client.get("/v1/status");
        if (answer.result != operator_result::ok) {
            return fail(answer, "status");
        }
        m_output << (json() ? format_json(answer.body) : format_status(answer.body));
        return exit_code_of_read(answer);
    }

    operator_exit watch() {
        std::int64_t after = m_settings.integer("after");
        std::int64_t left = m_settings.integer("count");
        const bool bounded = left > 0;
        while (true) {
            const std::int64_t from = after < 0 ? std::numeric_limits<std::int64_t>::max() : after;
            const operator_answer answer = m_client.get("/v1/changes", "after=" + QString::number(from));
            if (answer.result != operator_result::ok && answer.result != operator_result::store_down) {
                return fail(answer, "watch");
            }
            // An outage of the table service only delays the output.
            const QJsonArray changes = answer.body["changes"].toArray();
            for (const auto& change : changes) {
                m_output << (json()
                                 ? QJsonDocument(change.toObject()).toJson(QJsonDocument::Compact).toStdString() + '\n'
                                 : format_change(change.toObject()))
                         << std::flush;
                after = change.toObject()["version"].toInteger();
                if (bounded && --left == 0) {
                    return operator_exit::ok;
                }
            }
            if (answer.result == operator_result::ok && (after < 0 || answer.body["whole"].toBool())) {
                after = answer.body["version"].toInteger();
            }
            if (changes.isEmpty()) {
                QThread::msleep(static_cast<unsigned long>(m_settings.integer("interval-ms")));
            }
        }
    }

    const settings& m_settings;
    operator_client& m_client;
    std::istream& m_input;
    std::ostream& m_output;
    std::ostream& m_errors;
};

std::vector<QUrl> parse_urls(const std::string& text) {
    std::vector<QUrl> urls;
    for (const QString& part : QString::fromStdString(text).split(',')) {
        const QUrl url(part.trimmed(), QUrl::StrictMode);
        if (!url.isValid() || (url.scheme() != "http" && url.scheme() != "https") || url.host().isEmpty()) {
            return {};
        }
        urls.push_back(url);
    }
    return urls;
}

std::optional<QByteArray> read_key(const settings& chosen) {
    if (!chosen.text("operator-key").empty()) {
        return QByteArray::fromStdString(chosen.text("operator-key"));
    }
    QFile file(QString::fromStdString(chosen.text("operator-key-file")));
    if (!file.open(QIODevice::ReadOnly)) {
        return std::nullopt;
    }
    return file.readLine().trimmed();
}

}  // namespace

int run_operator_command(int argc, char** argv, std::istream& input, std::ostream& output, std::ostream& errors,
                         const separate_command& check_config) {
    // `explain` and `check-config` only read files, so they need no control process in the
    // settings.
    const std::vector<std::string> words(argv + std::min(argc, 1), argv + argc);
    if (!words.empty() && words[0] == "check-config") {
        return check_config(std::span(words).subspan(1), input, output, errors);
    }
    if (words.size() >= 2 && words[0] == "explain") {
        const bool found = explain_request(words[1], std::span(words).subspan(2), input, output, errors);
        return static_cast<int>(found ? operator_exit::ok : operator_exit::invalid);
    }
    const auto options = operator_options();
    const auto chosen = settings::read("verbenactl", purpose, options, argc, argv);
    if (!chosen) {
        const bool good = chosen.error().code == 0;
        (good ? output : errors) << chosen.error().text;
        return static_cast<int>(good ? operator_exit::ok : operator_exit::usage);
    }
    const std::vector<QUrl> controls = parse_urls(chosen.value().text("control"));
    const std::optional<QByteArray> key = read_key(chosen.value());
    const std::string& form = chosen.value().text("output");
    if (controls.empty() || !key || (form != "table" && form != "json")) {
        errors << "verbenactl: "
               << (controls.empty() ? "--control: URLs such as http://127.0.0.1:8080 are expected"
                   : !key           ? "--operator-key or --operator-key-file is required"
                                    : "--output: table or json is expected")
               << '\n';
        return static_cast<int>(operator_exit::usage);
    }
    if (!chosen.value().text("ca-file").empty()) {
        QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
        configuration.setCaCertificates(
            QSslCertificate::fromPath(QString::fromStdString(chosen.value().text("ca-file"))));
        QSslConfiguration::setDefaultConfiguration(configuration);
    }
    operator_client client(controls, *key);
    return static_cast<int>(operator_session(chosen.value(), client, input, output, errors).run());
}

}  // namespace verbenahold
