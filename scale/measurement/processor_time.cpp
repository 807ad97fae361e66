// Measures the cost of work in processor time of the calling thread, which does not include the time that
// other processes take.
#include "scale/measurement/processor_time.h"

#include <time.h>

#include "scale/measurement/quantiles.h"

namespace asterdrift::scale {
namespace {

constexpr int kClockSamples = 1001;

}  // namespace

Seconds thread_processor_time() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

Seconds measure_clock_cost() {
  std::vector<Seconds> costs;
  for (int sample = 0; sample < kClockSamples; ++sample) {
    const Seconds started_at = thread_processor_time();
    costs.push_back(thread_processor_time() - started_at);
  }
  return median(costs);
}

}  // namespace asterdrift::scale
