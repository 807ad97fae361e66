// What the programs of this folder allocate: their operator new counts. One thread.
#pragma once

#include <cstddef>

namespace asterdrift::scale {

struct Allocations {
  std::size_t calls = 0;  // of operator new so far
  std::size_t bytes = 0;  // asked for so far
  std::size_t live = 0;   // bytes held now, as the allocator rounds them
  std::size_t peak = 0;   // the most held since reset_peak()
};

Allocations allocations();
void reset_peak();

}  // namespace asterdrift::scale
