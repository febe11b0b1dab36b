// Order of configuration versions: no version is skipped, applied twice or reverted,
// in whatever order the deltas arrive.
#include "config_view.hpp"
#include "member_group.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{10s};
const daemon_id peer = settings_for(1, 1, 1).self;

config_change change_at(std::uint64_t version) {
    record value;
    value.key = {record_kind::availability_zone, "zone-" + std::to_string(version % 5)};
    value.record_version = version;
    value.spec = QJsonObject{{"state", version % 2 == 0 ? "in" : "out"}};
    return {version, value.key, value};
}

config_delta delta_of(std::uint64_t from, std::uint64_t to) {
    config_delta delta{from, to, false, {}};
    for (std::uint64_t version = from + 1; version <= to; ++version) {
        delta.changes.push_back(change_at(version));
    }
    return delta;
}

// The delta that `view` sends to a peer that has `version`.
config_delta delta_for_peer_at(const config_view& view, std::uint64_t version) {
    membership members(settings_for(0, 1, 1), 1);
    std::vector<entry_command> out;
    members.on_host_list(std::vector{host_entry_for(settings_for(1, 0, 1))}, now, out);
    members.on_probe(peer, {}, now, out);
    out.clear();
    view.on_fetch(peer, {version}, members, out);
    return out.empty() ? config_delta{} : std::get<config_delta>(std::get<send_peer>(out.at(0)).message);
}

}  // namespace

TEST_CASE("a gap in the changes stops at the last version before it") {
    config_view view(settings_for(0, 1, 1).self, 1);
    std::vector<entry_command> out;
    config_delta delta = delta_of(0, 6);
    delta.changes.erase(delta.changes.begin() + 3);
    view.on_delta(peer, delta, now, out);
    REQUIRE(view.current()->version() == 3);
    view.on_delta(peer, delta_of(2, 6), now, out);
    REQUIRE(view.current()->version() == 6);
    REQUIRE(view.current()->records().size() == 5);
    std::cout << "no version is skipped: passed\n";
}

TEST_CASE("an older version is never adopted") {
    config_view view(settings_for(0, 1, 1).self, 1);
    std::vector<entry_command> out;
    view.on_delta(peer, delta_of(0, 6), now, out);
    const shared_config before = view.current();
    view.on_delta(peer, delta_of(0, 4), now, out);
    config_delta whole = delta_of(0, 5);
    whole.is_snapshot = true;
    view.on_delta(peer, whole, now, out);
    view.on_table_changes(whole, now, out);
    view.on_table_head(2, now, out);
    REQUIRE(view.current() == before);
    std::cout << "no version is reverted: passed\n";
}

TEST_CASE("a peer is sent the logged changes, or a snapshot if it is further behind") {
    config_view view(settings_for(0, 1, 1).self, 1);
    std::vector<entry_command> out;
    view.on_delta(peer, delta_of(0, 1'500), now, out);
    const config_delta kept = delta_for_peer_at(view, 1'500 - 1'024);
    REQUIRE_FALSE(kept.is_snapshot);
    REQUIRE(kept.changes.size() == 1'024);
    const config_delta whole = delta_for_peer_at(view, 1'500 - 1'025);
    REQUIRE(whole.is_snapshot);
    REQUIRE(delta_for_peer_at(view, 1'500).changes.empty());
    config_view other(peer, 2);
    other.on_delta(settings_for(0, 1, 1).self, whole, now, out);
    REQUIRE(other.current()->version() == 1'500);
    REQUIRE(other.current()->records() == view.current()->records());
    std::cout << "logged changes and whole delta: passed\n";
}
