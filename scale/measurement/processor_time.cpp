// The cost of work as this thread's processor time, which leaves out what other processes take.
#include "scale/measurement/processor_time.h"

#include <time.h>

#include "scale/measurement/quantiles.h"

namespace asterdrift::scale {
namespace {

constexpr int kClockSamples = 1001;

}  // namespace

double thread_processor_time() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double processor_clock_cost() {
  std::vector<double> costs;
  for (int sample = 0; sample < kClockSamples; ++sample) {
    const double started_at = thread_processor_time();
    costs.push_back(thread_processor_time() - started_at);
  }
  return median(costs);
}

}  // namespace asterdrift::scale
