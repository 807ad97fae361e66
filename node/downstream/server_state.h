// State that the connections of the downstream server share.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "node/dispatch/request_dispatcher.h"
#include "node/downstream/request_error.h"
#include "node/downstream/request_validator.h"
#include "node/memory/memory_budget.h"
#include "node/telemetry/metrics.h"

namespace asterdrift::node::downstream {

class Connection;

using ConnectionList = std::list<std::shared_ptr<Connection>>;

// What a client's connection is doing.
enum class ConnectionState {
  kNew,
  kFresh,      // has sent nothing yet
  kIdle,       // has had a response and sent nothing since
  kReading,    // a request is arriving
  kUploading,  // the dispatcher has the request, and its body is still arriving
  kWaiting,    // for the response
  kWriting,    // the response is being written
  kClosing,    // has had its last response
  kClosed
};

// Whether a response is awaited or being written.
bool is_busy(ConnectionState state);

// Connections by state, each list in the order in which they entered it.
struct ConnectionLists {
  // Null for a state without a list.
  ConnectionList* of(ConnectionState state);

  ConnectionList fresh, idle, reading, uploading, writing, closing;
};

// What the server and its connections know of each other.
struct ServerState {
  // An eighth of the connections is reserved for clients that do not await a response.
  static constexpr std::size_t kReservedConnectionsDivisor = 8;

  ServerState(boost::asio::io_context& io, const config::NodeConfig& config,
              dispatch::RequestDispatcher& dispatcher, memory::MemoryBudget& body_budget,
              telemetry::Metrics& metrics, std::size_t max_connections, std::function<void()> on_inactive)
      : io(io),
        dispatcher(dispatcher),
        body_budget(body_budget),
        metrics(metrics),
        validator(config),
        max_connections(max_connections),
        on_connection_inactive(std::move(on_inactive)) {}

  // Whether this process can serve, as /healthz and /ready report.
  bool is_ready() const { return dispatcher.is_ready() && is_listening && !is_draining; }
  // Whether so many connections await responses that further requests are rejected.
  bool is_overloaded() const {
    return busy_connections > max_connections - max_connections / kReservedConnectionsDivisor;
  }
  bool has_too_many_connections() const { return connections > max_connections; }
  // Throws RequestError where a request with this client's id is in flight: a second one might run twice, or
  // its response might go to the wrong client.
  void check_not_in_flight(const std::string& client_request_id) const {
    if (dispatcher.is_in_flight(client_request_id)) throw RequestError(kConflict, "this Request-Id is open");
  }

  boost::asio::io_context& io;
  dispatch::RequestDispatcher& dispatcher;
  memory::MemoryBudget& body_budget;
  telemetry::Metrics& metrics;
  const RequestValidator validator;
  std::size_t max_connections;
  // Called when a connection has closed, or has entered a state in which it may be evicted. The connection
  // may be in the middle of an operation.
  const std::function<void()> on_connection_inactive;

  ConnectionLists lists;
  std::size_t connections = 0;
  std::size_t busy_connections = 0;  // see is_busy()
  std::size_t pending_requests = 0;  // without a complete response
  bool is_listening = false;
  bool is_draining = false;
  bool closes_after_responses = false;             // responses end their connections
  std::array<char, 16UL * 1024> read_buffer = {};  // shared, since the process has one thread
};

}  // namespace asterdrift::node::downstream
