// The assumptions and measurements as results, and figures of the whole fleet.
#include <cmath>
#include <string>

#include "scale/capacity/assumptions.h"
#include "scale/capacity/calculations.h"
#include "scale/capacity/value_format.h"

namespace asterdrift::scale::capacity {
namespace {

std::string format_assumption(const Assumption& assumption) {
  const std::string unit = assumption.unit;
  if (assumption.value >= 1e6 && unit == assumption::kRequestRate.unit) {
    return format_number(assumption.value / 1e6) + " million " + unit;
  }
  return format_with_unit(assumption.value, unit);
}

std::string format_measurement(const Measurement& measurement) {
  if (!std::isnan(measurement.value)) return format_with_unit(measurement.value, measurement.unit);
  // "none": the report has no number in this cell.
  return measurement.code_version == "-" ? "not run" : "none";
}

}  // namespace

void add_inputs(Results& results, const Measurements& measurements) {
  for (const Assumption& assumption : assumption::kAll) {
    results.add(std::string("given.") + assumption.key, format_assumption(assumption));
  }
  results.add("plain.services_per_node", format_number(assumption::kServicesPerNode.value));
  for (const auto& [key, measurement] : measurements.all()) {
    results.add("measured." + key, format_measurement(measurement));
    results.add("code." + key, measurement.code_version);
    results.add("command." + key, measurement.command);
  }
}

void add_fleet(Results& results, const Fleet& fleet) {
  double sum_of_squares = 0;
  double single_server_services = 0;
  for (const double size : fleet.service_sizes) {
    sum_of_squares += size * size;
    single_server_services += size == 1 ? 1 : 0;
  }
  const double total = fleet.total_servers;
  results.add("fleet.largest", format_number(fleet.service_sizes.front()));
  results.add("fleet.total", format_number(total));
  results.add("fleet.mean", format_number(total / assumption::kServices.value));
  results.add("fleet.single", format_number(single_server_services));
  results.add("fleet.single_requests", format_with_unit(single_server_services / total * 100, "%"));
  // The expected size of the service to which a randomly drawn server belongs.
  results.add("fleet.size_seen", format_number(sum_of_squares / total));
  results.add("fleet.entry", format_bytes(entry_bytes()));
  results.add("fleet.entry_never_restarted", format_bytes(entry_bytes(EntryKind::kNeverRestarted)));
  results.add("fleet.change_message", format_bytes(change_message_bytes()));
  results.add("fleet.change_rate", format_number(fleet.change_rate) + "/s");
  results.add("fleet.change_rate_busiest",
              format_number(fleet.change_rate * assumption::kBusiestMinuteFactor.value) + "/s");
}

}  // namespace asterdrift::scale::capacity
