// This daemon's presence among the others: its row in the store, its heartbeats,
// whether its host is active, and the directory's answers that follow from it.
#pragma once

#include "gateway_state.hpp"
#include "peer_link.hpp"

#include <functional>

namespace verbenahold::serving {

class presence {
public:
    // `on_part_decided` is called when this daemon becomes active, stands by, or has
    // first listed the others. `on_heartbeat` is called at each heartbeat.
    presence(gateway_state& state, peer_link& peers, std::function<void()> on_part_decided,
             std::function<void()> on_heartbeat);

    void start();
    // Sends this daemon's status now.
    void announce();
    // Announces that this daemon shuts down and removes its row.
    void leave();
    // The store is in this era. Writes this daemon's row again if it was written in an earlier
    // one, as the copy from which the store came back may lack it.
    void on_store_era(std::uint64_t era);
    // Fills in what this daemon says of its part and its load.
    void describe(daemon_status& status) const;
    [[nodiscard]] bool is_store_reader() const;
    // Addresses that a caller in `zone` may connect to, in random order; `own` is
    // this daemon's status.
    [[nodiscard]] std::vector<std::string> addresses_for(const zone_name& zone, const daemon_status& own);

private:
    void write_own_row();
    void on_own_row_written(const call_result& result);
    // Lists the daemons, and again until that has succeeded.
    void list_until_listed();
    // Lists the rows that daemons wrote about themselves, from `first_key` on.
    void list_daemons(const std::string& first_key = {});
    void on_listing(const call_result& result);
    void on_listing_failed(std::string_view reason);
    void on_listed();
    void list_again_if_active();
    void heartbeat();
    void update_role();
    void measure_requests();

    gateway_state& m_state;
    peer_link& m_peers;
    std::function<void()> m_on_part_decided;
    std::function<void()> m_on_heartbeat;
    bool m_listed = false;
    // The newest known era of the store, and that in which it confirmed this daemon's row;
    // empty while the row is being written.
    std::uint64_t m_store_era = 0;
    std::optional<std::uint64_t> m_own_row_era;
    std::uint64_t m_heartbeats = 0;
    std::uint64_t m_requests_before = 0;
    double m_requests_per_second = 0;
};

}  // namespace verbenahold::serving
