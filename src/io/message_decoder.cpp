// Decoding of peer messages; message_encoder.cpp has the encoding.
#include "message_codec.hpp"

#include <google/protobuf/arena.h>

#include <QJsonDocument>

#include <cmath>
#include <type_traits>
#include <utility>

#include "verbenahold.pb.h"

namespace verbenahold {

namespace {

// Limits of durations and counts in messages, low enough that sums in the core
// can't overflow.
constexpr std::int64_t max_duration_us = 366LL * 24 * 3600 * 1'000'000;
constexpr std::int64_t max_count = 1'000'000'000'000;

// Reads values and records whether one was out of range.
class decoder {
public:
    [[nodiscard]] bool good() const { return m_good; }

    template <class Enum>
    Enum enumerator(std::uint32_t value, Enum last) {
        require(value <= static_cast<std::uint32_t>(last));
        return static_cast<Enum>(value);
    }

    template <class Small>
    Small small(std::uint32_t value) {
        require(value <= std::numeric_limits<Small>::max());
        return static_cast<Small>(value);
    }

    std::int64_t tokens(std::int64_t value) {
        require(value >= -max_count && value <= max_count);
        return value;
    }

    std::uint64_t index(std::uint64_t value) {
        require(value <= static_cast<std::uint64_t>(max_count));
        return value;
    }

    duration time(std::int64_t microseconds) {
        require(microseconds >= -max_duration_us && microseconds <= max_duration_us);
        return duration(microseconds);
    }

    double number(double value) {
        require(std::isfinite(value));
        return value;
    }

    daemon_id read(const wire::DaemonId& from) { return {host_name(from.host()), from.incarnation()}; }

    attempt_id read(const wire::AttemptId& from) { return {{read(from.origin()), from.sequence()}, from.number()}; }

    gossip_payload read(const wire::Gossip& from) {
        gossip_payload to;
        to.config_version = from.config_version();
        to.config_confirmed = from.config_confirmed();
        to.oldest_schema = small<std::uint8_t>(from.oldest_schema());
        to.newest_schema = small<std::uint8_t>(from.newest_schema());
        for (const wire::MemberUpdate& update : from.updates()) {
            to.updates.push_back({read(update.daemon()), zone_name(update.zone()), endpoint{update.peer_endpoint()},
                                  endpoint{update.caller_endpoint()}, enumerator(update.state(), member_state::dead),
                                  update.refutation()});
        }
        for (const wire::CrashStrike& strike : from.strikes()) {
            to.strikes.push_back(
                {strike.fingerprint(), small<std::uint8_t>(strike.strikes()), time(strike.expires_in_us())});
        }
        to.accusations.assign(from.accusations().begin(), from.accusations().end());
        return to;
    }

    owner_summary read(const wire::OwnerSummary& from) {
        owner_summary to;
        to.sequence = from.sequence();
        to.entries.reserve(static_cast<std::size_t>(from.entries_size()));
        for (const wire::Headroom& entry : from.entries()) {
            headroom added;
            added.service = service_name(entry.service());
            added.zone = zone_name(entry.zone());
            added.servers = small<std::uint16_t>(entry.servers());
            added.in_flight = small<std::uint16_t>(entry.in_flight());
            added.free_slots = small<std::uint16_t>(entry.free_slots());
            added.free_short_tokens = tokens(entry.free_short_tokens());
            added.free_long_tokens = tokens(entry.free_long_tokens());
            added.largest_free_kv_tokens = tokens(entry.largest_free_kv_tokens());
            added.short_wait = time(entry.short_wait_us());
            added.long_wait = time(entry.long_wait_us());
            to.entries.push_back(std::move(added));
        }
        return to;
    }

    submit read(wire::Submit& from) {
        submit to;
        read_routing(from, to);
        read_call(from, to);
        to.prompt_tokens = tokens(from.prompt_tokens());
        to.uncached_tokens = tokens(from.uncached_tokens());
        to.max_tokens = tokens(from.max_tokens());
        to.predicted_output_tokens = tokens(from.predicted_output_tokens());
        to.length = enumerator(from.length(), length_class::very_long_prompt);
        to.prefix_hashes.assign(from.prefix_hashes().begin(), from.prefix_hashes().end());
        to.fingerprint = from.fingerprint();
        to.generated.assign(from.generated().begin(), from.generated().end());
        for (const wire::MemoryPart& part : from.parts()) {
            to.parts.push_back({server_name(part.server()), part.reservation(), tokens(part.tokens())});
        }
        return to;
    }

