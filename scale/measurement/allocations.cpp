// Counts of the memory that this program allocates, kept by its replacement of operator new and operator
// delete.
#include "scale/measurement/allocations.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace asterdrift::scale {
namespace {

Allocations totals;

void* allocate(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  totals.count += 1;
  totals.bytes += size;
  totals.live_bytes += malloc_usable_size(memory);
  totals.peak_bytes = std::max(totals.peak_bytes, totals.live_bytes);
  return memory;
}

void release(void* memory) noexcept {
  if (memory != nullptr) totals.live_bytes -= malloc_usable_size(memory);
  std::free(memory);
}

}  // namespace

Allocations allocations() { return totals; }
void reset_peak() { totals.peak_bytes = totals.live_bytes; }

}  // namespace asterdrift::scale

void* operator new(std::size_t size) { return asterdrift::scale::allocate(size); }
void* operator new[](std::size_t size) { return asterdrift::scale::allocate(size); }
void* operator new(std::size_t size, const std::nothrow_t&) noexcept try {
  return asterdrift::scale::allocate(size);
} catch (const std::bad_alloc&) {
  return nullptr;
}
void operator delete(void* memory) noexcept { asterdrift::scale::release(memory); }
void operator delete[](void* memory) noexcept { asterdrift::scale::release(memory); }
void operator delete(void* memory, std::size_t) noexcept { asterdrift::scale::release(memory); }
void operator delete[](void* memory, std::size_t) noexcept { asterdrift::scale::release(memory); }
