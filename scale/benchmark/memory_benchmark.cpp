// The bytes that the balancer and the endpoint list reader allocate.
#include <string>
#include <vector>

#include "node/config/endpoint_list_reader.h"
#include "scale/benchmark/benchmarks.h"
#include "scale/measurement/allocations.h"
#include "scale/measurement/report.h"
#include "scale/stand_ins/endpoint_lists.h"
#include "scale/stand_ins/endpoint_updates.h"
#include "scale/stand_ins/node_setup.h"

namespace asterdrift::scale {
namespace {

// The memory of a parsed endpoint list, and the list as an event of the balancer.
struct ListMemory {
  std::size_t live_bytes = 0;  // bytes allocated for the parsed list
  std::size_t peak_bytes = 0;  // maximum of the allocated bytes while the list was parsed
  balancer::EndpointUpdate update;
};

ListMemory measure_list(const std::string& text) {
  ListMemory memory;
  const std::size_t before = allocations().live_bytes;
  reset_peak();
  const node::config::EndpointList list = node::config::parse_endpoint_list(text, endpoint_zones());
  memory.live_bytes = allocations().live_bytes - before;
  memory.peak_bytes = allocations().peak_bytes - before;
  memory.update = to_endpoint_update(list);
  return memory;
}

// The memory of a balancer in the course of its endpoint list and two changes.
struct BalancerMemory {
  std::size_t empty_bytes = 0;  // allocated bytes before the balancer has endpoints
  std::size_t live_bytes = 0;   // allocated bytes when the balancer has all endpoints
  // Maximum of the allocated bytes while the balancer applied the list.
  std::size_t peak_bytes = 0;
  // Allocated bytes after both changes, including the event of the second change.
  std::size_t live_bytes_after_changes = 0;
  Allocations second_change;  // only `count` and `bytes` are set
};

BalancerMemory measure_balancer(const balancer::EndpointUpdate& list, const balancer::Settings& settings) {
  BalancerMemory memory;
  std::vector<balancer::Action> actions;
  const std::size_t before = allocations().live_bytes;
  balancer::Balancer balancer(settings, 1);
  memory.empty_bytes = allocations().live_bytes - before;
  reset_peak();
  balancer.handle(100, list, actions);
  memory.live_bytes = allocations().live_bytes - before;
  memory.peak_bytes = allocations().peak_bytes - before;

  balancer::EndpointUpdate change;
  change.form = balancer::EndpointUpdate::Form::kIncremental;
  change.endpoints = {list.endpoints[list.endpoints.size() / 2]};
  change.endpoints[0].state = balancer::EndpointState::kDraining;
  balancer.handle(101, change, actions);
  change.endpoints[0].state = balancer::EndpointState::kReady;
  const Allocations before_change = allocations();
  balancer.handle(102, change, actions);
  const Allocations after_change = allocations();
  memory.live_bytes_after_changes = after_change.live_bytes - before;
  memory.second_change.count = after_change.count - before_change.count;
  memory.second_change.bytes = after_change.bytes - before_change.bytes;
  return memory;
}

}  // namespace

void run_memory_benchmark(const Options& options) {
  Report report(
      "allocated bytes, without the process itself",
      {"servers", "balancer", "balancer per server", "max while applying a list", "list",
       "max while reading it", "balancer after changes", "bytes of a change", "allocations of a change"});
  for (const std::size_t servers : options.sizes("sizes", kListSizes)) {
    NodeSetup setup;
    setup.replicas = static_cast<std::size_t>(options.number("replicas", static_cast<double>(servers)));
    const balancer::Settings settings = balancer_settings(setup);
    const ListMemory list = measure_list(snapshot_text(1, servers, kUnusedEndpointPort));
    const BalancerMemory balancer = measure_balancer(list.update, settings);
    const auto endpoint_bytes = static_cast<double>(balancer.live_bytes - balancer.empty_bytes);
    report.add_row({std::to_string(servers), std::to_string(balancer.live_bytes),
                    format_fixed(endpoint_bytes / static_cast<double>(servers)),
                    std::to_string(balancer.peak_bytes), std::to_string(list.live_bytes),
                    std::to_string(list.peak_bytes), std::to_string(balancer.live_bytes_after_changes),
                    std::to_string(balancer.second_change.bytes),
                    std::to_string(balancer.second_change.count)});
  }
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
