// Tests that a very long prompt gets all its memory parts or none, that
// competing groups don't deadlock, and that a failure leaves nothing reserved.
#include "group_reservation.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <iostream>
#include <map>
#include <string>

using namespace verbenahold;
using namespace std::chrono_literals;

namespace {

using outgoing = group_reservation::outgoing;
using group_state = group_reservation::state;

const daemon_id owner{host_name("entry-1"), 1};

attempt_id attempt(std::uint64_t sequence) {
    return {{{host_name("entry-2"), 9}, sequence}, 1};
}

std::vector<group_reservation::candidate> servers_with(std::int64_t tokens, int count = 3) {
    std::vector<group_reservation::candidate> servers;
    // Descending, so that the group has to sort them.
    for (int number = count; number > 0; --number) {
        servers.push_back({server_name("server-" + std::to_string(number)), owner, tokens});
    }
    return servers;
}

template <class Message>
std::vector<Message> messages_of(const std::vector<outgoing>& out) {
    std::vector<Message> found;
    for (const outgoing& item : out) {
        if (const auto* message = std::get_if<Message>(&item.message)) {
            found.push_back(*message);
        }
    }
    return found;
}

part_answer answer_to(const reserve_part& request, bool granted) {
    return {request.attempt, request.server, request.reservation, granted};
}

// Simulated servers and owners. A part is kept for part_expiry after its last
// confirmation. Messages are lost with a given probability.
struct simulated_servers {
    struct held {
        std::int64_t tokens = 0;
        time_point expires{};
    };
    static constexpr std::int64_t capacity = 400;
    std::map<server_name, std::map<std::string, held>> servers;
    std::mt19937_64 random{20'251'204};
    unsigned lost_percent = 0;
    time_point now{};

    std::int64_t used(const server_name& server) {
        std::int64_t tokens = 0;
        std::erase_if(servers[server], [&](const auto& item) { return item.second.expires <= now; });
        for (const auto& [name, part] : servers[server]) {
            tokens += part.tokens;
        }
        return tokens;
    }

    std::optional<part_answer> deliver(const peer_message& message) {
        if (random() % 100 < lost_percent) {
            return std::nullopt;
        }
        if (const auto* request = std::get_if<reserve_part>(&message)) {
            auto& parts = servers[request->server];
            const bool fits = used(request->server) + request->tokens <= capacity;
            if (!parts.contains(request->reservation) && fits) {
                parts[request->reservation] = {request->tokens, now + request->expires_in};
            }
            const part_answer answer = answer_to(*request, parts.contains(request->reservation));
            return random() % 100 < lost_percent ? std::nullopt : std::optional(answer);
        }
        if (const auto* confirm = std::get_if<confirm_part>(&message)) {
            auto& parts = servers[confirm->server];
            if (parts.contains(confirm->reservation)) {
                parts[confirm->reservation].expires = now + part_expiry;
            }
        }
        if (const auto* release = std::get_if<release_part>(&message)) {
            servers[release->server].erase(release->reservation);
        }
        return std::nullopt;
    }

    // Delivers messages and those that answers to them cause.
    void exchange(group_reservation& group, std::vector<outgoing> out) {
        std::deque<outgoing> queue(out.begin(), out.end());
        while (!queue.empty()) {
            const auto answer = deliver(queue.front().message);
            queue.pop_front();
            if (answer) {
                std::vector<outgoing> more;
                group.on_answer(*answer, now, more);
                queue.insert(queue.end(), more.begin(), more.end());
            }
        }
    }
};

}  // namespace

