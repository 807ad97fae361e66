#include "support/simulated_call_chain.h"

#include <utility>
#include <variant>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

constexpr Seconds kRejectionDelay = 0.0005;  // between sending an attempt and its rejection by a full server

}  // namespace

double CallChainCounts::attempts_at_last_tier_per_request() const {
  return static_cast<double>(tiers.back().attempts) / requests;
}

SimulatedCallChain::SimulatedCallChain(CallChainScenario scenario)
    : scenario_(std::move(scenario)), random_(scenario_.seed) {
  counts_.tiers.resize(static_cast<std::size_t>(scenario_.tiers));
  for (int tier = 0; tier < scenario_.tiers; ++tier) add_tier(tier);
}

void SimulatedCallChain::add_tier(int tier) {
  const EndpointUpdate snapshot = make_snapshot(scenario_.servers_per_tier);
  Settings settings = scenario_.settings;
  settings.tier = tier;
  settings.replica_count = tier == 0 ? 1 : scenario_.servers_per_tier;
  for (int i = 0; i < settings.replica_count; ++i) {
    settings.replica_index = i;
    replicas_.push_back(std::make_unique<Balancer>(settings, scenario_.seed * 1000003 + replicas_.size()));
    std::vector<Action> ignored_actions;
    replicas_.back()->handle(0, snapshot, ignored_actions);
  }
  servers_.emplace_back(static_cast<std::size_t>(scenario_.servers_per_tier));
}

CallChainCounts SimulatedCallChain::run() {
  const int requests = static_cast<int>(scenario_.request_rate * scenario_.duration);
  for (int i = 0; i < requests; ++i) {
    queue_.schedule(1 + i / scenario_.request_rate, [this] { send_first_request(); });
  }
  queue_.run_until();
  return counts_;
}

void SimulatedCallChain::send_first_request() {
  ++counts_.requests;
  send_request(0, 0, scenario_.settings.classes[0].timeout,
               [this](Response response) { count_response(response); });
}

void SimulatedCallChain::count_response(Response response) {
  switch (response) {
    case Response::kSucceeded:
      ++counts_.succeeded;
      break;
    case Response::kRejected:
      ++counts_.rejected;
      break;
    case Response::kFailed:
      ++counts_.failed;
      break;
  }
}

Seconds SimulatedCallChain::service_time() { return scenario_.mean_service_time * (0.5 + random_.unit()); }

std::size_t SimulatedCallChain::replica_index(int tier, std::size_t server) const {
  if (tier == 0) return 0;
  return 1 + static_cast<std::size_t>((tier - 1) * scenario_.servers_per_tier) + server;
}

SimulatedCallChain::Cancel SimulatedCallChain::send_request(int tier, std::size_t replica, Seconds time_left,
                                                            Respond respond) {
  ++counts_.tiers[static_cast<std::size_t>(tier)].requests;
  const std::string id = std::to_string(++last_request_id_);
  const Seconds deadline = queue_.now() + time_left;
  auto pending =
      std::make_shared<PendingRequest>(PendingRequest{tier, replica, deadline, std::move(respond), {}});
  requests_[id] = pending;
  Request request;
  request.id = id;
  request.time_left = time_left;
  handle(replica, request);
  queue_.schedule(deadline, [this, id, pending] { abort(id, *pending); });
  return [this, id, pending] {
    if (pending->respond) pending->respond = [](Response) {};
    abort(id, *pending);
  };
}

void SimulatedCallChain::abort(const std::string& id, PendingRequest& request) {
  if (finish(request, Response::kFailed)) handle(request.replica, RequestAborted{id});
}

bool SimulatedCallChain::finish(PendingRequest& request, Response response) {
  if (!request.respond) return false;
  std::exchange(request.respond, nullptr)(response);
  return true;
}

void SimulatedCallChain::handle(std::size_t replica, const Event& event) {
  std::vector<Action> actions;
  replicas_[replica]->handle(queue_.now(), event, actions);
  for (const Action& action : actions) execute(action);
}

void SimulatedCallChain::execute(const Action& action) {
  if (const auto* send = std::get_if<SendAttempt>(&action)) send_attempt(*send);
  if (const auto* reject = std::get_if<RejectRequest>(&action))
    finish(*requests_.at(reject->id), Response::kRejected);
  if (const auto* fail = std::get_if<FailRequest>(&action))
    finish(*requests_.at(fail->id), Response::kFailed);
  if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    queue_.schedule(queue_.now(), [this, id = cancel->id, attempt = cancel->attempt] {
      end_attempt(id, attempt, Outcome::kCancelled);
    });
  }
}

