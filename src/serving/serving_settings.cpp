#include "serving_settings.hpp"

namespace verbenahold::serving {

std::vector<std::string> apply_reload(serving_settings& current, const serving_settings& fresh) {
    current.stop_grace = fresh.stop_grace;
    current.repeats = fresh.repeats;
    current.cold = fresh.cold;
    current.memory_bytes = fresh.memory_bytes;
    current.max_reservation_hold = fresh.max_reservation_hold;
    current.max_unused_reservation = fresh.max_unused_reservation;
    current.max_locate_lifetime = fresh.max_locate_lifetime;
    std::vector<std::string> held_back;
    const auto compare = [&](const std::string& before, const std::string& after, const char* name) {
        if (before != after) {
            held_back.emplace_back(name);
        }
    };
    compare(current.host.value, fresh.host.value, "host");
    compare(current.zone.value, fresh.zone.value, "zone");
    compare(current.front_address, fresh.front_address, "front");
    compare(current.ready_address, fresh.ready_address, "ready");
    compare(current.directory_address, fresh.directory_address, "directory");
    compare(current.peer_address, fresh.peer_address, "peers");
    compare(current.store_address, fresh.store_address, "store");
    return held_back;
}

}  // namespace verbenahold::serving
