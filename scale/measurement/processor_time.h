// Measures the cost of work in processor time of the calling thread, which does not include the time that
// other processes take.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "asterdrift/seconds.h"

namespace asterdrift::scale {

// The processor time that the calling thread has used so far.
Seconds thread_processor_time();

// The processor time between two reads of the thread's clock with nothing in between: the median of many
// samples.
Seconds measure_clock_cost();

// The processor time of one run of `work`, less the cost of reading the clock.
template <class Work>
Seconds measure_cost(const Work& work) {
  static const Seconds kClockCost = measure_clock_cost();
  const Seconds started_at = thread_processor_time();
  work();
  return std::max(0.0, thread_processor_time() - started_at - kClockCost);
}

// The processor times of `runs` runs in ascending order. `work` gets the index of the run, from 0.
template <class Work>
std::vector<Seconds> measure_costs(int runs, const Work& work) {
  std::vector<Seconds> costs;
  costs.reserve(static_cast<std::size_t>(runs));
  for (int run = 0; run < runs; ++run) costs.push_back(measure_cost([&] { work(run); }));
  std::sort(costs.begin(), costs.end());
  return costs;
}

}  // namespace asterdrift::scale
