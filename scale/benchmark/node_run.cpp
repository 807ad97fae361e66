// What a node uses, and what it polls from discovery, over a time.
#include "scale/benchmark/node_run.h"

#include <chrono>
#include <thread>

#include "support/wait_until.h"

namespace asterdrift::scale {

NodeRun measure_node(const MeasuredNode& node, DiscoveryProcess& discovery, double duration_s) {
  const ProcessUsage usage_before = usage_of(node.pid());
  const DiscoveryCounts counts_before = discovery.counts();
  const test_support::Stopwatch stopwatch;
  sleep_for(duration_s);
  const double elapsed = stopwatch.seconds();
  NodeRun run;
  run.usage = usage_of(node.pid());
  const DiscoveryCounts counts = discovery.counts();
  const double processor_time = run.usage.processor_time_s - usage_before.processor_time_s;
  run.processor_percent = processor_time / elapsed * 100;
  const auto bytes = static_cast<double>(counts.bytes - counts_before.bytes);
  run.kilobytes_per_second = bytes / elapsed / kBytesPerKilobyte;
  run.polls_per_second = static_cast<double>(counts.requests - counts_before.requests) / elapsed;
  return run;
}

void sleep_for(double duration_s) { std::this_thread::sleep_for(std::chrono::duration<double>(duration_s)); }

}  // namespace asterdrift::scale
