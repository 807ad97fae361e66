// The cost of work as this thread's processor time, which leaves out what other processes take.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace asterdrift::scale {

// Processor time of this thread so far, in s.
double thread_processor_time();

// What reading that clock twice costs, in s.
double processor_clock_cost();

// Processor time of one run of `work`, in s.
template <class Work>
double cost_of(const Work& work) {
  static const double kClockCost = processor_clock_cost();
  const double started_at = thread_processor_time();
  work();
  return std::max(0.0, thread_processor_time() - started_at - kClockCost);
}

// Costs of so many runs in ascending order; `work` gets the number of the run, from 0.
template <class Work>
std::vector<double> costs_of(int runs, const Work& work) {
  std::vector<double> costs;
  costs.reserve(static_cast<std::size_t>(runs));
  for (int run = 0; run < runs; ++run) costs.push_back(cost_of([&] { work(run); }));
  std::sort(costs.begin(), costs.end());
  return costs;
}

}  // namespace asterdrift::scale
