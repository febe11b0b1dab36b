// Idempotency keys issued by daemons. A key names its home, the only daemon that
// may run its call: "vh1.<host>.<incarnation>.<issued ms>.<nonce>".
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace verbenahold {

struct idempotency_key {
    daemon_id home;
    // Time of issue on the home's own clock.
    time_point issued{};
    std::uint64_t nonce = 0;
};

std::string to_string(const idempotency_key& key);
// Empty for keys of any other form: those were made by callers.
std::optional<idempotency_key> parse_idempotency_key(std::string_view text);

}  // namespace verbenahold
