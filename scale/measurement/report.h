// The report of a benchmark: a table, printed as plain text and optionally written as JSON.
#pragma once

#include <string>
#include <vector>

namespace asterdrift::scale {

// A table with a title above it, notes below it, and the load average of the machine during the benchmark.
class Report {
 public:
  // Also reads the load average before the benchmark.
  Report(std::string title, std::vector<std::string> columns);

  // Adds a row with one cell for each column. Also prints the row to standard error, to show the progress of
  // a long run.
  void add_row(std::vector<std::string> cells);
  // Adds a line of text below the table.
  void add_note(const std::string& text) { notes_.push_back(text); }

  // Prints the report to standard output, with the load average before and after the benchmark. Also writes
  // it as JSON to `json_path`, unless that is empty. Throws std::system_error if the file cannot be written.
  void print(const std::string& json_path) const;

 private:
  void print_table() const;
  void write_json(const std::string& path, double load_average_after, long cores) const;

  std::string title_;
  std::vector<std::string> columns_, notes_;
  std::vector<std::vector<std::string>> rows_;
  double load_average_before_;
};

// The number in decimal notation, with this number of decimals.
std::string format_fixed(double value, int decimals = 1);

}  // namespace asterdrift::scale
