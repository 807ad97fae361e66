// Parses the command-line options of a benchmark.
#include "scale/benchmark/options.h"

#include <algorithm>
#include <exception>
#include <sstream>

namespace asterdrift::scale {
namespace {

const std::string kPrefix = "--";

double parse_number(const std::string& option, const std::string& text) {
  try {
    return std::stod(text);
  } catch (const std::exception&) {
    throw OptionError(kPrefix + option, "the value '" + text + "' is not a number");
  }
}

const OptionDescription& find_option(const std::vector<OptionDescription>& known,
                                     const std::string& argument) {
  const auto option = std::find_if(known.begin(), known.end(), [&](const OptionDescription& description) {
    return argument == kPrefix + description.name;
  });
  if (option == known.end()) throw OptionError(argument, "unknown to this benchmark");
  return *option;
}

}  // namespace

OptionError::OptionError(const std::string& option, const std::string& reason)
    : std::runtime_error("option " + option + ": " + reason) {}

Options::Options(const std::vector<std::string>& arguments, const std::vector<OptionDescription>& known) {
  for (std::size_t position = 0; position < arguments.size(); ++position) {
    const OptionDescription& option = find_option(known, arguments[position]);
    if (!option.has_value) {
      values_[option.name] = "";
      continue;
    }
    if (position + 1 == arguments.size()) {
      throw OptionError(arguments[position], "expected a value after the option");
    }
    values_[option.name] = arguments[++position];
  }
}

std::string Options::text(const std::string& name, const std::string& default_value) const {
  const auto value = values_.find(name);
  return value == values_.end() ? default_value : value->second;
}

double Options::number(const std::string& name, double default_value) const {
  return numbers(name, {default_value}).front();
}

std::vector<double> Options::numbers(const std::string& name,
                                     const std::vector<double>& default_value) const {
  const auto value = values_.find(name);
  if (value == values_.end()) return default_value;
  std::vector<double> numbers;
  std::istringstream elements(value->second);
  for (std::string text; std::getline(elements, text, ',');) numbers.push_back(parse_number(name, text));
  if (numbers.empty()) throw OptionError(kPrefix + name, "expected a number, or numbers separated by commas");
  return numbers;
}

std::vector<std::size_t> Options::sizes(const std::string& name,
                                        const std::vector<std::size_t>& default_value) const {
  std::vector<std::size_t> sizes;
  for (const double number : numbers(name, {default_value.begin(), default_value.end()})) {
    sizes.push_back(static_cast<std::size_t>(number));
  }
  return sizes;
}

}  // namespace asterdrift::scale
