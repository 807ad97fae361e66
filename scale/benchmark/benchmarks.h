// Scaling benchmarks: what something costs over a size, measured on this machine. They are not part of CI,
// where only counts are judged. Each prints one report.
#pragma once

#include <cstddef>
#include <vector>

#include "scale/benchmark/options.h"

namespace asterdrift::scale {

// Sizes of the endpoint list by default.
inline const std::vector<std::size_t> kListSizes = {7, 70, 700, 7000, 27000};

// A change and a snapshot, in the balancer and in the list reader.
void run_change_benchmark(const Options& options);
// A request in the balancer, by the state of its subset.
void run_request_benchmark(const Options& options);
// Bytes that the balancer and the list reader allocate.
void run_memory_benchmark(const Options& options);
// Bytes and messages from discovery.
void run_traffic_benchmark(const Options& options);
// Time until a change reaches all nodes.
void run_propagation_benchmark(const Options& options);
// A node without requests.
void run_idle_benchmark(const Options& options);
// Polls of a node that cannot get or use a list.
void run_unusable_list_benchmark(const Options& options);
// Latency that a node adds.
void run_latency_benchmark(const Options& options);

}  // namespace asterdrift::scale
