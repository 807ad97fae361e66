// Figures of the planned fleet that follow from the assumptions alone: the servers of each service, rates,
// and sizes of messages.
#include "scale/capacity/fleet.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>
#include <string>

#include "scale/capacity/assumptions.h"
#include "scale/capacity/units.h"

namespace asterdrift::scale::capacity {
namespace {

std::string entry_json(EntryKind kind) {
  const std::string restart_time = kind == EntryKind::kRestarted ? "1764633600000" : "0";
  return R"({"host":"s-5be2a07c","dial":"10.101.200.18:3000","site":"region-07-b","class":"m2",)"
         R"("block":3,"health":"active","share":1.0,"born_ms":)" +
         restart_time + "}";
}

// Distributes the servers over the services by Zipf's law, with at least one server in each service. Finds
// the size of the largest service by bisection.
std::vector<double> zipf_service_sizes() {
  constexpr int kBisections = 60;
  std::vector<double> sizes(static_cast<std::size_t>(assumption::kServices.value));
  const auto total_with = [&](double largest) {
    for (std::size_t i = 0; i < sizes.size(); ++i) {
      const double rank = static_cast<double>(i + 1);
      sizes[i] = std::max(1.0, std::round(largest / std::pow(rank, assumption::kZipfExponent.value)));
    }
    return std::accumulate(sizes.begin(), sizes.end(), 0.0);
  };
  double low = 1;
  double high = assumption::kServers.value;
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (low + high) / 2;
    (total_with(middle) < assumption::kServers.value ? low : high) = middle;
  }
  total_with(low);
  return sizes;
}

}  // namespace

double entry_bytes(EntryKind kind) { return static_cast<double>(entry_json(kind).size()); }

double list_bytes(double servers) {
  const std::string empty_list = R"({"seq":123456789,"whole":true,"hosts":[]})"
                                 "\n";
  // Each entry takes one more byte for a comma.
  return static_cast<double>(empty_list.size()) + servers * (entry_bytes() + 1);
}

double change_message_bytes() { return list_bytes(0) + entry_bytes() + assumption::kMessageOverhead.value; }

double batch_message_bytes(double changes) {
  return list_bytes(0) + assumption::kMessageOverhead.value + changes * (entry_bytes() + 1);
}

Fleet::Fleet() : service_sizes(zipf_service_sizes()) {
  total_servers = std::accumulate(service_sizes.begin(), service_sizes.end(), 0.0);
  change_rate = (assumption::kChangesPerDay.value +
                 assumption::kRestartsPerDay.value * assumption::kChangesPerRestart.value +
                 assumption::kFailuresPerDay.value * assumption::kChangesPerFailure.value) /
                kSecondsPerDay;
  node_request_rate = assumption::kRequestRate.value / assumption::kServers.value;
  front_request_rate = assumption::kRequestRate.value / assumption::kFanOut.value;
  front_nodes = std::ceil(front_request_rate / node_request_rate);
  agents_per_control_machine =
      std::ceil((assumption::kServers.value + front_nodes) / assumption::kControlMachines.value);

  const double called = assumption::kServicesPerNode.value;
  for (std::size_t i = 0; i < service_sizes.size(); ++i) {
    const double size = service_sizes[i];
    even_services_servers += size * (1 - std::pow(1 - 1 / assumption::kServices.value, called));
    sized_services_servers += size * (1 - std::pow(1 - size / total_servers, called));
    if (static_cast<double>(i) < called) largest_services_servers += size;
  }
  largest_service_caller_fraction = 1 - std::pow(1 - service_sizes.front() / total_servers, called);
}

}  // namespace asterdrift::scale::capacity
