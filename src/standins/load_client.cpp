#include "load_client.hpp"

#include "token_text.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <set>

namespace verbenahold::standins {

namespace {

using std::chrono::milliseconds;

// Sends of one request in total, retries included.
constexpr int max_attempts = 4;
constexpr milliseconds pause_before_resend{50};
// Time after the deadline by which an answer or error must have arrived.
constexpr milliseconds deadline_grace{1'000};
// Entries send a comment every 5 s; the limit is two missed ones and a margin.
constexpr milliseconds silence_limit{12'000};
constexpr milliseconds operator_timeout{5'000};
constexpr milliseconds operator_retry_pause{500};
constexpr int max_operator_attempts = 40;

// Whether any other entry would answer with the same error.
bool is_final(const std::string& code) {
    static const std::set<std::string> codes{"unauthorized",  "unknown_service",         "bad_request",
                                             "account_limit", "request_crashes_servers", "key_reused"};
    return codes.contains(code);
}

QUrl url_at(const std::string& address, const std::string& path) {
    return QUrl(QString::fromStdString("http://" + address + path));
}

QByteArray bearer(const std::string& key) {
    return QByteArray::fromStdString("Bearer " + key);
}

milliseconds to_milliseconds(duration time) {
    return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(time));
}

}  // namespace

const char* to_string(load_end end) {
    constexpr const char* names[] = {"answered", "refused", "failed", "lost", "wrong", "late"};
    return names[static_cast<std::size_t>(end)];
}

load_client::load_client(const load_settings& settings, timer_service& timers)
    : m_settings(settings), m_timers(timers), m_random(settings.seed) {
    for (const load_account& account : settings.accounts) {
        m_locators.emplace_back(m_client, m_timers, m_settings, account.key);
    }
    for (const planned_request& request : make_plan(settings)) {
        m_results.emplace_back().request = request;
    }
    for (const zone_event& event : settings.zone_events) {
        m_zone_event_results.emplace_back().event = event;
    }
}

void load_client::run(std::function<void()> done) {
    m_done = std::move(done);
    m_start = m_timers.now();
    for (std::size_t event = 0; event < m_zone_event_results.size(); ++event) {
        m_timers.after(m_zone_event_results[event].event.at, [this, event] { write_zone(event, 0); });
    }
    launch_due();
}

void load_client::launch_due() {
    while (m_next < m_results.size() && m_results[m_next].request.at <= since_start()) {
        launch(m_next++);
    }
    if (m_next < m_results.size()) {
        m_timers.after(m_results[m_next].request.at - since_start(), [this] { launch_due(); });
    }
    finish_if_done();
}

void load_client::launch(std::size_t index) {
    const planned_request& request = m_results[index].request;
    open_request& open = m_open[index];
    open.index = index;
    const duration limit = request.at + request.deadline + deadline_grace - since_start();
    open.watchdog = m_timers.after(limit, [this, index] { close(index, load_end::late); });
    attempt(index);
}

// An order keeps its key until an answer says `ran: no` for that key.
void load_client::attempt(std::size_t index) {
    const planned_request& request = m_results[index].request;
    const bool needs_key = request.kind == load_kind::order && m_open.at(index).key.empty();
    m_locators[request.account].locate(needs_key,
                                       [this, index](const std::vector<std::string>& entries, const std::string& key) {
                                           if (const auto open = m_open.find(index); open != m_open.end()) {
                                               send(open->second, entries, key);
                                           }
                                       });
}

void load_client::send(open_request& open, const std::vector<std::string>& entries, const std::string& key) {
    load_result& result = m_results[open.index];
    if (!key.empty()) {
        open.key = key;
        result.keys.emplace_back(key, false);
    }
    std::vector<std::string> others = entries;
    if (others.size() > 1) {
        std::erase(others, open.last_entry);
    }
    open.last_entry = others[m_random() % others.size()];
    ++result.attempts;
    open.unchecked_text.clear();
    open.tokens = 0;
    open.wrong = false;
    open.finished = false;
    open.error_code.clear();
    open.ran.clear();
    if (result.request.kind == load_kind::completion) {
        send_completion(open, open.last_entry);
    } else {
        send_service_call(open, open.last_entry);
    }
}

void load_client::send_completion(open_request& open, const std::string& entry) {
    const planned_request& request = m_results[open.index].request;
    const std::string prompt = make_prompt(request, m_settings.shared_prefix_tokens);
    open.prompt_hash = hash_prompt(prompt);
    const auto time_left = to_milliseconds(request.at + request.deadline - since_start());
    http_call call;
    call.method = "POST";
    call.url = url_at(entry, "/v1/completions");
    call.content_type = "application/json";
    call.headers = {{"Authorization", bearer(m_settings.accounts[request.account].key)}};
    // The prompt has no characters that JSON would escape.
    call.body = QByteArray::fromStdString(R"({"model":")" + m_settings.model + R"(","max_tokens":)" +
                                          std::to_string(request.output_tokens) + R"(,"stream":true,"deadline_ms":)" +
                                          std::to_string(time_left.count()) + R"(,"prompt":")" + prompt + R"("})");
    call.timeout = silence_limit;
    stream_callbacks callbacks;
    callbacks.on_event = [this, index = open.index](const QByteArray& data) { on_event(index, data); };
    callbacks.on_end = [this, index = open.index](const http_answer& answer) { on_end(index, answer); };
    open.call = m_client.open_stream(call, silence_limit, std::move(callbacks));
}

void load_client::send_service_call(open_request& open, const std::string& entry) {
    const planned_request& request = m_results[open.index].request;
    const std::string item = std::to_string(open.index);
    const auto time_left = to_milliseconds(request.at + request.deadline - since_start());
    const std::string base = "/v1/services/" + m_settings.service + "/orders";
    http_call call;
    call.headers = {{"Authorization", bearer(m_settings.accounts[request.account].key)},
                    {"X-Deadline-Ms", QByteArray::number(static_cast<qint64>(time_left.count()))}};
    call.timeout = time_left;
    if (request.kind == load_kind::order) {
        call.method = "POST";
        call.url = url_at(entry, base);
        call.content_type = "application/json";
        call.body = QByteArray::fromStdString(R"({"order":)" + item + "}");
        call.headers.emplace_back("Idempotency-Key", QByteArray::fromStdString(open.key));
    } else {
        call.url = url_at(entry, base + "/" + item);
    }
    open.call = m_client.send(call, [this, index = open.index](const http_answer& answer) { on_end(index, answer); });
}

void load_client::on_event(std::size_t index, const QByteArray& data) {
    open_request& open = m_open.at(index);
    if (data == "[DONE]") {
        return;
    }
    const QJsonObject event = QJsonDocument::fromJson(data).object();
    if (event.contains("error")) {
        read_error(open, data);
        return;
    }
    const QJsonObject choice = event["choices"].toArray().at(0).toObject();
    take_text(open, choice["text"].toString().toStdString());
    open.finished = open.finished || choice["finish_reason"].isString();
}

void load_client::take_text(open_request& open, const std::string& text) {
    if (text.empty()) {
        return;
    }
    const std::int64_t before = open.tokens;
    open.unchecked_text += text;
    std::size_t checked = 0;
    while (checked < open.unchecked_text.size()) {
        const std::string expected = token_text(open.prompt_hash, static_cast<std::uint64_t>(open.tokens));
        if (open.unchecked_text.compare(checked, expected.size(), expected) != 0) {
            break;
        }
        checked += expected.size();
        ++open.tokens;
    }
    open.unchecked_text.erase(0, checked);
    const time_point now = m_timers.now();
    load_result& result = m_results[open.index];
    if (result.first_token == duration::zero()) {
        result.first_token = since_start() - result.request.at;
    } else if (before > 0 && open.tokens > before) {
        const auto count = static_cast<std::size_t>(open.tokens - before);
        const float gap = std::chrono::duration<float>(now - open.last_event).count() / static_cast<float>(count);
        m_token_gaps.insert(m_token_gaps.end(), count, gap);
    }
    open.last_event = now;
}

void load_client::read_error(open_request& open, const QByteArray& body) {
    const QJsonObject error = QJsonDocument::fromJson(body).object()["error"].toObject();
    open.error_code = error["code"].toString("unreadable_error").toStdString();
    open.ran = error["ran"].toString("unknown").toStdString();
}

void load_client::on_end(std::size_t index, const http_answer& answer) {
    open_request& open = m_open.at(index);
    load_result& result = m_results[index];
    const bool completion = result.request.kind == load_kind::completion;
    if (answer.failure == http_failure::none && answer.status != 200) {
        read_error(open, answer.body);
    }
    if (open.error_code.empty()) {
        if (completion && open.finished) {
            const bool whole = open.tokens == result.request.output_tokens && open.unchecked_text.empty();
            close(index, whole ? load_end::answered : load_end::wrong);
        } else if (!completion && answer.is_success()) {
            close(index, load_end::answered);
        } else {
            result.code = "connection_lost";
            resend(open, load_end::lost);
        }
        return;
    }
    result.code = open.error_code;
    if (open.ran != "no") {
        close(index, load_end::failed);
        return;
    }
    if (!open.key.empty()) {
        result.keys.back().second = true;
        open.key.clear();
    }
    if (is_final(open.error_code)) {
        close(index, load_end::refused);
    } else {
        resend(open, load_end::refused);
    }
}

// Orders are sent again under the same key after a lost connection, which the
// key makes safe, and under a new key after `ran: no`.
void load_client::resend(open_request& open, load_end otherwise) {
    const load_result& result = m_results[open.index];
    const duration pause = pause_before_resend * result.attempts;
    const bool in_time = since_start() + pause < result.request.at + result.request.deadline;
    if (result.attempts >= max_attempts || !in_time) {
        close(open.index, otherwise);
        return;
    }
    open.call = 0;
    m_timers.after(pause, [this, index = open.index] {
        if (m_open.contains(index)) {
            attempt(index);
        }
    });
}

void load_client::close(std::size_t index, load_end end) {
    const auto open = m_open.find(index);
    load_result& result = m_results[index];
    result.end = end;
    result.finished = since_start() - result.request.at;
    m_client.cancel(open->second.call);
    m_timers.unsubscribe(open->second.watchdog);
    m_open.erase(open);
    finish_if_done();
}

void load_client::finish_if_done() {
    if (m_next < m_results.size() || !m_open.empty() || m_auditing) {
        return;
    }
    m_auditing = true;
    read_statistics(0);
}

// ---- zone events

// Reads the record's version first, as an operator's tool does. After a
// conflict or without an answer, the write starts over at the next control
// process.
void load_client::write_zone(std::size_t event, std::size_t attempt) {
    if (attempt >= max_operator_attempts || m_settings.controls.empty()) {
        return;
    }
    const std::string& control = m_settings.controls[attempt % m_settings.controls.size()];
    http_call call;
    call.url = url_at(control, "/v1/records/availability_zone/" + m_zone_event_results[event].event.zone);
    call.headers = {{"Authorization", bearer(m_settings.operator_key)}};
    call.timeout = operator_timeout;
    m_client.send(call, [this, event, attempt](const http_answer& answer) {
        if (answer.is_success() || answer.status == 404) {
            const QJsonObject record = QJsonDocument::fromJson(answer.body).object()["record"].toObject();
            put_zone(event, attempt, record["record_version"].toInteger());
            return;
        }
        m_timers.after(operator_retry_pause, [this, event, attempt] { write_zone(event, attempt + 1); });
    });
}

void load_client::put_zone(std::size_t event, std::size_t attempt, std::int64_t record_version) {
    const zone_event& wanted = m_zone_event_results[event].event;
    const std::string operation =
        "load-" + std::to_string(m_settings.seed) + '-' + std::to_string(event) + '-' + std::to_string(record_version);
    http_call call;
    call.method = "PUT";
    call.url = url_at(m_settings.controls[attempt % m_settings.controls.size()],
                      "/v1/records/availability_zone/" + wanted.zone);
    call.headers = {{"Authorization", bearer(m_settings.operator_key)}};
    call.content_type = "application/json";
    call.body = QJsonDocument(QJsonObject{{"schema_version", 2},
                                          {"record_version", static_cast<qint64>(record_version)},
                                          {"spec", QJsonObject{{"state", QString::fromStdString(wanted.state)}}},
                                          {"operation", QString::fromStdString(operation)}})
                    .toJson();
    call.timeout = operator_timeout;
    m_client.send(call, [this, event, attempt](const http_answer& answer) {
        if (answer.is_success()) {
            m_zone_event_results[event].accepted = true;
            m_zone_event_results[event].accepted_at = since_start();
            return;
        }
        m_timers.after(operator_retry_pause, [this, event, attempt] { write_zone(event, attempt + 1); });
    });
}

// ---- audit of the orders

void load_client::read_statistics(std::size_t service) {
    if (service == m_settings.service_addresses.size()) {
        audit_orders();
        m_timers.after(duration::zero(), m_done);
        return;
    }
    http_call call;
    call.url = url_at(m_settings.service_addresses[service], "/v1/admin/stats");
    m_client.send(call, [this, service](const http_answer& answer) {
        m_audit.complete = m_audit.complete && answer.is_success();
        const QJsonObject executions = QJsonDocument::fromJson(answer.body).object()["executions"].toObject();
        for (auto item = executions.begin(); item != executions.end(); ++item) {
            m_executions[item.key().toStdString()] += item.value().toInteger();
        }
        read_statistics(service + 1);
    });
}

void load_client::audit_orders() {
    if (m_settings.service_addresses.empty()) {
        m_audit.complete = false;
        return;
    }
    for (const load_result& result : m_results) {
        std::int64_t executions = 0;
        for (const auto& [key, said_no] : result.keys) {
            const auto found = m_executions.find(key);
            const std::int64_t ran = found == m_executions.end() ? 0 : found->second;
            executions += ran;
            m_audit.wrong_ran_no += said_no && ran > 0 ? 1 : 0;
        }
        m_audit.doubled += executions > 1 ? 1 : 0;
        const bool order = result.request.kind == load_kind::order;
        m_audit.missing += order && result.end == load_end::answered && executions == 0 ? 1 : 0;
    }
}

}  // namespace verbenahold::standins
