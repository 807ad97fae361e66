// What the connections of the downstream server share.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "node/base/memory_budget.h"
#include "node/dispatch/request_dispatcher.h"
#include "node/downstream/request_validator.h"
#include "node/telemetry/metrics.h"

namespace asterdrift::node::downstream {

class Connection;

using ConnectionList = std::list<std::shared_ptr<Connection>>;

// Connections by what they do, each list in the order in which they began to.
struct ConnectionLists {
  ConnectionList fresh;      // have sent nothing yet
  ConnectionList idle;       // have had a response and sent nothing since
  ConnectionList reading;    // a request is arriving
  ConnectionList uploading;  // the dispatcher has the request, and its body is still arriving
  ConnectionList writing;    // the response is being written
  ConnectionList closing;    // have their last response
};

struct ServerState {
  ServerState(boost::asio::io_context& io, const config::NodeConfig& config,
              dispatch::RequestDispatcher& dispatcher, base::MemoryBudget& body_budget,
              telemetry::Metrics& metrics, std::size_t max_connections, std::function<void()> on_closed)
      : io(io),
        dispatcher(dispatcher),
        body_budget(body_budget),
        metrics(metrics),
        validator(config),
        max_connections(max_connections),
        on_connection_closed(std::move(on_closed)) {}

  // Whether this process can serve, as clients and operators are told.
  bool is_ready() const { return dispatcher.is_ready() && is_listening && !is_draining; }
  // Whether so many connections wait for responses that further requests are rejected.
  bool is_crowded() const { return busy_connections > max_connections - max_connections / 8; }
  bool has_too_many_connections() const { return connections > max_connections; }

  boost::asio::io_context& io;
  dispatch::RequestDispatcher& dispatcher;
  base::MemoryBudget& body_budget;
  telemetry::Metrics& metrics;
  const RequestValidator validator;
  std::size_t max_connections;
  const std::function<void()> on_connection_closed;

  ConnectionLists lists;
  std::size_t connections = 0;
  std::size_t busy_connections = 0;  // that wait for a response or get one
  std::size_t pending_requests = 0;  // without a complete response
  bool is_listening = false;
  bool is_draining = false;
  bool closes_after_responses = false;           // responses end their connections
  std::array<char, 16 * 1024> read_buffer = {};  // one for all: the process has one thread
};

}  // namespace asterdrift::node::downstream
