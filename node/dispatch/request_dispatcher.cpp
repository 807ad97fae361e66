#include "node/dispatch/request_dispatcher.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <utility>
#include <vector>

#include "node/dispatch/request_deadline.h"
#include "node/http/status.h"
#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::dispatch {
namespace {

using balancer::Outcome;
using boost::system::error_code;
using http::kBadGateway;
using http::kGatewayTimeout;
using http::kOk;
using http::kServiceUnavailable;
using timing::now;

constexpr double kFirstListTimeout = 1;  // s that a node with known endpoints waits for a newer list

RequestDeadline deadline_of(const DownstreamRequest& request) {
  return {request.received_at, request.timeout};
}

bool is_expired(const DownstreamRequest& request) {
  return request.upstream_request->body_stream == nullptr && now() >= deadline_of(request).attempts_end_at();
}

balancer::EndpointUpdate update_of(const config::EndpointList& list) {
  balancer::EndpointUpdate update;
  update.form = list.is_snapshot ? balancer::EndpointUpdate::Form::kSnapshot
                                 : balancer::EndpointUpdate::Form::kIncremental;
  update.endpoints.reserve(list.endpoints.size());
  for (const config::ListedEndpoint& listed : list.endpoints) update.endpoints.push_back(listed.endpoint);
  return update;
}

}  // namespace

RequestDispatcher::RequestDispatcher(boost::asio::io_context& io, const config::NodeConfig& config,
                                     memory::MemoryBudget& body_budget, telemetry::Metrics& metrics,
                                     std::size_t max_upstream_connections, std::function<void()> watch)
    : io_(io),
      balancer_(io, config, *this),
      pool_(io, config, body_budget, metrics, max_upstream_connections),
      watch_(std::move(watch)),
      config_(config) {}

void RequestDispatcher::start() {
  balancer_.post(balancer::ReplicaStarted{});
  if (!config_.settings.requires_watch) watch_();  // pushed lists come on the same stream
  if (!config_.known_endpoints) return;
  apply_endpoints(*config_.known_endpoints);
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, timing::to_time_point(now() + kFirstListTimeout));
  timer->async_wait([this, timer](const error_code&) { endpoint_list_is_current_ = true; });
}

void RequestDispatcher::run(const balancer::SendAttempt& action) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(action.id);
  if (request == nullptr) return;
  const AttemptNumber number = request->add_attempt(now());
  if (!request->may_send_last_attempt()) {
    return handle_attempt_end(request->id, number, {Outcome::kNotSent, {}, {}, {}, 0});
  }
  upstream::AttemptHandle handle =
      pool_.start(action.endpoint, request->request.upstream_request, action.timeout, action.write_within,
                  attempt_callbacks(request->id, number));
  request->find_attempt(number)->handle = std::move(handle);
}

void RequestDispatcher::run(const balancer::RejectRequest& action) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(action.id);
  if (request == nullptr) return;
  respond(*request, {.status = kServiceUnavailable, .retry_after = action.retry_after});
  requests_.remove_if_done(request->id);
}

void RequestDispatcher::run(const balancer::FailRequest& action) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(action.id);
  if (request == nullptr) return;
  respond(*request, {.status = kBadGateway});
  requests_.remove_if_done(request->id);
}

void RequestDispatcher::run(const balancer::CancelAttempt& action) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(action.id);
  if (request == nullptr) return;
  const Attempt* const attempt = request->find_attempt(action.attempt);
  if (attempt != nullptr) pool_.stop(attempt->handle, Outcome::kCancelled);
}

void RequestDispatcher::run(const balancer::WatchEndpoints&) { watch_(); }

void RequestDispatcher::on_action_failed(const std::string& id) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr) return;
  try {
    end_after_failure(*request);
  } catch (const std::exception& error) {
    telemetry::log_line("request " + id + " could not be ended: " + error.what());
  }
}

// How far the action has come is not known: an attempt that it has left without a connection may have run.
void RequestDispatcher::end_after_failure(InFlightRequest& request) {
  if (request.is_open()) {
    const ResponseCallback on_response = close(request);
    on_response(request.may_have_run() ? DownstreamResponse{.status = kBadGateway} : rejection_response());
  }
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const bool has_connection = !request.attempts[i].handle.connection.expired();
    if (request.attempts[i].is_open() && !has_connection) {
      handle_attempt_end(request.id, static_cast<AttemptNumber>(i), {Outcome::kUnknown, {}, {}, {}, 0});
    }
  }
  abort(request.id);
}

void RequestDispatcher::on_attempt_result_handled(const balancer::AttemptResult& result) {
  if (const std::optional<RequestId> id = parse_request_id(result.id)) requests_.remove_if_done(*id);
}

RequestId RequestDispatcher::dispatch(DownstreamRequest request, ResponseCallback on_response) {
  const RequestId id = requests_.next_id();
  if (is_expired(request)) {  // it has waited behind another one, or in the socket
    on_response(rejection_response());
    return id;
  }
  request.balancer_request.id = to_text(id);
  request.balancer_request.body_arriving = request.upstream_request->body_stream != nullptr;
  request.balancer_request.time_left = deadline_of(request).attempts_end_at() - now();
  request.upstream_request->is_response_awaited = [this, id] { return is_response_awaited(id); };
  const auto in_flight =
      std::make_shared<InFlightRequest>(io_, id, std::move(request), std::move(on_response));
  requests_.insert(in_flight);
  if (!in_flight->request.upstream_request->body_stream) set_deadline(*in_flight);
  balancer_.post(in_flight->request.balancer_request);
  return id;
}

