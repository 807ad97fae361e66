// Hosts the balancer: turns what happens on sockets into its events, and its actions into I/O.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "node/config/node_config.h"
#include "node/dispatch/messages.h"
#include "node/dispatch/request_id.h"
#include "node/upstream/connection_pool.h"

namespace asterdrift::node::dispatch {

// Owns the balancer, the requests in flight and their deadlines. Each request gets exactly one final
// response.
class RequestDispatcher {
 public:
  using ResponseCallback = std::function<void(Response&&)>;

  // watch: called where the balancer asks for a watch on discovery. config has to outlive the dispatcher.
  RequestDispatcher(boost::asio::io_context& io, const config::NodeConfig& config,
                    memory::MemoryBudget& body_budget, telemetry::Metrics& metrics,
                    std::size_t max_upstream_connections, std::function<void()> watch);

  void start();

  // Takes a request. on_response is called exactly once, perhaps before this returns, unless the client
  // disconnects first. Where the rest of the body is still arriving, the request's time counts from
  // body_received().
  RequestId dispatch(DownstreamRequest request, ResponseCallback on_response);
  void body_received(RequestId id);

  // Whether a request with this client's id is in flight, or has attempts out.
  bool is_in_flight(const std::string& client_id) const { return client_ids_.contains(client_id); }

  // The client has disconnected: no response is owed any more.
  void client_disconnected(RequestId id);

  // Answers all open requests, as for a deadline that has passed.
  void expire_all();

  // The response to requests that the node itself rejects.
  Response rejection() const;

  void apply(const config::EndpointList& list);
  void handle_watch_failure();

  // Whether requests can be served: there is an endpoint, and discovery has brought a list or has had its
  // time.
  bool is_ready() const { return list_is_current_ && has_endpoints_; }
  // Until then what this process knows of the endpoints may be older than what it counts as notified of.
  bool list_is_current() const { return list_is_current_; }
  void set_max_upstream_connections(std::size_t connections) { pool_.set_max_connections(connections); }
  balancer::EndpointSetView endpoints() const;

 private:
  struct Attempt {
    upstream::AttemptHandle handle;
    double sent_at = 0;
    bool open = true, may_have_run = true;
  };
  struct InFlightRequest {
    InFlightRequest(boost::asio::io_context& io, DownstreamRequest&& downstream, ResponseCallback&& callback)
        : request(std::move(downstream)), on_response(std::move(callback)), deadline(io) {}

    DownstreamRequest request;
    ResponseCallback on_response;  // empty once the request has its final response
    boost::asio::steady_timer deadline;
    std::vector<Attempt> attempts;
  };

  // Events and actions.
  void post(balancer::Event event);
  void handle_next_event();
  void run(const balancer::SendAttempt& action);
  void run(const balancer::RejectRequest& action);
  void run(const balancer::FailRequest& action);
  void run(const balancer::CancelAttempt& action);
  void run(const balancer::SetTimer& action);
  void run(const balancer::WatchEndpoints& action);
  void run(const balancer::LogLine& action);

  void apply_endpoints(const config::EndpointList& list);

  // Requests.
  std::shared_ptr<InFlightRequest> find(RequestId id) const;
  std::shared_ptr<InFlightRequest> find(const std::string& id_text) const;
  bool is_wanted(RequestId id);
  void set_deadline(RequestId id, InFlightRequest& request);
  void expire(RequestId id);
  ResponseCallback close(InFlightRequest& request);
  void respond(InFlightRequest& request, Response&& response);
  void forget_if_done(RequestId id);
  void forget_if_done(const std::string& id_text);

  // Attempts.
  static bool may_send_last_attempt(const InFlightRequest& request);
  upstream::AttemptCallbacks attempt_callbacks(RequestId id, AttemptNumber attempt);
  void handle_attempt_end(RequestId id, AttemptNumber attempt, upstream::AttemptEnd&& end);
  void handle_response_started(RequestId id, AttemptNumber attempt, upstream::StreamedResponse&& response);

  boost::asio::io_context& io_;
  balancer::Balancer balancer_;
  upstream::ConnectionPool pool_;
  const std::function<void()> watch_;
  const config::NodeConfig& config_;
  std::unordered_map<RequestId, std::shared_ptr<InFlightRequest>> requests_;
  std::unordered_set<std::string> client_ids_;  // of all requests_
  std::deque<balancer::Event> events_;
  std::vector<balancer::Action> actions_;
  bool is_handling_events_ = false;
  std::uint64_t last_id_ = 0;  // of RequestId
  bool list_is_current_ = false, has_endpoints_ = false;
};

}  // namespace asterdrift::node::dispatch
