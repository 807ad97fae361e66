// The states of an attempt, and what the outcome of an attempt proves.
#include "balancer/attempt.h"

namespace asterdrift::balancer {

Attempt::Attempt(std::size_t slot, const EndpointRecord& record, Seconds now)
    : slot_(slot),
      endpoint_hash_(record.hash),
      zone_(record.advertised.zone),
      cell_(record.advertised.cell),
      sent_at_(now) {}

void Attempt::request_sent(Seconds now) {
  state_ = State::kInFlight;
  sent_at_ = now;
}

void Attempt::response_started() { state_ = State::kResponding; }

void Attempt::end(Outcome outcome) {
  state_ = State::kEnded;
  outcome_ = outcome;
}

bool Attempt::may_have_run() const {
  if (is_open()) return true;
  return outcome_ != Outcome::kConnectFailed && outcome_ != Outcome::kRejected &&
         outcome_ != Outcome::kNotSent;
}

bool Attempt::connect_failed() const { return !is_open() && outcome_ == Outcome::kConnectFailed; }

}  // namespace asterdrift::balancer
