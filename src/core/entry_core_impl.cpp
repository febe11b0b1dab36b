#include "entry_core_impl.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace verbenahold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How long callers may cache an answer to a locate request.
constexpr duration locate_time_to_live = seconds(5);
// A draining daemon accepts requests for this long, because callers connect to
// it until their cached locate answer expires.
constexpr duration drain_accept_time = 2 * locate_time_to_live;
constexpr int max_keys_per_locate = 64;
// The callers of one account are spread over at most this many entry daemons,
// so that the state kept per account does not grow with the fleet.
constexpr std::size_t max_entries_per_account = 18;

constexpr duration summary_period = milliseconds(250);
// Share of summaries in a daemon's control traffic of 2,000 bytes a second.
constexpr double max_summary_bytes_per_second = 900;
// Estimated encoded size of a summary: a fixed part for the envelope and the
// sender, and a part for each entry.
constexpr double summary_envelope_bytes = 60;
constexpr double summary_entry_bytes = 56;

// How long a previous owner's release of a server is remembered, in case this
// daemon becomes the server's owner.
constexpr duration release_retention = seconds(10);

std::optional<time_point> earlier(std::optional<time_point> a, std::optional<time_point> b) {
    if (!a || !b) {
        return a ? a : b;
    }
    return std::min(*a, *b);
}

}  // namespace

entry_core::impl::impl(entry_settings settings)
    : m_settings(std::move(settings)),
      m_members(m_settings, m_settings.seed),
      m_ownership(m_settings.self, m_settings.zone),
      m_config(m_settings.self, m_settings.seed + 1),
      m_caller_side(m_settings.self, m_settings.zone, m_settings.seed + 2),
      m_owner_side(m_settings, m_settings.seed + 3),
      m_keyed_calls(m_settings.self, m_settings.seed + 4) {}

void entry_core::impl::handle(const entry_event& event, time_point now, std::vector<entry_command>& out) {
    m_now = now;
    m_out = &out;
    const std::size_t first_new = out.size();
    std::visit([this](const auto& one) { on(one); }, event);
    update_after_event();
    // Messages that this daemon addresses to itself are delivered here, until
    // none are left; all other commands go to the shell.
    std::vector<entry_command> fresh(std::make_move_iterator(out.begin() + static_cast<std::ptrdiff_t>(first_new)),
                                     std::make_move_iterator(out.end()));
    out.resize(first_new);
    while (!fresh.empty()) {
        std::vector<entry_command> next;
        for (entry_command& command : fresh) {
            auto* message = std::get_if<send_peer>(&command);
            if (message == nullptr || message->to != m_settings.self) {
                out.push_back(std::move(command));
                continue;
            }
            m_out = &next;
            std::visit([this](const auto& one) { receive(m_settings.self, one); }, message->message);
        }
        m_out = &next;
        auto ctx = caller_context();
        m_keyed_calls.collect_results(m_caller_side, ctx);
        fresh = std::move(next);
    }
    m_out = nullptr;
}

owner_side::context entry_core::impl::owner_context() {
    return {m_now, *m_config.current(), m_members, m_config.is_confirmed(m_now), *m_out};
}

caller_side::context entry_core::impl::caller_context() {
    return {m_now, *m_config.current(), m_config.is_confirmed(m_now), m_members, m_ownership, m_owner_side.evidence(),
            *m_out};
}

// Updates the caller side's summary of this daemon's own servers first: no peer
// sends it one, so every path that may place a request starts here.
caller_side::context entry_core::impl::refresh_caller_context() {
    auto servers = owner_context();
    m_caller_side.on_summary(m_settings.self, m_owner_side.make_summary(servers), caller_context());
    return caller_context();
}

// ---- timer, shutdown and status

void entry_core::impl::on(const tick& /*event*/) {
    m_members.on_tick(m_now, *m_out);
    m_config.on_tick(m_members, m_now, *m_out);
    m_members.announce_config(m_config.current()->version(), m_config.is_confirmed(m_now));
    exchange_crash_strikes();
    auto owner = owner_context();
    m_owner_side.on_tick(owner);
    auto caller = refresh_caller_context();
    m_caller_side.on_tick(caller);
    m_keyed_calls.on_tick(m_caller_side, caller);
    send_summaries();
    check_drain();
}

