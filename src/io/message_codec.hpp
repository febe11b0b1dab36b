// Encodes peer messages as protobuf and decodes them. Decoding checks sizes,
// ranges and enumerators, so that the core receives valid values only; it never
// throws.
#pragma once

#include <boost/outcome.hpp>

#include <cstddef>
#include <span>
#include <string>

#include "verbenahold/messages.hpp"

namespace verbenahold {

enum class codec_error : std::uint8_t {
    // Longer than max_peer_message_bytes.
    too_long,
    // Not a valid protobuf message.
    malformed,
    // A message kind of a newer release.
    unknown_kind,
    // A number, enumerator or record with an invalid value.
    bad_value,
};

// Size limit in bytes. Large enough for a prompt of a million tokens of 4 bytes,
// as much generated text, and escapes.
inline constexpr std::size_t max_peer_message_bytes = 32UL * 1024 * 1024;

struct addressed_message {
    daemon_id from;
    peer_message message;
};

template <class T>
using codec_result = BOOST_OUTCOME_V2_NAMESPACE::result<T, codec_error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// Encodes a message together with its sender.
std::string encode_message(const daemon_id& from, const peer_message& message);
codec_result<addressed_message> decode_message(std::span<const std::byte> bytes);

}  // namespace verbenahold