void RequestDispatcher::on_body_received(RequestId id, double received_at) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr || !request->is_open()) return;
  request->request.received_at = received_at;
  set_deadline(*request);
}

void RequestDispatcher::on_client_disconnected(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr || !request->is_open()) return;
  close(*request);
  abort(id);
}

// Whether a request is open and its client still connected. Checked before anything is sent: where the event
// loop is late, it may handle what starts an attempt before it handles an earlier disconnection.
bool RequestDispatcher::is_response_awaited(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr || !request->is_open()) return false;
  const auto& has_client_disconnected = request->request.has_client_disconnected;
  if (!has_client_disconnected || !has_client_disconnected()) return true;
  on_client_disconnected(id);
  return false;
}

void RequestDispatcher::set_deadline(InFlightRequest& request) {
  request.deadline.expires_at(timing::to_time_point(deadline_of(request.request).final_response_at()));
  request.deadline.async_wait([this, id = request.id](const error_code& error) {
    if (!error) expire(id);
  });
}

// The client gets a final response also where the balancer has not ended the request in time.
void RequestDispatcher::expire(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr || !request->is_open()) return;
  const ResponseCallback on_response = close(*request);
  on_response(request->may_have_run() ? DownstreamResponse{.status = kGatewayTimeout} : rejection_response());
  abort(id);
}

void RequestDispatcher::abort(RequestId id) {
  balancer_.post(balancer::RequestAborted{to_text(id)});
  requests_.remove_if_done(id);
}

void RequestDispatcher::expire_all_requests() {
  for (const RequestId id : requests_.ids()) expire(id);
}

DownstreamResponse RequestDispatcher::rejection_response() const {
  return {.status = kServiceUnavailable, .retry_after = config_.settings.max_retry_after / 2};
}

// Every request ends here. Attempts that have not been written completely are withdrawn: that is no
// cancellation, and needs no permission of the balancer.
ResponseCallback RequestDispatcher::close(InFlightRequest& request) {
  ResponseCallback on_response = std::exchange(request.on_response, nullptr);
  request.deadline.cancel();
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {  // withdraw() may end and add attempts
    const upstream::AttemptHandle attempt = request.attempts[i].handle;
    if (request.attempts[i].is_open()) pool_.withdraw(attempt);
  }
  return on_response;
}

// A second response is discarded.
void RequestDispatcher::respond(InFlightRequest& request, DownstreamResponse&& response) {
  if (!request.is_open()) return;
  const ResponseCallback on_response = close(request);
  on_response(std::move(response));
}

upstream::AttemptCallbacks RequestDispatcher::attempt_callbacks(RequestId id, AttemptNumber number) {
  upstream::AttemptCallbacks callbacks;
  callbacks.on_end = [this, id, number](upstream::AttemptEnd&& end) {
    handle_attempt_end(id, number, std::move(end));
  };
  callbacks.on_response_started = [this, id, number](upstream::StreamedResponse&& response) {
    handle_response_started(id, number, std::move(response));
  };
  callbacks.on_body_consumed = [this, id] { balancer_.post(balancer::RequestBodyConsumed{to_text(id)}); };
  callbacks.on_request_sent = [this, id, number] {
    balancer_.post(balancer::RequestBodySent{to_text(id), number});
  };
  return callbacks;
}

void RequestDispatcher::handle_attempt_end(RequestId id, AttemptNumber number, upstream::AttemptEnd&& end) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr) return;
  Attempt& attempt = *request->find_attempt(number);
  if (!attempt.is_open()) return;  // its start has failed, see on_action_failed()
  attempt.end(end.outcome);
  const double sent_at = std::max(attempt.sent_at, end.sent_at);
  if (end.outcome == Outcome::kSuccess) {
    respond(*request, {.status = kOk,
                       .body = std::move(end.body),
                       .content_type = std::move(end.content_type),
                       .body_reservation = std::move(end.body_reservation)});
  }
  balancer_.post(
      balancer::AttemptResult{to_text(id), number, end.outcome, now() - sent_at, !request->is_open()});
}

void RequestDispatcher::handle_response_started(RequestId id, AttemptNumber number,
                                                upstream::StreamedResponse&& response) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr || !request->is_open()) return response.body->abandon();
  const double sent_at = std::max(request->find_attempt(number)->sent_at, response.sent_at);
  respond(*request, {.status = kOk,
                     .content_type = std::move(response.content_type),
                     .streamed_body = std::move(response.body),
                     .content_length = response.content_length});
  balancer_.post(balancer::ResponseStarted{to_text(id), number, now() - sent_at});
}

void RequestDispatcher::on_endpoint_list(const config::EndpointList& list) {
  endpoint_list_is_current_ = true;
  apply_endpoints(list);
}

// The balancer is notified of a drain before it is notified of the attempts that the drain has stopped. New
// endpoints are in the pool before the balancer can select them.
void RequestDispatcher::apply_endpoints(const config::EndpointList& list) {
  const std::vector<upstream::AttemptHandle> stopped = pool_.apply(list);
  has_endpoints_ = pool_.endpoints() > 0;
  balancer_.post(update_of(list));
  for (const upstream::AttemptHandle& attempt : stopped) pool_.stop(attempt, Outcome::kNotSent);
}

void RequestDispatcher::on_watch_failed() {
  balancer::EndpointUpdate update;
  update.form = balancer::EndpointUpdate::Form::kWatchFailed;
  balancer_.post(std::move(update));
}

}  // namespace asterdrift::node::dispatch
