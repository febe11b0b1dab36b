// Keeps in the platform's store which requests crash servers, so that this outlives all
// daemons. Each block has a row; the daemon responsible for it, by rendezvous hashing, writes
// it, one call at a time, and daemons read the rows once when they become active. No request
// waits for the store: while it is down or slow, daemons know what they learn and hear.
#pragma once

#include "gateway_state.hpp"

#include <map>
#include <optional>
#include <string>

namespace verbenahold::serving {

class block_archive {
public:
    // `started_unix` is the time of day at which the timers of `state` began.
    block_archive(gateway_state& state, std::chrono::microseconds started_unix);

    // Reads the rows, and from then on writes what is missing. Does nothing after the first
    // call.
    void start();
    // The store is in this era: rows that were written in an earlier one may be gone.
    void on_store_era(std::uint64_t era);

private:
    // What the row of a block says.
    struct saved_row {
        std::uint32_t round = 0;
        bool cleared = false;
        // Since when the row says nothing that matters.
        time_point ends{};
    };

    void list(const std::string& first_key);
    void on_listing(const call_result& result);
    void restore(const store_row& row);
    void check();
    // Starts a call for the first row that is out of date and that this daemon is responsible
    // for. False if there is none.
    bool write_next();
    bool remove_next();
    void call(const http_request& request, std::function<void()> on_success);
    void on_failure(std::string_view reason);
    [[nodiscard]] bool is_responsible(const std::string& key) const;
    [[nodiscard]] std::chrono::milliseconds unix_time_of(time_point at) const;
    [[nodiscard]] time_point time_of_unix(std::chrono::milliseconds unix) const;

    gateway_state& m_state;
    std::chrono::microseconds m_started_unix;
    // By key.
    std::map<std::string, saved_row> m_saved;
    std::optional<std::uint64_t> m_era;
    bool m_started = false;
    bool m_listed = false;
    bool m_calling = false;
    duration m_retry_delay{};
    time_point m_next_call{};
};

}  // namespace verbenahold::serving
