// What has been measured: the cells of stored benchmark reports that docs/capacity-slopes.txt names.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "scale/capacity/report_table.h"

namespace asterdrift::scale::capacity {

// One measured value, and the report that has it.
struct Measurement {
  double value = kNotMeasured;
  std::string unit;
  std::string code = "-";  // of which code the report is: "final", "untouched", or "-" where there is none
  std::string command;     // which printed the report
};

// Measurements by their keys.
class Measurements {
 public:
  // Reads lines "key | unit | table | row | column | command": the cell of the table that `command` printed,
  // stored as slopes/CODE/TABLE.txt next to the file. CODE is "final" where that report is there, otherwise
  // "untouched". Throws SlopeFileError, or std::system_error where the file cannot be read.
  static Measurements read(const std::string& path);

  const std::map<std::string, Measurement>& all() const { return all_; }

  // Throws UnknownKeyError.
  double value(const std::string& key) const;

 private:
  std::map<std::string, Measurement> all_;
};

// A cost that has been measured at several sizes: linear between them and beyond the last.
class CostCurve {
 public:
  // Takes the measurements whose keys are `name`, an underscore and a size.
  CostCurve(const Measurements& measurements, const std::string& name);

  // kNotMeasured with fewer than two points.
  double at(double size) const;

 private:
  struct Point {
    double size;
    double cost;
  };
  std::vector<Point> points_;  // by size
};

}  // namespace asterdrift::scale::capacity