void entry_core::impl::on(const drain_requested& /*event*/) {
    if (m_drain) {
        return;
    }
    m_drain = drain_progress{m_now + drain_accept_time};
    m_members.begin_leave(m_now, *m_out);
    auto ctx = owner_context();
    m_owner_side.begin_drain(ctx);
    m_out->push_back(log_change{"draining: taking no new work"});
}

void entry_core::impl::check_drain() {
    if (!m_drain || m_drain->drained_sent || m_now < m_drain->accept_until) {
        return;
    }
    if (m_caller_side.count_open() == 0 && m_keyed_calls.count_open() == 0 && m_owner_side.running() == 0 &&
        m_owner_side.queued() == 0) {
        m_drain->drained_sent = true;
        m_out->push_back(drained{});
    }
}

void entry_core::impl::exchange_crash_strikes() {
    m_owner_side.evidence().on_gossip(m_members.take_received_strikes(), m_now);
    m_members.announce_strikes(m_owner_side.evidence().export_strikes(m_now));
}

std::optional<time_point> entry_core::impl::next_wakeup() const {
    std::optional<time_point> next = earlier(m_members.next_wakeup(), m_config.next_wakeup());
    next = earlier(next, m_caller_side.next_wakeup());
    next = earlier(next, m_owner_side.next_wakeup());
    next = earlier(next, m_keyed_calls.next_wakeup());
    return earlier(next, m_next_summaries);
}

bool entry_core::impl::is_ready(time_point now) const {
    return !m_drain && m_members.joined() && m_config.current()->version() > 0 && m_config.is_confirmed(now);
}

entry_core::figures entry_core::impl::read_figures() const {
    figures values;
    values.config_version = m_config.current()->version();
    const auto members = m_members.members();
    values.live_members = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [this](const member& one) { return m_members.is_live(one.daemon); }));
    values.owned_servers = m_owner_side.owned();
    values.open_requests = m_caller_side.count_open();
    values.running_attempts = m_owner_side.running();
    values.queued_attempts = m_owner_side.queued();
    return values;
}

// ---- platform

void entry_core::impl::on(const host_list_read& event) {
    m_members.on_host_list(event.hosts, m_now, *m_out);
    m_ownership.set_servers(event.hosts);
    m_hosts_changed = true;
    if (!m_next_summaries) {
        m_next_summaries = m_now + summary_period;
    }
}

void entry_core::impl::on(const table_head_read& event) {
    m_config.on_table_head(event.version, m_now, *m_out);
}

void entry_core::impl::on(const table_changes_read& event) {
    m_config.on_table_changes(event.delta, m_now, *m_out);
}

void entry_core::impl::on(const table_failed& event) {
    m_config.on_table_failed(event.operation, m_now);
}

void entry_core::impl::on(const claim_answered& event) {
    auto ctx = refresh_caller_context();
    m_keyed_calls.on_claim_answered(event, m_caller_side, ctx);
}

// ---- callers

void entry_core::impl::on(const caller_request& event) {
    if (m_drain && m_now >= m_drain->accept_until) {
        m_out->push_back(reply_refused{event.ticket, refusal::draining, ran_state::no, "this entry is stopping", {}});
        return;
    }
    auto ctx = refresh_caller_context();
    if (event.kind == call_kind::plain && !event.idempotent) {
        m_keyed_calls.on_caller_request(event, m_caller_side, ctx);
    } else {
        m_caller_side.on_caller_request(event, ctx);
    }
}

void entry_core::impl::on(const caller_disconnected& event) {
    auto ctx = caller_context();
    m_caller_side.on_caller_gone(event.ticket, ctx);
    m_keyed_calls.on_caller_gone(event.ticket);
}

void entry_core::impl::on(const locate_request& event) {
    // Without a confirmed configuration the account cannot be checked, but the
    // caller still gets the addresses of the other entry daemons.
    const auto account = caller_side::authenticate(event.key_hash, caller_context());
    const auto* code = std::get_if<refusal>(&account);
    if (code != nullptr && *code == refusal::unauthorized) {
        m_out->push_back(reply_refused{event.ticket, *code, ran_state::no, "unknown account key", {}});
        return;
    }
    reply_located reply;
    reply.ticket = event.ticket;
    reply.time_to_live = locate_time_to_live;
    reply.entries =
        list_entries(event, code != nullptr ? account_name() : std::get<const account_spec*>(account)->name);
    const int keys = m_drain ? 0 : std::clamp(event.keys, 0, max_keys_per_locate);
    for (int i = 0; i < keys; ++i) {
        reply.keys.push_back(m_keyed_calls.issue_key(m_now));
    }
    m_out->push_back(std::move(reply));
}