    keyed_call read(wire::KeyedCall& from) {
        keyed_call to;
        to.key = from.key();
        to.forward_number = from.forward_number();
        to.service = service_name(from.service());
        to.account = account_name(from.account());
        to.method = from.method();
        to.path = from.path();
        to.content_type = from.content_type();
        if (from.has_body()) {
            to.body = std::make_shared<const std::string>(std::move(*from.mutable_body()));
        }
        to.time_left = time(from.time_left_us());
        to.traceparent = from.traceparent();
        return to;
    }

    keyed_reply read(const wire::KeyedReply& from) {
        return {from.key(),          account_name(from.account()),
                from.replied(),      from.status(),
                from.content_type(), from.body(),
                from.error_code(),   enumerator(from.ran(), ran_state::unknown)};
    }

    config_delta read(const wire::ConfigDelta& from) {
        config_delta to{from.from_version(), from.to_version(), from.whole(), {}};
        for (const wire::ConfigChange& change : from.changes()) {
            config_change added;
            added.version = change.version();
            added.key = {enumerator(change.kind(), record_kind::availability_zone), change.name()};
            if (change.has_value()) {
                added.value = read_record(added.key, change.value());
            }
            to.changes.push_back(std::move(added));
        }
        return to;
    }

    template <class List>
    std::vector<account_demand> read_demands(const List& from) {
        std::vector<account_demand> to;
        for (const wire::AccountDemand& demand : from) {
            to.push_back({account_name(demand.account()), number(demand.tokens_per_second())});
        }
        return to;
    }

    attempt_failed read(const wire::AttemptFailed& from) {
        return {read(from.attempt()),
                enumerator(from.reason(), attempt_failure::bad_request),
                enumerator(from.ran(), ran_state::unknown),
                small<std::uint8_t>(from.strikes()),
                from.message(),
                read(from.summary())};
    }

    attempt_finished read(const wire::AttemptFinished& from) {
        return {read(from.attempt()),         index(from.token_count()),  from.checksum(),     from.finish_reason(),
                tokens(from.cached_tokens()), server_name(from.server()), read(from.summary())};
    }

    // The message in an envelope; no value for an unknown kind.
    std::optional<peer_message> read(wire::Envelope& from) {
        if (auto message = read_control(from)) {
            return message;
        }
        return read_request(from);
    }

private:
    void require(bool condition) { m_good = m_good && condition; }

    void read_routing(const wire::Submit& from, submit& to) {
        to.attempt = read(from.attempt());
        to.kind = enumerator(from.kind(), call_kind::plain);
        to.service = service_name(from.service());
        to.account = account_name(from.account());
        to.account_weight = number(from.account_weight());
        if (from.has_preferred_server()) {
            to.preferred_server = server_name(from.preferred_server());
        }
        to.run_alone = from.run_alone();
        to.time_left = time(from.time_left_us());
        to.traceparent = from.traceparent();
    }

    static void read_call(wire::Submit& from, submit& to) {
        if (from.has_body()) {
            to.body = std::make_shared<const std::string>(std::move(*from.mutable_body()));
        }
        to.method = from.method();
        to.path = from.path();
        to.content_type = from.content_type();
        to.idempotency_key = from.idempotency_key();
        to.idempotent = from.idempotent();
    }

    record read_record(const record_key& key, const wire::Record& from) {
        const QByteArray text = QByteArray::fromStdString(from.spec());
        const QJsonDocument json = QJsonDocument::fromJson(text);
        require(json.isObject());
        return {key, from.schema_version(), from.record_version(), json.object()};
    }

    std::optional<peer_message> read_control(wire::Envelope& from) {
        switch (from.message_case()) {
            case wire::Envelope::kProbe:
                return probe{from.probe().sequence(), read(from.probe().gossip())};
            case wire::Envelope::kProbeAck:
                return probe_ack{from.probe_ack().sequence(), read(from.probe_ack().gossip())};
            case wire::Envelope::kProbeRequest:
                return probe_request{from.probe_request().sequence(), read(from.probe_request().target())};
            case wire::Envelope::kLeave:
                return leave{};
            case wire::Envelope::kOwnerSummary:
                return read(from.owner_summary());
            case wire::Envelope::kReleaseServers:
                return read_released(from.release_servers());
            case wire::Envelope::kConfigFetch:
                return config_fetch{from.config_fetch().have_version()};
            case wire::Envelope::kConfigDelta:
                return read(from.config_delta());
            case wire::Envelope::kDemandReport:
                return demand_report{read_demands(from.demand_report().demands())};
            case wire::Envelope::kShareGrant:
                return share_grant{read_demands(from.share_grant().shares()), time(from.share_grant().valid_for_us())};
            default:
                return std::nullopt;
        }
    }

