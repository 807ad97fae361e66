// The deadlines of an attempt, and the timer that waits for them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <utility>

#include "node/timing/clock.h"

namespace asterdrift::node::upstream {

// Times are seconds on the steady clock, durations seconds.
class AttemptTimer {
 public:
  explicit AttemptTimer(boost::asio::io_context& io) : timer_(io) {}

  // timeout: from `began_at` to the complete response, or to the first byte of one that is streamed.
  // write_within: until the request is written completely.
  void begin(double began_at, double timeout, double write_within);
  // The timeout counts from `now` on.
  void restart_timeout(double now) { timeout_at_ = now + timeout_; }
  double timeout_at() const { return timeout_at_; }
  double write_by() const { return write_by_; }
  // What is left of the timeout, at least 1 ms.
  std::int64_t remaining_ms() const;

  // Bytes have been sent or received.
  void on_progress() { progress_at_ = timing::now(); }
  // When a streamed body ends for lack of progress. While the client is awaited, its time does not count.
  double stall_timeout_at(bool awaits_client) const;

  // A response of unknown length is buffered for a short time before it is streamed.
  void begin_buffering();
  void end_buffering() { buffer_until_ = 0; }
  bool is_buffering() const { return buffer_until_ > 0; }
  double buffer_until() const { return buffer_until_; }

  // Waits until `time`, in place of an earlier wait.
  template <class Handler>
  void wait_until(double time, Handler&& handler) {
    timer_.expires_after(timing::to_duration(time - timing::now()));
    timer_.async_wait(std::forward<Handler>(handler));
  }
  void cancel() { timer_.cancel(); }

 private:
  boost::asio::steady_timer timer_;
  double timeout_ = 0;
  double timeout_at_ = 0, write_by_ = 0;
  double progress_at_ = 0;
  double buffer_until_ = 0;  // 0: not set
};

}  // namespace asterdrift::node::upstream
