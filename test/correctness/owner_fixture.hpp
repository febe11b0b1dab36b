// Test fixture: an owner_side with a simulated clock, whose commands are
// recorded. Submits come from the daemon itself, and each answer to them is
// recorded as a send_peer command.
#pragma once

#include "owner_side.hpp"

#include <QJsonObject>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace verbenahold {

class owner_fixture {
public:
    explicit owner_fixture(int cold_capacity = 8, const std::string& policy = "headroom",
                           const std::string& host = "entry-1")
        : m_settings{{host_name(host), 42}, zone_name("a"), endpoint{"127.0.0.1:1"}, endpoint{}, 1},
          members(m_settings, 1),
          owner(m_settings, 1),
          config(make_config(cold_capacity, policy)) {}

    static config_snapshot make_config(int cold_capacity, const std::string& policy) {
        config_snapshot::record_map records;
        add(records, record_kind::service, "model",
            {{"type", "model"},
             {"model", "m"},
             {"model_version", "1"},
             {"cold_capacity", cold_capacity},
             {"warm_capacity", 16},
             {"kv_capacity_tokens", 400'000}});
        add(records, record_kind::service, "shop", {{"type", "plain"}, {"cold_capacity", 8}, {"warm_capacity", 16}});
        add(records, record_kind::routing_intention, "model",
            {{"policy", QString::fromStdString(policy)}, {"long_share", 0.5}});
        return {1, records};
    }

    static void add(config_snapshot::record_map& records, record_kind kind, const std::string& name, QJsonObject spec) {
        const record_key key{kind, name};
        records[key] = record{key, newest_schema_version, 1, std::move(spec)};
    }

    owner_side::context ctx() { return {now, config, members, confirmed, out}; }

    // Gains a server and answers its first poll and listing as an idle server.
    void add_server(const std::string& name, bool released = true, const std::string& service = "model") {
        auto context = ctx();
        owner.gain({server_name(name), zone_name("a"), service_name(service), endpoint{"127.0.0.1:9"}, false}, released,
                   context);
        report(name, 1);
        list(name, {}, 1);
    }

    void report(const std::string& name, std::uint64_t incarnation, int running = 0) {
        feed(load_report{server_name(name), incarnation, running, 0, 0, 400'000, 0, "1"});
    }

    void list(const std::string& name, std::vector<listed_stream> streams, std::uint64_t incarnation = 1) {
        feed(stream_listing{server_name(name), incarnation, std::move(streams), {}});
    }

    template <class Event>
    void feed(const Event& event) {
        auto context = ctx();
        owner.on_event(event, context);
    }

    // Advances in steps of at most 50 ms; servers answer no polls meanwhile.
    void run_for(duration length) {
        const time_point end = now + length;
        while (now < end) {
            now = std::min(end, now + std::chrono::milliseconds(50));
            auto context = ctx();
            owner.on_tick(context);
        }
    }

    submit make_submit(std::int64_t prompt_tokens = 1'000) {
        submit message;
        message.attempt = {{m_settings.self, ++m_sequence}, 1};
        message.service = service_name("model");
        message.account = account_name("one");
        message.body = std::make_shared<const std::string>("prompt");
        message.prompt_tokens = prompt_tokens;
        message.uncached_tokens = prompt_tokens;
        message.max_tokens = 100;
        message.predicted_output_tokens = 100;
        message.length = classify_length(prompt_tokens, prompt_tokens + 100, 400'000);
        message.fingerprint = m_sequence;
        message.time_left = std::chrono::seconds(60);
        return message;
    }

    submit make_call(bool idempotent) {
        submit message = make_submit();
        message.kind = call_kind::plain;
        message.service = service_name("shop");
        message.method = idempotent ? "GET" : "POST";
        message.idempotent = idempotent;
        return message;
    }

    submit send(submit message) {
        auto context = ctx();
        owner.on_submit(m_settings.self, message, context);
        return message;
    }

    [[nodiscard]] std::string stream_of(const submit& message) const {
        return to_string(message.attempt) + '.' + to_string(m_settings.self);
    }

    // The server that the last open_stream of the attempt went to.
    [[nodiscard]] std::string server_of(const submit& message) const {
        std::string server;
        for (const open_stream& command : all<open_stream>())
            if (command.stream == stream_of(message))
                server = command.server.value;
        return server;
    }

    void finish(const submit& message, std::vector<std::string> tokens = {"x"}) {
        const server_name server(server_of(message));
        const std::size_t count = tokens.size();
        feed(stream_opened{server, stream_of(message)});
        feed(stream_tokens{server, stream_of(message), message.generated.size(), std::move(tokens)});
        feed(stream_finished{server, stream_of(message), message.generated.size() + count, 0, "stop"});
    }

    // Completes `requests` requests one after the other to make servers warm.
    void warm_up(int requests) {
        for (int i = 0; i < requests; ++i)
            finish(send(make_submit()));
        out.clear();
    }

    void fail(const submit& message, backend_failure failure) {
        feed(stream_failed{server_name(server_of(message)), stream_of(message), failure, ""});
    }

    template <class Command>
    [[nodiscard]] std::vector<Command> all() const {
        std::vector<Command> found;
        for (const entry_command& command : out)
            if (const auto* one = std::get_if<Command>(&command))
                found.push_back(*one);
        return found;
    }

    // All answers of one kind to one attempt.
    template <class Message>
    [[nodiscard]] std::vector<Message> answers(const submit& message) const {
        std::vector<Message> found;
        for (const send_peer& sent : all<send_peer>())
            if (const auto* one = std::get_if<Message>(&sent.message);
                one != nullptr && one->attempt == message.attempt)
                found.push_back(*one);
        return found;
    }

private:
    entry_settings m_settings;
    std::uint64_t m_sequence = 0;

public:
    membership members;
    owner_side owner;
    config_snapshot config;
    time_point now{std::chrono::seconds(1'000)};
    bool confirmed = true;
    std::vector<entry_command> out;
};

}  // namespace verbenahold
