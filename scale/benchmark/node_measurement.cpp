// Measures the processor time and memory of a node, and its traffic from discovery, over some time.
#include "scale/benchmark/node_measurement.h"

#include <chrono>
#include <thread>

#include "support/wait_until.h"

namespace asterdrift::scale {

NodeMeasurement measure_node(const MeasuredNode& node, DiscoveryProcess& discovery, Seconds duration) {
  const ProcessUsage usage_before = read_process_usage(node.pid());
  const DiscoveryCounts counts_before = discovery.counts();
  const test_support::Stopwatch stopwatch;
  sleep_for(duration);
  const Seconds elapsed = stopwatch.seconds();
  NodeMeasurement measurement;
  measurement.usage = read_process_usage(node.pid());
  const DiscoveryCounts counts = discovery.counts();
  const Seconds processor_time = measurement.usage.processor_time - usage_before.processor_time;
  measurement.processor_percent = processor_time / elapsed * 100;
  const auto bytes = static_cast<double>(counts.bytes - counts_before.bytes);
  measurement.kilobytes_per_second = bytes / elapsed / kBytesPerKilobyte;
  measurement.polls_per_second = static_cast<double>(counts.requests - counts_before.requests) / elapsed;
  return measurement;
}

void sleep_for(Seconds duration) { std::this_thread::sleep_for(std::chrono::duration<double>(duration)); }

}  // namespace asterdrift::scale
