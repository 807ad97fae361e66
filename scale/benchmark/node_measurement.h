// Measures the processor time and memory of a node, and its traffic from discovery, over some time.
#pragma once

#include "asterdrift/seconds.h"
#include "scale/measurement/process_usage.h"
#include "scale/stand_ins/discovery_process.h"
#include "scale/stand_ins/measured_node.h"

namespace asterdrift::scale {

constexpr double kBytesPerKilobyte = 1024;

// The result of measure_node().
struct NodeMeasurement {
  ProcessUsage usage;               // the node's usage at the end of the measurement
  double processor_percent = 0;     // the node's processor time as a percentage of one core
  double kilobytes_per_second = 0;  // sent by discovery, of 1024 bytes
  double polls_per_second = 0;
};

// Measures the node for `duration`.
NodeMeasurement measure_node(const MeasuredNode& node, DiscoveryProcess& discovery, Seconds duration);

void sleep_for(Seconds duration);

}  // namespace asterdrift::scale
