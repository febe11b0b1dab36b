// Checks that a keyed call never runs twice and is never falsely reported as "not
// run". Tries all sequences of a few events in which a caller sends the same
// keyed call to two daemons while forwards are duplicated, lost or late, answers
// of the table and of the service are lost, and the key's home restarts.
#include "verbenahold/entry_core.hpp"

#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QJsonObject>

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <map>
#include <optional>

using namespace verbenahold;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string key_hash(64, 'a');
constexpr std::size_t daemon_count = 2;
constexpr int max_faults = 2;
constexpr int search_depth = 5;

record make_record(record_kind kind, const std::string& name, const QJsonObject& spec) {
    return record{{kind, name}, newest_schema_version, 1, spec};
}

config_delta make_config() {
    config_delta delta;
    delta.to_version = 2;
    delta.is_snapshot = true;
    const auto add = [&delta](std::uint64_t version, const record& value) {
        delta.changes.push_back({version, value.key, value});
    };
    add(1,
        make_record(record_kind::service, "orders", {{"type", "plain"}, {"cold_capacity", 4}, {"warm_capacity", 8}}));
    add(2, make_record(record_kind::client_account, "shop",
                       {{"key_hashes", QJsonArray{QString::fromStdString(key_hash)}},
                        {"tokens_per_second", 1000000},
                        {"burst_tokens", 1000000},
                        {"weight", 1}}));
    return delta;
}

// An event that may happen next; one path of the search is a list of these.
enum class step : std::uint8_t {
    deliver_call,
    lose_call,
    duplicate_call,
    deliver_reply,
    lose_reply,
    execute_and_answer,
    execute_and_lose_answer,
    refuse_connection,
    grant_claim,
    lose_claim_answer,
    resend_to_other,
    restart_home,
    pass_time,
};

// Simulates two daemons, one backend server, the table service and one key.
class two_daemon_simulation {
public:
    explicit two_daemon_simulation(bool issued_key) {
        for (std::size_t i = 0; i < daemon_count; ++i) {
            start(i, 1);
        }
        advance(seconds(4));
        m_key = "caller-made";
        if (issued_key) {
            feed(0, locate_request{99, key_hash, zone_name("a"), 1});
            m_key = m_keys.at(0);
        }
        send_order(0);
    }

    [[nodiscard]] std::vector<step> possible_steps() const {
        std::vector<step> list;
        if (!m_calls.empty()) {
            list.push_back(step::deliver_call);
            add_fault(list, step::lose_call);
            add_fault(list, step::duplicate_call);
        }
        if (!m_replies.empty()) {
            list.push_back(step::deliver_reply);
            add_fault(list, step::lose_reply);
        }
        if (!m_executions.empty()) {
            list.push_back(step::execute_and_answer);
            add_fault(list, step::execute_and_lose_answer);
            add_fault(list, step::refuse_connection);
        }
        if (!m_claims.empty()) {
            list.push_back(step::grant_claim);
            add_fault(list, step::lose_claim_answer);
        }
        if (!m_resent) {
            list.push_back(step::resend_to_other);
        }
        if (m_incarnations[0] == 1) {
            add_fault(list, step::restart_home);
        }
        if (list.empty() || m_time_steps < 2) {
            list.push_back(step::pass_time);
        }
        return list;
    }

    void apply(step next) {
        switch (next) {
            case step::lose_call:
                m_calls.pop_front();
                ++m_faults;
                break;
            case step::lose_reply:
                m_replies.pop_front();
                ++m_faults;
                break;
            case step::duplicate_call:
                ++m_faults;
                deliver(m_calls, true);
                break;
            case step::deliver_call:
                deliver(m_calls, false);
                break;
            case step::deliver_reply:
                deliver(m_replies, false);
                break;
            case step::execute_and_lose_answer:
                ++m_faults;
                run_call(false);
                break;
            case step::execute_and_answer:
                run_call(true);
                break;
            case step::refuse_connection:
                ++m_faults;
                refuse_call();
                break;
            case step::lose_claim_answer:
                ++m_faults;
                answer_claim(false);
                break;
            case step::grant_claim:
                answer_claim(true);
                break;
            case step::resend_to_other:
                m_resent = true;
                send_order(1);
                break;
            case step::restart_home:
                ++m_faults;
                start(0, 2);
                break;
            case step::pass_time:
                ++m_time_steps;
                advance(milliseconds(600));
                break;
        }
    }

