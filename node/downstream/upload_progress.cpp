// Keeps samples of how many bytes a client can have sent.
#include "node/downstream/upload_progress.h"

#include <algorithm>
#include <cstddef>

namespace asterdrift::node::downstream {
namespace {

// The largest send buffer that Linux gives a connection by itself (tcp_wmem).
constexpr std::uint64_t kMaxClientBufferBytes = 4UL * 1024 * 1024;
constexpr std::size_t kMaxSamples = 64;

}  // namespace

void UploadProgress::sample(Seconds now, std::uint64_t received_bytes) {
  const std::uint64_t max_sent_bytes = received_bytes + kMaxClientBufferBytes;
  if (!samples_.empty() && samples_.back().max_sent_bytes >= max_sent_bytes) return;
  if (samples_.size() >= kMaxSamples) samples_.erase(samples_.begin() + 1);
  samples_.push_back({now, max_sent_bytes});
}

std::optional<Seconds> UploadProgress::sent_after(std::uint64_t size) const {
  const auto first = std::ranges::lower_bound(samples_, size, {}, &Sample::max_sent_bytes);
  return first == samples_.end() ? std::nullopt : std::optional(first->time);
}

}  // namespace asterdrift::node::downstream
