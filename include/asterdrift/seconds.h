// The type of durations and times in seconds.
#pragma once

namespace asterdrift {

// A duration, or a time on the host's steady clock, in seconds.
using Seconds = double;

}  // namespace asterdrift
