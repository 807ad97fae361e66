// Connects the balancer to the sockets: accepts requests, sends attempts to servers, and responds to clients.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "asterdrift/seconds.h"
#include "node/config/node_config.h"
#include "node/dispatch/balancer_host.h"
#include "node/dispatch/in_flight_request.h"
#include "node/dispatch/messages.h"
#include "node/dispatch/request_history.h"
#include "node/dispatch/request_id.h"
#include "node/dispatch/request_table.h"
#include "node/upstream/connection_pool.h"

namespace asterdrift::node::dispatch {

// Each accepted request gets exactly one final response, unless its client disconnects first.
class RequestDispatcher : private BalancerActionHandler {
 public:
  // start_watch: called when the balancer requests a watch on discovery. config, body_budget, metrics and
  // history have to outlive the dispatcher.
  RequestDispatcher(boost::asio::io_context& io, const config::NodeConfig& config,
                    memory::MemoryBudget& body_budget, telemetry::Metrics& metrics,
                    std::size_t max_upstream_connections, RequestHistory& history,
                    std::function<void()> start_watch);

  void start();

  // Accepts a request. on_response is called exactly once, possibly before this function returns, unless the
  // client disconnects first. If the request's body is still arriving, the request's timeout counts from the
  // time that is passed to on_body_received().
  RequestId dispatch(DownstreamRequest request, ResponseCallback on_response);
  // The last byte of a request's body arrived at `received_at` or earlier, on the steady clock.
  void on_body_received(RequestId id, Seconds received_at);
  // The server takes no more bytes of the request's body, which is therefore not read. The last byte may have
  // arrived as early as `unread_since`, so the request's timeout counts from then until on_body_resumed().
  // may_be_sent: whether the client can have sent the last byte. If not, the request does not expire before
  // its server counts as having stopped reading.
  void on_body_blocked(RequestId id, Seconds unread_since, bool may_be_sent);
  // The last byte of the request's body has not been read, but its client may have sent it as early as
  // `sent_after`, so the request's timeout counts from then until on_body_resumed().
  void on_body_maybe_sent(RequestId id, Seconds sent_after);
  // The server has taken bytes of the request's body again, or the client has not sent the last byte.
  void on_body_resumed(RequestId id);

  // Whether a request with this value of the Request-Id header has no final response yet, or has open
  // attempts.
  bool is_in_flight(const std::string& client_request_id) const {
    return requests_.contains_client_request_id(client_request_id);
  }

  // Whether requests of this class may run any number of times.
  bool is_repeatable(const DownstreamRequest& request) const;
  // Whether a request with this Request-Id may have run, in any process of this node, and its client is not
  // known to have its response. Always false for repeatable requests.
  bool may_have_run(const DownstreamRequest& request) const;
  // The client has the complete response: from now on the client alone decides whether the request may run
  // again.
  void on_response_delivered(const std::string& client_request_id);
  // After on_response_delivered(): the client turned out to have left without reading the response.
  void on_response_lost(const std::string& client_request_id);

  // The client has disconnected and awaits no response to this request.
  void on_client_disconnected(RequestId id);

  // Responds to all requests without a final response as if their deadlines had passed.
  void expire_all_requests();

  // The response to requests that the node rejects without a decision of the balancer.
  DownstreamResponse rejection_response() const;

  void on_endpoint_list(const config::EndpointList& list);
  void on_watch_failed();

  // Whether requests can be served: there is an endpoint, and the endpoint list is current.
  bool is_ready() const { return endpoint_list_is_current_ && has_endpoints_; }
  // Whether discovery has delivered an endpoint list, or has had the time to deliver one. Until then the only
  // endpoints are those of the configuration, if any. They come from an earlier process of the node, and may
  // be outdated.
  bool is_endpoint_list_current() const { return endpoint_list_is_current_; }
  void set_max_upstream_connections(std::size_t connections) { pool_.set_max_connections(connections); }
  balancer::EndpointMetrics endpoint_metrics() const { return balancer_.endpoint_metrics(); }

 private:
  // Implements BalancerActionHandler.
  void execute(const balancer::SendAttempt& action) override;
  void execute(const balancer::RejectRequest& action) override;
  void execute(const balancer::FailRequest& action) override;
  void execute(const balancer::CancelAttempt& action) override;
  void execute(const balancer::WatchEndpoints& action) override;
  void on_action_failed(const std::string& id) override;
  void on_attempt_result_handled(const balancer::AttemptResult& result) override;

  void remove_if_done(RequestId id);
  std::shared_ptr<InFlightRequest> find_arriving(RequestId id);
  void expire_unless_read(InFlightRequest& request, Seconds time);
  static Seconds upload_stalled_at(const InFlightRequest& request);
  void expire_at(InFlightRequest& request, Seconds time);
  bool is_response_awaited(RequestId id);
  void expire(RequestId id);
  void abort(RequestId id);
  void end_after_failure(InFlightRequest& request);
  ResponseCallback end_request(InFlightRequest& request);
  void respond(InFlightRequest& request, DownstreamResponse&& response);

  upstream::AttemptCallbacks make_attempt_callbacks(RequestId id, AttemptNumber number);
  void handle_upstream_result(RequestId id, AttemptNumber number, upstream::UpstreamResult&& result);
  void handle_response_started(RequestId id, AttemptNumber number, upstream::StreamedResponse&& response);

  void apply_endpoint_list(const config::EndpointList& list);

  boost::asio::io_context& io_;
  BalancerHost balancer_;
  upstream::ConnectionPool pool_;
  RequestHistory& history_;
  const std::function<void()> start_watch_;
  const config::NodeConfig& config_;
  RequestTable requests_;
  bool endpoint_list_is_current_ = false, has_endpoints_ = false;
};

}  // namespace asterdrift::node::dispatch