void SimulatedCallChain::send_attempt(const SendAttempt& send) {
  PendingRequest& request = *requests_.at(send.id);
  CallChainTierCounts& counts = counts_.tiers[static_cast<std::size_t>(request.tier)];
  const int attempt = static_cast<int>(request.attempts.size());
  ++counts.attempts;
  if (attempt > 0 && !request.attempts.back()->connect_failed) ++counts.retries;
  auto sent = std::make_shared<SentAttempt>();
  sent->server = std::stoul(send.endpoint.substr(1));
  sent->sent_at = queue_.now();
  sent->timeout = send.timeout;
  request.attempts.push_back(sent);
  queue_.schedule(queue_.now() + send.timeout,
                  [this, id = send.id, attempt] { end_attempt(id, attempt, Outcome::kTimedOut); });
  const std::optional<Outcome> failure = scenario_.failure_model(request.tier, queue_.now(), random_.unit());
  if (failure) {
    sent->connect_failed = failure == Outcome::kConnectFailed;
    if (sent->connect_failed) ++counts.connect_failures;
    fail_attempt(send.id, attempt, *failure);
  } else {
    deliver_attempt(send.id, attempt, request);
  }
}

void SimulatedCallChain::fail_attempt(const std::string& id, int attempt, Outcome failure) {
  if (failure == Outcome::kTimedOut)
    return;  // the timeout that send_attempt() has scheduled ends the attempt
  const Seconds delay = failure == Outcome::kConnectFailed ? scenario_.connect_timeout : service_time();
  queue_.schedule(queue_.now() + delay, [this, id, attempt, failure] { end_attempt(id, attempt, failure); });
}

void SimulatedCallChain::deliver_attempt(const std::string& id, int attempt, PendingRequest& request) {
  const auto tier = static_cast<std::size_t>(request.tier);
  SentAttempt& sent = *request.attempts.back();
  ServerSlots& server = servers_[tier][sent.server];
  const int slots = scenario_.slots_by_tier.empty() ? scenario_.slots : scenario_.slots_by_tier[tier];
  const auto serve_attempt = [this, id, attempt, tier = request.tier, &sent] {
    serve(id, attempt, tier, sent);
  };
  if (server.busy < slots) {
    ++server.busy;
    serve_attempt();
  } else if (static_cast<int>(server.waiting.size()) < scenario_.max_queue_length) {
    server.waiting.push_back(serve_attempt);
  } else {
    ++counts_.tiers[tier].rejected_by_full_servers;
    queue_.schedule(queue_.now() + kRejectionDelay,
                    [this, id, attempt] { end_attempt(id, attempt, Outcome::kRejected); });
  }
}

void SimulatedCallChain::serve(const std::string& id, int attempt, int tier, SentAttempt& sent) {
  queue_.schedule(queue_.now() + service_time(),
                  [this, id, attempt, tier, &sent] { forward(id, attempt, tier, sent); });
}

void SimulatedCallChain::forward(const std::string& id, int attempt, int tier, SentAttempt& sent) {
  const auto done = [this, id, attempt, tier, server = sent.server](bool succeeded) {
    end_attempt(id, attempt, succeeded ? Outcome::kSuccess : Outcome::kServerError);
    release_slot(tier, server);
  };
  const Seconds time_left = sent.timeout - (queue_.now() - sent.sent_at);
  const bool still_awaited = time_left > 0 && sent.open;
  if (tier + 1 == scenario_.tiers || !still_awaited) return done(still_awaited);
  sent.cancel_next_tier_request =
      send_request(tier + 1, replica_index(tier + 1, sent.server), time_left,
                   [done](Response response) { done(response == Response::kSucceeded); });
}

void SimulatedCallChain::release_slot(int tier, std::size_t server) {
  ServerSlots& slots = servers_[static_cast<std::size_t>(tier)][server];
  if (slots.waiting.empty()) {
    --slots.busy;
    return;
  }
  const auto next = slots.waiting.front();
  slots.waiting.erase(slots.waiting.begin());
  queue_.schedule(queue_.now(), next);
}

void SimulatedCallChain::end_attempt(const std::string& id, int attempt, Outcome outcome) {
  const std::shared_ptr<PendingRequest> request = requests_.at(id);
  const std::shared_ptr<SentAttempt> sent = request->attempts[static_cast<std::size_t>(attempt)];
  if (!std::exchange(sent->open, false)) return;
  if (outcome == Outcome::kSuccess) {
    ++counts_.tiers[static_cast<std::size_t>(request->tier)].successful_attempts;
    finish(*request, Response::kSucceeded);
  }
  if (outcome == Outcome::kTimedOut || outcome == Outcome::kCancelled) {
    if (Cancel cancel = std::exchange(sent->cancel_next_tier_request, nullptr))
      queue_.schedule(queue_.now(), cancel);
  }
  const Seconds elapsed = queue_.now() - sent->sent_at;
  handle(request->replica, AttemptResult{id, attempt, outcome, elapsed, !request->respond});
}

}  // namespace asterdrift::balancer
