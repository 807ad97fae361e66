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

// Interval between two steps of the shutdown.
constexpr auto kStepInterval = std::chrono::milliseconds(20);
// After SIGTERM, new connections still arrive for up to 0.4 s. SIGKILL follows no sooner than the longest
// deadline, which is 3 s at most, plus 0.7 s.
constexpr Seconds kAcceptTime = 0.55;  // during which new connections are accepted
constexpr Seconds kMaxDeadline = 3;
constexpr Seconds kConnectTime = 0.1;  // the time allowed for establishing a connection
// Connections that clients began to establish before the hand-over may arrive for this long after it.
constexpr Seconds kMaxHandOverTime = 0.3;
// A process without connections still waits for this long after kAcceptTime before it ends.
constexpr Seconds kCloseDelay = 0.1;
// Idle connections are closed this long before the longest deadline, so that clients connect to other nodes.
constexpr Seconds kIdleCloseLead = 1.2;
// If there is no other node, idle connections are closed this long before the final responses.
constexpr Seconds kIdleCloseLeadWithoutOtherNode = 0.1;
// Requests that are still in flight this long after the longest deadline get their final responses.
constexpr Seconds kFinalResponseDelay = 0.45;
constexpr Seconds kFinalWriteTime = 0.1;  // the time allowed for writing the final responses

Seconds max_deadline(const balancer::Settings& settings) {
  Seconds longest = 0;
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
  const Seconds elapsed = now() - began_at_;
  // If another process of this node serves, that process accepts new connections, and clients connect to it
  // after their next response. Idle connections stay open for now: the new process has not measured its
  // endpoints yet, and would reject more requests if all clients connected to it at once.
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
  timer_.expires_after(kStepInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error) advance();
  });
}

// The kernel resets connections that are being established when their listening socket closes. Therefore new
// connections are directed to the other process first, and this process closes its listening socket when no
// more connections arrive.
void GracefulShutdown::hand_over_new_connections() {
  if (handed_over_at_ > 0 || !is_accepting_) return;
  const std::optional<std::uint32_t> other = process_group_.listening_index_of_other();
  if (other && server_.hand_over_new_connections(*other)) handed_over_at_ = now();
}

bool GracefulShutdown::may_stop_accepting(Seconds elapsed, bool is_replaced) const {
  if (elapsed >= kAcceptTime) return true;
  if (!is_replaced) return false;
  if (handed_over_at_ == 0 || now() - handed_over_at_ >= kMaxHandOverTime) return true;
  return now() - std::max(handed_over_at_, server_.last_accepted_at()) >= kConnectTime;
}

void GracefulShutdown::stop_accepting() {
  if (is_accepting_) server_.stop_accepting();
  is_accepting_ = false;
}

// The time after the beginning at which idle connections are closed. If there is no other node, they are
// closed late: clients whose connections were closed early would have no service for seconds during which
// this node can still serve.
Seconds GracefulShutdown::close_idle_time(bool is_replaced) const {
  const bool has_no_other_node = is_only_replica_ && !is_replaced;
  const Seconds close_time = has_no_other_node ? final_response_time_ - kIdleCloseLeadWithoutOtherNode
                                               : final_response_time_ - kFinalResponseDelay - kIdleCloseLead;
  return std::max(kAcceptTime, close_time);
}

// A large response may take longer than any deadline: the process does not end before the response is
// written, so that only SIGKILL truncates it.
bool GracefulShutdown::is_drained(Seconds elapsed, bool is_replaced) const {
  const bool has_no_connections = !is_accepting_ && server_.connections() == 0;
  if (has_no_connections && (is_replaced || elapsed >= kAcceptTime + kCloseDelay)) return true;
  return elapsed >= final_response_time_ + kFinalWriteTime && server_.busy_connections() == 0;
}

}  // namespace asterdrift::node::process
