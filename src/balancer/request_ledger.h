// The requests that a replica is handling, and their attempts.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "balancer/pending_request.h"
#include "balancer/replica_state.h"

namespace asterdrift::balancer {

// Owns the pending requests, and keeps the requests in flight of endpoints and of the tier consistent with
// their attempts.
class RequestLedger {
 public:
  // An open attempt and its request.
  struct OpenAttempt {
    PendingRequest& request;
    Attempt& attempt;
  };

  // The state has to outlive the ledger.
  explicit RequestLedger(ReplicaState& state) : state_(state) {}

  bool contains(const std::string& id) const { return requests_.contains(id); }

  // Adds a request. The reference is valid until forget().
  PendingRequest& begin(const std::string& id) { return requests_[id]; }

  // Null where the request has been forgotten.
  PendingRequest* find(const std::string& id);

  // The attempt with this number, if it has not ended.
  std::optional<OpenAttempt> find_open(const std::string& id, int number);

  // Removes a request that is finished and has no open attempts; leaves others.
  void forget_if_complete(const std::string& id, const PendingRequest& request);

  // Starts an attempt at the endpoint of a slot. It is in flight unless the request's body is still arriving.
  void begin_attempt(PendingRequest& request, std::size_t slot);

  // The endpoint has the complete request.
  void request_sent(Attempt& attempt);

  // The endpoint has begun to respond.
  void response_started(Attempt& attempt);

  // The attempt is over.
  void end(Attempt& attempt, Outcome outcome);

 private:
  void add_in_flight(EndpointRecord& record, Attempt& attempt);
  void remove_in_flight(const Attempt& attempt);

  ReplicaState& state_;
  std::unordered_map<std::string, PendingRequest>
      requests_;  // never iterated: its order is not deterministic
};

}  // namespace asterdrift::balancer
