// Reads the table of a stored benchmark report.
#include "scale/capacity/report_table.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <exception>
#include <iterator>
#include <sstream>
#include <utility>

namespace asterdrift::scale::capacity {
namespace {

const std::string kConditionOperator = " if ";
const std::string kSumOperator = " + ";

double parse_number(const std::string& cell) {
  std::size_t used = 0;
  try {
    const double value = std::stod(cell, &used);
    return used == cell.size() ? value : kNotMeasured;
  } catch (const std::exception&) {
    return kNotMeasured;
  }
}

bool starts_with(const std::vector<std::string>& cells, const std::vector<std::string>& first) {
  return cells.size() >= first.size() && std::equal(first.begin(), first.end(), cells.begin());
}

}  // namespace

std::vector<std::string> split_cells(const std::string& line, char separator) {
  std::vector<std::string> cells;
  std::istringstream rest(line);
  for (std::string cell; std::getline(rest, cell, separator);) {
    const std::size_t first = cell.find_first_not_of(" \t");
    const std::size_t last = cell.find_last_not_of(" \t");
    cells.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
  }
  return cells;
}

UnknownColumnError::UnknownColumnError(const std::string& column)
    : std::runtime_error("no column '" + column + "'") {}

ReportTable::ReportTable(std::istream& report) {
  for (std::string line; std::getline(report, line);) {
    if (!line.starts_with("|")) continue;
    std::vector<std::string> cells = split_cells(line, '|');
    cells.erase(cells.begin());  // the empty cell before the first bar
    lines_.push_back(std::move(cells));
  }
}

double ReportTable::number(const std::string& row, const std::string& column) const {
  if (const std::size_t at = column.find(kConditionOperator); at != std::string::npos) {
    const double condition = number(row, column.substr(at + kConditionOperator.size()));
    return std::isnan(condition) ? kNotMeasured : number(row, column.substr(0, at));
  }
  if (const std::size_t at = column.find(kSumOperator); at != std::string::npos) {
    return number(row, column.substr(0, at)) + number(row, column.substr(at + kSumOperator.size()));
  }
  if (lines_.empty()) return kNotMeasured;
  const std::vector<std::string>& column_names = lines_.front();
  const auto name = std::find(column_names.begin(), column_names.end(), column);
  if (name == column_names.end()) throw UnknownColumnError(column);
  const auto index = static_cast<std::size_t>(std::distance(column_names.begin(), name));
  const std::vector<std::string> first_cells = split_cells(row, ',');
  for (const std::vector<std::string>& cells : lines_) {
    if (!starts_with(cells, first_cells)) continue;
    return index < cells.size() ? parse_number(cells[index]) : kNotMeasured;
  }
  return kNotMeasured;
}

}  // namespace asterdrift::scale::capacity
