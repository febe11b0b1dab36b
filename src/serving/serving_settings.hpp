// Settings of one serving daemon.
#pragma once

#include "retry_budget_share.hpp"
#include "send_pacer.hpp"

#include "verbenahold/types.hpp"

#include <string>
#include <variant>
#include <vector>

namespace verbenahold::serving {

struct serving_settings {
    host_name host;
    zone_name zone;
    // Number of availability zones of the deployment.
    std::size_t zones = 1;
    // Processor cores of this host, a fraction for a share of one.
    double cores = 1;
    // Memory of this host that the process may take, in bytes.
    std::size_t memory_bytes = 260'000'000;
    // IPv4 address of this host.
    std::string ip;
    // Addresses to listen on, "IP:PORT"; an empty one is not opened.
    std::string front_address;
    std::string ready_address;
    std::string directory_address;
    // For other daemons, TCP and UDP.
    std::string peer_address;
    // For metrics; empty for none.
    std::string metrics_address;
    std::string store_address;
    // Time from the stop signal until the process is killed.
    duration stop_grace = std::chrono::seconds(8);
    retry_limits repeats;
    cold_bound cold;
    // Longest reservation of memory that a model engine grants.
    duration max_reservation_hold = std::chrono::seconds(20);
    // Longest time that memory may be reserved while no request uses it.
    duration max_unused_reservation = std::chrono::seconds(9);
    // Longest lifetime of directory answers that callers respect.
    duration max_locate_lifetime = std::chrono::seconds(5);
};

// The result of reading the settings for a reload.
struct settings_unchanged {};
struct settings_unreadable {
    std::string reason;
};
using settings_reading = std::variant<settings_unchanged, settings_unreadable, serving_settings>;

// Copies the settings that may change while the daemon runs from `fresh`.
// Returns the names of other settings that differ; they take effect at the next
// start.
std::vector<std::string> apply_reload(serving_settings& current, const serving_settings& fresh);

}  // namespace verbenahold::serving
