// Clients with channels of their own, which record what they sent and got.
#pragma once

#include "coroutines.hpp"
#include "journal.hpp"

#include "answer_parser.hpp"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace verbenahold::soak {

// A front address with the name of its host.
struct front_address {
    std::string host;
    std::string zone;
    std::string front;
    std::string directory;
};

struct client_habits {
    double requests_per_second = 50;
    int clients = 60;
    // Shares of requests.
    double leaves = 0;
    double pipelines = 0;
    double reads_slowly = 0;
    double impatient = 0;
    double new_channel = 0.1;
    // Share of clients that stay with one host, whatever the directory says.
    double pinned = 0.5;
    // Share of prompts of kind "compare" that exceed one server's memory.
    double long_prompts = 0.1;
    // The load is this many times the usual one.
    double burst = 1;
    // Share of requests that carry the second account's key.
    double second_account = 0.2;
};

class client_load {
public:
    client_load(io_context& loop, journal& notes, std::mt19937_64::result_type seed, std::vector<front_address> fronts,
                client_habits& habits);

    void start();
    // No request is sent any more.
    void stop() { m_stopping = true; }
    [[nodiscard]] int open_requests() const { return m_open; }

    // Prefix of routes: requests of the kind go to /PREFIXkind/.
    std::string host_header = "h.example";

private:
    struct connection {
        explicit connection(tcp::socket connected) : socket(std::move(connected)) {}
        tcp::socket socket;
        serving::answer_parser parser;
        std::string host;
        int requests = 0;
        bool usable = true;
    };
    using connection_ptr = std::shared_ptr<connection>;

    awaitable<void> run(std::size_t number, std::mt19937_64::result_type seed);
    awaitable<connection_ptr> connect(const front_address& to);
    awaitable<connection_ptr> connect_by_directory(const std::string& zone, std::mt19937_64& random);
    awaitable<void> read_answer(connection& open, const std::shared_ptr<request_record>& request, double leave_at,
                                bool slowly);
    std::shared_ptr<request_record> make_request(std::mt19937_64& random, const connection& open, std::string& text);
    void finish(const std::shared_ptr<request_record>& request, client_outcome outcome);

    io_context& m_loop;
    journal& m_journal;
    std::mt19937_64 m_random;
    std::vector<front_address> m_fronts;
    client_habits& m_habits;
    bool m_stopping = false;
    int m_open = 0;
    std::uint64_t m_sent = 0;
    std::string m_run_id;
};

}  // namespace verbenahold::soak
