// The processor time of a request in the balancer, by the state of the balancer's subset.
#include <numeric>
#include <string>

#include "scale/benchmark/balancer_trial.h"
#include "scale/benchmark/benchmarks.h"
#include "scale/measurement/quantiles.h"
#include "scale/measurement/report.h"

namespace asterdrift::scale {
namespace {

struct NamedSubsetState {
  SubsetState state;
  std::string name;
};

std::string format_microseconds(Seconds duration) { return format_fixed(duration * 1e6, 2); }

}  // namespace

void run_request_benchmark(const Options& options) {
  const auto requests = static_cast<std::size_t>(options.number("requests", 20000));
  const NamedSubsetState states[] = {{SubsetState::kHealthy, "healthy"},
                                     {SubsetState::kUnreachable, "unreachable"},
                                     {SubsetState::kSlowStart, "slow start"},
                                     {SubsetState::kAtCapacity, "at capacity"}};
  Report report("cost of a request in the balancer, microseconds of processor time",
                {"servers", "subset", "subset size", "mean", "p99", "p99.9", "max", "rejected"});
  for (const std::size_t servers : options.sizes("sizes", kListSizes)) {
    for (const auto& [state, name] : states) {
      BalancerTrial::Setup setup;
      setup.servers = servers;
      setup.replicas = static_cast<std::size_t>(options.number("replicas", static_cast<double>(servers)));
      setup.requests_per_second = options.number("requests-per-s", 330);
      setup.subset_state = state;
      const BalancerTrial::Result result = BalancerTrial(setup).run(requests);
      const Seconds total_cost = std::accumulate(result.costs.begin(), result.costs.end(), 0.0);
      report.add_row({std::to_string(servers), name, std::to_string(result.subset_size),
                      format_microseconds(total_cost / static_cast<double>(result.costs.size())),
                      format_microseconds(quantile(result.costs, 0.99)),
                      format_microseconds(quantile(result.costs, 0.999)),
                      format_microseconds(result.costs.back()),
                      std::to_string(result.rejected) + " of " + std::to_string(result.requests)});
    }
  }
  report.add_note(
      "a request: its admission and the ends of its attempts. unreachable: the subset's servers refuse");
  report.add_note(
      "connections; slow start: they have just started; at capacity: tier 0, their latency is 1.7 times the "
      "usual one.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
