// Formats values for the page: three significant digits but always the whole integer part, commas between
// thousands, and "not run" for NaN.
#pragma once

#include <string>

namespace asterdrift::scale::capacity {

std::string format_number(double value);
std::string format_with_unit(double value, const std::string& unit);

// Scales the value to a decimal unit from B to TB. `suffix`, such as "/s", follows the unit.
std::string format_bytes(double value, const std::string& suffix = "");

// Scales a value in seconds to min, s, ms or us.
std::string format_seconds(double value);

// The unused part of a limit in percent, or how many times the limit `used` is if it exceeds the limit.
std::string format_headroom(double used, double limit);

}  // namespace asterdrift::scale::capacity
