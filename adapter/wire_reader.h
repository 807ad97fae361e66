// Reads the simulator's wire: the balancer's events from items of a batch.
//
// All functions throw json::FormatError where an item does not have the required form.
#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "asterdrift/balancer/events.h"
#include "json/fields.h"

namespace asterdrift::adapter {

// The numbered endpoint lists of the simulation. Updates refer to them by number; all replicas share them.
class EndpointTables {
 public:
  // Reads a list, which replaces the previous one with the same number.
  void read(const json::Json& item);

  // The list that an update refers to.
  const std::vector<balancer::Endpoint>& referenced_by(const json::Json& update) const;

 private:
  std::map<int, std::vector<balancer::Endpoint>> tables_;
};

// The event of an item; none where the balancer does not need items of this kind.
std::optional<balancer::Event> read_event(std::string_view kind, const json::Json& item,
                                          const EndpointTables& tables);

}  // namespace asterdrift::adapter
