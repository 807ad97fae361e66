// The report of a benchmark: a table, printed as plain text and optionally written as JSON.
#include "scale/measurement/report.h"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <system_error>
#include <utility>

namespace asterdrift::scale {
namespace {

// The load average of the last minute; -1 if the system does not give it.
double read_load_average() {
  double load_average = 0;
  return getloadavg(&load_average, 1) == 1 ? load_average : -1;
}

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

std::string json_array(const std::vector<std::string>& texts) {
  std::string elements;
  for (const std::string& text : texts) {
    if (!elements.empty()) elements += ", ";
    elements += quoted(text);
  }
  return "[" + elements + "]";
}

void print_line(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) {
  for (std::size_t column = 0; column < widths.size(); ++column) {
    std::printf("| %*s ", static_cast<int>(widths[column]), cells[column].c_str());
  }
  std::printf("|\n");
}

}  // namespace

Report::Report(std::string title, std::vector<std::string> columns)
    : title_(std::move(title)), columns_(std::move(columns)), load_average_before_(read_load_average()) {}

void Report::add_row(std::vector<std::string> cells) {
  for (const std::string& cell : cells) std::fprintf(stderr, " %s", cell.c_str());
  std::fprintf(stderr, "\n");
  rows_.push_back(std::move(cells));
}

void Report::print(const std::string& json_path) const {
  const double load_average_after = read_load_average();
  const long cores = sysconf(_SC_NPROCESSORS_ONLN);
  std::printf("%s\nload average before %.1f, after %.1f, on %ld cores\n\n", title_.c_str(),
              load_average_before_, load_average_after, cores);
  print_table();
  for (const std::string& note : notes_) std::printf("%s\n", note.c_str());
  std::fflush(stdout);
  if (!json_path.empty()) write_json(json_path, load_average_after, cores);
}

void Report::print_table() const {
  std::vector<std::size_t> widths;
  std::vector<std::string> separator;
  for (std::size_t column = 0; column < columns_.size(); ++column) {
    std::size_t width = columns_[column].size();
    for (const auto& row : rows_) width = std::max(width, row[column].size());
    widths.push_back(width);
    separator.emplace_back(width, '-');
  }
  print_line(columns_, widths);
  print_line(separator, widths);
  for (const auto& row : rows_) print_line(row, widths);
}

void Report::write_json(const std::string& path, double load_average_after, long cores) const {
  std::ofstream file(path);
  file << "{\"title\": " << quoted(title_) << ", \"load_before\": " << load_average_before_
       << ", \"load_after\": " << load_average_after << ", \"cores\": " << cores
       << ",\n \"columns\": " << json_array(columns_) << ",\n \"rows\": [";
  const char* separator = "\n  ";
  for (const auto& row : rows_) {
    file << separator << json_array(row);
    separator = ",\n  ";
  }
  file << "],\n \"notes\": " << json_array(notes_) << "}\n" << std::flush;
  if (!file) {
    throw std::system_error(errno, std::generic_category(), "cannot write the JSON report to " + path);
  }
}

std::string format_fixed(double value, int decimals) {
  char text[64];
  std::snprintf(text, sizeof text, "%.*f", decimals, value);
  return text;
}

}  // namespace asterdrift::scale
