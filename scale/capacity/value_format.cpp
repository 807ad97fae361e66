// Formats values for the page: three significant digits but always the whole integer part, commas between
// thousands, and "not run" for NaN.
#include "scale/capacity/value_format.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdio>
#include <iterator>

namespace asterdrift::scale::capacity {
namespace {

const std::string kNotRun = "not run";
constexpr int kSignificantDigits = 3;
constexpr int kMaxDecimals = 9;

int decimal_places(double magnitude) {
  if (magnitude >= 100 || magnitude == 0) return 0;
  const int decimals = kSignificantDigits - 1 - static_cast<int>(std::floor(std::log10(magnitude)));
  return std::clamp(decimals, 0, kMaxDecimals);
}

void remove_trailing_zeros(std::string& text) {
  if (text.find('.') == std::string::npos) return;
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
}

void separate_thousands(std::string& text) {
  const std::size_t integer_end = std::min(text.find('.'), text.size());
  const std::size_t first_digit = text.front() == '-' ? 1 : 0;
  for (std::size_t at = integer_end; at > first_digit + 3; at -= 3) text.insert(at - 3, ",");
}

}  // namespace

std::string format_number(double value) {
  if (std::isnan(value)) return kNotRun;
  char digits[64];
  std::snprintf(digits, sizeof digits, "%.*f", decimal_places(std::abs(value)), value);
  std::string text = digits;
  remove_trailing_zeros(text);
  separate_thousands(text);
  return text;
}

std::string format_with_unit(double value, const std::string& unit) {
  if (std::isnan(value)) return kNotRun;
  return format_number(value) + " " + unit;
}

std::string format_bytes(double value, const std::string& suffix) {
  if (std::isnan(value)) return kNotRun;
  constexpr const char* kUnits[] = {"B", "KB", "MB", "GB", "TB"};
  std::size_t unit = 0;
  while (value >= 1000 && unit + 1 < std::size(kUnits)) {
    value /= 1000;
    ++unit;
  }
  return format_number(value) + " " + kUnits[unit] + suffix;
}

std::string format_seconds(double value) {
  if (std::isnan(value)) return kNotRun;
  if (value == 0) return "0 s";
  if (value >= 120) return format_number(value / 60) + " min";
  if (value >= 1) return format_number(value) + " s";
  if (value >= 1e-3) return format_number(value * 1e3) + " ms";
  return format_number(value * 1e6) + " us";
}

std::string format_headroom(double used, double limit) {
  const double percent = (1 - used / limit) * 100;
  if (percent < 0) return "none: " + format_number(used / limit) + " times the limit";
  return format_with_unit(std::floor(percent * 10) / 10, "%");
}

}  // namespace asterdrift::scale::capacity
