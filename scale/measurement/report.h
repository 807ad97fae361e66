// What a slope prints: one table as plain text, and as JSON where a file is named.
#pragma once

#include <string>
#include <vector>

namespace asterdrift::scale {

class Report {
 public:
  Report(std::string title, std::vector<std::string> columns);
  void row(std::vector<std::string> cells);
  void note(const std::string& text) { notes_.push_back(text); }
  // Prints the table with the load of the machine before and after; writes JSON to `json_path` unless empty.
  void print(const std::string& json_path) const;

 private:
  std::string title_;
  std::vector<std::string> columns_, notes_;
  std::vector<std::vector<std::string>> rows_;
  double load_before_;
};

std::string figure(double value, int decimals = 1);

// Of sorted values; 0 where there are none.
double quantile(const std::vector<double>& sorted, double part);
double median(std::vector<double> values);

}  // namespace asterdrift::scale
