// Calculates the results on the capacity page, with one function for each subject.
#pragma once

#include "scale/capacity/fleet.h"
#include "scale/capacity/measurements.h"
#include "scale/capacity/results.h"

namespace asterdrift::scale::capacity {

// All results on the page.
Results calculate(const Fleet& fleet, const Measurements& measurements);

// Adds the assumptions and measurements themselves.
void add_inputs(Results& results, const Measurements& measurements);

// Adds sizes of services, list entries and change rates of the whole fleet.
void add_fleet(Results& results, const Fleet& fleet);

// Adds the memory, bandwidth and processor time that a node needs for its endpoint list, for four sizes of
// that list.
void add_endpoint_lists(Results& results, const Fleet& fleet, const Measurements& measurements);

// Adds the costs of requests in a node, in its balancer module and along a chain of nodes.
void add_requests(Results& results, const Fleet& fleet, const Measurements& measurements);

// Adds the load on a control machine from the watches that it serves.
void add_control_plane(Results& results, const Fleet& fleet);

// Adds the effects of a restart of all nodes at once.
void add_fleet_restart(Results& results, const Fleet& fleet);

// Adds the effects of the failure of one control machine.
void add_control_machine_loss(Results& results, const Fleet& fleet);

// Adds the effects of the failure of one zone.
void add_zone_loss(Results& results, const Fleet& fleet);

// Adds the effects of a partition between regions and of its end.
void add_partition(Results& results, const Fleet& fleet);

// Adds measurements of whole nodes: the costs of an endpoint list that the node cannot parse, the costs of
// list changes, and the time that a change takes to propagate.
void add_measured_nodes(Results& results, const Measurements& measurements);

}  // namespace asterdrift::scale::capacity
