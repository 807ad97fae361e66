// A digest of a sequence of values, for comparing the decisions of two runs.
#include "support/event_digest.h"

#include <cmath>

namespace asterdrift::balancer {

void EventDigest::add(std::uint64_t value) {
  for (int byte = 0; byte < 8; ++byte) digest_ = (digest_ ^ (value >> (8 * byte) & 255)) * 0x100000001B3ULL;
}

void EventDigest::add(double value) { add(static_cast<std::uint64_t>(std::llround(value * 1e6))); }

void EventDigest::add(std::string_view text) {
  for (const char character : text) add(static_cast<std::uint64_t>(static_cast<unsigned char>(character)));
}

}  // namespace asterdrift::balancer
