// Figures of the planned fleet that follow from the assumptions alone: the servers of each service, rates,
// and sizes of messages.
#pragma once

#include <vector>

namespace asterdrift::scale::capacity {

// Whether the endpoint of an entry has restarted; the entry's start time is 0 if not.
enum class EntryKind { kNeverRestarted, kRestarted };

// Bytes of one entry of the endpoint list in the protocol's JSON, with names and addresses of usual length.
double entry_bytes(EntryKind kind = EntryKind::kRestarted);

// Bytes of an endpoint list with `servers` entries. All entries are assumed to be of restarted servers,
// because 5,900 of the 27,000 servers restart each day.
double list_bytes(double servers);

// Bytes on the wire of a message with one change.
double change_message_bytes();

// Bytes on the wire of a message with `changes` changes.
double batch_message_bytes(double changes);

// The constructor calculates all members from the assumptions.
struct Fleet {
  Fleet();

  std::vector<double> service_sizes;  // servers of each service, largest first
  double total_servers = 0;           // servers of all services
  double change_rate = 0;             // mean changes of the endpoint list per second
  double node_request_rate = 0;       // requests per second through each node
  double front_request_rate = 0;      // requests per second from outside the fleet
  double front_nodes = 0;             // nodes that receive the requests from outside
  double agents_per_control_machine = 0;

  // Servers of all services that one node calls, for three assumptions about which services these are: the
  // largest ones, services drawn in proportion to their servers, or services drawn uniformly.
  double largest_services_servers = 0;
  double sized_services_servers = 0;
  double even_services_servers = 0;

  // Fraction of the nodes that call the largest service, if the services that a node calls are drawn in
  // proportion to their servers.
  double largest_service_caller_fraction = 0;
};

}  // namespace asterdrift::scale::capacity