    // Runs all that is still open to its end, without further faults.
    void finish() {
        if (!m_resent) {
            apply(step::resend_to_other);
        }
        constexpr int step_limit = 400;
        for (int i = 0; i < step_limit && !is_settled(); ++i) {
            if (!m_calls.empty()) {
                apply(step::deliver_call);
            } else if (!m_replies.empty()) {
                apply(step::deliver_reply);
            } else if (!m_claims.empty()) {
                apply(step::grant_claim);
            } else if (!m_executions.empty()) {
                apply(step::execute_and_answer);
            } else {
                advance(milliseconds(500));
            }
        }
    }

    void check_answers() const {
        REQUIRE(m_run_count <= 1);
        REQUIRE(m_answers.size() + m_lost_tickets == m_sent);
        bool all_not_run = m_lost_tickets == 0;
        for (const auto& [ticket, ran] : m_answers) {
            all_not_run = all_not_run && ran == ran_state::no;
            const bool yes_is_true = ran != ran_state::yes || m_run_count == 1;
            REQUIRE(yes_is_true);
        }
        const bool no_is_true = !all_not_run || m_run_count == 0;
        REQUIRE(no_is_true);
    }

    [[nodiscard]] int run_count() const { return m_run_count; }

private:
    struct in_flight {
        std::size_t to = 0;
        daemon_id from;
        peer_message message;
    };
    // A call on its way to the service; no daemon if the sender has restarted.
    struct execution {
        std::optional<std::size_t> daemon;
        call_service command;
    };
    struct pending_claim {
        std::size_t daemon = 0;
        daemon_id holder;
        claim_key command;
    };

    [[nodiscard]] bool is_settled() const {
        return m_answers.size() + m_lost_tickets == m_sent && m_calls.empty() && m_replies.empty() &&
               m_executions.empty();
    }

    void add_fault(std::vector<step>& list, step fault) const {
        if (m_faults < max_faults) {
            list.push_back(fault);
        }
    }

    static std::size_t index_of(const daemon_id& daemon) { return daemon.host == host_name("entry-0") ? 0 : 1; }

    [[nodiscard]] daemon_id id(std::size_t index) const {
        return {host_name("entry-" + std::to_string(index)), m_incarnations.at(index)};
    }

    void start(std::size_t index, std::uint64_t incarnation) {
        m_incarnations.at(index) = incarnation;
        entry_settings settings;
        settings.self = id(index);
        settings.zone = zone_name("a");
        settings.peer_endpoint = endpoint{"10.0.0." + std::to_string(index) + ":1"};
        settings.caller_endpoint = endpoint{"10.0.0." + std::to_string(index) + ":2"};
        settings.seed = 7 + index;
        m_cores.at(index).emplace(settings);
        forget_old_process(index);
        feed(index, host_list_read{hosts()});
        feed(index, table_changes_read{make_config()});
        feed(index, table_head_read{2});
    }

    // Callers of the old process get no answer, and answers of the table and the
    // service to the old process are dropped.
    void forget_old_process(std::size_t index) {
        m_lost_tickets += std::erase_if(m_open_tickets, [&](const auto& item) { return item.second == index; });
        std::erase_if(m_claims, [&](const pending_claim& one) { return one.daemon == index; });
        for (execution& one : m_executions) {
            if (one.daemon == index) {
                one.daemon.reset();
            }
        }
    }

