// The costs of requests in a node, in its balancer module and along a chain of nodes, and measurements of
// whole nodes.
#include <cmath>
#include <string>

#include "scale/capacity/assumptions.h"
#include "scale/capacity/calculations.h"
#include "scale/capacity/units.h"
#include "scale/capacity/value_format.h"

namespace asterdrift::scale::capacity {
namespace {

// Fraction of the requests to which a node adds at most kAddedLatency, which is a limit for the p99.
constexpr double kFastRequestFraction = 0.99;

}  // namespace

void add_requests(Results& results, const Fleet& fleet, const Measurements& measurements) {
  const auto add_processor_usage = [&](const std::string& key, const std::string& cost_key) {
    const double percent =
        fleet.node_request_rate * measurements.value(cost_key) / kMicrosecondsPerSecondPerCorePercent;
    results.add(key, format_with_unit(percent, "% of a core"));
  };
  const double node_us = measurements.value("node_request_us");
  const double max_us = measurements.value("request_max_us_27000");
  const double max_unreachable_us = measurements.value("request_unreachable_max_us_27000");
  const double added_ms = measurements.value("added_p99_ms");
  const double added_limit_ms = assumption::kAddedLatency.value;

  results.add("node.requests", format_number(fleet.node_request_rate) + "/s");
  results.add("front.requests", format_number(fleet.front_request_rate) + "/s");
  results.add("front.nodes", format_number(fleet.front_nodes));
  add_processor_usage("module.cpu", "request_us_27000");
  add_processor_usage("module.cpu_unreachable", "request_unreachable_us_27000");
  results.add("module.max", format_seconds(max_us / kMicrosecondsPerSecond));
  results.add("module.max_left", format_headroom(max_us / kMicrosecondsPerMillisecond, added_limit_ms));
  results.add("module.max_unreachable_left",
              format_headroom(max_unreachable_us / kMicrosecondsPerMillisecond, added_limit_ms));
  add_processor_usage("node.cpu", "node_request_us");
  results.add("node.max_requests",
              format_number(kMicrosecondsPerSecond / node_us) + (std::isnan(node_us) ? "" : "/s"));
  results.add("node.added", format_with_unit(added_ms, "ms"));
  results.add("node.added_left", format_headroom(added_ms, added_limit_ms));
  results.add("chain.added", format_with_unit(assumption::kChainDepth.value * added_limit_ms, "ms"));
  results.add("chain.within",
              format_with_unit(100 * std::pow(kFastRequestFraction, assumption::kChainDepth.value), "%"));
}

void add_measured_nodes(Results& results, const Measurements& measurements) {
  const double list_bytes_per_second = measurements.value("unusable_list_kb") * kBytesPerReportedKilobyte;
  const double list_processor_percent = measurements.value("unusable_list_cpu");
  const double propagation_s = measurements.value("propagation_ms") / kMillisecondsPerSecond;
  const double bandwidth_limit_bytes_per_second = assumption::kBandwidthLimit.value * kBytesPerKilobyte;
  const double processor_limit_percent = assumption::kProcessorLimit.value;
  results.add("unusable_list.bytes", format_bytes(list_bytes_per_second, "/s"));
  results.add("unusable_list.bytes_left",
              format_headroom(list_bytes_per_second, bandwidth_limit_bytes_per_second));
  results.add("unusable_list.cpu", format_with_unit(list_processor_percent, "% of a core"));
  results.add("unusable_list.cpu_left", format_headroom(list_processor_percent, processor_limit_percent));
  results.add("five_changes.memory_left",
              format_headroom(measurements.value("five_changes_peak_mb"), assumption::kMemoryLimit.value));
  results.add("five_changes.cpu_left",
              format_headroom(measurements.value("five_changes_cpu"), processor_limit_percent));
  results.add("propagation.last", format_seconds(propagation_s));
  results.add("propagation.left", format_headroom(propagation_s, assumption::kPropagationLimit.value));
}

}  // namespace asterdrift::scale::capacity
