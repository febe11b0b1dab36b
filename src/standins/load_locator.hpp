// Finds the entries for one account's requests: asks an entry for the list,
// caches it for its time to live, and hands out idempotency keys.
#pragma once

#include "http_client.hpp"
#include "load_plan.hpp"
#include "timer_service.hpp"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace verbenahold::standins {

class load_locator {
public:
    // Entry addresses, those of the caller's zone first, and an idempotency
    // key if one was asked for.
    using callback = std::function<void(const std::vector<std::string>& entries, const std::string& key)>;

    load_locator(http_client& client, timer_service& timers, const load_settings& settings, std::string account_key);

    // Calls `ready` as soon as the entries are known, at once if they are
    // cached.
    void locate(bool needs_key, callback ready);

private:
    struct waiter {
        bool needs_key = false;
        callback ready;
    };

    void request_entries();
    void on_answer(const http_answer& answer);
    void serve_waiters();

    http_client& m_client;
    timer_service& m_timers;
    const load_settings& m_settings;
    std::string m_account_key;
    std::vector<std::string> m_entries;
    std::deque<std::string> m_keys;
    time_point m_valid_until{};
    std::vector<waiter> m_waiters;
    bool m_request_open = false;
    std::size_t m_requests_sent = 0;
};

}  // namespace verbenahold::standins
