// Encoding of peer messages; message_decoder.cpp has the decoding.
#include "message_codec.hpp"

#include <google/protobuf/arena.h>

#include <QJsonDocument>

#include <utility>

#include "verbenahold.pb.h"

namespace verbenahold {

namespace {

void write(const daemon_id& from, wire::DaemonId& to) {
    to.set_host(from.host.value);
    to.set_incarnation(from.incarnation);
}

void write(const attempt_id& from, wire::AttemptId& to) {
    write(from.request.origin, *to.mutable_origin());
    to.set_sequence(from.request.sequence);
    to.set_number(from.number);
}

void write(const gossip_payload& from, wire::Gossip& to) {
    to.set_config_version(from.config_version);
    to.set_config_confirmed(from.config_confirmed);
    to.set_oldest_schema(from.oldest_schema);
    to.set_newest_schema(from.newest_schema);
    for (const member_update& update : from.updates) {
        wire::MemberUpdate& added = *to.add_updates();
        write(update.daemon, *added.mutable_daemon());
        added.set_zone(update.zone.value);
        added.set_peer_endpoint(update.peer_endpoint.address);
        added.set_caller_endpoint(update.caller_endpoint.address);
        added.set_state(static_cast<std::uint32_t>(update.state));
        added.set_refutation(update.refutation);
    }
    for (const crash_strike& strike : from.strikes) {
        wire::CrashStrike& added = *to.add_strikes();
        added.set_fingerprint(strike.fingerprint);
        added.set_strikes(strike.strikes);
        added.set_expires_in_us(strike.expires_in.count());
    }
    for (const std::uint32_t accusation : from.accusations) {
        to.add_accusations(accusation);
    }
}

void write(const owner_summary& from, wire::OwnerSummary& to) {
    to.set_sequence(from.sequence);
    for (const headroom& entry : from.entries) {
        wire::Headroom& added = *to.add_entries();
        added.set_service(entry.service.value);
        added.set_zone(entry.zone.value);
        added.set_servers(entry.servers);
        added.set_in_flight(entry.in_flight);
        added.set_free_slots(entry.free_slots);
        added.set_free_short_tokens(entry.free_short_tokens);
        added.set_free_long_tokens(entry.free_long_tokens);
        added.set_largest_free_kv_tokens(entry.largest_free_kv_tokens);
        added.set_short_wait_us(entry.short_wait.count());
        added.set_long_wait_us(entry.long_wait.count());
    }
}

void write_routing(const submit& from, wire::Submit& to) {
    write(from.attempt, *to.mutable_attempt());
    to.set_kind(static_cast<std::uint32_t>(from.kind));
    to.set_service(from.service.value);
    to.set_account(from.account.value);
    to.set_account_weight(from.account_weight);
    if (from.preferred_server) {
        to.set_preferred_server(from.preferred_server->value);
    }
    to.set_run_alone(from.run_alone);
    to.set_time_left_us(from.time_left.count());
    to.set_traceparent(from.traceparent);
}

void write_call(const submit& from, wire::Submit& to) {
    if (from.body) {
        to.set_body(*from.body);
    }
    to.set_method(from.method);
    to.set_path(from.path);
    to.set_content_type(from.content_type);
    to.set_idempotency_key(from.idempotency_key);
    to.set_idempotent(from.idempotent);
}

void write(const submit& from, wire::Submit& to) {
    write_routing(from, to);
    write_call(from, to);
    to.set_prompt_tokens(from.prompt_tokens);
    to.set_uncached_tokens(from.uncached_tokens);
    to.set_max_tokens(from.max_tokens);
    to.set_predicted_output_tokens(from.predicted_output_tokens);
    to.set_length(static_cast<std::uint32_t>(from.length));
    to.mutable_prefix_hashes()->Add(from.prefix_hashes.begin(), from.prefix_hashes.end());
    to.set_fingerprint(from.fingerprint);
    for (const std::string& token : from.generated) {
        to.add_generated(token);
    }
    for (const memory_part& part : from.parts) {
        wire::MemoryPart& added = *to.add_parts();
        added.set_server(part.server.value);
        added.set_reservation(part.reservation);
        added.set_tokens(part.tokens);
    }
}

void write(const keyed_call& from, wire::KeyedCall& to) {
    to.set_key(from.key);
    to.set_forward_number(from.forward_number);
    to.set_service(from.service.value);
    to.set_account(from.account.value);
    to.set_method(from.method);
    to.set_path(from.path);
    to.set_content_type(from.content_type);
    if (from.body) {
        to.set_body(*from.body);
    }
    to.set_time_left_us(from.time_left.count());
    to.set_traceparent(from.traceparent);
}

void write(const keyed_reply& from, wire::KeyedReply& to) {
    to.set_key(from.key);
    to.set_account(from.account.value);
    to.set_replied(from.replied);
    to.set_status(from.status);
    to.set_content_type(from.content_type);
    to.set_body(from.body);
    to.set_error_code(from.error_code);
    to.set_ran(static_cast<std::uint32_t>(from.ran));
}

void write(const config_delta& from, wire::ConfigDelta& to) {
    to.set_from_version(from.from_version);
    to.set_to_version(from.to_version);
    to.set_whole(from.is_snapshot);
    for (const config_change& change : from.changes) {
        wire::ConfigChange& added = *to.add_changes();
        added.set_version(change.version);
        added.set_kind(static_cast<std::uint32_t>(change.key.kind));
        added.set_name(change.key.name);
        if (change.value) {
            wire::Record& value = *added.mutable_value();
            value.set_schema_version(change.value->schema_version);
            value.set_record_version(change.value->record_version);
            value.set_spec(QJsonDocument(change.value->spec).toJson(QJsonDocument::Compact).toStdString());
        }
    }
}

template <class List>
void write_demands(const std::vector<account_demand>& from, List& to) {
    for (const account_demand& demand : from) {
        wire::AccountDemand& added = *to.Add();
        added.set_account(demand.account.value);
        added.set_tokens_per_second(demand.tokens_per_second);
    }
}

template <class Part>
void write_part(const Part& from, wire::PartMessage& to) {
    write(from.attempt, *to.mutable_attempt());
    to.set_server(from.server.value);
    to.set_reservation(from.reservation);
}

// Writes each message into its field of the envelope.
struct encoder {
    wire::Envelope& to;

