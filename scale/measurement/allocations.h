// What this program allocates: its operator new counts. For one thread.
#pragma once

#include <cstddef>

namespace asterdrift::scale {

// The counters of operator new.
struct Allocations {
  std::size_t count = 0;       // calls of operator new so far
  std::size_t bytes = 0;       // requested so far
  std::size_t live_bytes = 0;  // allocated now, as the allocator rounds them
  std::size_t peak_bytes = 0;  // maximum of live_bytes since reset_peak()
};

Allocations allocations();
void reset_peak();

}  // namespace asterdrift::scale
