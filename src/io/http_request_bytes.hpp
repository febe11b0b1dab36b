// Form of a request on the wire.
#pragma once

#include <QByteArray>

#include "http_client.hpp"

namespace verbenahold {

enum class connection_use : std::uint8_t { once, keep };

// Request line, headers and body. Header values must not hold line ends; such
// headers are left out, since a line end would begin another header.
QByteArray request_bytes(const http_call& call, connection_use use);

}  // namespace verbenahold
