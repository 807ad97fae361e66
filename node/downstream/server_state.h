// The state that the downstream server shares with its connections.
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
#include "node/downstream/stalled_response_log.h"
#include "node/memory/memory_budget.h"
#include "node/telemetry/metrics.h"

namespace asterdrift::node::downstream {

class Connection;

using ConnectionList = std::list<std::shared_ptr<Connection>>;

// What a client's connection is doing.
enum class ConnectionState {
  kInitial,               // the connection has not been started yet
  kAwaitingFirstRequest,  // the client has sent nothing yet
  kIdle,                  // the client has sent nothing since the last response
  kReading,               // a request is arriving
  kUploading,             // the request has been dispatched, and its body is still arriving
  kAwaitingResponse,      // the request has been dispatched and has arrived completely
  kWriting,               // the response is being written
  kClosing,               // waits for the client to close the connection after the last response
  kClosed
};

// Whether a response is awaited or being written.
bool is_busy(ConnectionState state);

// Connections by state. Each list is in the order in which the connections entered the state.
struct ConnectionLists {
  // The list of a state; null if the state has none.
  ConnectionList* find(ConnectionState state);

  ConnectionList awaiting_first_request, idle, reading, uploading, writing, closing;
};

// The server's dependencies, limits, connection lists and counts. Each connection uses them, and keeps the
// lists and counts up to date.
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
        stalled_responses(io, metrics),
        max_connections(max_connections),
        on_connection_inactive(std::move(on_inactive)) {}

  // Whether this process can serve requests, as /healthz and /ready report.
  bool is_ready() const { return dispatcher.is_ready() && is_listening && !is_draining; }
  // Whether further requests are rejected because too many connections await responses.
  bool is_overloaded() const {
    return busy_connections > max_connections - max_connections / kReservedConnectionsDivisor;
  }
  bool has_too_many_connections() const { return connections > max_connections; }
  // Throws RequestError if a request with this Request-Id is in flight or may have run: if a second one were
  // dispatched, the request might run twice, or a response might go to the wrong client.
  void check_is_new(const dispatch::DownstreamRequest& request) const {
    if (dispatcher.is_in_flight(request.client_request_id)) {
      throw RequestError(kConflict, "this Request-Id is open");
    }
    if (dispatcher.may_have_run(request)) throw RequestError(kConflict, "this Request-Id may have run");
  }

  boost::asio::io_context& io;
  dispatch::RequestDispatcher& dispatcher;
  memory::MemoryBudget& body_budget;
  telemetry::Metrics& metrics;
  const RequestValidator validator;
  StalledResponseLog stalled_responses;
  std::size_t max_connections;
  // Called when a connection has been closed, or has entered a state in which it may be evicted. The
  // connection may be in the middle of an operation.
  const std::function<void()> on_connection_inactive;

  ConnectionLists lists;
  std::size_t connections = 0;
  std::size_t busy_connections = 0;  // see is_busy()
  std::size_t pending_requests = 0;  // dispatched requests without a complete response
  bool is_listening = false;
  bool is_draining = false;
  bool closes_after_responses = false;             // whether each response ends its connection
  std::array<char, 16UL * 1024> read_buffer = {};  // shared, because the process has one thread
};

}  // namespace asterdrift::node::downstream
