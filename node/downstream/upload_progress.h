// Estimates when a client has sent the last byte of an upload that is read more slowly than it was sent.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "asterdrift/seconds.h"

namespace asterdrift::node::downstream {

// A request's time counts from when its client sent the last byte. While a server takes the upload slowly,
// that byte may wait unread at the node or still at the client, whose system takes bytes ahead of the node.
// This class knows how many bytes the client can have sent at most at earlier moments. All times are on the
// steady clock.
class UploadProgress {
 public:
  // To be called when all bytes that the client has sent have been read.
  void reset() { samples_.clear(); }
  // received_bytes: the bytes of the body that have arrived at the node's machine until `now`.
  void sample(Seconds now, std::uint64_t received_bytes);
  // The client has sent body byte number `size` at this time or later; empty if it has not sent that byte
  // yet, or if nothing has been unread since reset().
  std::optional<Seconds> sent_after(std::uint64_t size) const;

 private:
  struct Sample {
    Seconds time = 0;
    std::uint64_t max_sent_bytes = 0;
  };

  std::vector<Sample> samples_;
};

}  // namespace asterdrift::node::downstream
