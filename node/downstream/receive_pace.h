// Whether a client sends its request quickly enough.
#pragma once

#include <cstddef>

namespace asterdrift::node::downstream {

// Clients may take 2 s for a head, and send a body at 64 kB/s. Times are seconds on the steady clock.
class ReceivePace {
 public:
  void begin(double now);
  void on_head(double now) { head_at_ = now; }
  void add_body_bytes(std::size_t bytes) { body_bytes_ += bytes; }
  void set_body_bytes(std::size_t bytes) { body_bytes_ = bytes; }

  // While the server takes no bytes, the client's time does not count.
  void pause(double now) { paused_at_ = now; }
  void resume(double now);
  bool is_paused() const { return paused_at_ > 0; }

  double began_at() const { return began_at_; }
  bool is_in_head() const { return head_at_ == 0; }
  // When too little of the body will have arrived, if no more arrives. 0 for an incomplete head: its time is
  // limited by the caller.
  double too_slow_at() const;

 private:
  double began_at_ = 0;
  double head_at_ = 0;  // 0 while the head is arriving
  double paused_at_ = 0, paused_for_ = 0;
  std::size_t body_bytes_ = 0;
};

}  // namespace asterdrift::node::downstream
