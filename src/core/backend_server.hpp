// A backend server as the host list describes it.
#pragma once

#include "verbenahold/types.hpp"

namespace verbenahold {

struct backend_server {
    server_name name;
    zone_name zone;
    service_name service;
    endpoint address;
    bool leaving = false;

    bool operator==(const backend_server&) const = default;
};

}  // namespace verbenahold
