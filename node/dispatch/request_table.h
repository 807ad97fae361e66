// The requests that the dispatcher has in flight.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "node/dispatch/in_flight_request.h"
#include "node/dispatch/request_id.h"

namespace asterdrift::node::dispatch {

// Finds requests by id, and numbers them.
class RequestTable {
 public:
  RequestId next_id() { return RequestId{++last_id_}; }

  void insert(const std::shared_ptr<InFlightRequest>& request);
  // Null where no such request is in flight. Shared, since a callback may remove the request.
  std::shared_ptr<InFlightRequest> find(RequestId id) const;
  std::shared_ptr<InFlightRequest> find(const std::string& id_text) const;
  // Removes a request that has its final response and no open attempt.
  void remove_if_done(RequestId id);

  // Whether a request with this Request-Id header is in flight, or has open attempts.
  bool contains_client_request_id(const std::string& client_request_id) const {
    return client_request_ids_.contains(client_request_id);
  }
  std::vector<RequestId> ids() const;

 private:
  std::unordered_map<RequestId, std::shared_ptr<InFlightRequest>> requests_;
  std::unordered_set<std::string> client_request_ids_;  // of all requests_
  std::uint64_t last_id_ = 0;
};

}  // namespace asterdrift::node::dispatch
