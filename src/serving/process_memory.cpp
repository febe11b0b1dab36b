#include "process_memory.hpp"

#include <cstdlib>
#include <fstream>
#include <string>

#include <malloc.h>

namespace verbenahold::serving {

namespace {

// Buffers from this size on are mapped one by one. Otherwise the allocator raises its
// threshold to the largest buffer ever freed, and keeps later ones.
constexpr int mapped_buffer_bytes = 128 * 1024;
constexpr std::uint64_t bytes_per_kb = 1024;

}  // namespace

process_memory read_process_memory() {
    process_memory memory;
    std::ifstream status("/proc/self/status");
    std::string name;
    std::uint64_t kb = 0;
    for (std::string line; std::getline(status, line);) {
        const auto colon = line.find(':');
        name = line.substr(0, colon);
        if (name == "VmRSS" || name == "VmHWM") {
            kb = std::strtoull(line.c_str() + colon + 1, nullptr, 10);
            (name == "VmRSS" ? memory.resident_bytes : memory.peak_bytes) = kb * bytes_per_kb;
        }
    }
    return memory;
}

void return_large_buffers_at_once() {
    ::mallopt(M_MMAP_THRESHOLD, mapped_buffer_bytes);
}

void release_free_memory() {
    ::malloc_trim(0);
}

}  // namespace verbenahold::serving