    static std::vector<host_entry> hosts() {
        std::vector<host_entry> list;
        for (std::size_t i = 0; i < daemon_count; ++i) {
            host_entry entry;
            entry.host = host_name("entry-" + std::to_string(i));
            entry.zone = zone_name("a");
            entry.role = host_role::entry;
            entry.peer_endpoint = endpoint{"10.0.0." + std::to_string(i) + ":1"};
            entry.caller_endpoint = endpoint{"10.0.0." + std::to_string(i) + ":2"};
            list.push_back(entry);
        }
        host_entry server;
        server.host = host_name("orders-1");
        server.zone = zone_name("a");
        server.service = service_name("orders");
        server.server_endpoint = endpoint{"10.0.1.1:80"};
        list.push_back(server);
        return list;
    }

    void send_order(std::size_t index) {
        caller_request request;
        request.ticket = ++m_sent;
        request.kind = call_kind::plain;
        request.service = service_name("orders");
        request.key_hash = key_hash;
        request.body = std::make_shared<const std::string>("one kit");
        request.method = "POST";
        request.path = "/orders";
        request.idempotency_key = m_key;
        request.idempotent = false;
        request.deadline = seconds(20);
        m_open_tickets[request.ticket] = index;
        feed(index, request);
        deliver_others();
    }

    void feed(std::size_t index, const entry_event& event) {
        std::vector<entry_command> commands;
        m_cores.at(index)->handle(event, m_now, commands);
        for (entry_command& command : commands) {
            std::visit([&](auto& one) { carry_out(index, one); }, command);
        }
    }

    void carry_out(std::size_t index, send_peer& command) {
        in_flight item{index_of(command.to), id(index), std::move(command.message)};
        if (std::holds_alternative<keyed_call>(item.message)) {
            m_calls.push_back(std::move(item));
        } else if (std::holds_alternative<keyed_reply>(item.message)) {
            m_replies.push_back(std::move(item));
        } else {
            m_other_messages.push_back(std::move(item));
        }
    }
    void carry_out(std::size_t index, call_service& command) { m_executions.push_back({index, std::move(command)}); }
    void carry_out(std::size_t index, claim_key& command) {
        m_claims.push_back({index, id(index), std::move(command)});
    }
    void carry_out(std::size_t /*index*/, record_outcome& command) { m_outcome = command.outcome; }
    void carry_out(std::size_t index, poll_load& command) {
        load_report report;
        report.server = command.server;
        report.incarnation = 1;
        m_events.emplace_back(index, report);
    }
    void carry_out(std::size_t index, list_streams& command) {
        m_events.emplace_back(index, stream_listing{command.server, 1, {}, {}});
    }
    void carry_out(std::size_t index, read_head& /*command*/) { m_events.emplace_back(index, table_head_read{2}); }
    void carry_out(std::size_t index, read_changes& /*command*/) {
        m_events.emplace_back(index, table_changes_read{make_config()});
    }
    void carry_out(std::size_t /*index*/, reply_service& command) { record_answer(command.ticket, ran_state::yes); }
    void carry_out(std::size_t /*index*/, reply_refused& command) { record_answer(command.ticket, command.ran); }
    void carry_out(std::size_t /*index*/, reply_located& command) { m_keys = command.keys; }
    template <class Other>
    void carry_out(std::size_t /*index*/, Other& /*command*/) {}

    void record_answer(std::uint64_t ticket, ran_state ran) {
        REQUIRE(m_answers.emplace(ticket, ran).second);
        m_open_tickets.erase(ticket);
    }

    // Delivers all messages and events that are not steps of the search.
    void deliver_others() {
        constexpr int step_limit = 10'000;
        for (int i = 0; i < step_limit && !(m_other_messages.empty() && m_events.empty()); ++i) {
            if (!m_other_messages.empty()) {
                in_flight item = std::move(m_other_messages.front());
                m_other_messages.pop_front();
                feed(item.to, peer_message_received{item.from, std::move(item.message)});
            } else {
                auto [index, event] = std::move(m_events.front());
                m_events.pop_front();
                feed(index, event);
            }
        }
    }

    void advance(duration time) {
        for (const time_point end = m_now + time; m_now < end; m_now += milliseconds(50)) {
            feed(0, tick{});
            feed(1, tick{});
            deliver_others();
        }
    }

