// Keeps the counts of requests in flight consistent with the attempts.
#include "balancer/request_ledger.h"

namespace asterdrift::balancer {

PendingRequest* RequestLedger::find(const std::string& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

std::optional<RequestLedger::OpenAttempt> RequestLedger::find_open_attempt(const std::string& id,
                                                                           int number) {
  PendingRequest* request = find(id);
  const auto index = static_cast<std::size_t>(number);  // a negative number becomes an index past the end
  if (request == nullptr || index >= request->attempts.size()) return std::nullopt;
  Attempt& attempt = request->attempts[index];
  if (!attempt.is_open()) return std::nullopt;
  return OpenAttempt{*request, attempt};
}

void RequestLedger::remove_if_complete(const std::string& id, const PendingRequest& request) {
  if (request.finished && !request.has_open_attempt()) requests_.erase(id);
}

// Requests whose bodies are still arriving do not count as in flight: otherwise a few slow clients would use
// up the capacity.
void RequestLedger::begin_attempt(PendingRequest& request, std::size_t slot) {
  EndpointRecord& record = state_.endpoints[slot];
  Attempt& attempt = request.attempts.emplace_back(slot, record, state_.now);
  if (!request.body_arriving) add_in_flight(record, attempt);
}

void RequestLedger::request_sent(Attempt& attempt) {
  EndpointRecord& record = state_.endpoints[attempt.slot()];
  if (record.hash != attempt.endpoint_hash()) return;  // the endpoint was removed, and its slot was reused
  add_in_flight(record, attempt);
}

void RequestLedger::response_started(Attempt& attempt) {
  remove_in_flight(attempt);
  attempt.response_started();
}

void RequestLedger::end_attempt(Attempt& attempt, Outcome outcome) {
  remove_in_flight(attempt);
  attempt.end(outcome);
}

void RequestLedger::add_in_flight(EndpointRecord& record, Attempt& attempt) {
  attempt.request_sent(state_.now);
  record.in_flight += 1;
  record.sent_at_sum += state_.now;
  state_.endpoints.track(attempt.slot(), state_.now);
  state_.traffic.in_flight.change(state_.now, 1);
}

void RequestLedger::remove_in_flight(const Attempt& attempt) {
  state_.endpoints.track(attempt.slot(), state_.now);
  if (attempt.state() != Attempt::State::kInFlight) return;
  EndpointRecord& record = state_.endpoints[attempt.slot()];
  record.in_flight -= 1;
  record.sent_at_sum -= attempt.sent_at();
  state_.traffic.in_flight.change(state_.now, -1);
}

}  // namespace asterdrift::balancer
