// One connection to the stand-in discovery: answers polls for an endpoint list, and serves watches.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "asterdrift/seconds.h"
#include "scale/stand_ins/endpoint_lists.h"

namespace asterdrift::scale {

// The fault that the stand-in discovery simulates, if any.
enum class DiscoveryMode {
  kHealthy,
  kRefuse,       // refuses connections
  kHang,         // accepts connections, but sends nothing
  kUnavailable,  // responds to each request with 503
  kTruncate,     // closes the connection in the middle of each snapshot of a watch
  kCorrupt       // sends watches snapshots with one entry that cannot be parsed
};

// What the stand-in discovery has received and sent. Lists and heartbeats count once they are queued for
// sending, bytes once they are written.
struct DiscoveryCounts {
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t snapshots = 0;
  std::uint64_t incremental_lists = 0;
  std::uint64_t heartbeats = 0;  // empty lines on a watch
  std::uint64_t bytes = 0;       // including HTTP headers and chunk framing
  std::uint64_t open_watches = 0;

  std::uint64_t lists() const { return snapshots + incremental_lists; }
};

// State shared by all connections of one stand-in discovery.
struct DiscoveryState {
  DiscoveryState(std::size_t endpoints, int endpoint_port) : list(endpoints, endpoint_port) {}

  DiscoveryMode mode = DiscoveryMode::kHealthy;
  VersionedEndpointList list;
  DiscoveryCounts counts;
  std::vector<Seconds> polled_at;  // arrival times of the first 1000 requests, on the steady clock
};

// Encodes an endpoint list as one event of a watch: a line in a chunk of its own.
std::string watch_event(const std::string& list);

// Keeps itself alive while an operation on its socket or timer is pending.
class DiscoveryConnection : public std::enable_shared_from_this<DiscoveryConnection> {
 public:
  using SharedText = VersionedEndpointList::SharedText;
  using ClosedHandler = std::function<void(const std::shared_ptr<DiscoveryConnection>&)>;

  // `on_closed` is called, possibly more than once, after a read or write fails, which includes an end of the
  // connection by the client or by close(), and after a truncated snapshot.
  DiscoveryConnection(DiscoveryState& state, boost::asio::ip::tcp::socket socket, ClosedHandler on_closed);

  void start() { read_request(); }
  void close();
  bool is_watching() const { return is_watching_; }
  void send(SharedText text);

 private:
  void disconnect();
  void read_request();
  void respond(const std::string& head);
  void respond_with_snapshot();
  void start_watch(const std::string& request_line);
  void send_snapshot_event();
  void write_next();
  void schedule_heartbeat();

  DiscoveryState& state_;
  boost::asio::ip::tcp::socket socket_;
  ClosedHandler on_closed_;
  boost::asio::steady_timer heartbeat_;
  std::string received_;
  std::deque<SharedText> queue_;
  bool is_watching_ = false;
  bool closes_after_queue_ = false;
};

}  // namespace asterdrift::scale
