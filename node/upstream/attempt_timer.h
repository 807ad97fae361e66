// The deadlines of an attempt, and the timer that waits for them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <utility>

#include "asterdrift/seconds.h"
#include "node/timing/clock.h"

namespace asterdrift::node::upstream {

// The longest time without a byte of a streamed body. Servers may hang for 19 s and then go on.
constexpr Seconds kStallTimeout = 25;

// All times are on the steady clock.
class AttemptTimer {
 public:
  explicit AttemptTimer(boost::asio::io_context& io) : timer_(io) {}

  // Begins an attempt.
  // timeout: from `began_at` to the complete response, or to the beginning of a streamed response.
  // write_timeout: from `began_at` until the request has been written completely.
  void begin(Seconds began_at, Seconds timeout, Seconds write_timeout);
  // Lets the timeout count from `now` on.
  void restart_timeout(Seconds now) { timeout_at_ = now + timeout_; }
  Seconds timeout_at() const { return timeout_at_; }
  Seconds write_deadline() const { return write_deadline_; }
  // The remaining part of the timeout, at least 1 ms.
  std::int64_t remaining_ms() const;

  // To be called when bytes have been sent or received.
  void on_progress() { progress_at_ = timing::now(); }
  Seconds time_without_progress() const { return timing::now() - progress_at_; }
  // When a streamed response times out since its server gives no byte.
  Seconds stall_timeout_at() const { return progress_at_ + kStallTimeout; }

  // Limits the time for which a response of unknown length is buffered before it is streamed.
  void begin_buffering();
  void end_buffering() { buffer_until_ = 0; }
  bool is_buffering() const { return buffer_until_ > 0; }
  Seconds buffer_until() const { return buffer_until_; }

  // Waits until `time`. Replaces an earlier wait.
  template <class Handler>
  void wait_until(Seconds time, Handler&& handler) {
    timer_.expires_after(timing::to_duration(time - timing::now()));
    timer_.async_wait(std::forward<Handler>(handler));
  }
  void cancel() { timer_.cancel(); }

 private:
  boost::asio::steady_timer timer_;
  Seconds timeout_ = 0;
  Seconds timeout_at_ = 0, write_deadline_ = 0;
  Seconds progress_at_ = 0;
  Seconds buffer_until_ = 0;  // 0: no response is being buffered
};

}  // namespace asterdrift::node::upstream