    void deliver(std::deque<in_flight>& queue, bool keep) {
        in_flight item = queue.front();
        if (!keep) {
            queue.pop_front();
        }
        feed(item.to, peer_message_received{item.from, std::move(item.message)});
        deliver_others();
    }

    void run_call(bool answered) {
        const execution one = m_executions.front();
        m_executions.pop_front();
        ++m_run_count;
        if (!one.daemon) {
            return;
        }
        if (answered) {
            feed(*one.daemon, service_replied{one.command.server, one.command.attempt, 200, "text/plain", "done"});
        } else {
            feed(*one.daemon, service_failed{one.command.server, one.command.attempt, backend_failure::reset});
        }
        deliver_others();
    }

    void refuse_call() {
        const execution one = m_executions.front();
        m_executions.pop_front();
        if (one.daemon) {
            feed(*one.daemon, service_failed{one.command.server, one.command.attempt, backend_failure::overloaded});
            deliver_others();
        }
    }

    void answer_claim(bool answered) {
        const pending_claim one = m_claims.front();
        m_claims.pop_front();
        claim_answered reply;
        reply.key = one.command.key;
        if (!m_claim_holder) {
            m_claim_holder = one.holder;
            m_claim_hash = one.command.body_hash;
            reply.state = claim_state::granted;
        } else {
            reply.state = m_outcome ? claim_state::finished : claim_state::held_by_other;
        }
        reply.holder = *m_claim_holder;
        reply.body_hash = m_claim_hash;
        reply.outcome = m_outcome;
        if (!answered) {
            reply = claim_answered{one.command.key, claim_state::unavailable, 0, {}, std::nullopt};
        }
        feed(one.daemon, reply);
        deliver_others();
    }

    time_point m_now{};
    std::array<std::uint64_t, daemon_count> m_incarnations{};
    std::array<std::optional<entry_core>, daemon_count> m_cores;
    std::deque<in_flight> m_calls;
    std::deque<in_flight> m_replies;
    std::deque<in_flight> m_other_messages;
    std::deque<std::pair<std::size_t, entry_event>> m_events;
    std::deque<execution> m_executions;
    std::deque<pending_claim> m_claims;
    std::optional<daemon_id> m_claim_holder;
    std::uint64_t m_claim_hash = 0;
    std::optional<keyed_reply> m_outcome;
    std::string m_key;
    std::vector<std::string> m_keys;
    std::map<std::uint64_t, ran_state> m_answers;
    std::map<std::uint64_t, std::size_t> m_open_tickets;
    std::uint64_t m_sent = 0;
    std::size_t m_lost_tickets = 0;
    int m_run_count = 0;
    int m_faults = 0;
    int m_time_steps = 0;
    bool m_resent = false;
};

struct search_result {
    int paths = 0;
    int runs = 0;
};

// Replays each path from the start, since cores cannot be copied.
void search(bool issued_key, std::vector<step>& path, search_result& result) {
    two_daemon_simulation simulation(issued_key);
    for (const step next : path) {
        simulation.apply(next);
    }
    const std::vector<step> possible_steps = simulation.possible_steps();
    if (path.size() == search_depth || possible_steps.empty()) {
        simulation.finish();
        simulation.check_answers();
        ++result.paths;
        result.runs += simulation.run_count();
        return;
    }
    for (const step next : possible_steps) {
        path.push_back(next);
        search(issued_key, path, result);
        path.pop_back();
    }
}

}  // namespace

TEST_CASE("an order with an issued key runs at most once in all orders of events") {
    search_result result;
    std::vector<step> path;
    search(true, path, result);
    REQUIRE(result.runs > 0);
    std::cout << "at most once, issued key: " << result.paths << " orders passed, the call ran in " << result.runs
              << "\n";
}

TEST_CASE("an order with a caller-made key runs at most once in all orders of events") {
    search_result result;
    std::vector<step> path;
    search(false, path, result);
    REQUIRE(result.runs > 0);
    std::cout << "at most once, caller-made key: " << result.paths << " orders passed, the call ran in " << result.runs
              << "\n";
}
