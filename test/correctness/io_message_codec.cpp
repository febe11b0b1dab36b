// Checks that every field of a peer message survives encoding and decoding.
#include <catch2/catch.hpp>

#include <iostream>
#include <set>

#include "io_sample_messages.hpp"
#include "message_codec.hpp"

using namespace verbenahold;

namespace {

const daemon_id sender{host_name("entry-9"), 42};

bool equal_texts(const shared_text& a, const shared_text& b) {
    return a && b ? *a == *b : a == b;
}

bool equal(const submit& a, const submit& b) {
    return a.attempt == b.attempt && a.kind == b.kind && a.service == b.service && a.account == b.account &&
           a.account_weight == b.account_weight && a.preferred_server == b.preferred_server &&
           equal_texts(a.body, b.body) && a.method == b.method && a.path == b.path &&
           a.content_type == b.content_type && a.idempotency_key == b.idempotency_key && a.idempotent == b.idempotent &&
           a.prompt_tokens == b.prompt_tokens && a.uncached_tokens == b.uncached_tokens &&
           a.max_tokens == b.max_tokens && a.predicted_output_tokens == b.predicted_output_tokens &&
           a.length == b.length && a.prefix_hashes == b.prefix_hashes && a.fingerprint == b.fingerprint &&
           a.run_alone == b.run_alone && a.generated == b.generated && a.parts == b.parts &&
           a.time_left == b.time_left && a.traceparent == b.traceparent;
}

bool equal(const keyed_call& a, const keyed_call& b) {
    return a.key == b.key && a.forward_number == b.forward_number && a.service == b.service && a.account == b.account &&
           a.method == b.method && a.path == b.path && a.content_type == b.content_type &&
           equal_texts(a.body, b.body) && a.time_left == b.time_left && a.traceparent == b.traceparent;
}

template <class T>
bool equal(const T& a, const T& b) {
    return a == b;
}

peer_message transport(const peer_message& message) {
    const std::string bytes = encode_message(sender, message);
    auto decoded = decode_message(std::as_bytes(std::span(bytes)));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().from == sender);
    return decoded.value().message;
}

}  // namespace

TEST_CASE("every peer message comes back as it was sent") {
    std::set<std::size_t> kinds;
    for (const peer_message& message : sample_messages()) {
        kinds.insert(message.index());
        const peer_message back = transport(message);
        INFO("alternative " << message.index());
        REQUIRE(back.index() == message.index());
        CHECK(std::visit([&](const auto& sent) { return equal(sent, std::get<std::decay_t<decltype(sent)>>(back)); },
                         message));
    }
    CHECK(kinds.size() == std::variant_size_v<peer_message>);
    std::cout << "round trip of " << kinds.size() << " messages: passed\n";
}

TEST_CASE("absent values stay absent") {
    const auto bare = std::get<submit>(transport(submit{}));
    CHECK(bare.body == nullptr);
    CHECK_FALSE(bare.preferred_server.has_value());
    submit empty;
    empty.body = std::make_shared<const std::string>();
    REQUIRE(std::get<submit>(transport(empty)).body != nullptr);
    std::cout << "absent values: passed\n";
}
