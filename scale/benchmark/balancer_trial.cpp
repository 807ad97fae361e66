// Measures the processor time of a balancer's requests in simulated time: each attempt ends with an event.
#include "scale/benchmark/balancer_trial.h"

#include <algorithm>
#include <utility>

#include "scale/measurement/processor_time.h"
#include "scale/stand_ins/endpoint_updates.h"
#include "scale/stand_ins/node_setup.h"

namespace asterdrift::scale {
namespace {

constexpr Seconds kMaxMeasurementProcessorTime = 8;
constexpr std::size_t kWarmUpRequests = 1000;
// Requests to the degraded subset before the measurement begins.
constexpr std::size_t kSettlingRequests = 200;
constexpr Seconds kRequestTimeout = 5;
constexpr Seconds kHealthyLatency = 0.02;
constexpr Seconds kAtCapacityLatency = 0.034;
constexpr Seconds kConnectFailureLatency = 0.001;
constexpr double kSlowStartCapacity = 0.1;
constexpr Seconds kSlowStartDuration = 3600;

balancer::Settings settings_for_trial(const BalancerTrial::Setup& setup) {
  NodeSetup node;
  node.replicas = setup.replicas;
  node.tier = setup.subset_state == SubsetState::kAtCapacity ? 0 : 1;
  balancer::Settings settings = balancer_settings(node);
  settings.slow_start_capacity = kSlowStartCapacity;
  settings.slow_start_duration = kSlowStartDuration;
  const Seconds request_period = 1 / setup.requests_per_second;
  settings.tenants[0].quota = static_cast<double>(settings.replica_count) / request_period;
  return settings;
}

}  // namespace

BalancerTrial::BalancerTrial(const Setup& setup)
    : subset_state_(setup.subset_state),
      request_period_(1 / setup.requests_per_second),
      balancer_(settings_for_trial(setup), 1),
      list_(snapshot_update(setup.servers)) {
  handle(list_);
}

BalancerTrial::Result BalancerTrial::run(std::size_t requests) {
  warm_up();
  degrade_subset();
  for (std::size_t i = 0; i < kSettlingRequests; ++i) send_request();
  end_all_attempts();
  costs_.clear();
  rejected_ = 0;
  Result result;
  const Seconds started_at = thread_processor_time();
  while (result.requests < requests && thread_processor_time() - started_at < kMaxMeasurementProcessorTime) {
    send_request();
    ++result.requests;
  }
  end_all_attempts();
  for (const auto& [id, cost] : costs_) result.costs.push_back(cost);
  std::sort(result.costs.begin(), result.costs.end());
  result.rejected = rejected_;
  result.subset_size = subset_.size();
  return result;
}

// Sends requests while all endpoints are healthy. The attempts show which endpoints are in the subset, and
// the balancer learns the usual latency.
void BalancerTrial::warm_up() {
  for (std::size_t i = 0; i < kWarmUpRequests; ++i) send_request();
  end_all_attempts();
}

void BalancerTrial::degrade_subset() {
  is_subset_degraded_ = true;
  if (subset_state_ != SubsetState::kSlowStart) return;
  balancer::EndpointUpdate restarted_endpoints;
  restarted_endpoints.form = balancer::EndpointUpdate::Form::kIncremental;
  for (balancer::Endpoint endpoint : list_.endpoints) {
    if (!subset_.contains(endpoint.address)) continue;
    endpoint.started_at = now_;
    restarted_endpoints.endpoints.push_back(endpoint);
  }
  handle(restarted_endpoints);
}

Seconds BalancerTrial::handle(const balancer::Event& event) {
  actions_.clear();
  return measure_cost([&] { balancer_.handle(now_, event, actions_); });
}

void BalancerTrial::send_request() {
  now_ += request_period_;
  const Seconds due = now_;
  while (!attempt_ends_.empty() && attempt_ends_.top().ends_at <= due) end_next_attempt();
  balancer::Request request;
  request.id = std::to_string(++last_request_);
  request.time_left = kRequestTimeout;
  costs_[request.id] = handle(request);
  carry_out_actions();
}

void BalancerTrial::end_next_attempt() {
  const AttemptEnd end = attempt_ends_.top();
  attempt_ends_.pop();
  const Seconds resumed_at = std::exchange(now_, std::max(end.ends_at, last_event_at_));
  last_event_at_ = now_;
  const Seconds cost = handle(end.result);
  if (const auto request = costs_.find(end.result.id); request != costs_.end()) request->second += cost;
  carry_out_actions();
  now_ = std::max(now_, resumed_at);
}

void BalancerTrial::end_all_attempts() {
  while (!attempt_ends_.empty()) end_next_attempt();
}

void BalancerTrial::carry_out_actions() {
  last_event_at_ = now_;
  for (const balancer::Action& action : actions_) {
    if (std::holds_alternative<balancer::RejectRequest>(action)) ++rejected_;
    if (const auto* send = std::get_if<balancer::SendAttempt>(&action)) start_attempt(*send);
  }
}

void BalancerTrial::start_attempt(const balancer::SendAttempt& send) {
  if (!is_subset_degraded_) subset_.insert(send.endpoint);
  const bool is_degraded = is_subset_degraded_ && subset_.contains(send.endpoint);
  Seconds latency = kHealthyLatency;
  balancer::Outcome outcome = balancer::Outcome::kSuccess;
  if (is_degraded && subset_state_ == SubsetState::kAtCapacity) latency = kAtCapacityLatency;
  if (is_degraded && subset_state_ == SubsetState::kUnreachable) {
    latency = kConnectFailureLatency;
    outcome = balancer::Outcome::kConnectFailed;
  }
  const bool is_success = outcome == balancer::Outcome::kSuccess;
  const int attempt = attempts_[send.id]++;
  attempt_ends_.push({now_ + latency, {send.id, attempt, outcome, latency, is_success}});
  if (is_success) attempts_.erase(send.id);
}

}  // namespace asterdrift::scale
