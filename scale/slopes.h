// Slopes: what something costs over a size, measured on this machine. Not in CI, where only counts are
// judged.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace asterdrift::scale {

// The command's `--name value` pairs.
class Options {
 public:
  Options(int count, char** words, const std::vector<std::string>& known);
  std::string text(const std::string& name, const std::string& otherwise) const;
  double number(const std::string& name, double otherwise) const;
  std::vector<double> numbers(const std::string& name, const std::vector<double>& otherwise) const;
  std::vector<std::size_t> sizes(const std::string& name, const std::vector<std::size_t>& otherwise) const;
  bool flag(const std::string& name) const { return values_.contains(name); }

 private:
  std::map<std::string, std::string> values_;
};

const std::vector<std::size_t> kSizes = {7, 70, 700, 7000, 27000};

void change_slope(const Options& options);
void call_slope(const Options& options);
void memory_slope(const Options& options);
void traffic_slope(const Options& options);
void spread_slope(const Options& options);
void idle_slope(const Options& options);
void useless_slope(const Options& options);
void latency_slope(const Options& options);

}  // namespace asterdrift::scale
