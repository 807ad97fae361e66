// Parses the balancer's settings from the operators' JSON format. Only this module knows the field names of
// the format.
#pragma once

#include "asterdrift/balancer/settings.h"
#include "json/fields.h"

namespace asterdrift::json {

// Parses an object with all settings. Throws FormatError if a field is missing or has another type than
// required, and std::invalid_argument if the name of an idempotency or of a deduplication scope is unknown.
// Does not check the range of numbers, which the balancer checks.
balancer::Settings parse_settings(const Json& object);

}  // namespace asterdrift::json
