// Measurements: the cells of stored benchmark reports that the measurements file (docs/capacity-slopes.txt)
// names.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "scale/capacity/report_table.h"

namespace asterdrift::scale::capacity {

// One measured value, and the report from which it was read.
struct Measurement {
  double value = kNotMeasured;
  std::string unit;
  // Version of the measured code: "final", "untouched", or "-" if there is no report.
  std::string code_version = "-";
  std::string command;  // command line that printed the report
};

// All measurements, by their keys.
class Measurements {
 public:
  // Reads lines of the form "key | unit | table | row | column | command". Each names a cell of the table
  // that `command` printed and that is stored as slopes/VERSION/TABLE.txt next to the measurements file.
  // VERSION is "final" if that report exists, otherwise "untouched". Throws MeasurementsFileError, or
  // std::system_error if the measurements file cannot be read.
  static Measurements read(const std::string& path);

  const std::map<std::string, Measurement>& all() const { return all_; }

  // The value of the measurement with this key; kNotMeasured if no report has the value. Throws
  // UnknownKeyError.
  double value(const std::string& key) const;

 private:
  std::map<std::string, Measurement> all_;
};

// A cost as a function of the size of the endpoint list: interpolated linearly between the measured sizes,
// and extrapolated linearly outside them, but never negative.
class CostCurve {
 public:
  // Uses the measurements whose keys consist of `name`, an underscore and a size.
  CostCurve(const Measurements& measurements, const std::string& name);

  // The cost at a size; kNotMeasured if fewer than two sizes are measured.
  double at(double size) const;

 private:
  struct Point {
    double size;
    double cost;
  };
  std::vector<Point> points_;  // measured points, in ascending order of size
};

}  // namespace asterdrift::scale::capacity
