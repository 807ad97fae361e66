// Counts one connection's requests for the metrics and for the server's number of pending requests.
#pragma once

#include <cstddef>
#include <optional>

#include "node/downstream/server_state.h"

namespace asterdrift::node::downstream {

// request_class: the index of the current request's class; empty where the request has none that is known.
class RequestAccounting {
 public:
  // server has to outlive this.
  explicit RequestAccounting(ServerState& server) : server_(server) {}

  // The dispatcher takes the current request.
  void on_dispatched();
  // The response has been written completely. A valid request that was rejected before it reached the
  // dispatcher is counted too.
  void on_response_written(std::optional<std::size_t> request_class, unsigned status);
  // The connection has ended, and with it a dispatched request without a complete response.
  void on_connection_closed(std::optional<std::size_t> request_class);

 private:
  void count(std::size_t request_class, unsigned status);

  ServerState& server_;
  bool is_dispatched_ = false;  // and has no complete response
};

}  // namespace asterdrift::node::downstream
