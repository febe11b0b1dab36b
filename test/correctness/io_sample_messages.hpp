// One sample of each peer message, with a distinct value in every field, for
// tests of the codec.
#pragma once

#include <QJsonObject>

#include <vector>

#include "verbenahold/messages.hpp"

namespace verbenahold {

inline attempt_id sample_attempt() {
    return {{{host_name("entry-1"), 1'700'000'000'000'001}, 77}, 3};
}

inline owner_summary sample_summary() {
    return {9,
            {{service_name("shade-llm"), zone_name("a"), 20, 30, 40, -5, 60'000, 70'000, duration(80), duration(90)},
             {service_name("kit-shop"), zone_name("b"), 1, 2, 3, 4, 5, 6, duration(7), duration(8)}}};
}

inline gossip_payload sample_gossip() {
    const daemon_id peer{host_name("entry-2"), 18'000'000'000'000'000'000ULL};
    return {12,
            true,
            1,
            2,
            {{peer, zone_name("b"), endpoint{"127.0.0.1:1"}, endpoint{"127.0.0.1:2"}, member_state::suspect, 4}},
            {{0xfeedULL, 2, std::chrono::minutes(10)}},
            {0xabcdef01U, 7U}};
}

inline submit sample_submit() {
    submit value;
    value.attempt = sample_attempt();
    value.kind = call_kind::plain;
    value.service = service_name("shade-llm");
    value.account = account_name("acme");
    value.account_weight = 2.5;
    value.preferred_server = server_name("engine-1");
    value.body =
        std::make_shared<const std::string>(std::string("prompt\0with\xff"
                                                        "bytes",
                                                        17));
    value.method = "POST";
    value.path = "/v1/orders";
    value.content_type = "application/json";
    value.idempotency_key = "key";
    value.idempotent = false;
    value.prompt_tokens = 100;
    value.uncached_tokens = 50;
    value.max_tokens = 25;
    value.predicted_output_tokens = 12;
    value.length = length_class::long_prompt;
    value.prefix_hashes = {1, 0xffffffffffffffffULL};
    value.fingerprint = 3;
    value.run_alone = true;
    value.generated = {"a", "\xe2\x82", ""};
    value.parts = {{server_name("engine-2"), "reservation", 5}};
    value.time_left = std::chrono::seconds(30);
    value.traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    return value;
}

inline keyed_call sample_keyed_call() {
    return {"vh1.entry-1.5.6.7",
            8,
            service_name("kit-shop"),
            account_name("acme"),
            "POST",
            "/v1/orders",
            "text/plain",
            std::make_shared<const std::string>("body"),
            std::chrono::seconds(2),
            "trace"};
}

inline config_delta sample_delta() {
    const record_key key{record_kind::availability_zone, "a"};
    const QJsonObject spec{{"state", "out"}, {"unknown", QJsonObject{{"kept", 1.5}}}};
    return {3, 5, true, {{4, key, record{key, 7, 2, spec}}, {5, {record_kind::client_account, "acme"}, std::nullopt}}};
}

inline std::vector<peer_message> sample_messages() {
    const attempt_id attempt = sample_attempt();
    const daemon_id peer{host_name("entry-3"), 3};
    const server_name server("engine-1");
    return {probe{1, sample_gossip()},
            probe_ack{2, sample_gossip()},
            probe_request{3, peer},
            leave{},
            sample_summary(),
            release_servers{{server, server_name("engine-2")}},
            sample_submit(),
            submit_bounced{attempt, bounce_reason::suspected_of_crashing, sample_summary()},
            submit_accepted{attempt, server, sample_summary()},
            attempt_tokens{attempt, 10, {"x", "\xff", ""}},
            attempt_finished{attempt, 11, 0xffffffffffffffffULL, "stop", 4, server, sample_summary()},
            attempt_replied{attempt, 201, "text/plain", std::string("a\0b", 3)},
            attempt_failed{attempt, attempt_failure::bad_request, ran_state::yes, 2, "why", sample_summary()},
            cancel_attempt{attempt},
            attempt_query{attempt, 12},
            attempt_status{attempt, attempt_state::running},
            reserve_part{attempt, server, "r", 13, std::chrono::seconds(5)},
            part_answer{attempt, server, "r", true},
            confirm_part{attempt, server, "r"},
            release_part{attempt, server, "r"},
            sample_keyed_call(),
            keyed_reply{"key", account_name("acme"), true, 200, "text/plain", "body", "code", ran_state::yes},
            config_fetch{14},
            sample_delta(),
            demand_report{{{account_name("acme"), 1.5}}},
            share_grant{{{account_name("acme"), 0.25}}, std::chrono::seconds(3)}};
}

}  // namespace verbenahold