std::vector<located_entry> entry_core::impl::list_entries(const locate_request& event,
                                                          const account_name& account) const {
    struct candidate {
        std::uint64_t weight;
        located_entry entry;
    };
    std::vector<candidate> candidates;
    const server_name account_key(account.value);
    const auto add_candidate = [&](const daemon_id& daemon, const endpoint& address, const zone_name& zone) {
        if (!address.address.empty() && !m_config.current()->is_zone_out(zone)) {
            candidates.push_back({rendezvous_weight(account_key, {daemon.host, 0}), {address, zone}});
        }
    };
    for (const member& one : m_members.members()) {
        if (one.state == member_state::alive) {
            add_candidate(one.daemon, one.caller_endpoint, one.zone);
        }
    }
    if (!m_drain && m_config.is_confirmed(m_now)) {
        add_candidate(m_settings.self, m_settings.caller_endpoint, m_settings.zone);
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& a, const candidate& b) { return a.weight > b.weight; });
    if (candidates.size() > max_entries_per_account) {
        candidates.resize(max_entries_per_account);
    }
    const zone_name& preferred_zone = event.zone.empty() ? m_settings.zone : event.zone;
    std::stable_partition(candidates.begin(), candidates.end(),
                          [&preferred_zone](const candidate& one) { return one.entry.zone == preferred_zone; });
    std::vector<located_entry> entries;
    entries.reserve(candidates.size());
    for (candidate& one : candidates) {
        entries.push_back(std::move(one.entry));
    }
    return entries;
}

// ---- backend servers

template <class BackendEvent>
void entry_core::impl::on(const BackendEvent& event) {
    auto ctx = owner_context();
    m_owner_side.on_event(event, ctx);
}

// ---- peers

void entry_core::impl::on(const peer_message_received& event) {
    std::visit([&](const auto& message) { receive(event.from, message); }, event.message);
}

void entry_core::impl::receive(const daemon_id& from, const probe& message) {
    m_members.on_probe(from, message, m_now, *m_out);
}

void entry_core::impl::receive(const daemon_id& from, const probe_ack& message) {
    m_members.on_probe_ack(from, message, m_now, *m_out);
}

void entry_core::impl::receive(const daemon_id& from, const probe_request& message) {
    m_members.on_probe_request(from, message, m_now, *m_out);
}

void entry_core::impl::receive(const daemon_id& from, const leave& /*message*/) {
    m_members.on_leave(from, m_now, *m_out);
}

void entry_core::impl::receive(const daemon_id& from, const owner_summary& message) {
    m_caller_side.on_summary(from, message, caller_context());
}

