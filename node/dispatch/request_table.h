// The table of the requests that the dispatcher has in flight.
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

// Assigns request ids, and finds requests by their id.
class RequestTable {
 public:
  RequestId next_id() { return RequestId{++last_id_}; }

  void insert(const std::shared_ptr<InFlightRequest>& request);
  // Null if no such request is in flight. Shared, since a callback may remove the request from the table.
  std::shared_ptr<InFlightRequest> find(RequestId id) const;
  std::shared_ptr<InFlightRequest> find(const std::string& id_text) const;
  // Removes a request unless it awaits its final response or has an open attempt. Returns the request; null
  // if nothing has been removed.
  std::shared_ptr<InFlightRequest> remove_if_done(RequestId id);

  // Whether a request with this value of the Request-Id header is in the table. A request stays in the table
  // after its final response while it has open attempts.
  bool contains_client_request_id(const std::string& client_request_id) const {
    return client_request_ids_.contains(client_request_id);
  }
  std::vector<RequestId> ids() const;

 private:
  std::unordered_map<RequestId, std::shared_ptr<InFlightRequest>> requests_;
  std::unordered_set<std::string> client_request_ids_;  // the Request-Id headers of all requests_
  std::uint64_t last_id_ = 0;
};

}  // namespace asterdrift::node::dispatch
