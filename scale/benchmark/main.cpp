// The program scaling_benchmark NAME [--json FILE] [options], which runs one benchmark.
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "scale/benchmark/benchmarks.h"
#include "scale/benchmark/options.h"

namespace asterdrift::scale {
namespace {

constexpr int kFailureExitCode = 1;
constexpr int kUsageErrorExitCode = 2;

struct Benchmark {
  std::string name;
  void (*run)(const Options&);
  std::string description;
  std::vector<OptionDescription> options;
};

const OptionDescription kJsonOption = {"json"};

const std::vector<Benchmark>& benchmarks() {
  static const std::vector<Benchmark> kAll = {
      {"change",
       run_change_benchmark,
       "one change and a snapshot, in the balancer and in the list reader",
       {{"sizes"}, {"replicas"}}},
      {"request",
       run_request_benchmark,
       "one request in the balancer, with the subset healthy, unreachable, in slow start and at capacity",
       {{"sizes"}, {"replicas"}, {"requests"}, {"requests-per-s"}}},
      {"memory",
       run_memory_benchmark,
       "bytes that the balancer and the list reader allocate",
       {{"sizes"}, {"replicas"}}},
      {"traffic",
       run_traffic_benchmark,
       "bytes and messages from discovery for a start, a change, an idle time",
       {{"sizes"}, {"seconds"}, {"subscribe", false}}},
      {"propagation",
       run_propagation_benchmark,
       "time from a change until the last of N simulated nodes has applied it",
       {{"nodes"}, {"servers"}, {"repeats"}, {"subscribe", false}}},
      {"idle",
       run_idle_benchmark,
       "memory and processor time of an idle node, and how soon it is ready",
       {{"sizes"}, {"rates"}, {"seconds"}, {"subscribe", false}, {"node"}}},
      {"unusable-list",
       run_unusable_list_benchmark,
       "polls of a node while it cannot get or use a list",
       {{"servers"}, {"seconds"}, {"node"}}},
      {"latency",
       run_latency_benchmark,
       "latency that a node adds, against a forwarding proxy",
       {{"rates"}, {"rounds"}, {"seconds"}, {"servers"}, {"response-delay-ms"}, {"node"}}},
  };
  return kAll;
}

void print_usage() {
  std::printf(
      "scaling_benchmark NAME [--json FILE] [options]; times are in s, lists of numbers have commas\n");
  for (const Benchmark& benchmark : benchmarks()) {
    std::printf("  %-13s %s\n               ", benchmark.name.c_str(), benchmark.description.c_str());
    for (const OptionDescription& option : benchmark.options) std::printf(" --%s", option.name.c_str());
    std::printf("\n");
  }
}

int run(const Benchmark& benchmark, const std::vector<std::string>& arguments) {
  std::vector<OptionDescription> known = benchmark.options;
  known.push_back(kJsonOption);
  try {
    benchmark.run(Options(arguments, known));
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "scaling_benchmark %s: %s\n", benchmark.name.c_str(), error.what());
    return kFailureExitCode;
  }
}

}  // namespace
}  // namespace asterdrift::scale

int main(int argc, char** argv) {
  using namespace asterdrift::scale;
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto benchmark = std::find_if(
      benchmarks().begin(), benchmarks().end(),
      [&](const Benchmark& candidate) { return !arguments.empty() && candidate.name == arguments.front(); });
  if (benchmark == benchmarks().end()) {
    print_usage();
    return kUsageErrorExitCode;
  }
  return run(*benchmark, {arguments.begin() + 1, arguments.end()});
}
