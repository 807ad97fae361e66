// Reads the balancer's settings from the operators' JSON form. The only place that knows the names of its
// fields.
#pragma once

#include "asterdrift/balancer/settings.h"
#include "json/fields.h"

namespace asterdrift::json {

// Throws FormatError for a field that is missing or has another type, and std::invalid_argument for an
// unknown name of an idempotency or deduplication scope. Does not check the range of numbers: the balancer
// does.
balancer::Settings parse_settings(const Json& object);

}  // namespace asterdrift::json
