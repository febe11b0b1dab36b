// Implementation of entry_core: owns the components of an entry daemon's core,
// dispatches each event and peer message to its component and delivers the
// messages that this daemon sends to itself.
#pragma once

#include "caller_side.hpp"
#include "config_view.hpp"
#include "keyed_calls.hpp"
#include "membership.hpp"
#include "owner_side.hpp"
#include "ownership.hpp"

#include "verbenahold/entry_core.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace verbenahold {

class entry_core::impl {
public:
    explicit impl(entry_settings settings);

    void handle(const entry_event& event, time_point now, std::vector<entry_command>& out);
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] bool is_ready(time_point now) const;
    [[nodiscard]] figures read_figures() const;

private:
    // Progress of a planned stop.
    struct drain_progress {
        time_point accept_until{};
        bool drained_sent = false;
    };

    // Each overload handles one kind of event.
    void on(const tick& event);
    void on(const drain_requested& event);
    void on(const host_list_read& event);
    void on(const table_head_read& event);
    void on(const table_changes_read& event);
    void on(const table_failed& event);
    void on(const claim_answered& event);
    void on(const peer_message_received& event);
    void on(const caller_request& event);
    void on(const caller_disconnected& event);
    void on(const locate_request& event);
    template <class BackendEvent>
    void on(const BackendEvent& event);

    // Each overload handles one kind of peer message.
    void receive(const daemon_id& from, const probe& message);
    void receive(const daemon_id& from, const probe_ack& message);
    void receive(const daemon_id& from, const probe_request& message);
    void receive(const daemon_id& from, const leave& message);
    void receive(const daemon_id& from, const owner_summary& message);
    void receive(const daemon_id& from, const release_servers& message);
    void receive(const daemon_id& from, const submit& message);
    void receive(const daemon_id& from, const submit_bounced& message);
    void receive(const daemon_id& from, const submit_accepted& message);
    void receive(const daemon_id& from, const attempt_tokens& message);
    void receive(const daemon_id& from, const attempt_finished& message);
    void receive(const daemon_id& from, const attempt_replied& message);
    void receive(const daemon_id& from, const attempt_failed& message);
    void receive(const daemon_id& from, const cancel_attempt& message);
    void receive(const daemon_id& from, const attempt_query& message);
    void receive(const daemon_id& from, const attempt_status& message);
    void receive(const daemon_id& from, const reserve_part& message);
    void receive(const daemon_id& from, const part_answer& message);
    void receive(const daemon_id& from, const confirm_part& message);
    void receive(const daemon_id& from, const release_part& message);
    void receive(const daemon_id& from, const keyed_call& message);
    void receive(const daemon_id& from, const keyed_reply& message);
    void receive(const daemon_id& from, const config_fetch& message);
    void receive(const daemon_id& from, const config_delta& message);
    void receive(const daemon_id& from, const demand_report& message);
    void receive(const daemon_id& from, const share_grant& message);

    void update_after_event();
    void update_ownership();
    void send_summaries();
    void exchange_crash_strikes();
    void check_drain();
    std::vector<located_entry> list_entries(const locate_request& event, const account_name& account) const;
    owner_side::context owner_context();
    caller_side::context caller_context();
    caller_side::context refresh_caller_context();

    entry_settings m_settings;
    membership m_members;
    ownership m_ownership;
    config_view m_config;
    caller_side m_caller_side;
    owner_side m_owner_side;
    keyed_calls m_keyed_calls;

    // Time and output of the event being handled; set by handle().
    time_point m_now{};
    std::vector<entry_command>* m_out = nullptr;

    std::uint64_t m_last_view_version = 0;
    std::uint64_t m_last_config_version = 0;
    bool m_hosts_changed = false;
    // Release times of servers that their previous owner has released but that
    // this daemon does not own yet.
    std::unordered_map<server_name, time_point> m_released_at;
    std::optional<time_point> m_next_summaries;
    std::size_t m_next_summary_peer = 0;
    double m_summary_credit_bytes = 0;
    time_point m_summary_credit_at{};
    std::optional<drain_progress> m_drain;
};

}  // namespace verbenahold
