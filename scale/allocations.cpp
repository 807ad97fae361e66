#include "scale/allocations.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace asterdrift::scale {
namespace {

Allocations count;

void* take(std::size_t size) {
  void* out = std::malloc(size);
  if (out == nullptr) throw std::bad_alloc();
  count.calls += 1;
  count.bytes += size;
  count.live += malloc_usable_size(out);
  count.peak = std::max(count.peak, count.live);
  return out;
}

void give(void* memory) noexcept {
  if (memory != nullptr) count.live -= malloc_usable_size(memory);
  std::free(memory);
}

}  // namespace

Allocations allocations() { return count; }
void reset_peak() { count.peak = count.live; }

}  // namespace asterdrift::scale

void* operator new(std::size_t size) { return asterdrift::scale::take(size); }
void* operator new[](std::size_t size) { return asterdrift::scale::take(size); }
void* operator new(std::size_t size, const std::nothrow_t&) noexcept try {
  return asterdrift::scale::take(size);
} catch (const std::bad_alloc&) {
  return nullptr;
}
void operator delete(void* memory) noexcept { asterdrift::scale::give(memory); }
void operator delete[](void* memory) noexcept { asterdrift::scale::give(memory); }
void operator delete(void* memory, std::size_t) noexcept { asterdrift::scale::give(memory); }
void operator delete[](void* memory, std::size_t) noexcept { asterdrift::scale::give(memory); }
