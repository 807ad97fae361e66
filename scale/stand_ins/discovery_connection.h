// One connection to the stand-in discovery: polls for a list, and watches.
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

#include "scale/stand_ins/endpoint_lists.h"

namespace asterdrift::scale {

// How the stand-in discovery behaves.
enum class DiscoveryMode {
  kHealthy,
  kRefuse,       // no connection is accepted
  kHang,         // connections are accepted, nothing is sent
  kUnavailable,  // 503 to each request
  kTruncate,     // each snapshot ends in its middle, with its connection
  kCorrupt       // one entry of each snapshot cannot be read
};

// What the stand-in discovery has received and sent.
struct DiscoveryCounts {
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t snapshots = 0;          // begun
  std::uint64_t incremental_lists = 0;  // begun
  std::uint64_t heartbeats = 0;         // empty lines of a watch, begun
  std::uint64_t bytes = 0;              // sent, with HTTP's own
  std::uint64_t open_watches = 0;

  std::uint64_t lists() const { return snapshots + incremental_lists; }
};

// What the connections of one stand-in share.
struct DiscoveryState {
  DiscoveryState(std::size_t endpoints, int endpoint_port) : list(endpoints, endpoint_port) {}

  DiscoveryMode mode = DiscoveryMode::kHealthy;
  VersionedEndpointList list;
  DiscoveryCounts counts;
  std::vector<double> polled_at;  // s on the steady clock, of the first requests
};

// A list as one event of a watch: a line in a chunk of its own.
std::string watch_event(const std::string& list);

class DiscoveryConnection : public std::enable_shared_from_this<DiscoveryConnection> {
 public:
  using Text = VersionedEndpointList::Text;
  using ClosedHandler = std::function<void(const std::shared_ptr<DiscoveryConnection>&)>;

  // `on_closed` is called where the other side ends the connection, or a truncated list does.
  DiscoveryConnection(DiscoveryState& state, boost::asio::ip::tcp::socket socket, ClosedHandler on_closed);

  void start() { read_request(); }
  void close();
  bool is_watching() const { return is_watching_; }
  void send(Text text);

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
  std::deque<Text> queue_;
  bool is_watching_ = false;
  bool closes_after_queue_ = false;
};

}  // namespace asterdrift::scale
