// Measurements: the cells of stored benchmark reports that the measurements file names.
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

// Sizes of endpoint lists, in servers, at which costs are measured.
constexpr int kMeasuredSizes[] = {7, 70, 700, 7000, 27000};

// Versions of the code that have stored reports, the preferred one first.
constexpr const char* kCodeVersions[] = {"final", "untouched"};

// One line of the measurements file, split into its cells.
struct MeasurementDefinition {
  std::string key, unit, table, row, column, command;
};

MeasurementDefinition parse_definition(const std::string& path, std::size_t line_number,
                                       const std::string& line) {
  const std::vector<std::string> cells = split_cells(line, '|');
  if (cells.size() != 6) {
    throw MeasurementsFileError(path, line_number,
                                "not 'key | unit | table | row | column | command': " + line);
  }
  return {cells[0], cells[1], cells[2], cells[3], cells[4], cells[5]};
}

Measurement read_measurement(const std::filesystem::path& reports, const MeasurementDefinition& definition) {
  Measurement measurement{kNotMeasured, definition.unit, "-", definition.command};
  for (const char* code_version : kCodeVersions) {
    std::ifstream report(reports / code_version / (definition.table + ".txt"));
    if (!report) continue;
    measurement.value = ReportTable(report).number(definition.row, definition.column);
    measurement.code_version = code_version;
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
  std::size_t line_number = 0;
  for (std::string line; std::getline(file, line);) {
    ++line_number;
    if (line.empty() || line.front() == '#') continue;
    const MeasurementDefinition definition = parse_definition(path, line_number, line);
    try {
      const Measurement measurement = read_measurement(reports, definition);
      if (!measurements.all_.emplace(definition.key, measurement).second) {
        throw MeasurementsFileError(path, line_number, "'" + definition.key + "' twice");
      }
    } catch (const UnknownColumnError& error) {
      throw MeasurementsFileError(path, line_number, definition.table + ": " + error.what());
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
