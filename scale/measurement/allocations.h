// Counts of the memory that this program allocates, kept by its replacement of operator new and operator
// delete. The counters are not synchronized: only one thread may allocate.
#pragma once

#include <cstddef>

namespace asterdrift::scale {

// Memory that operator new has allocated.
struct Allocations {
  std::size_t count = 0;       // calls of operator new since the program's start
  std::size_t bytes = 0;       // requested in these calls
  std::size_t live_bytes = 0;  // allocated and not yet released, with the allocator's rounding up
  std::size_t peak_bytes = 0;  // maximum of live_bytes since the last reset_peak()
};

// The counts so far.
Allocations allocations();

// Starts a new maximum for peak_bytes, from the current live_bytes.
void reset_peak();

}  // namespace asterdrift::scale
