#include "node/process/graceful_shutdown.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::process {
namespace {

using boost::system::error_code;
using telemetry::log_line;
using timing::now;
using State = ProcessGroup::State;

// After SIGTERM, new connections still come for up to 0.4 s, and SIGKILL no sooner than the longest deadline
// (3 s at most) and 0.7 s after it.
constexpr auto kPeriod = std::chrono::milliseconds(20);
constexpr double kAcceptTime = 0.55;      // s in which new connections are accepted
constexpr double kConnectTime = 0.1;      // s in which a connection is established
constexpr double kMaxHandOverTime = 0.3;  // s in which connections of before the hand-over may still come
constexpr double kCloseTime = 0.1;        // s after kAcceptTime, before a node without connections ends
constexpr double kMaxDeadline = 3;        // s
constexpr double kHandOverTime = 1.2;  // s before the longest deadline; clients are sent to other nodes then
constexpr double kHandOverTimeAlone = 0.1;    // s before the final responses, where there is no other node
constexpr double kFinalResponseDelay = 0.45;  // s after the longest deadline; open requests are ended then
constexpr double kWriteTime = 0.1;            // s after the final responses, for writing them

double max_deadline(const balancer::Settings& settings) {
  double longest = 0;
  for (const balancer::RequestClass& request_class : settings.classes) {
    longest = std::max(longest, request_class.timeout);
  }
  return std::min(longest, kMaxDeadline);
}

}  // namespace

GracefulShutdown::GracefulShutdown(boost::asio::io_context& io, const balancer::Settings& settings,
                                   ProcessGroup& process_group, downstream::Server& server,
                                   dispatch::RequestDispatcher& dispatcher)
    : io_(io),
      process_group_(process_group),
      server_(server),
      dispatcher_(dispatcher),
      final_response_time_(max_deadline(settings) + kFinalResponseDelay),
      is_only_replica_(settings.replica_count == 1),
      timer_(io) {}

void GracefulShutdown::begin() {
  log_line("draining");
  began_at_ = now();
  server_.begin_drain();
  process_group_.publish(State::kServing, false);
  advance();
}

void GracefulShutdown::advance() {
  const double elapsed = now() - began_at_;
  // Another process of this node serves: it accepts new connections, and clients connect to it after their
  // next response. Idle connections stay open for now: the new process has not measured its endpoints yet,
  // and would reject more requests if all clients came at once.
  const bool is_replaced = process_group_.count_others(State::kServing) > 0;
  if (is_replaced) {
    server_.close_after_responses();
    hand_over_new_connections();
  }
  if (may_stop_accepting(elapsed, is_replaced)) stop_accepting();
  if (elapsed >= close_idle_time(is_replaced)) server_.close_idle_connections();
  if (elapsed >= final_response_time_) {
    dispatcher_.expire_all_requests();
    server_.reject_partial_requests();
  }
  if (is_drained(elapsed, is_replaced)) {
    log_line("drained");
    return io_.stop();
  }
  timer_.expires_after(kPeriod);
  timer_.async_wait([this](const error_code& error) {
    if (!error) advance();
  });
}

// The system resets connections that are being established as their listening socket closes. So new ones go
// to the other process first, and this one closes its socket once no more come.
void GracefulShutdown::hand_over_new_connections() {
  if (handed_over_at_ > 0 || !is_accepting_) return;
  const std::optional<std::uint32_t> other = process_group_.listening_index_of_other();
  if (other && server_.hand_over_new_connections(*other)) handed_over_at_ = now();
}

bool GracefulShutdown::may_stop_accepting(double elapsed, bool is_replaced) const {
  if (elapsed >= kAcceptTime) return true;
  if (!is_replaced) return false;
  if (handed_over_at_ == 0 || now() - handed_over_at_ >= kMaxHandOverTime) return true;
  return now() - std::max(handed_over_at_, server_.last_accepted_at()) >= kConnectTime;
}

void GracefulShutdown::stop_accepting() {
  if (is_accepting_) server_.stop_accepting();
  is_accepting_ = false;
}

// Without another node, clients whose connections were closed early would have no service for seconds in
// which this node can still serve.
double GracefulShutdown::close_idle_time(bool is_replaced) const {
  const bool is_alone = is_only_replica_ && !is_replaced;
  const double hand_over_time = is_alone ? final_response_time_ - kHandOverTimeAlone
                                         : final_response_time_ - kFinalResponseDelay - kHandOverTime;
  return std::max(kAcceptTime, hand_over_time);
}

// A large response may take longer than any deadline, and is not truncated while this process is not killed.
bool GracefulShutdown::is_drained(double elapsed, bool is_replaced) const {
  const bool is_closed = !is_accepting_ && server_.connections() == 0;
  if (is_closed && (is_replaced || elapsed >= kAcceptTime + kCloseTime)) return true;
  return elapsed >= final_response_time_ + kWriteTime && server_.busy_connections() == 0;
}

}  // namespace asterdrift::node::process
