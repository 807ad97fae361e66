#include "scale/measurement/report.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <utility>

namespace asterdrift::scale {
namespace {

double load_average() {
  double out = 0;
  return getloadavg(&out, 1) == 1 ? out : -1;
}

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

std::string joined(const std::vector<std::string>& cells) {
  std::string out;
  for (const std::string& cell : cells) out += (out.empty() ? "" : ", ") + quoted(cell);
  return "[" + out + "]";
}

}  // namespace

Report::Report(std::string title, std::vector<std::string> columns)
    : title_(std::move(title)), columns_(std::move(columns)), load_before_(load_average()) {}

void Report::row(std::vector<std::string> cells) {
  std::string line;
  for (const std::string& cell : cells) line += " " + cell;
  std::fprintf(stderr, "%s\n", line.c_str());  // long runs show how far they are
  rows_.push_back(std::move(cells));
}

void Report::print(const std::string& json_path) const {
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < columns_.size(); ++i) {
    widths.push_back(columns_[i].size());
    for (const auto& row : rows_) widths.back() = std::max(widths.back(), row[i].size());
  }
  const auto line = [&](const std::vector<std::string>& cells) {
    for (std::size_t i = 0; i < cells.size(); ++i)
      std::printf("| %*s ", static_cast<int>(widths[i]), cells[i].c_str());
    std::printf("|\n");
  };
  const double load_after = load_average();
  const long cores = sysconf(_SC_NPROCESSORS_ONLN);
  std::printf("%s\nload average before %.1f, after %.1f, on %ld cores\n\n", title_.c_str(), load_before_,
              load_after, cores);
  line(columns_);
  std::vector<std::string> rule;
  rule.reserve(widths.size());
  for (const std::size_t width : widths) rule.emplace_back(width, '-');
  line(rule);
  for (const auto& row : rows_) line(row);
  for (const std::string& note : notes_) std::printf("%s\n", note.c_str());
  std::fflush(stdout);
  if (json_path.empty()) return;
  std::ofstream out(json_path);
  out << "{\"title\": " << quoted(title_) << ", \"load_before\": " << load_before_
      << ", \"load_after\": " << load_after << ", \"cores\": " << cores
      << ",\n \"columns\": " << joined(columns_) << ",\n \"rows\": [";
  for (std::size_t i = 0; i < rows_.size(); ++i) out << (i == 0 ? "\n  " : ",\n  ") << joined(rows_[i]);
  out << "],\n \"notes\": " << joined(notes_) << "}\n";
}

std::string figure(double value, int decimals) {
  char out[64];
  std::snprintf(out, sizeof out, "%.*f", decimals, value);
  return out;
}

double quantile(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) return 0;
  const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return quantile(values, 0.5);
}

}  // namespace asterdrift::scale
