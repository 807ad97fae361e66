// What a node uses, and what it polls from discovery, over a time.
#pragma once

#include "scale/measurement/process_usage.h"
#include "scale/stand_ins/discovery_process.h"
#include "scale/stand_ins/measured_node.h"

namespace asterdrift::scale {

constexpr double kBytesPerKilobyte = 1024;

// What measure_node() returns.
struct NodeRun {
  ProcessUsage usage;               // at the end
  double processor_percent = 0;     // of a core
  double kilobytes_per_second = 0;  // sent by discovery
  double polls_per_second = 0;
};

// Watches the node for so long.
NodeRun measure_node(const MeasuredNode& node, DiscoveryProcess& discovery, double duration_s);

void sleep_for(double duration_s);

}  // namespace asterdrift::scale
