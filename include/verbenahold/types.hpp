// Identifiers and time types of the core. The core never reads a clock: the
// shell (the I/O layer around it) passes in every time as a time_point of
// core_clock.
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

// Microseconds since an arbitrary start of the daemon's own monotonic clock.
// Time points of two daemons are not comparable.
struct core_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

using duration = core_clock::duration;
using time_point = core_clock::time_point;

// A string with a type of its own, so that a zone name cannot be passed where
// a host name is expected.
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

// One run of a daemon process. The incarnation grows with every start of the
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

// One attempt to run a request. The number grows by one with each attempt.
struct attempt_id {
    request_id request;
    std::uint32_t number = 0;

    auto operator<=>(const attempt_id&) const = default;
    bool operator==(const attempt_id&) const = default;
};

// Immutable shared text: prompts reach several megabytes and are passed
// through many components, which must not copy them.
using shared_text = std::shared_ptr<const std::string>;

// Address of a process: IP address and port, such as "127.0.0.1:4711".
struct endpoint {
    std::string address;

    auto operator<=>(const endpoint&) const = default;
    bool operator==(const endpoint&) const = default;
};

// Formats an attempt as "host.incarnation.sequence.attempt". Host names of
// daemons must not contain '.'.
std::string to_string(const attempt_id& attempt);
// Formats a daemon as "host.incarnation".
std::string to_string(const daemon_id& daemon);

// Whether refused or failed work was executed by a backend server.
enum class ran_state : std::uint8_t { no, yes, unknown };
std::string_view to_string(ran_state ran);

// Mixes `value` into the hash `seed`.
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
