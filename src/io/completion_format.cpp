#include "completion_format.hpp"

#include <QJsonDocument>
#include <QJsonObject>

#include <array>

namespace verbenahold {

namespace {

QByteArray view_bytes(std::string_view text) {
    return QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size()));
}

// Start of the JSON of an answer, up to the text of its only choice.
QByteArray open_completion(const completion_identity& identity) {
    QByteArray json = "{\"id\":\"cmpl-";
    json += QByteArray::number(static_cast<quint64>(identity.ticket));
    json += "\",\"object\":\"text_completion\",\"created\":";
    json += QByteArray::number(static_cast<qint64>(identity.created_s));
    json += ",\"model\":";
    append_json_string(json, identity.model);
    json += ",\"choices\":[{\"index\":0,\"logprobs\":null,\"text\":";
    return json;
}

void append_finish(QByteArray& json, const reply_finished& end) {
    const std::int64_t total = end.prompt_tokens + end.output_tokens;
    json += ",\"finish_reason\":";
    append_json_string(json, end.finish_reason);
    json +=
        "}],\"usage\":{\"prompt_tokens\":" + QByteArray::number(static_cast<qint64>(end.prompt_tokens)) +
        ",\"completion_tokens\":" + QByteArray::number(static_cast<qint64>(end.output_tokens)) +
        ",\"total_tokens\":" + QByteArray::number(static_cast<qint64>(total)) +
        ",\"prompt_tokens_details\":{\"cached_tokens\":" + QByteArray::number(static_cast<qint64>(end.cached_tokens)) +
        "}}}";
}

// An integer in [min_value, max_value], or `absent` if the field is missing.
request_result<std::int64_t> read_number(const QJsonObject& json, const char* name, std::int64_t absent,
                                         std::int64_t min_value, std::int64_t max_value) {
    const QJsonValue value = json.value(QLatin1String(name));
    if (value.isUndefined()) {
        return absent;
    }
    const qint64 number = value.toInteger(min_value - 1);
    if (!value.isDouble() || number < min_value || number > max_value) {
        return request_fault{std::string(name) + " must be a whole number from " + std::to_string(min_value) + " to " +
                             std::to_string(max_value)};
    }
    return number;
}

request_result<std::string> read_text(const QJsonObject& json, const char* name) {
    const QJsonValue value = json.value(QLatin1String(name));
    if (!value.isString() || value.toString().isEmpty()) {
        return request_fault{std::string(name) + " must be a text that is not empty"};
    }
    return value.toString().toStdString();
}

}  // namespace

void append_json_string(QByteArray& to, std::string_view text) {
    constexpr std::string_view digits = "0123456789abcdef";
    to += '"';
    for (const char letter : text) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            to += '\\';
            to += letter;
        } else if (letter == '\n') {
            to += "\\n";
        } else if (code < 0x20) {
            to += "\\u00";
            to += digits[code >> 4U];
            to += digits[code & 0xFU];
        } else {
            to += letter;
        }
    }
    to += '"';
}

request_result<completion_request> parse_completion(const QByteArray& body) {
    QJsonParseError error;
    const QJsonDocument document = QJsonDocument::fromJson(body, &error);
    if (!document.isObject()) {
        return request_fault{"the body must be a JSON object"};
    }
    const QJsonObject json = document.object();
    completion_request request;
    BOOST_OUTCOME_TRY(model, read_text(json, "model"));
    BOOST_OUTCOME_TRY(prompt, read_text(json, "prompt"));
    BOOST_OUTCOME_TRY(max_tokens, read_number(json, "max_tokens", default_max_tokens, 1, max_tokens_limit));
    BOOST_OUTCOME_TRY(deadline_ms, read_number(json, "deadline_ms", 0, 1, max_deadline_ms));
    request.model = std::move(model);
    request.prompt = std::move(prompt);
    request.max_tokens = max_tokens;
    request.deadline = std::chrono::milliseconds(deadline_ms);
    const QJsonValue stream = json.value("stream");
    if (!stream.isUndefined() && !stream.isBool()) {
        return request_fault{"stream must be true or false"};
    }
    request.stream = stream.toBool(false);
    return request;
}

request_result<duration> parse_deadline(const QByteArray& text) {
    if (text.isEmpty()) {
        return duration::zero();
    }
    bool number = false;
    const qint64 milliseconds = text.toLongLong(&number);
    if (!number || milliseconds < 1 || milliseconds > max_deadline_ms) {
        return request_fault{"X-Deadline-Ms must be a whole number from 1 to " + std::to_string(max_deadline_ms)};
    }
    return duration(std::chrono::milliseconds(milliseconds));
}

QByteArray completion_body(const completion_identity& identity, std::string_view text, const reply_finished& end) {
    QByteArray json = open_completion(identity);
    append_json_string(json, text);
    append_finish(json, end);
    return json;
}

QByteArray token_event(const completion_identity& identity, const reply_tokens& tokens) {
    std::string text;
    for (const std::string& token : tokens.tokens) {
        text += token;
    }
    QByteArray event = "data: " + open_completion(identity);
    append_json_string(event, text);
    return event + ",\"finish_reason\":null}]}\n\n";
}

QByteArray end_events(const completion_identity& identity, const reply_finished& end) {
    QByteArray event = "data: " + open_completion(identity) + "\"\"";
    append_finish(event, end);
    return event + "\n\ndata: [DONE]\n\n";
}

QByteArray error_body(std::string_view code, std::string_view message, ran_state ran) {
    QByteArray json = "{\"error\":{\"code\":";
    append_json_string(json, code);
    json += ",\"message\":";
    append_json_string(json, message);
    json += ",\"ran\":\"" + view_bytes(to_string(ran)) + "\"}}";
    return json;
}

QByteArray error_event(std::string_view code, std::string_view message, ran_state ran) {
    return "data: " + error_body(code, message, ran) + "\n\n";
}

}  // namespace verbenahold
