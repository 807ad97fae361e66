// Validation of settings.
#pragma once

#include "asterdrift/balancer/settings.h"

namespace asterdrift::balancer {

// Throws std::invalid_argument, naming the field, when the settings cannot be used. The result has one more
// class and tenant at the end, which stand for those out of range: not idempotent, without an objective or a
// quota.
Settings validated(Settings settings);

}  // namespace asterdrift::balancer
