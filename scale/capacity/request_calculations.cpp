// Requests through a node, its module and a chain of nodes; and what was measured of nodes as a whole.
#include <cmath>
#include <string>

#include "scale/capacity/assumptions.h"
#include "scale/capacity/calculations.h"
#include "scale/capacity/value_format.h"

namespace asterdrift::scale::capacity {
namespace {

constexpr double kPercentPerMicrosecondRate = 1e4;  // a rate times us, over this, is percent of a core
constexpr double kFastFraction = 0.99;              // of the requests add at most kAddedLatency

}  // namespace

void add_requests(Results& results, const Fleet& fleet, const Measurements& measurements) {
  const auto add_processor = [&](const std::string& key, const std::string& cost_us) {
    const double percent = fleet.node_request_rate * measurements.value(cost_us) / kPercentPerMicrosecondRate;
    results.add(key, format_with_unit(percent, "% of a core"));
  };
  const double node_us = measurements.value("node_call_us");
  const double worst_us = measurements.value("call_worst_us_27000");
  const double worst_unhealthy_us = measurements.value("call_ill_worst_us_27000");
  const double added_ms = measurements.value("added_99_ms");
  const double added_limit_ms = assumption::kAddedLatency.value;

  results.add("node.calls", format_number(fleet.node_request_rate) + "/s");
  results.add("front.calls", format_number(fleet.front_request_rate) + "/s");
  results.add("front.nodes", format_number(fleet.front_nodes));
  add_processor("module.cpu", "call_us_27000");
  add_processor("module.cpu_ill", "call_ill_us_27000");
  results.add("module.worst", format_seconds(worst_us / 1e6));
  results.add("module.worst_left", format_headroom(worst_us / 1e3, added_limit_ms));
  results.add("module.worst_ill_left", format_headroom(worst_unhealthy_us / 1e3, added_limit_ms));
  add_processor("node.cpu", "node_call_us");
  results.add("node.calls_most", format_number(1e6 / node_us) + (std::isnan(node_us) ? "" : "/s"));
  results.add("node.added", format_with_unit(added_ms, "ms"));
  results.add("node.added_left", format_headroom(added_ms, added_limit_ms));
  results.add("chain.added", format_with_unit(assumption::kChainDepth.value * added_limit_ms, "ms"));
  results.add("chain.within",
              format_with_unit(100 * std::pow(kFastFraction, assumption::kChainDepth.value), "%"));
}

void add_measured_nodes(Results& results, const Measurements& measurements) {
  const double useless_bytes = measurements.value("useless_kb") * 1024;
  const double useless_processor = measurements.value("useless_cpu");
  const double spread_s = measurements.value("spread_ms") / 1e3;
  const double bandwidth_limit = assumption::kBandwidthLimit.value * kBytesPerKilobyte;
  const double processor_limit = assumption::kProcessorLimit.value;
  results.add("wrong.bytes", format_bytes(useless_bytes, "/s"));
  results.add("wrong.bytes_left", format_headroom(useless_bytes, bandwidth_limit));
  results.add("wrong.cpu", format_with_unit(useless_processor, "% of a core"));
  results.add("wrong.cpu_left", format_headroom(useless_processor, processor_limit));
  results.add("five.memory_left",
              format_headroom(measurements.value("five_peak_mb"), assumption::kMemoryLimit.value));
  results.add("five.cpu_left", format_headroom(measurements.value("five_cpu"), processor_limit));
  results.add("spread.last", format_seconds(spread_s));
  results.add("spread.left", format_headroom(spread_s, assumption::kPropagationLimit.value));
}

}  // namespace asterdrift::scale::capacity
