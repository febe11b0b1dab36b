// Runs a load plan against entries as a caller does: locates entries, sends
// requests, checks every token, and retries requests that did not run or are
// safe to run again.
#pragma once

#include "http_client.hpp"
#include "load_locator.hpp"
#include "load_plan.hpp"
#include "timer_service.hpp"

#include <QJsonArray>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace verbenahold::standins {

enum class load_end : std::uint8_t {
    // The complete and correct answer within the deadline.
    answered,
    // The last answer was an error that says `ran: no`.
    refused,
    // An error that says `ran: yes` or `ran: unknown`.
    failed,
    // The connection ended before the answer on every attempt.
    lost,
    // The answer has wrong, missing or extra tokens.
    wrong,
    // No answer and no error within the deadline plus 1 s.
    late,
};

const char* to_string(load_end end);

struct load_result {
    planned_request request;
    load_end end = load_end::late;
    // Since the planned arrival of the request; zero if it never came.
    duration first_token{};
    duration finished{};
    int attempts = 0;
    // Code of the last error.
    std::string code;
    // Idempotency keys that an order was sent under, and whether the last
    // answer for each said `ran: no`.
    std::vector<std::pair<std::string, bool>> keys;
};

// Result of checking the orders against the fake services' statistics.
struct order_audit {
    bool complete = true;
    int doubled = 0;
    // Keys that ran although the answer said `ran: no`.
    int wrong_ran_no = 0;
    // Orders that were answered but did not run.
    int missing = 0;
};

// A zone event, and whether and when its write was accepted.
struct zone_event_result {
    zone_event event;
    duration accepted_at{};
    bool accepted = false;
};

class load_client {
public:
    load_client(const load_settings& settings, timer_service& timers);

    // Runs the whole plan; `done` is called once after the last answer.
    void run(std::function<void()> done);

    [[nodiscard]] const std::vector<load_result>& results() const { return m_results; }
    // Seconds between tokens, one sample for each token after the first event.
    [[nodiscard]] const std::vector<float>& token_gaps() const { return m_token_gaps; }
    [[nodiscard]] const order_audit& audit() const { return m_audit; }
    [[nodiscard]] const std::vector<zone_event_result>& zone_event_results() const { return m_zone_event_results; }

private:
    struct open_request {
        std::size_t index = 0;
        std::uint64_t prompt_hash = 0;
        http_client::call_id call = 0;
        timer_service::subscription watchdog = 0;
        std::string key;
        std::string last_entry;
        // State of the current attempt.
        std::string unchecked_text;
        std::int64_t tokens = 0;
        bool wrong = false;
        bool finished = false;
        std::string error_code;
        std::string ran;
        time_point last_event{};
    };

    void launch_due();
    void launch(std::size_t index);
    void attempt(std::size_t index);
    void send(open_request& open, const std::vector<std::string>& entries, const std::string& key);
    void send_completion(open_request& open, const std::string& entry);
    void send_service_call(open_request& open, const std::string& entry);
    void on_event(std::size_t index, const QByteArray& data);
    void take_text(open_request& open, const std::string& text);
    void on_end(std::size_t index, const http_answer& answer);
    void read_error(open_request& open, const QByteArray& body);
    void resend(open_request& open, load_end otherwise);
    void close(std::size_t index, load_end end);
    void finish_if_done();

    void write_zone(std::size_t event, std::size_t attempt);
    void put_zone(std::size_t event, std::size_t attempt, std::int64_t record_version);
    void read_statistics(std::size_t service);
    void audit_orders();

    [[nodiscard]] duration since_start() const { return m_timers.now() - m_start; }

    const load_settings& m_settings;
    timer_service& m_timers;
    http_client m_client;
    std::mt19937_64 m_random;
    std::vector<load_locator> m_locators;
    time_point m_start{};
    std::size_t m_next = 0;
    std::map<std::size_t, open_request> m_open;
    std::vector<load_result> m_results;
    std::vector<float> m_token_gaps;
    std::vector<zone_event_result> m_zone_event_results;
    std::map<std::string, std::int64_t> m_executions;
    order_audit m_audit;
    bool m_auditing = false;
    std::function<void()> m_done;
};

}  // namespace verbenahold::standins
