// A request that still owes a response or has attempts out, and its attempts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "asterdrift/balancer/events.h"
#include "asterdrift/balancer/settings.h"
#include "balancer/traffic_statistics.h"

namespace asterdrift::balancer {

struct Attempt {
  std::size_t slot = 0;    // of the endpoint; another's once the attempt has ended
  std::uint64_t hash = 0;  // identifies the endpoint for good
  int zone = 0, cell = 0;  // of the endpoint, when it was sent to
  double sent_at = 0;
  bool open = true, may_have_run = true;
  bool in_flight = false;  // the endpoint has it and has not begun to respond
  bool recorded = false;   // what it tells of its endpoint has been recorded
  bool connect_failed = false;

  // Only these outcomes prove that it never ran: an unknown end taken for harmless would repeat effects.
  void end(Outcome outcome) {
    open = false;
    connect_failed = outcome == Outcome::kConnectFailed;
    may_have_run = !connect_failed && outcome != Outcome::kRejected && outcome != Outcome::kNotSent;
  }
};

struct PendingRequest {
  const RequestClass* rules = nullptr;  // of its class, in the settings
  std::size_t tenant = 0, request_class = 0;
  double deadline = 0;  // when the response becomes worthless
  std::vector<Attempt> attempts;
  bool finished = false, streaming = false;
  bool body_arriving = false;  // its body is incomplete
  bool body_consumed = false;  // no further attempt is possible

  bool any_open() const { return std::ranges::any_of(attempts, &Attempt::open); }
  bool may_have_run() const { return std::ranges::any_of(attempts, &Attempt::may_have_run); }
  bool was_sent_to(std::uint64_t hash) const {
    return std::ranges::count(attempts, hash, &Attempt::hash) > 0;
  }
  // What a retry takes out of the retry budget, which keeps failures from multiplying the servers' work: a
  // connection that failed has brought them none.
  double retry_cost() const { return !attempts.empty() && attempts.back().connect_failed ? 0 : 1; }
  // s; how long the last attempt may still reach a server that drops duplicates of those before it.
  double dedup_time_left(double now) const {
    double left = kForever;
    const bool has_key = rules->idempotency == Idempotency::kIdempotencyKey;
    for (std::size_t i = 0; has_key && i + 1 < attempts.size(); ++i) {
      if (attempts[i].may_have_run) left = std::min(left, attempts[i].sent_at + rules->dedup_window - now);
    }
    return left;
  }
};

}  // namespace asterdrift::balancer
