// Parses the simulator's protocol: the items of a batch become the balancer's events.
//
// All functions throw json::FormatError if an item does not have the required form.
#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "asterdrift/balancer/events.h"
#include "json/fields.h"

namespace asterdrift::adapter {

// The numbered endpoint lists of the simulation. Updates refer to a list by its number. All replicas share
// the lists.
class EndpointTables {
 public:
  // Parses a list and stores it. The list replaces a previous one with the same number.
  void add(const json::Json& item);

  // The list to which an update refers.
  const std::vector<balancer::Endpoint>& referenced_by(const json::Json& update) const;

 private:
  std::map<int, std::vector<balancer::Endpoint>> tables_;
};

// The event of an item; none if the balancer does not need items of this kind.
std::optional<balancer::Event> parse_event(std::string_view kind, const json::Json& item,
                                           const EndpointTables& tables);

}  // namespace asterdrift::adapter
