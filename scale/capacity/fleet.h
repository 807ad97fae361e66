// The planned fleet: how many servers each service has, and the rates and sizes that follow from the
// assumptions alone.
#pragma once

#include <vector>

namespace asterdrift::scale::capacity {

// Bytes of one entry of the endpoint list, as the protocol shows it, with names and addresses of usual
// length.
enum class EntryKind { kNeverRestarted, kRestarted };
double entry_bytes(EntryKind kind = EntryKind::kRestarted);

// Bytes of an endpoint list with so many servers. Entries are those of restarted servers: of 27,000 servers
// 5,900 restart each day.
double list_bytes(double servers);

// Bytes on the wire of one change that travels as a message of its own.
double change_message_bytes();

// Bytes on the wire of so many changes in one message.
double batch_message_bytes(double changes);

// Calculated from the assumptions by its constructor.
struct Fleet {
  Fleet();

  std::vector<double> service_sizes;  // servers of each service, largest first
  double total_servers = 0;           // of all services
  double change_rate = 0;             // changes of the list per second, in the mean
  double node_request_rate = 0;       // requests per second and node
  double front_request_rate = 0;      // requests per second from outside
  double front_nodes = 0;
  double agents_per_control_machine = 0;

  // Servers of the services that one node calls, where these are...
  double largest_services_servers = 0;  // ...the largest ones
  double sized_services_servers = 0;    // ...drawn in proportion to their servers
  double even_services_servers = 0;     // ...drawn evenly

  double largest_service_caller_fraction = 0;  // of the nodes, where services are drawn by size
};

}  // namespace asterdrift::scale::capacity
