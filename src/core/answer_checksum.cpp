#include "answer_checksum.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace verbenahold {

void answer_checksum::add(std::string_view token) {
    m_value = XXH64(token.data(), token.size(), m_value + token.size());
}

}  // namespace verbenahold
