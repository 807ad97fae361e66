// The requests that a replica is handling, and their attempts.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "balancer/pending_request.h"
#include "balancer/replica_state.h"

namespace asterdrift::balancer {

// Owns the pending requests, and keeps the counts of requests in flight, of the endpoints and of the tier,
// consistent with the attempts.
class RequestLedger {
 public:
  // An open attempt and the request that it belongs to.
  struct OpenAttempt {
    PendingRequest& request;
    Attempt& attempt;
  };

  // `state` has to outlive this object.
  explicit RequestLedger(ReplicaState& state) : state_(state) {}

  bool contains(const std::string& id) const { return requests_.contains(id); }

  // Adds a request. The reference is valid until the request is removed.
  PendingRequest& add(const std::string& id) { return requests_[id]; }

  // The request; null if it does not exist or has been removed.
  PendingRequest* find(const std::string& id);

  // The attempt of the request with this number, if the attempt exists and has not ended.
  std::optional<OpenAttempt> find_open_attempt(const std::string& id, int number);

  // Removes the request if it is finished and has no open attempts.
  void remove_if_complete(const std::string& id, const PendingRequest& request);

  // Starts an attempt at the endpoint in `slot`. The attempt is in flight unless the request's body is still
  // arriving.
  void begin_attempt(PendingRequest& request, std::size_t slot);

  // Records that the endpoint has the complete request.
  void request_sent(Attempt& attempt);

  // Records that the endpoint has begun to respond.
  void response_started(Attempt& attempt);

  // Records that the attempt has ended.
  void end_attempt(Attempt& attempt, Outcome outcome);

 private:
  void add_in_flight(EndpointRecord& record, Attempt& attempt);
  void remove_in_flight(const Attempt& attempt);

  ReplicaState& state_;
  // Must not be iterated: the order of its elements is not deterministic.
  std::unordered_map<std::string, PendingRequest> requests_;
};

}  // namespace asterdrift::balancer
