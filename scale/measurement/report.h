// The report of a benchmark: one table as plain text, and as JSON where a file is named.
#pragma once

#include <string>
#include <vector>

namespace asterdrift::scale {

class Report {
 public:
  Report(std::string title, std::vector<std::string> columns);

  // Also prints the row to standard error: long runs show how far they are.
  void add_row(std::vector<std::string> cells);
  void add_note(const std::string& text) { notes_.push_back(text); }

  // Prints the table with the load of the machine before and after. Writes JSON to `json_path` unless empty;
  // throws std::system_error where that fails.
  void print(const std::string& json_path) const;

 private:
  void print_table() const;
  void write_json(const std::string& path, double load_after, long cores) const;

  std::string title_;
  std::vector<std::string> columns_, notes_;
  std::vector<std::vector<std::string>> rows_;
  double load_before_;
};

std::string format_fixed(double value, int decimals = 1);

}  // namespace asterdrift::scale
