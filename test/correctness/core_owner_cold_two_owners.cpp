// Two daemons with different membership views may both own a server for a
// while. Tests that together they don't exceed the capacity of a cold one.
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <iostream>
#include <random>
#include <set>

using namespace verbenahold;

namespace {

// One cold server with the streams of two owners.
class shared_server {
public:
    explicit shared_server(int cold_capacity)
        : m_owners{owner_fixture(cold_capacity, "headroom", "entry-1"),
                   owner_fixture(cold_capacity, "headroom", "entry-2")} {}

    owner_fixture& owner(std::size_t number) { return m_owners.at(number); }

    // Executes the commands of both owners until there are no more. Returns the
    // largest number of streams that ran at once.
    std::size_t run_commands() {
        std::size_t max_running = 0;
        bool again = true;
        while (again) {
            again = false;
            for (owner_fixture& owner : m_owners) {
                const std::vector<entry_command> commands = std::exchange(owner.out, {});
                for (const entry_command& command : commands) {
                    execute(owner, command);
                    max_running = std::max(max_running, m_running.size());
                    again = true;
                }
            }
        }
        return max_running;
    }

    bool finish_one(std::size_t which) {
        if (m_running.empty())
            return false;
        const auto place = m_running.begin() + static_cast<std::ptrdiff_t>(which % m_running.size());
        const running_stream ended = *place;
        m_running.erase(place);
        ended.owner->feed(stream_opened{server_name("s1"), ended.stream});
        ended.owner->feed(stream_tokens{server_name("s1"), ended.stream, 0, {"x"}});
        ended.owner->feed(stream_finished{server_name("s1"), ended.stream, 1, 0, "stop"});
        return true;
    }

private:
    void execute(owner_fixture& owner, const entry_command& command) {
        if (const auto* opened = std::get_if<open_stream>(&command)) {
            m_running.push_back({&owner, opened->stream});
            owner.feed(stream_opened{server_name("s1"), opened->stream});
        }
        if (const auto* reserved = std::get_if<reserve_memory>(&command)) {
            m_reservations.insert(reserved->reservation);
            owner.feed(memory_reserved{server_name("s1"), reserved->reservation, true});
        }
        if (const auto* released = std::get_if<release_memory>(&command))
            m_reservations.erase(released->reservation);
        if (std::holds_alternative<list_streams>(command))
            owner.feed(list_all());
        if (std::holds_alternative<poll_load>(command))
            owner.report("s1", 1, static_cast<int>(m_running.size()));
    }

    struct running_stream {
        owner_fixture* owner;
        std::string stream;
    };

    stream_listing list_all() const {
        stream_listing all{server_name("s1"), 1, {}, {}};
        for (const running_stream& running : m_running)
            all.streams.push_back({running.stream, 1'000, true, {}});
        for (const std::string& reservation : m_reservations)
            all.reservations.push_back({reservation, 1, {}});
        return all;
    }

    std::array<owner_fixture, 2> m_owners;
    std::vector<running_stream> m_running;
    std::set<std::string> m_reservations;
};

}  // namespace

TEST_CASE("two owners together stay within the capacity of a cold server") {
    const int cold_capacity = GENERATE(1, 2, 3, 5, 8);
    std::mt19937_64 random(20'261'204);
    shared_server server(cold_capacity);
    const backend_server row{server_name("s1"), zone_name("a"), service_name("model"), endpoint{"127.0.0.1:9"}, false};
    for (std::size_t number : {0U, 1U}) {
        auto context = server.owner(number).ctx();
        server.owner(number).owner.gain(row, false, context);
    }
    std::size_t max_running = server.run_commands();
    int completed = 0;
    // The server counts as cold until it has completed twice its cold capacity.
    for (int step = 0; step < 400 && completed < 2 * cold_capacity; ++step) {
        for (std::size_t number : {0U, 1U}) {
            owner_fixture& owner = server.owner(number);
            if (random() % 2 == 0)
                owner.send(owner.make_submit());
            owner.run_for(std::chrono::milliseconds(50));
            max_running = std::max(max_running, server.run_commands());
        }
        if (random() % 4 == 0)
            completed += server.finish_one(random()) ? 1 : 0;
        if (completed == 2 * cold_capacity)
            break;
        max_running = std::max(max_running, server.run_commands());
    }
    REQUIRE(completed == 2 * cold_capacity);
    REQUIRE(max_running <= static_cast<std::size_t>(cold_capacity));
    std::cout << "two owners, cold capacity " << cold_capacity << ", most at once " << max_running << ": passed\n";
}
