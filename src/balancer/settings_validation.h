// Validation of settings.
#pragma once

#include "asterdrift/balancer/settings.h"

namespace asterdrift::balancer {

// Throws std::invalid_argument, naming the field, when the settings cannot be used. Appends one request
// class and one tenant to the result, which stand for indexes out of range: the class is not idempotent and
// has no latency objective, and the tenant has no quota.
Settings validated(Settings settings);

}  // namespace asterdrift::balancer
