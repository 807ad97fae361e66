// Conversion of endpoint lists to events of the balancer.
#pragma once

#include <cstddef>

#include "asterdrift/balancer/balancer.h"
#include "node/config/endpoint_list.h"

namespace asterdrift::scale {

balancer::EndpointUpdate to_endpoint_update(const node::config::EndpointList& list);

// A snapshot of `endpoints` ready endpoints with the port kUnusedEndpointPort.
balancer::EndpointUpdate snapshot_update(std::size_t endpoints);

}  // namespace asterdrift::scale
