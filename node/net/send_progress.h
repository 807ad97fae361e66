// Tells a peer that reads slowly from one that has stopped reading.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "asterdrift/seconds.h"

namespace asterdrift::node::net {

// What the system knows of the bytes that were sent on a connection.
struct SendState {
  std::uint64_t acknowledged_bytes = 0;  // received by the peer's system
  std::size_t window_bytes = 0;          // the receive window that the peer's system announced last
};

// Returns nothing if the system does not tell.
std::optional<SendState> send_state(int socket);

// A peer that reads slowly takes no byte for some time, although it reads: when its receive buffer is full,
// its system closes the receive window, and opens it again only when a part of the buffer is free. Linux
// waits for a sixteenth. A peer whose window was large may therefore read some MB before a byte is sent to
// it. While its window is closed, such a peer cannot be told from one that has stopped reading. All times are
// on the steady clock.
class SendProgress {
 public:
  // To be called when bytes are about to be sent, and no other bytes wait to be taken.
  void begin(Seconds now) { progress_at_ = now; }
  // To be called when the socket has taken bytes.
  void on_bytes_written(std::size_t bytes, Seconds now);
  // Whether the socket has taken so many bytes since the last observe() that the largest window could be
  // missed.
  bool is_observation_due() const { return bytes_since_observation_ >= kObservationBytes; }
  // To be called when an observation is due, and from time to time while bytes wait to be taken.
  void observe(const std::optional<SendState>& state, Seconds now);

  Seconds progress_at() const { return progress_at_; }
  // When the peer counts as having stopped reading if it takes no byte: after `min_timeout`, or, if its
  // window was large, after the time in which a peer that reads 64 kB/s opens its window.
  Seconds stalled_at(Seconds min_timeout) const;

 private:
  static constexpr std::size_t kObservationBytes = 64UL * 1024;

  Seconds progress_at_ = 0;
  std::uint64_t acknowledged_bytes_ = 0;
  std::size_t max_window_bytes_ = 0;
  std::size_t bytes_since_observation_ = 0;
};

}  // namespace asterdrift::node::net