    void operator()(const probe& from) const {
        to.mutable_probe()->set_sequence(from.sequence);
        write(from.gossip, *to.mutable_probe()->mutable_gossip());
    }
    void operator()(const probe_ack& from) const {
        to.mutable_probe_ack()->set_sequence(from.sequence);
        write(from.gossip, *to.mutable_probe_ack()->mutable_gossip());
    }
    void operator()(const probe_request& from) const {
        to.mutable_probe_request()->set_sequence(from.sequence);
        write(from.target, *to.mutable_probe_request()->mutable_target());
    }
    void operator()(const leave& /*from*/) const { to.mutable_leave(); }
    void operator()(const owner_summary& from) const { write(from, *to.mutable_owner_summary()); }
    void operator()(const release_servers& from) const {
        wire::ReleaseServers& released = *to.mutable_release_servers();
        for (const server_name& server : from.servers) {
            released.add_servers(server.value);
        }
    }
    void operator()(const submit& from) const { write(from, *to.mutable_submit()); }
    void operator()(const submit_bounced& from) const {
        write(from.attempt, *to.mutable_submit_bounced()->mutable_attempt());
        to.mutable_submit_bounced()->set_reason(static_cast<std::uint32_t>(from.reason));
        write(from.summary, *to.mutable_submit_bounced()->mutable_summary());
    }
    void operator()(const submit_accepted& from) const {
        write(from.attempt, *to.mutable_submit_accepted()->mutable_attempt());
        to.mutable_submit_accepted()->set_server(from.server.value);
        write(from.summary, *to.mutable_submit_accepted()->mutable_summary());
    }
    void operator()(const attempt_tokens& from) const {
        wire::AttemptTokens& tokens = *to.mutable_attempt_tokens();
        write(from.attempt, *tokens.mutable_attempt());
        tokens.set_first_index(from.first_index);
        for (const std::string& token : from.tokens) {
            tokens.add_tokens(token);
        }
    }
    void operator()(const attempt_finished& from) const {
        wire::AttemptFinished& finished = *to.mutable_attempt_finished();
        write(from.attempt, *finished.mutable_attempt());
        finished.set_token_count(from.token_count);
        finished.set_checksum(from.checksum);
        finished.set_finish_reason(from.finish_reason);
        finished.set_cached_tokens(from.cached_tokens);
        finished.set_server(from.server.value);
        write(from.summary, *finished.mutable_summary());
    }
    void operator()(const attempt_replied& from) const {
        wire::AttemptReplied& replied = *to.mutable_attempt_replied();
        write(from.attempt, *replied.mutable_attempt());
        replied.set_status(from.status);
        replied.set_content_type(from.content_type);
        replied.set_body(from.body);
    }
    void operator()(const attempt_failed& from) const {
        wire::AttemptFailed& failed = *to.mutable_attempt_failed();
        write(from.attempt, *failed.mutable_attempt());
        failed.set_reason(static_cast<std::uint32_t>(from.reason));
        failed.set_ran(static_cast<std::uint32_t>(from.ran));
        failed.set_strikes(from.strikes);
        failed.set_message(from.message);
        write(from.summary, *failed.mutable_summary());
    }
    void operator()(const cancel_attempt& from) const {
        write(from.attempt, *to.mutable_cancel_attempt()->mutable_attempt());
    }
    void operator()(const attempt_query& from) const {
        write(from.attempt, *to.mutable_attempt_query()->mutable_attempt());
        to.mutable_attempt_query()->set_have_tokens(from.have_tokens);
    }
    void operator()(const attempt_status& from) const {
        write(from.attempt, *to.mutable_attempt_status()->mutable_attempt());
        to.mutable_attempt_status()->set_state(static_cast<std::uint32_t>(from.state));
    }
    void operator()(const reserve_part& from) const {
        write_part(from, *to.mutable_reserve_part());
        to.mutable_reserve_part()->set_tokens(from.tokens);
        to.mutable_reserve_part()->set_expires_in_us(from.expires_in.count());
    }
    void operator()(const part_answer& from) const {
        write_part(from, *to.mutable_part_answer());
        to.mutable_part_answer()->set_granted(from.granted);
    }
    void operator()(const confirm_part& from) const { write_part(from, *to.mutable_confirm_part()); }
    void operator()(const release_part& from) const { write_part(from, *to.mutable_release_part()); }
    void operator()(const keyed_call& from) const { write(from, *to.mutable_keyed_call()); }
    void operator()(const keyed_reply& from) const { write(from, *to.mutable_keyed_reply()); }
    void operator()(const config_fetch& from) const { to.mutable_config_fetch()->set_have_version(from.have_version); }
    void operator()(const config_delta& from) const { write(from, *to.mutable_config_delta()); }
    void operator()(const demand_report& from) const {
        write_demands(from.demands, *to.mutable_demand_report()->mutable_demands());
    }
    void operator()(const share_grant& from) const {
        write_demands(from.shares, *to.mutable_share_grant()->mutable_shares());
        to.mutable_share_grant()->set_valid_for_us(from.valid_for.count());
    }
};

}  // namespace

std::string encode_message(const daemon_id& from, const peer_message& message) {
    google::protobuf::Arena arena;
    auto* envelope = google::protobuf::Arena::CreateMessage<wire::Envelope>(&arena);
    write(from, *envelope->mutable_from());
    std::visit(encoder{*envelope}, message);
    return envelope->SerializeAsString();
}

}  // namespace verbenahold
