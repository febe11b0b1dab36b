// Checks that the granted shares of an account never add up to more than its
// limit, also while demand moves between daemons.
#include "account_limits.hpp"
#include "member_group.hpp"

#include <QJsonArray>

#include <catch2/catch.hpp>

#include <iostream>
#include <random>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{10s};
constexpr std::size_t daemons = 9;

account_spec account_named(const std::string& name) {
    account_spec account;
    account.name = account_name(name);
    account.tokens_per_second = 1'000;
    account.burst_tokens = 9'000;
    return account;
}

config_snapshot with_account(const std::string& name) {
    record value;
    value.key = {record_kind::client_account, name};
    value.record_version = 1;
    value.spec = QJsonObject{{"key_hashes", QJsonArray{QString(64, 'a')}},
                             {"tokens_per_second", 1'000},
                             {"burst_tokens", 9'000},
                             {"weight", 1}};
    return {1, {{value.key, value}}};
}

membership all_alive() {
    membership members(settings_for(0, 1, 1), 1);
    std::vector<entry_command> out;
    std::vector<host_entry> hosts;
    for (std::size_t number = 1; number < daemons; ++number) {
        hosts.push_back(host_entry_for(settings_for(number, 0, 1)));
    }
    members.on_host_list(hosts, start, out);
    for (std::size_t number = 1; number < daemons; ++number) {
        members.on_probe(settings_for(number, 1, 1).self, {}, start, out);
    }
    return members;
}

}  // namespace

TEST_CASE("without an answer a daemon admits its equal part of the limit") {
    const membership members = all_alive();
    account_limits limits(members.self());
    const account_spec account = account_named("hortus");
    REQUIRE(limits.admit(account, 1'000, members, start) == duration::zero());
    const duration wait = limits.admit(account, 500, members, start);
    // 500 tokens at a ninth of 1,000 tokens a second.
    REQUIRE(wait > 4400ms);
    REQUIRE(wait < 4600ms);
    limits.refund(account.name, 500);
    REQUIRE(limits.admit(account, 500, members, start) == duration::zero());
    std::cout << "equal part before the first grant: passed\n";
}

TEST_CASE("granted shares never add up to more than the limit") {
    const membership members = all_alive();
    const config_snapshot config = with_account("hortus");
    REQUIRE(config.find_account(account_name("hortus")) != nullptr);
    account_limits limits(members.self());
    struct held {
        double share = 0;
        time_point until{};
    };
    std::vector<held> shares(daemons);
    std::mt19937_64 random(read_seed(31));
    time_point now = start;
    double largest_sum = 0;
    for (int step = 0; step < 2'000; ++step) {
        now += std::chrono::milliseconds(random() % 1'500);
        const std::size_t number = 1 + random() % (daemons - 1);
        const double demand = static_cast<double>(random() % 5'000);
        std::vector<entry_command> out;
        const daemon_id from = settings_for(number, 1, 1).self;
        limits.on_demand_report(from, {{{account_name("hortus"), demand}}}, config, members, now, out);
        REQUIRE(out.size() == 1);
        const auto& grant = std::get<share_grant>(std::get<send_peer>(out[0]).message);
        REQUIRE(grant.shares.size() == 1);
        shares[number] = {grant.shares[0].tokens_per_second, now + grant.valid_for};
        double sum = 0;
        for (const held& one : shares) {
            sum += now < one.until ? one.share : 0;
        }
        largest_sum = std::max(largest_sum, sum);
        REQUIRE(sum <= 1 + 1e-9);
    }
    // At some time nearly the whole limit is granted.
    REQUIRE(largest_sum > 0.9);
    std::cout << "sum of shares stays within 1: passed\n";
}

TEST_CASE("small demand is not reported and larger demand is") {
    const membership members = all_alive();
    const config_snapshot config = with_account("hortus");
    account_limits limits(members.self());
    const account_spec account = account_named("hortus");
    std::vector<entry_command> out;
    limits.on_tick(members, config, start, out);
    limits.admit(account, 1, members, start);
    limits.on_tick(members, config, start + 3s, out);
    REQUIRE(out.empty());
    limits.admit(account, 9'000, members, start + 3s);
    limits.on_tick(members, config, start + 6s, out);
    REQUIRE(out.size() == 1);
    REQUIRE(std::holds_alternative<demand_report>(std::get<send_peer>(out[0]).message));
    std::cout << "demand threshold: passed\n";
}
