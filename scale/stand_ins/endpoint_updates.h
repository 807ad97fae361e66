// Endpoint lists as events of the balancer.
#pragma once

#include <cstddef>

#include "asterdrift/balancer/balancer.h"
#include "node/config/endpoint_list.h"

namespace asterdrift::scale {

balancer::EndpointUpdate to_endpoint_update(const node::config::EndpointList& list);

// A snapshot of so many ready endpoints to which nothing connects.
balancer::EndpointUpdate snapshot_update(std::size_t endpoints);

}  // namespace asterdrift::scale
