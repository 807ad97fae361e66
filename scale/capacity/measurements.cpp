// What has been measured: the cells of stored benchmark reports that docs/capacity-slopes.txt names.
#include "scale/capacity/measurements.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <system_error>

#include "scale/capacity/errors.h"

namespace asterdrift::scale::capacity {
namespace {

// Sizes, in listed servers, at which costs are measured.
constexpr int kMeasuredSizes[] = {7, 70, 700, 7000, 27000};

// Versions of the code whose reports are stored, the preferred one first.
constexpr const char* kCodes[] = {"final", "untouched"};

// The cells of one line of the file.
struct Definition {
  std::string key, unit, table, row, column, command;
};

Definition parse_definition(const std::string& path, std::size_t number, const std::string& line) {
  const std::vector<std::string> cells = split_cells(line, '|');
  if (cells.size() != 6) {
    throw SlopeFileError(path, number, "not 'key | unit | table | row | column | command': " + line);
  }
  return {cells[0], cells[1], cells[2], cells[3], cells[4], cells[5]};
}

Measurement read_measurement(const std::filesystem::path& reports, const Definition& definition) {
  Measurement measurement{kNotMeasured, definition.unit, "-", definition.command};
  for (const char* code : kCodes) {
    std::ifstream report(reports / code / (definition.table + ".txt"));
    if (!report) continue;
    measurement.value = ReportTable(report).number(definition.row, definition.column);
    measurement.code = code;
    break;
  }
  return measurement;
}

}  // namespace

Measurements Measurements::read(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::system_error(errno, std::generic_category(), "cannot read " + path);
  const std::filesystem::path reports = std::filesystem::path(path).parent_path() / "slopes";
  Measurements measurements;
  std::size_t number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    if (line.empty() || line.front() == '#') continue;
    const Definition definition = parse_definition(path, number, line);
    try {
      const Measurement measurement = read_measurement(reports, definition);
      if (!measurements.all_.emplace(definition.key, measurement).second) {
        throw SlopeFileError(path, number, "'" + definition.key + "' twice");
      }
    } catch (const UnknownColumnError& error) {
      throw SlopeFileError(path, number, definition.table + ": " + error.what());
    }
  }
  return measurements;
}

double Measurements::value(const std::string& key) const {
  const auto found = all_.find(key);
  if (found == all_.end()) throw UnknownKeyError(key);
  return found->second.value;
}

CostCurve::CostCurve(const Measurements& measurements, const std::string& name) {
  for (const int size : kMeasuredSizes) {
    const auto found = measurements.all().find(name + "_" + std::to_string(size));
    if (found == measurements.all().end() || std::isnan(found->second.value)) continue;
    points_.push_back({static_cast<double>(size), found->second.value});
  }
}

double CostCurve::at(double size) const {
  if (points_.size() < 2) return kNotMeasured;
  std::size_t next = 1;
  while (next + 1 < points_.size() && points_[next].size < size) ++next;
  const auto [size_before, cost_before] = points_[next - 1];
  const auto [size_after, cost_after] = points_[next];
  return std::max(
      0.0, cost_before + (cost_after - cost_before) * (size - size_before) / (size_after - size_before));
}

}  // namespace asterdrift::scale::capacity
