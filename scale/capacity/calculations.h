// The results of the capacity page, one function a subject.
#pragma once

#include "scale/capacity/fleet.h"
#include "scale/capacity/measurements.h"
#include "scale/capacity/results.h"

namespace asterdrift::scale::capacity {

// All of them.
Results calculate(const Fleet& fleet, const Measurements& measurements);

// The assumptions and measurements themselves.
void add_inputs(Results& results, const Measurements& measurements);

// Services, entries and changes of the whole fleet.
void add_fleet(Results& results, const Fleet& fleet);

// What a node stores and receives, for four scopes of its endpoint list.
void add_endpoint_lists(Results& results, const Fleet& fleet, const Measurements& measurements);

// Requests through a node, its module and a chain of nodes.
void add_requests(Results& results, const Fleet& fleet, const Measurements& measurements);

// A control machine and the watches that it serves.
void add_control_plane(Results& results, const Fleet& fleet);

// All nodes restart at once.
void add_fleet_restart(Results& results, const Fleet& fleet);

// A control machine fails.
void add_control_machine_loss(Results& results, const Fleet& fleet);

// A zone is lost.
void add_zone_loss(Results& results, const Fleet& fleet);

// Regions are partitioned, and meet again.
void add_partition(Results& results, const Fleet& fleet);

// A node is sent a list that it cannot read, a node under changes, and how fast a change propagates.
void add_measured_nodes(Results& results, const Measurements& measurements);

}  // namespace asterdrift::scale::capacity
