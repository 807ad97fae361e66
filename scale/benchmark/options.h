// Parses the command-line options of a benchmark.
#pragma once

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace asterdrift::scale {

// Thrown for an unknown option, and for one whose value is missing or malformed.
class OptionError : public std::runtime_error {
 public:
  OptionError(const std::string& option, const std::string& reason);
};

// An option that a benchmark accepts.
struct OptionDescription {
  std::string name;  // without the leading "--"
  bool has_value = true;
};

// The options on a command line: `--name value` pairs, and flags without a value.
class Options {
 public:
  // Throws OptionError unless each of the arguments is a known option or its value.
  Options(const std::vector<std::string>& arguments, const std::vector<OptionDescription>& known);

  // The value of an option, or the default if the option is not given. A malformed number throws OptionError.
  std::string text(const std::string& name, const std::string& default_value) const;
  double number(const std::string& name, double default_value) const;
  // The value is a list of numbers that are separated by commas.
  std::vector<double> numbers(const std::string& name, const std::vector<double>& default_value) const;
  std::vector<std::size_t> sizes(const std::string& name,
                                 const std::vector<std::size_t>& default_value) const;
  // Whether the option is given.
  bool flag(const std::string& name) const { return values_.contains(name); }

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace asterdrift::scale
