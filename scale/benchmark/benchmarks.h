// The scaling benchmarks. Each measures on this machine how a cost grows with a size, and prints one report.
// The benchmarks are not part of CI, which checks only counts (scale/guards).
#pragma once

#include <cstddef>
#include <vector>

#include "scale/benchmark/options.h"

namespace asterdrift::scale {

// The default sizes of the endpoint list, in servers.
inline const std::vector<std::size_t> kListSizes = {7, 70, 700, 7000, 27000};

// Processor time of a change and of a snapshot, in the balancer and in the endpoint list reader.
void run_change_benchmark(const Options& options);
// Processor time of a request in the balancer, by the state of the balancer's subset.
void run_request_benchmark(const Options& options);
// Bytes that the balancer and the endpoint list reader allocate.
void run_memory_benchmark(const Options& options);
// Bytes and messages that a node receives from discovery.
void run_traffic_benchmark(const Options& options);
// Time until all nodes have applied a change.
void run_propagation_benchmark(const Options& options);
// Memory, processor time and polls of a node that gets no requests.
void run_idle_benchmark(const Options& options);
// Polls of a node that cannot get an endpoint list or cannot use it.
void run_unusable_list_benchmark(const Options& options);
// The latency that a node adds to requests.
void run_latency_benchmark(const Options& options);

}  // namespace asterdrift::scale
