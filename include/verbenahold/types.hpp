// Identifiers and time of the core. The core never reads a clock: every time
// it uses is handed to it by the shell as a time_point of core_clock.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace verbenahold {

// Time as the shell counts it: microseconds since an arbitrary start of the
// daemon's own monotonic clock. Values of two daemons are not comparable.
struct core_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

using duration = core_clock::duration;
using time_point = core_clock::time_point;

// A name with its own type, so that a zone cannot be passed as a host.
template <class Tag>
struct basic_name {
    std::string value;

    basic_name() = default;
    explicit basic_name(std::string text) : value(std::move(text)) {}
    explicit basic_name(std::string_view text) : value(text) {}
    explicit basic_name(const char* text) : value(text) {}

    [[nodiscard]] bool empty() const { return value.empty(); }
    auto operator<=>(const basic_name&) const = default;
    bool operator==(const basic_name&) const = default;
};

using host_name = basic_name<struct host_tag>;
using zone_name = basic_name<struct zone_tag>;
using account_name = basic_name<struct account_tag>;
using server_name = basic_name<struct server_tag>;
using service_name = basic_name<struct service_tag>;

// One run of one daemon. The incarnation grows with every start of the
// process on its host, so a restarted daemon is a new member.
struct daemon_id {
    host_name host;
    std::uint64_t incarnation = 0;

    auto operator<=>(const daemon_id&) const = default;
    bool operator==(const daemon_id&) const = default;
};

// One caller request, numbered by the daemon that received it.
struct request_id {
    daemon_id origin;
    std::uint64_t sequence = 0;

    auto operator<=>(const request_id&) const = default;
    bool operator==(const request_id&) const = default;
};

// One try to run a request. The number grows by one with each new try.
struct attempt_id {
    request_id request;
    std::uint32_t number = 0;

    auto operator<=>(const attempt_id&) const = default;
    bool operator==(const attempt_id&) const = default;
};

// Prompts reach several megabytes and pass through many parts, so they are
// shared and never changed.
using shared_text = std::shared_ptr<const std::string>;

// An address of a process: IP number and port, as "127.0.0.1:4711".
struct endpoint {
    std::string address;

    auto operator<=>(const endpoint&) const = default;
    bool operator==(const endpoint&) const = default;
};

// Text form "host.incarnation.sequence.attempt" of an attempt; '.' is not
// allowed in host names of daemons.
std::string to_string(const attempt_id& attempt);
std::string to_string(const daemon_id& daemon);

// Whether the answer of a refusal or failure means that the work ran.
enum class ran_state : std::uint8_t { no, yes, unknown };
std::string_view to_string(ran_state ran);

// Mixes value into seed; used by the hashes below.
inline std::size_t combine_hash(std::size_t seed, std::size_t value) {
    constexpr std::size_t golden_ratio = 0x9e3779b97f4a7c15ULL;
    return seed ^ (value + golden_ratio + (seed << 6U) + (seed >> 2U));
}

}  // namespace verbenahold

template <class Tag>
struct std::hash<verbenahold::basic_name<Tag>> {
    std::size_t operator()(const verbenahold::basic_name<Tag>& name) const noexcept {
        return std::hash<std::string>{}(name.value);
    }
};

template <>
struct std::hash<verbenahold::daemon_id> {
    std::size_t operator()(const verbenahold::daemon_id& id) const noexcept {
        return verbenahold::combine_hash(std::hash<verbenahold::host_name>{}(id.host),
                                         std::hash<std::uint64_t>{}(id.incarnation));
    }
};

template <>
struct std::hash<verbenahold::request_id> {
    std::size_t operator()(const verbenahold::request_id& id) const noexcept {
        return verbenahold::combine_hash(std::hash<verbenahold::daemon_id>{}(id.origin),
                                         std::hash<std::uint64_t>{}(id.sequence));
    }
};

template <>
struct std::hash<verbenahold::attempt_id> {
    std::size_t operator()(const verbenahold::attempt_id& id) const noexcept {
        return verbenahold::combine_hash(std::hash<verbenahold::request_id>{}(id.request),
                                         std::hash<std::uint32_t>{}(id.number));
    }
};
