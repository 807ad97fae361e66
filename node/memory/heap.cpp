// Sets the thresholds of the C library's allocator.
#include "node/memory/heap.h"

#include <malloc.h>

namespace asterdrift::node::memory {
namespace {

// Larger blocks, such as buffered bodies, are mapped one by one and do not fragment the heap.
constexpr int kMinMappedBytes = 32 * 1024;
// Free memory at the end of the heap that is kept for later blocks.
constexpr int kMaxFreeBytesAtEnd = 256 * 1024;

}  // namespace

void configure_heap() {
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kMaxFreeBytesAtEnd);
}

}  // namespace asterdrift::node::memory
