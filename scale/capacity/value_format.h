// Values as the page shows them: three significant digits, thousands separated, "not run" for NaN.
#pragma once

#include <string>

namespace asterdrift::scale::capacity {

std::string format_number(double value);
std::string format_with_unit(double value, const std::string& unit);

// Decimal units from B to TB; `suffix` follows the unit, such as "/s".
std::string format_bytes(double value, const std::string& suffix = "");

// In min, s, ms or us.
std::string format_seconds(double value);

// What is left of a limit, in percent; or how many times the limit is exceeded.
std::string format_headroom(double used, double limit);

}  // namespace asterdrift::scale::capacity
