// Connects the balancer to the sockets: takes requests, sends attempts, and responds.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "node/config/node_config.h"
#include "node/dispatch/balancer_host.h"
#include "node/dispatch/in_flight_request.h"
#include "node/dispatch/messages.h"
#include "node/dispatch/request_id.h"
#include "node/dispatch/request_table.h"
#include "node/upstream/connection_pool.h"

namespace asterdrift::node::dispatch {

// Each request gets exactly one final response.
class RequestDispatcher : private BalancerActionHandler {
 public:
  // watch: called where the balancer requests a watch on discovery. config has to outlive the dispatcher.
  RequestDispatcher(boost::asio::io_context& io, const config::NodeConfig& config,
                    memory::MemoryBudget& body_budget, telemetry::Metrics& metrics,
                    std::size_t max_upstream_connections, std::function<void()> watch);

  void start();

  // Takes a request. on_response is called exactly once, perhaps before this returns, unless the client
  // disconnects first. Where the rest of the body is still arriving, the request's time counts from
  // the arrival that on_body_received() tells.
  RequestId dispatch(DownstreamRequest request, ResponseCallback on_response);
  // received_at: when the last byte of the body arrived, on the steady clock.
  void on_body_received(RequestId id, double received_at);

  // Whether a request with this Request-Id header is in flight, or has open attempts.
  bool is_in_flight(const std::string& client_request_id) const {
    return requests_.contains_client_request_id(client_request_id);
  }

  // The client has disconnected and awaits no response.
  void on_client_disconnected(RequestId id);

  // Responds to all open requests, as for a deadline that has passed.
  void expire_all_requests();

  // The response to requests that the node itself rejects.
  DownstreamResponse rejection_response() const;

  void on_endpoint_list(const config::EndpointList& list);
  void on_watch_failed();

  // Whether requests can be served: there is an endpoint, and the endpoint list is current.
  bool is_ready() const { return endpoint_list_is_current_ && has_endpoints_; }
  // Whether discovery has brought a list or has had the time to bring one. Until then the endpoints may be
  // older than those of which this process has been notified.
  bool is_endpoint_list_current() const { return endpoint_list_is_current_; }
  void set_max_upstream_connections(std::size_t connections) { pool_.set_max_connections(connections); }
  balancer::EndpointMetrics endpoints() const { return balancer_.endpoints(); }

 private:
  // Actions of the balancer.
  void run(const balancer::SendAttempt& action) override;
  void run(const balancer::RejectRequest& action) override;
  void run(const balancer::FailRequest& action) override;
  void run(const balancer::CancelAttempt& action) override;
  void run(const balancer::WatchEndpoints& action) override;
  void on_action_failed(const std::string& id) override;
  void on_attempt_result_handled(const balancer::AttemptResult& result) override;

  void set_deadline(InFlightRequest& request);
  bool is_response_awaited(RequestId id);
  void expire(RequestId id);
  void abort(RequestId id);
  void end_after_failure(InFlightRequest& request);
  ResponseCallback close(InFlightRequest& request);
  void respond(InFlightRequest& request, DownstreamResponse&& response);

  upstream::AttemptCallbacks attempt_callbacks(RequestId id, AttemptNumber number);
  void handle_attempt_end(RequestId id, AttemptNumber number, upstream::AttemptEnd&& end);
  void handle_response_started(RequestId id, AttemptNumber number, upstream::StreamedResponse&& response);

  void apply_endpoints(const config::EndpointList& list);

  boost::asio::io_context& io_;
  BalancerHost balancer_;
  upstream::ConnectionPool pool_;
  const std::function<void()> watch_;
  const config::NodeConfig& config_;
  RequestTable requests_;
  bool endpoint_list_is_current_ = false, has_endpoints_ = false;
};

}  // namespace asterdrift::node::dispatch
