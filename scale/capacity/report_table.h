// Reads the table of a stored benchmark report.
#pragma once

#include <istream>
#include <limits>
#include <stdexcept>
#include <string>
#include <vector>

namespace asterdrift::scale::capacity {

// The value of a measurement without a result, a NaN. Results that are calculated from it are printed as "not
// run".
constexpr double kNotMeasured = std::numeric_limits<double>::quiet_NaN();

// Splits a line into cells, without the spaces and tabs around them.
std::vector<std::string> split_cells(const std::string& line, char separator);

// The table has no column with this name.
class UnknownColumnError : public std::runtime_error {
 public:
  explicit UnknownColumnError(const std::string& column);
};

// A table whose cells can be read as numbers.
class ReportTable {
 public:
  // Reads the lines of a Markdown table, which begin with a bar: the names of the columns, a separator line,
  // and the rows.
  explicit ReportTable(std::istream& report);

  // The number in a cell; kNotMeasured if there is no such row or its cell is not a number. Throws
  // UnknownColumnError.
  //   row: the first cells of the row, separated by commas
  //   column: the column's name; or "A + B" for the sum of two columns; or "A if B" for column A if column B
  //   has a number, otherwise kNotMeasured
  double number(const std::string& row, const std::string& column) const;

 private:
  std::vector<std::vector<std::string>> lines_;
};

}  // namespace asterdrift::scale::capacity
