// The balancer's settings in the operators' JSON form, as the simulator adapter and the node are given them.
#pragma once

#include "asterdrift/balancer/settings.h"
#include "json/fields.h"

namespace asterdrift::json {

// Throws FormatError, or std::invalid_argument for a name that is unknown.
balancer::Settings read_settings(const Json& in);

}  // namespace asterdrift::json
