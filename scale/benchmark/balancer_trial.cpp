// A balancer under load, in a simulated time: each attempt ends by an event.
#include "scale/benchmark/balancer_trial.h"

#include <algorithm>
#include <utility>

#include "scale/measurement/processor_time.h"
#include "scale/stand_ins/endpoint_updates.h"
#include "scale/stand_ins/node_setup.h"

namespace asterdrift::scale {
namespace {

constexpr double kMeasurementLimit = 8;  // s of processor time
constexpr std::size_t kWarmUpRequests = 1000;
constexpr std::size_t kSettlingRequests = 200;
constexpr double kRequestTimeout = 5;          // s
constexpr double kLatency = 0.02;              // s
constexpr double kSaturatedLatency = 0.034;    // s
constexpr double kConnectFailureTime = 0.001;  // s
constexpr double kSlowStartCapacity = 0.1;
constexpr double kSlowStartDuration = 3600;  // s

balancer::Settings settings_for(const BalancerTrial::Setup& setup) {
  NodeSetup node;
  node.replicas = setup.replicas;
  node.tier = setup.subset_state == SubsetState::kAtCapacity ? 0 : 1;
  balancer::Settings settings = balancer_settings(node);
  settings.slow_start_capacity = kSlowStartCapacity;
  settings.slow_start_duration = kSlowStartDuration;
  const double period = 1 / setup.requests_per_second;
  settings.tenants[0].quota = static_cast<double>(settings.replica_count) / period;
  return settings;
}

}  // namespace

BalancerTrial::BalancerTrial(const Setup& setup)
    : subset_state_(setup.subset_state),
      period_(1 / setup.requests_per_second),
      balancer_(settings_for(setup), 1),
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
  const double started_at = thread_processor_time();
  while (result.requests < requests && thread_processor_time() - started_at < kMeasurementLimit) {
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

// With all endpoints healthy: shows which of them are the subset, and teaches the balancer the usual latency.
void BalancerTrial::warm_up() {
  for (std::size_t i = 0; i < kWarmUpRequests; ++i) send_request();
  end_all_attempts();
}

void BalancerTrial::degrade_subset() {
  is_subset_degraded_ = true;
  if (subset_state_ != SubsetState::kSlowStart) return;
  balancer::EndpointUpdate restarted;
  restarted.form = balancer::EndpointUpdate::Form::kIncremental;
  for (balancer::Endpoint endpoint : list_.endpoints) {
    if (!subset_.contains(endpoint.address)) continue;
    endpoint.started_at = now_;
    restarted.endpoints.push_back(endpoint);
  }
  handle(restarted);
}

double BalancerTrial::handle(const balancer::Event& event) {
  actions_.clear();
  return cost_of([&] { balancer_.handle(now_, event, actions_); });
}

void BalancerTrial::send_request() {
  now_ += period_;
  const double due = now_;
  while (!attempt_ends_.empty() && attempt_ends_.top().at <= due) end_next_attempt();
  balancer::Request request;
  request.id = std::to_string(++last_request_);
  request.time_left = kRequestTimeout;
  costs_[request.id] = handle(request);
  carry_out_actions();
}

void BalancerTrial::end_next_attempt() {
  const AttemptEnd end = attempt_ends_.top();
  attempt_ends_.pop();
  const double resumed_at = std::exchange(now_, std::max(end.at, last_event_at_));
  last_event_at_ = now_;
  const double cost = handle(end.result);
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
  double latency = kLatency;
  balancer::Outcome outcome = balancer::Outcome::kSuccess;
  if (is_degraded && subset_state_ == SubsetState::kAtCapacity) latency = kSaturatedLatency;
  if (is_degraded && subset_state_ == SubsetState::kUnreachable) {
    latency = kConnectFailureTime;
    outcome = balancer::Outcome::kConnectFailed;
  }
  const bool is_success = outcome == balancer::Outcome::kSuccess;
  const int attempt = attempts_[send.id]++;
  attempt_ends_.push({now_ + latency, {send.id, attempt, outcome, latency, is_success}});
  if (is_success) attempts_.erase(send.id);
}

}  // namespace asterdrift::scale
