// The memory of this process, as the operating system and the allocator see it.
#pragma once

#include <cstdint>

namespace verbenahold::serving {

struct process_memory {
    std::uint64_t resident_bytes = 0;
    // The most that was resident at any time.
    std::uint64_t peak_bytes = 0;
};

// Zero where the system doesn't tell.
process_memory read_process_memory();

// Makes the allocator return large buffers to the system as soon as they are freed.
void return_large_buffers_at_once();
// Returns what the allocator keeps free to the system.
void release_free_memory();

}  // namespace verbenahold::serving
