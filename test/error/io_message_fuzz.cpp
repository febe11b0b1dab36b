// Fuzzes decoding with malformed bytes: no crash, no exception, no value out of
// range. Mutations use a fixed seed.
#include <catch2/catch.hpp>

#include <QJsonDocument>

#include <iostream>
#include <random>

#include "../correctness/io_sample_messages.hpp"
#include "completion_format.hpp"
#include "message_codec.hpp"
#include "verbenahold/records.hpp"

using namespace verbenahold;

namespace {

constexpr std::uint32_t seed = 20'261'204;

// Changes, removes, duplicates or inserts a few bytes.
std::string mutate(std::string bytes, std::mt19937& random) {
    const auto below = [&](std::size_t limit) { return limit == 0 ? 0 : random() % limit; };
    for (std::size_t changes = 1 + below(4); changes > 0 && !bytes.empty(); --changes) {
        const std::size_t at = below(bytes.size());
        switch (below(5)) {
            case 0:
                bytes[at] = static_cast<char>(random());
                break;
            case 1:
                bytes[at] = static_cast<char>(bytes[at] ^ (1 << below(8)));
                break;
            case 2:
                bytes.resize(at);
                break;
            case 3:
                bytes.insert(at, bytes.substr(below(bytes.size()), below(20)));
                break;
            default:
                bytes.insert(at, 1 + below(9), '\xff');
                break;
        }
    }
    return bytes;
}

codec_result<addressed_message> decode(const std::string& bytes) {
    return decode_message(std::as_bytes(std::span(bytes)));
}

}  // namespace

TEST_CASE("mutated messages decode to a value in range or to an error") {
    std::mt19937 random(seed);
    int good = 0;
    int bad = 0;
    for (const peer_message& message : sample_messages()) {
        const std::string bytes = encode_message({host_name("entry-9"), 1}, message);
        for (int round = 0; round < 2'000; ++round) {
            const auto decoded = decode(mutate(bytes, random));
            if (!decoded) {
                ++bad;
                continue;
            }
            ++good;
            if (const auto* failed = std::get_if<attempt_failed>(&decoded.value().message)) {
                REQUIRE(failed->reason <= attempt_failure::bad_request);
                REQUIRE(failed->ran <= ran_state::unknown);
            }
            if (const auto* tokens = std::get_if<attempt_tokens>(&decoded.value().message)) {
                REQUIRE(tokens->first_index <= 1'000'000'000'000ULL);
            }
            // An accepted message can be encoded and decoded again.
            REQUIRE(decode(encode_message(decoded.value().from, decoded.value().message)).has_value());
        }
    }
    CHECK(good > 0);
    CHECK(bad > 0);
    std::cout << "mutated messages, seed " << seed << ": " << good << " accepted, " << bad << " refused: passed\n";
}

TEST_CASE("values out of range are refused, not cut") {
    const daemon_id self{host_name("entry-9"), 1};
    const auto error_of = [&](const peer_message& message) { return decode(encode_message(self, message)).error(); };
    CHECK(error_of(attempt_status{sample_attempt(), static_cast<attempt_state>(9)}) == codec_error::bad_value);
    CHECK(error_of(share_grant{{}, duration::max()}) == codec_error::bad_value);
    CHECK(error_of(demand_report{{{account_name("a"), std::numeric_limits<double>::quiet_NaN()}}}) ==
          codec_error::bad_value);
    CHECK(error_of(attempt_query{sample_attempt(), ~0ULL}) == codec_error::bad_value);
    CHECK(decode("").error() == codec_error::malformed);
    CHECK(decode("\xff\xff\xff").error() == codec_error::malformed);
    CHECK(decode(std::string(max_peer_message_bytes + 1, 'a')).error() == codec_error::too_long);
    std::cout << "values out of range: passed\n";
}

TEST_CASE("mutated records and caller requests give a value or an error") {
    std::mt19937 random(seed);
    const std::string record_text =
        R"({"kind":"service","name":"shade-llm","schema_version":2,"record_version":3,)"
        R"("spec":{"type":"model","cold_capacity":2,"warm_capacity":16,"kv_capacity_tokens":400000}})";
    const std::string request_text =
        R"({"model":"shade-llm","prompt":"hello \u00e9","max_tokens":12,"stream":true,"deadline_ms":500})";
    REQUIRE(parse_record(QJsonDocument::fromJson(QByteArray::fromStdString(record_text)).object()).has_value());
    REQUIRE(parse_completion(QByteArray::fromStdString(request_text)).has_value());
    int bad_records = 0;
    int bad_requests = 0;
    for (int round = 0; round < 20'000; ++round) {
        const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(mutate(record_text, random)));
        const auto parsed = parse_record(json.object());
        bad_records += parsed ? 0 : 1;
        if (parsed) {
            REQUIRE(parse_record(to_json(parsed.value())).has_value());
        }
        const auto request = parse_completion(QByteArray::fromStdString(mutate(request_text, random)));
        bad_requests += request ? 0 : 1;
        if (request) {
            REQUIRE_FALSE(request.value().prompt.empty());
            REQUIRE(request.value().max_tokens >= 1);
            REQUIRE(request.value().max_tokens <= max_tokens_limit);
            REQUIRE(request.value().deadline >= duration::zero());
        }
    }
    CHECK(bad_records > 0);
    CHECK(bad_requests > 0);
    std::cout << "mutated records and requests, seed " << seed << ": passed\n";
}
