// The table of a stored benchmark report, and text cut into cells.
#pragma once

#include <istream>
#include <limits>
#include <stdexcept>
#include <string>
#include <vector>

namespace asterdrift::scale::capacity {

// The value of what no run has measured. Results computed from it read "not run".
constexpr double kNotMeasured = std::numeric_limits<double>::quiet_NaN();

// The cells of a line, without the blanks around them.
std::vector<std::string> split_cells(const std::string& line, char separator);

// A column that the table does not have.
class UnknownColumnError : public std::runtime_error {
 public:
  explicit UnknownColumnError(const std::string& column);
};

// Reads single cells as numbers.
class ReportTable {
 public:
  // Reads the lines that begin with a bar: the names of the columns, a rule, and the rows.
  explicit ReportTable(std::istream& report);

  // The number in a cell; kNotMeasured where there is no such row, or no number in it.
  //   row     the first cells of the row, separated by commas
  //   column  its name; "A + B" adds up two columns, and "A if B" takes A only where B is a number
  double number(const std::string& row, const std::string& column) const;

 private:
  std::vector<std::vector<std::string>> lines_;
};

}  // namespace asterdrift::scale::capacity
