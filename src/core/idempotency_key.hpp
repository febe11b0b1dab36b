// Idempotency keys that name the only daemon that may run their call:
// "vh1.<host>.<incarnation>.<issued ms>.<nonce>".
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace verbenahold {

struct idempotency_key {
    daemon_id home;
    // Time of issue by the home's own clock.
    time_point issued{};
    std::uint64_t nonce = 0;
};

std::string to_string(const idempotency_key& key);
// Nothing for keys of another form, which callers made themselves.
std::optional<idempotency_key> parse_idempotency_key(std::string_view text);

}  // namespace verbenahold
