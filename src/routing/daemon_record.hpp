// The row that each daemon writes about itself into the platform's store, from
// which daemons find each other.
#pragma once

#include "verbenahold/types.hpp"

#include <string>
#include <string_view>

namespace verbenahold::serving {

struct daemon_record {
    std::string name;
    // Address for other daemons, TCP and UDP.
    std::string peer_address;
    // Empty in rows of releases that wrote the address only.
    zone_name zone;
    double cores = 0;
};

// `value`, or 0 if it is negative or no number: hosts are ranked by such values, and
// they come from rows and datagrams.
double usable_amount(double value);

// The value of the row; its key is the daemon's name. Releases that know the address
// only read it from the beginning of the value.
std::string encode_daemon_record(const daemon_record& record);
// Fields that are unknown or malformed are left out.
daemon_record decode_daemon_record(std::string_view name, std::string_view value);

}  // namespace verbenahold::serving