void entry_core::impl::receive(const daemon_id& from, const release_servers& message) {
    for (const server_name& server : message.servers) {
        if (!m_ownership.owns(server)) {
            m_released_at[server] = m_now;
        }
    }
    auto ctx = owner_context();
    m_owner_side.on_release(from, message.servers, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const submit& message) {
    auto ctx = owner_context();
    m_owner_side.on_submit(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const submit_bounced& message) {
    auto ctx = refresh_caller_context();
    m_caller_side.on_bounced(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const submit_accepted& message) {
    auto ctx = caller_context();
    m_caller_side.on_accepted(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const attempt_tokens& message) {
    auto ctx = caller_context();
    m_caller_side.on_tokens(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const attempt_finished& message) {
    auto ctx = caller_context();
    m_caller_side.on_finished(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const attempt_replied& message) {
    auto ctx = caller_context();
    m_caller_side.on_replied(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const attempt_failed& message) {
    auto ctx = refresh_caller_context();
    m_caller_side.on_failed(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const cancel_attempt& message) {
    auto ctx = owner_context();
    m_owner_side.on_cancel(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const attempt_query& message) {
    auto ctx = owner_context();
    m_owner_side.on_query(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const attempt_status& message) {
    auto ctx = refresh_caller_context();
    m_caller_side.on_status(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const reserve_part& message) {
    auto ctx = owner_context();
    m_owner_side.on_reserve_part(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& /*from*/, const part_answer& message) {
    if (!message.granted) {
        auto servers = owner_context();
        m_owner_side.on_part_lost(message, servers);
    }
    auto ctx = caller_context();
    m_caller_side.on_part_answer(message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const confirm_part& message) {
    auto ctx = owner_context();
    m_owner_side.on_confirm_part(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const release_part& message) {
    auto ctx = owner_context();
    m_owner_side.on_release_part(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const keyed_call& message) {
    auto ctx = refresh_caller_context();
    m_keyed_calls.on_keyed_call(from, message, m_caller_side, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const keyed_reply& message) {
    auto ctx = caller_context();
    m_keyed_calls.on_keyed_reply(from, message, ctx);
}

void entry_core::impl::receive(const daemon_id& from, const config_fetch& message) {
    m_config.on_fetch(from, message, m_members, *m_out);
}

void entry_core::impl::receive(const daemon_id& from, const config_delta& message) {
    m_config.on_delta(from, message, m_now, *m_out);
}

void entry_core::impl::receive(const daemon_id& from, const demand_report& message) {
    m_caller_side.limits().on_demand_report(from, message, *m_config.current(), m_members, m_now, *m_out);
}

void entry_core::impl::receive(const daemon_id& from, const share_grant& message) {
    m_caller_side.limits().on_share_grant(from, message, m_now);
}

// ---- ownership and summaries

void entry_core::impl::update_after_event() {
    auto caller = caller_context();
    m_keyed_calls.collect_results(m_caller_side, caller);
    const std::uint64_t view = m_members.view_version();
    const std::uint64_t version = m_config.current()->version();
    if (view != m_last_view_version || version != m_last_config_version || m_hosts_changed) {
        m_last_view_version = view;
        m_last_config_version = version;
        m_hosts_changed = false;
        update_ownership();
    }
}

void entry_core::impl::update_ownership() {
    const ownership_change change = m_ownership.update(m_members, *m_config.current());
    auto ctx = owner_context();
    std::unordered_map<daemon_id, release_servers> releases;
    for (const backend_server& server : change.lost) {
        m_owner_side.lose(server.name, ctx);
        const auto owner = m_ownership.owner_of(server.name);
        if (owner && *owner != m_settings.self) {
            releases[*owner].servers.push_back(server.name);
        }
    }
    for (const backend_server& server : change.gained) {
        const auto released = m_released_at.find(server.name);
        m_owner_side.gain(server, released != m_released_at.end(), ctx);
        if (released != m_released_at.end()) {
            m_released_at.erase(released);
        }
    }
    for (const backend_server& server : m_ownership.servers()) {
        if (m_ownership.owns(server.name)) {
            m_owner_side.refresh(server, ctx);
        }
    }
    for (auto& [owner, message] : releases) {
        m_members.send(owner, std::move(message), *m_out);
    }
    std::erase_if(m_released_at, [this](const auto& item) { return m_now - item.second > release_retention; });
    for (const member& one : m_members.members()) {
        if (one.state == member_state::dead || one.state == member_state::leaving) {
            m_caller_side.summaries().forget(one.daemon);
        }
    }
}

void entry_core::impl::send_summaries() {
    if (!m_next_summaries || m_now < *m_next_summaries) {
        return;
    }
    m_next_summaries = m_now + summary_period;
    const double elapsed = std::chrono::duration<double>(m_now - m_summary_credit_at).count();
    m_summary_credit_at = m_now;
    m_summary_credit_bytes =
        std::min(m_summary_credit_bytes + elapsed * max_summary_bytes_per_second, max_summary_bytes_per_second);
    auto ctx = owner_context();
    const owner_summary summary = m_owner_side.make_summary(ctx);
    const auto members = m_members.members();
    const double size = summary_envelope_bytes + summary_entry_bytes * static_cast<double>(summary.entries.size());
    for (std::size_t tried = 0; tried < members.size() && m_summary_credit_bytes >= size; ++tried) {
        const member& peer = members[m_next_summary_peer++ % members.size()];
        if (peer.state != member_state::alive) {
            continue;
        }
        m_summary_credit_bytes -= size;
        m_members.send(peer.daemon, summary, *m_out);
    }
}

}  // namespace verbenahold
