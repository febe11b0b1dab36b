// Stand-in for the platform's store: tables of rows, lists, long polls and transactions,
// with the store's faults.
#pragma once

#include "coroutines.hpp"

#include "http_types.hpp"
#include "request_reader.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace verbenahold::soak {

class store_standin {
public:
    store_standin(io_context& loop, std::mt19937_64::result_type seed, std::string address);

    [[nodiscard]] const std::string& address() const { return m_address; }
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // Keeps a copy of all rows, and comes back from it under the next era. What the operator
    // and servers wrote since is written again at once; what daemons wrote is gone.
    void take_copy();
    void return_from_copy();
    // Forgets all changes so far: polls that ask for them get 410.
    void forget_history();

    // Faults; each is a share of calls, but for `answer_ms`.
    double refused = 0;     // answered 503
    double unanswered = 0;  // carried out, and the channel ends without an answer
    double reset = 0;       // not carried out, and the channel is reset
    double answer_ms = 4;   // time of an answer
    // Share of callers, by their channel, that are refused.
    double refused_channels = 0;

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct channel {
        explicit channel(tcp::socket connected) : socket(std::move(connected)) {}
        tcp::socket socket;
        bool is_refused = false;
    };

    awaitable<void> accept();
    awaitable<void> serve(std::shared_ptr<channel> open);
    awaitable<std::string> answer(const serving::http_request& request);
    [[nodiscard]] std::string page(const std::string& table, std::uint64_t after, bool changes_only,
                                   bool& has_rows) const;
    void apply(const std::string& body);
    [[nodiscard]] std::string reply(int status, const std::string& body) const;
    bool roll(double share);

    io_context& m_loop;
    std::mt19937_64 m_random;
    std::string m_address;
    tcp::acceptor m_acceptor;
    using tables = std::map<std::string, std::map<std::string, row>>;
    tables m_tables;
    std::set<wakeup*> m_polls;
    std::uint64_t m_version = 1;
    std::uint64_t m_era = 1;
    tables m_copy;
    std::uint64_t m_copy_version = 1;
    std::uint64_t m_oldest = 0;
};

}  // namespace verbenahold::soak
