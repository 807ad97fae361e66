// Calculates the results on the capacity page.
#include "scale/capacity/calculations.h"

namespace asterdrift::scale::capacity {

Results calculate(const Fleet& fleet, const Measurements& measurements) {
  Results results;
  add_inputs(results, measurements);
  add_fleet(results, fleet);
  add_endpoint_lists(results, fleet, measurements);
  add_requests(results, fleet, measurements);
  add_control_plane(results, fleet);
  add_fleet_restart(results, fleet);
  add_control_machine_loss(results, fleet);
  add_zone_loss(results, fleet);
  add_partition(results, fleet);
  add_measured_nodes(results, measurements);
  return results;
}

}  // namespace asterdrift::scale::capacity