TEST_CASE("parts are requested one by one in ascending order and confirmed together") {
    group_reservation group(1);
    std::vector<outgoing> out;
    group.start(servers_with(400), 1'000, attempt(1), 60s, {}, out);
    std::vector<std::string> order;
    for (int part = 0; part < 3; ++part) {
        const auto asked = messages_of<reserve_part>(out);
        REQUIRE(asked.size() == 1);
        REQUIRE(messages_of<confirm_part>(out).empty());
        REQUIRE(group.current_state() == group_state::pending);
        order.push_back(asked[0].server.value);
        out.clear();
        group.on_answer(answer_to(asked[0], true), {}, out);
    }
    REQUIRE(order == std::vector<std::string>{"server-1", "server-2", "server-3"});
    REQUIRE(group.current_state() == group_state::complete);
    REQUIRE(messages_of<confirm_part>(out).size() == 2);
    REQUIRE(group.parts().size() == 2);
    std::int64_t elsewhere = 0;
    for (const memory_part& part : group.parts()) {
        REQUIRE(part.server != group.lead());
        elsewhere += part.tokens;
    }
    REQUIRE(elsewhere == 600);
    out.clear();
    group.hand_over(out);
    REQUIRE(messages_of<release_part>(out).size() == 1);
    REQUIRE(messages_of<release_part>(out)[0].server == group.lead());
    std::cout << "ascending order, all confirmed: passed\n";
}

TEST_CASE("a refusal releases every part and the next round avoids the server") {
    group_reservation group(1);
    std::vector<outgoing> out;
    group.start(servers_with(400, 4), 1'000, attempt(1), 60s, {}, out);
    const reserve_part first = messages_of<reserve_part>(out).at(0);
    out.clear();
    group.on_answer(answer_to(first, true), {}, out);
    const reserve_part second = messages_of<reserve_part>(out).at(0);
    out.clear();
    group.on_answer(answer_to(second, false), {}, out);
    REQUIRE(messages_of<release_part>(out).size() == 2);
    REQUIRE(group.current_state() == group_state::pending);

    // A late grant of the aborted round is ignored.
    out.clear();
    group.on_answer(answer_to(second, true), {}, out);
    REQUIRE(out.empty());
    group.on_tick(group.next_wakeup().value(), out);
    while (!messages_of<reserve_part>(out).empty()) {
        const reserve_part request = messages_of<reserve_part>(out)[0];
        REQUIRE(request.server != second.server);
        out.clear();
        group.on_answer(answer_to(request, true), {}, out);
    }
    REQUIRE(group.current_state() == group_state::complete);
    std::cout << "refusal releases all parts: passed\n";
}

TEST_CASE("without answers the group fails by its deadline and releases all requested parts") {
    group_reservation group(1);
    std::vector<outgoing> out;
    group.start(servers_with(400), 1'000, attempt(1), 20s, {}, out);
    time_point now{};
    while (const auto wakeup = group.next_wakeup()) {
        REQUIRE(*wakeup > now);
        now = *wakeup;
        group.on_tick(now, out);
    }
    REQUIRE(group.current_state() == group_state::failed);
    REQUIRE(now <= time_point(20s));
    std::map<std::string, int> open;
    for (const reserve_part& request : messages_of<reserve_part>(out)) {
        open[request.reservation] = 1;
    }
    for (const release_part& release : messages_of<release_part>(out)) {
        open.erase(release.reservation);
    }
    REQUIRE(open.empty());
    std::cout << "silent owners, bounded wait: passed\n";
}

TEST_CASE("competing groups all complete despite lost messages and leave nothing reserved") {
    simulated_servers fixture;
    fixture.lost_percent = 20;
    constexpr std::uint64_t group_count = 12;
    std::vector<group_reservation> groups;
    std::vector<std::optional<time_point>> ends(group_count);
    // Each needs three of four servers, so only one group fits at a time.
    for (std::uint64_t number = 0; number < group_count; ++number) {
        std::vector<outgoing> out;
        groups.emplace_back(number);
        groups.back().start(servers_with(400, 4), 1'000, attempt(number), 120s, fixture.now, out);
        fixture.exchange(groups.back(), out);
    }
    std::size_t served = 0;
    std::size_t most_complete = 0;
    for (; fixture.now < time_point(130s); fixture.now += 10ms) {
        std::size_t complete = 0;
        for (std::size_t number = 0; number < group_count; ++number) {
            group_reservation& group = groups[number];
            std::vector<outgoing> out;
            if (ends[number] && fixture.now >= *ends[number]) {
                ends[number].reset();
                group.release_all(out);
                ++served;
            } else if (group.next_wakeup() && *group.next_wakeup() <= fixture.now) {
                group.on_tick(fixture.now, out);
            }
            fixture.exchange(group, out);
            if (group.current_state() == group_state::complete) {
                ++complete;
                if (!ends[number]) {
                    ends[number] = fixture.now + 500ms;
                }
            }
        }
        most_complete = std::max(most_complete, complete);
    }
    REQUIRE(served == group_count);
    REQUIRE(most_complete == 1);
    for (const auto& [server, parts] : fixture.servers) {
        REQUIRE(fixture.used(server) == 0);
    }
    std::cout << "competing groups: passed\n";
}
