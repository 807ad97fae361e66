// Checks whether a client sends its request quickly enough.
#pragma once

#include <cstddef>

#include "asterdrift/seconds.h"

namespace asterdrift::node::downstream {

// Clients may take 2 s for a head, and have to send a body at 64 kB/s. The node enforces more lenient limits:
// those for bodies are defined by this class, and the one for heads by its caller. All times are on the
// steady clock.
class ReceiveRateMonitor {
 public:
  // To be called when a request begins to arrive.
  void begin(Seconds now);
  // To be called when the head has arrived completely.
  void on_head_received(Seconds now) { head_received_at_ = now; }
  void add_body_bytes(std::size_t bytes) { body_bytes_ += bytes; }
  void set_body_bytes(std::size_t bytes) { body_bytes_ = bytes; }
  std::size_t body_bytes() const { return body_bytes_; }

  // The time between pause() and resume(), while the node reads nothing, does not count against the client.
  void pause(Seconds now) { paused_at_ = now; }
  void resume(Seconds now);
  bool is_paused() const { return paused_at_ > 0; }

  Seconds began_at() const { return began_at_; }
  bool is_in_head() const { return head_received_at_ == 0; }
  // When the body will have fallen below the minimum rate if no more of it arrives. 0 while the head is
  // incomplete, because its time is limited by the caller.
  Seconds receive_deadline() const;

 private:
  Seconds began_at_ = 0;
  Seconds head_received_at_ = 0;  // 0 while the head is arriving
  Seconds paused_at_ = 0;         // 0 unless paused
  Seconds total_pause_ = 0;
  std::size_t body_bytes_ = 0;
};

}  // namespace asterdrift::node::downstream