    std::optional<peer_message> read_request(wire::Envelope& from) {
        switch (from.message_case()) {
            case wire::Envelope::kSubmit:
                return read(*from.mutable_submit());
            case wire::Envelope::kSubmitBounced:
                return submit_bounced{read(from.submit_bounced().attempt()),
                                      enumerator(from.submit_bounced().reason(), bounce_reason::suspected_of_crashing),
                                      read(from.submit_bounced().summary())};
            case wire::Envelope::kSubmitAccepted:
                return submit_accepted{read(from.submit_accepted().attempt()),
                                       server_name(from.submit_accepted().server()),
                                       read(from.submit_accepted().summary())};
            case wire::Envelope::kAttemptTokens:
                return read_tokens(from.attempt_tokens());
            case wire::Envelope::kAttemptFinished:
                return read(from.attempt_finished());
            case wire::Envelope::kAttemptReplied:
                return attempt_replied{read(from.attempt_replied().attempt()), from.attempt_replied().status(),
                                       from.attempt_replied().content_type(),
                                       std::move(*from.mutable_attempt_replied()->mutable_body())};
            case wire::Envelope::kAttemptFailed:
                return read(from.attempt_failed());
            case wire::Envelope::kCancelAttempt:
                return cancel_attempt{read(from.cancel_attempt().attempt())};
            case wire::Envelope::kAttemptQuery:
                return attempt_query{read(from.attempt_query().attempt()), index(from.attempt_query().have_tokens())};
            case wire::Envelope::kAttemptStatus:
                return attempt_status{read(from.attempt_status().attempt()),
                                      enumerator(from.attempt_status().state(), attempt_state::running)};
            case wire::Envelope::kKeyedCall:
                return read(*from.mutable_keyed_call());
            case wire::Envelope::kKeyedReply:
                return read(from.keyed_reply());
            default:
                return read_part(from);
        }
    }

    std::optional<peer_message> read_part(const wire::Envelope& from) {
        const auto fields = [this](const wire::PartMessage& part) {
            return std::tuple(read(part.attempt()), server_name(part.server()), part.reservation());
        };
        switch (from.message_case()) {
            case wire::Envelope::kReservePart: {
                auto [attempt, server, reservation] = fields(from.reserve_part());
                return reserve_part{attempt, server, reservation, tokens(from.reserve_part().tokens()),
                                    time(from.reserve_part().expires_in_us())};
            }
            case wire::Envelope::kPartAnswer: {
                auto [attempt, server, reservation] = fields(from.part_answer());
                return part_answer{attempt, server, reservation, from.part_answer().granted()};
            }
            case wire::Envelope::kConfirmPart: {
                auto [attempt, server, reservation] = fields(from.confirm_part());
                return confirm_part{attempt, server, reservation};
            }
            case wire::Envelope::kReleasePart: {
                auto [attempt, server, reservation] = fields(from.release_part());
                return release_part{attempt, server, reservation};
            }
            default:
                return std::nullopt;
        }
    }

    release_servers read_released(const wire::ReleaseServers& from) {
        release_servers to;
        for (const std::string& server : from.servers()) {
            to.servers.emplace_back(server);
        }
        return to;
    }

    attempt_tokens read_tokens(const wire::AttemptTokens& from) {
        attempt_tokens to;
        to.attempt = read(from.attempt());
        to.first_index = index(from.first_index());
        to.tokens.assign(from.tokens().begin(), from.tokens().end());
        return to;
    }

    bool m_good = true;
};

}  // namespace

codec_result<addressed_message> decode_message(std::span<const std::byte> bytes) {
    if (bytes.size() > max_peer_message_bytes) {
        return codec_error::too_long;
    }
    google::protobuf::Arena arena;
    auto* envelope = google::protobuf::Arena::CreateMessage<wire::Envelope>(&arena);
    if (!envelope->ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !envelope->has_from()) {
        return codec_error::malformed;
    }
    if (envelope->message_case() == wire::Envelope::MESSAGE_NOT_SET) {
        return codec_error::unknown_kind;
    }
    decoder reader;
    const daemon_id from = reader.read(envelope->from());
    std::optional<peer_message> message = reader.read(*envelope);
    if (!message) {
        return codec_error::unknown_kind;
    }
    if (!reader.good()) {
        return codec_error::bad_value;
    }
    return addressed_message{from, *std::move(message)};
}

}  // namespace verbenahold
