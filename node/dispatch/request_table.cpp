// Adds, finds and removes requests in flight.
#include "node/dispatch/request_table.h"

#include <optional>

namespace asterdrift::node::dispatch {

void RequestTable::insert(const std::shared_ptr<InFlightRequest>& request) {
  client_request_ids_.insert(request->downstream_request.client_request_id);
  requests_[request->id] = request;
}

std::shared_ptr<InFlightRequest> RequestTable::find(RequestId id) const {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : it->second;
}

std::shared_ptr<InFlightRequest> RequestTable::find(const std::string& id_text) const {
  const std::optional<RequestId> id = parse_request_id(id_text);
  return id ? find(*id) : nullptr;
}

std::shared_ptr<InFlightRequest> RequestTable::remove_if_done(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return nullptr;
  std::shared_ptr<InFlightRequest> request = it->second;
  if (request->awaits_response() || request->has_open_attempts()) return nullptr;
  client_request_ids_.erase(request->downstream_request.client_request_id);
  requests_.erase(it);
  return request;
}

std::vector<RequestId> RequestTable::ids() const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) ids.push_back(id);
  return ids;
}

}  // namespace asterdrift::node::dispatch
