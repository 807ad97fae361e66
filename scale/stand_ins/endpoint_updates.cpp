// Conversion of endpoint lists to events of the balancer.
#include "scale/stand_ins/endpoint_updates.h"

#include "node/config/endpoint_list_reader.h"
#include "scale/stand_ins/endpoint_lists.h"

namespace asterdrift::scale {

balancer::EndpointUpdate to_endpoint_update(const node::config::EndpointList& list) {
  balancer::EndpointUpdate update;
  update.form = list.is_snapshot ? balancer::EndpointUpdate::Form::kSnapshot
                                 : balancer::EndpointUpdate::Form::kIncremental;
  for (const node::config::ListedEndpoint& listed : list.endpoints) {
    update.endpoints.push_back(listed.endpoint);
  }
  return update;
}

balancer::EndpointUpdate snapshot_update(std::size_t endpoints) {
  const std::string text = snapshot_text(1, endpoints, kUnusedEndpointPort);
  return to_endpoint_update(node::config::parse_endpoint_list(text, endpoint_zones()));
}

}  // namespace asterdrift::scale
