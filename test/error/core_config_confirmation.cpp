// A configuration must not count as confirmed after a pause, in isolation, or when a
// newer version has been announced.
#include "config_view.hpp"
#include "member_group.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{10s};
const entry_settings own = settings_for(0, 1, 1);
const daemon_id peer = settings_for(1, 1, 1).self;

config_delta first_version() {
    record value;
    value.key = {record_kind::availability_zone, "zone-1"};
    value.record_version = 1;
    value.spec = QJsonObject{{"state", "in"}};
    return {0, 1, false, {{1, value.key, value}}};
}

// Lets `members` probe the peer, whose ack carries `gossip`.
void probe_peer(membership& members, time_point now, const gossip_payload& gossip) {
    std::vector<entry_command> out;
    members.on_host_list(std::vector{host_entry_for(settings_for(1, 0, 1))}, now, out);
    members.on_tick(now, out);
    for (const entry_command& command : out) {
        const auto* sent = std::get_if<send_peer>(&command);
        const auto* asked = sent == nullptr ? nullptr : std::get_if<probe>(&sent->message);
        if (asked != nullptr) {
            std::vector<entry_command> ignored;
            members.on_probe_ack(peer, {asked->sequence, gossip}, now, ignored);
        }
    }
}

gossip_payload gossip_announcing(std::uint64_t version, bool confirmed) {
    gossip_payload gossip;
    gossip.config_version = version;
    gossip.config_confirmed = confirmed;
    return gossip;
}

}  // namespace

TEST_CASE("a read of the table's head confirms as of the time of the request") {
    membership members(own, 1);
    config_view view(own.self, 1);
    std::vector<entry_command> out;
    view.on_tick(members, start, out);
    // The answer waits in a buffer while the daemon is paused.
    view.on_table_head(0, start + 30s, out);
    REQUIRE_FALSE(view.is_confirmed(start + 30s));
    view.on_tick(members, start + 30s, out);
    view.on_table_head(0, start + 30s, out);
    REQUIRE(view.is_confirmed(start + 35s));
    REQUIRE_FALSE(view.is_confirmed(start + 36s));
    std::cout << "late head answer confirms nothing: passed\n";
}

TEST_CASE("a confirmed peer at the same version confirms during an outage") {
    membership members(own, 1);
    config_view view(own.self, 1);
    std::vector<entry_command> out;
    view.on_delta(peer, first_version(), start, out);
    view.on_tick(members, start, out);
    view.on_table_failed(table_operation::read_head, start);
    REQUIRE_FALSE(view.is_confirmed(start));
    probe_peer(members, start, gossip_announcing(1, true));
    view.on_tick(members, start + 600ms, out);
    REQUIRE(view.is_confirmed(start + 600ms));
    // Without further acks from the peer, the confirmation expires after 5 s.
    view.on_tick(members, start + 6s, out);
    REQUIRE_FALSE(view.is_confirmed(start + 6s));
    std::cout << "peers confirm during an outage: passed\n";
}

TEST_CASE("a newer version announced by a peer is fetched and ends confirmation") {
    membership members(own, 1);
    config_view view(own.self, 1);
    std::vector<entry_command> out;
    view.on_delta(peer, first_version(), start, out);
    view.on_tick(members, start, out);
    view.on_table_failed(table_operation::read_head, start);
    probe_peer(members, start, gossip_announcing(2, true));
    out.clear();
    view.on_tick(members, start + 600ms, out);
    REQUIRE_FALSE(view.is_confirmed(start + 600ms));
    const auto fetches = [](const entry_command& command) {
        const auto* sent = std::get_if<send_peer>(&command);
        return sent != nullptr && std::holds_alternative<config_fetch>(sent->message);
    };
    REQUIRE(std::ranges::any_of(out, fetches));
    std::cout << "newer version is fetched from a peer: passed\n";
}
