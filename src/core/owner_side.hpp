// The owner's half of an entry daemon. A daemon owns some of the backend
// servers and alone dispatches work to them; the caller side, the other half,
// accepts client requests and submits each attempt to an owner. The owner side
// does admission, queueing and dispatch, polls the load of its servers, limits
// cold ones, detects silent and crashed ones, and frees leaked KV memory.
#pragma once

#include "backend_server.hpp"
#include "cost_model.hpp"
#include "crash_evidence.hpp"
#include "membership.hpp"

#include "verbenahold/commands.hpp"
#include "verbenahold/entry_core.hpp"
#include "verbenahold/messages.hpp"
#include "verbenahold/records.hpp"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace verbenahold {

class owner_side {
public:
    // Inputs and command output of a call; valid during the call only.
    struct context {
        time_point now{};
        const config_snapshot& config;
        const membership& members;
        bool config_confirmed = false;
        std::vector<entry_command>& out;
    };

    owner_side(const entry_settings& settings, std::uint64_t seed);
    ~owner_side();
    owner_side(owner_side&&) noexcept;
    owner_side& operator=(owner_side&&) noexcept;

    // This daemon now owns `server`. `released` is true when the previous owner
    // announced that it has stopped dispatching there, or there was none.
    void gain(const backend_server& server, bool released, context& ctx);
    // This daemon stops owning the server. Running streams continue to their end.
    void lose(const server_name& server, context& ctx);
    // The host list has new data of an owned server, for example that it leaves.
    void refresh(const backend_server& server, context& ctx);
    void on_release(const daemon_id& from, std::span<const server_name> servers, context& ctx);

    // Messages of caller sides, including this daemon's own. Answers are sent
    // with membership::send, which also delivers to this daemon.
    void on_submit(const daemon_id& from, const submit& message, context& ctx);
    void on_cancel(const daemon_id& from, const cancel_attempt& message, context& ctx);
    void on_query(const daemon_id& from, const attempt_query& message, context& ctx);
    void on_reserve_part(const daemon_id& from, const reserve_part& message, context& ctx);
    void on_confirm_part(const daemon_id& from, const confirm_part& message, context& ctx);
    // The owner of a part's server reported through the caller side that the
    // part is lost. Replaces it if the attempt runs here; ignored otherwise.
    void on_part_lost(const part_answer& message, context& ctx);
    void on_release_part(const daemon_id& from, const release_part& message, context& ctx);

    // Events of backend servers.
    void on_event(const stream_opened& event, context& ctx);
    void on_event(const stream_tokens& event, context& ctx);
    void on_event(const stream_heartbeat& event, context& ctx);
    void on_event(const stream_finished& event, context& ctx);
    void on_event(const stream_failed& event, context& ctx);
    void on_event(const service_replied& event, context& ctx);
    void on_event(const service_failed& event, context& ctx);
    void on_event(const load_report& event, context& ctx);
    void on_event(const load_failed& event, context& ctx);
    void on_event(const stream_listing& event, context& ctx);
    void on_event(const memory_reserved& event, context& ctx);
    void on_event(const cache_event& event, context& ctx);

    void on_tick(context& ctx);
    // Refuses new submits and bounces queued attempts, so that they can run
    // elsewhere.
    void begin_drain(context& ctx);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    // The headroom of the owned servers, with a new sequence number.
    owner_summary make_summary(const context& ctx);
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t owned() const;
    crash_evidence& evidence();

private:
    class state;
    std::unique_ptr<state> m_state;
};

}  // namespace verbenahold
