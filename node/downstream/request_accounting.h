// Counts the requests of one connection.
#pragma once

#include <cstddef>
#include <optional>

#include "node/downstream/server_state.h"

namespace asterdrift::node::downstream {

// Updates the metrics and the server's number of pending requests. request_class is the index of the current
// request's class, and empty if the request has no known class.
class RequestAccounting {
 public:
  // server has to outlive this object.
  explicit RequestAccounting(ServerState& server) : server_(server) {}

  // Called when the current request is passed to the dispatcher.
  void on_dispatched();
  // Called when the response has been written completely. A valid request that was rejected before it reached
  // the dispatcher is counted too.
  void on_response_written(std::optional<std::size_t> request_class, unsigned status);
  // Called when the connection is closed. If a dispatched request has no complete response, it is counted as
  // one without a response.
  void on_connection_closed(std::optional<std::size_t> request_class);

 private:
  void count(std::size_t request_class, unsigned status);

  ServerState& server_;
  bool is_dispatched_ = false;  // whether a request has been dispatched and has no complete response
};

}  // namespace asterdrift::node::downstream
