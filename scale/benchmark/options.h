// The options of a benchmark's command line.
#pragma once

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace asterdrift::scale {

// An option that is unknown, or has no value that can be used.
class OptionError : public std::runtime_error {
 public:
  OptionError(const std::string& option, const std::string& reason);
};

// An option that a benchmark accepts.
struct OptionDescription {
  std::string name;  // without the leading "--"
  bool has_value = true;
};

// The values of `--name value` pairs, and the flags, that a command line gives.
class Options {
 public:
  Options(const std::vector<std::string>& words, const std::vector<OptionDescription>& known);

  std::string text(const std::string& name, const std::string& default_value) const;
  double number(const std::string& name, double default_value) const;
  // A list of numbers, separated by commas.
  std::vector<double> numbers(const std::string& name, const std::vector<double>& default_value) const;
  std::vector<std::size_t> sizes(const std::string& name,
                                 const std::vector<std::size_t>& default_value) const;
  bool flag(const std::string& name) const { return values_.contains(name); }

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace asterdrift::scale
