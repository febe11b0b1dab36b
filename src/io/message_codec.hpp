// Peer messages to their protobuf form and back. Decoding checks sizes, ranges
// and enumerators, so that no malformed bytes reach the core, and it never
// throws.
#pragma once

#include <boost/outcome.hpp>

#include <cstddef>
#include <span>
#include <string>

#include "verbenahold/messages.hpp"

namespace verbenahold {

enum class codec_error : std::uint8_t {
    // Longer than longest_peer_message.
    too_long,
    // Not a message in protobuf form.
    malformed,
    // A message kind of a newer release.
    unknown_kind,
    // A number, enumerator or record out of its range.
    bad_value,
};

// A prompt of a million tokens of 4 bytes with as much generated text and
// room for escapes stays below this.
inline constexpr std::size_t longest_peer_message = 32UL * 1024 * 1024;

struct addressed_message {
    daemon_id from;
    peer_message message;
};

template <class T>
using codec_result = BOOST_OUTCOME_V2_NAMESPACE::result<T, codec_error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// Protobuf form of a message that says its sender.
std::string encode_message(const daemon_id& from, const peer_message& message);
codec_result<addressed_message> decode_message(std::span<const std::byte> bytes);

}  // namespace verbenahold
