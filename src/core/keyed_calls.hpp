// Runs non-idempotent calls at most once, by their idempotency keys. Each key
// has one home daemon, the only one that may run its call; other daemons
// forward the call to it. A key issued by a locate request names its home, so it
// needs no stored state. The home of a key made by a caller is the daemon that
// holds the key's claim row in the table service.
#pragma once

#include "caller_side.hpp"
#include "idempotency_key.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace verbenahold {

// A call may start until this long after its key was issued.
inline constexpr duration key_lifetime = std::chrono::minutes(10);
// An outcome is kept this long after its key was issued or first seen, whichever
// is later. Therefore the call of an issued key that is younger than this and has
// no entry has not run.
inline constexpr duration outcome_lifetime = std::chrono::minutes(20);

class keyed_calls {
public:
    using context = caller_side::context;

    keyed_calls(daemon_id self, std::uint64_t seed);

    std::string issue_key(time_point now);

    void on_caller_request(const caller_request& request, caller_side& callers, context& ctx);
    void on_caller_gone(std::uint64_t ticket);
    void on_keyed_call(const daemon_id& from, const keyed_call& call, caller_side& callers, context& ctx);
    void on_keyed_reply(const daemon_id& from, const keyed_reply& reply, context& ctx);
    void on_claim_answered(const claim_answered& reply, caller_side& callers, context& ctx);
    // Takes the results of calls from the caller side and answers their waiters.
    void collect_results(caller_side& callers, context& ctx);
    void on_tick(caller_side& callers, context& ctx);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    // Number of calls that are being claimed or run here, or were forwarded to
    // their home and not answered yet.
    [[nodiscard]] std::size_t count_open() const;

private:
    // Who waits for an outcome: a caller of this daemon, by its ticket, or
    // another daemon.
    using waiter = std::variant<std::uint64_t, daemon_id>;

    enum class call_state : std::uint8_t { claiming, running, ended };

    struct call_entry {
        call_state state = call_state::running;
        std::uint64_t body_hash = 0;
        keyed_call call;
        time_point deadline{};
        time_point expires_at{};
        bool claimed_in_table = false;
        keyed_reply outcome;
        std::vector<waiter> waiters;
        // By forwarding daemon: its highest forward number when the call last ended
        // as not run, and its highest one so far.
        std::map<daemon_id, std::uint64_t> not_run_forwards;
        std::map<daemon_id, std::uint64_t> latest_forwards;
    };

    // A call of this daemon's callers that was forwarded to the key's home.
    struct forwarded_call {
        daemon_id home;
        keyed_call call;
        time_point deadline{};
        time_point resend_at{};
        std::vector<std::uint64_t> tickets;
    };

    using call_key = std::pair<account_name, std::string>;

    void start_or_join(const keyed_call& call, const waiter& from, caller_side& callers, context& ctx);
    void start_issued(const idempotency_key& key, const keyed_call& call, const waiter& from, caller_side& callers,
                      context& ctx);
    void start_claim(const keyed_call& call, const waiter& from, context& ctx);
    bool join_existing(const call_key& key, const keyed_call& call, const waiter& from, caller_side& callers,
                       context& ctx);
    void restart(const call_key& key, const keyed_call& call, caller_side& callers, context& ctx);
    void start_call(const call_key& key, caller_side& callers, context& ctx);
    void forward(const daemon_id& home, const keyed_call& call, std::uint64_t ticket, context& ctx);
    void finish(const call_key& key, keyed_reply reply, context& ctx);
    void send_forwarded(forwarded_call& forwarded, context& ctx);
    void check_forwarded(context& ctx);
    void remove_expired(time_point now);
    void schedule_check(time_point when);

    static void add_waiter(call_entry& entry, const keyed_call& call, const waiter& from);
    static void answer_waiter(const waiter& to, const keyed_reply& reply, context& ctx);
    static keyed_reply make_refusal(const keyed_call& call, refusal code, ran_state ran);

    daemon_id m_self;
    std::mt19937_64 m_random;
    std::uint64_t m_last_forward_number = 0;
    std::map<call_key, call_entry> m_calls;
    std::map<call_key, forwarded_call> m_forwarded;
    std::optional<time_point> m_next_check;
};

}  // namespace verbenahold
