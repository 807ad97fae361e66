// Dispatches requests: executes the balancer's actions, and notifies the balancer of events.
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

// How long a node that knows endpoints from its configuration, and thus from an earlier process, waits for a
// newer endpoint list.
constexpr Seconds kFirstEndpointListTimeout = 1;

RequestDeadline to_deadline(const DownstreamRequest& request) {
  return {request.received_at, request.timeout};
}

bool is_expired(const DownstreamRequest& request) {
  return request.upstream_request->body_stream == nullptr && now() >= to_deadline(request).attempts_end_at();
}

balancer::EndpointUpdate to_endpoint_update(const config::EndpointList& list) {
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
                                     std::size_t max_upstream_connections, RequestHistory& history,
                                     std::function<void()> start_watch)
    : io_(io),
      balancer_(io, config, *this),
      pool_(io, config, body_budget, metrics, max_upstream_connections),
      history_(history),
      start_watch_(std::move(start_watch)),
      config_(config) {}

void RequestDispatcher::start() {
  balancer_.handle_event(balancer::ReplicaStarted{});
  if (!config_.settings.requires_watch) start_watch_();  // a watch also receives pushed endpoint lists
  if (!config_.known_endpoints) return;
  apply_endpoint_list(*config_.known_endpoints);
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      io_, timing::to_time_point(now() + kFirstEndpointListTimeout));
  timer->async_wait([this, timer](const error_code&) { endpoint_list_is_current_ = true; });
}

void RequestDispatcher::execute(const balancer::SendAttempt& action) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(action.id);
  if (request == nullptr) return;
  if (!is_repeatable(request->downstream_request)) {
    history_.insert(request->downstream_request.client_request_id, now());
  }
  const AttemptNumber number = request->add_attempt(now());
  if (!request->may_send_last_attempt()) {
    return handle_upstream_result(request->id, number, {Outcome::kNotSent, {}, {}, {}, 0});
  }
  upstream::AttemptHandle handle =
      pool_.start_attempt(action.endpoint, request->downstream_request.upstream_request, action.timeout,
                          action.write_within, make_attempt_callbacks(request->id, number));
  request->find_attempt(number)->handle = std::move(handle);
}

void RequestDispatcher::execute(const balancer::RejectRequest& action) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(action.id);
  if (request == nullptr) return;
  respond(*request, {.status = kServiceUnavailable, .retry_after = action.retry_after});
  remove_if_done(request->id);
}

void RequestDispatcher::execute(const balancer::FailRequest& action) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(action.id);
  if (request == nullptr) return;
  respond(*request, {.status = kBadGateway});
  remove_if_done(request->id);
}

void RequestDispatcher::execute(const balancer::CancelAttempt& action) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(action.id);
  if (request == nullptr) return;
  const Attempt* const attempt = request->find_attempt(action.attempt);
  if (attempt != nullptr) pool_.stop(attempt->handle, Outcome::kCancelled);
}

void RequestDispatcher::execute(const balancer::WatchEndpoints&) { start_watch_(); }

void RequestDispatcher::on_action_failed(const std::string& id) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr) return;
  try {
    end_after_failure(*request);
  } catch (const std::exception& error) {
    telemetry::log_line("request " + id + " could not be ended after a failed action: " + error.what());
  }
}

// How far the failed action was executed is not known, so an attempt that the action left without a
// connection counts as one that may have run.
void RequestDispatcher::end_after_failure(InFlightRequest& request) {
  if (request.awaits_response()) {
    const ResponseCallback on_response = end_request(request);
    on_response(request.may_have_run() ? DownstreamResponse{.status = kBadGateway} : rejection_response());
  }
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const bool has_connection = !request.attempts[i].handle.connection.expired();
    if (request.attempts[i].is_open() && !has_connection) {
      handle_upstream_result(request.id, static_cast<AttemptNumber>(i), {Outcome::kUnknown, {}, {}, {}, 0});
    }
  }
  abort(request.id);
}

void RequestDispatcher::on_attempt_result_handled(const balancer::AttemptResult& result) {
  if (const std::optional<RequestId> id = parse_request_id(result.id)) remove_if_done(*id);
}

RequestId RequestDispatcher::dispatch(DownstreamRequest request, ResponseCallback on_response) {
  const RequestId id = requests_.next_id();
  if (is_expired(request)) {  // the request has waited behind another request, or unread in the socket
    on_response(rejection_response());
    return id;
  }
  request.balancer_request.id = to_text(id);
  request.balancer_request.body_arriving = request.upstream_request->body_stream != nullptr;
  request.balancer_request.time_left = to_deadline(request).attempts_end_at() - now();
  request.upstream_request->is_response_awaited = [this, id] { return is_response_awaited(id); };
  const auto in_flight =
      std::make_shared<InFlightRequest>(io_, id, std::move(request), std::move(on_response));
  requests_.insert(in_flight);
  if (!in_flight->downstream_request.upstream_request->body_stream) {
    expire_at(*in_flight, to_deadline(in_flight->downstream_request).final_response_at());
  }
  balancer_.handle_event(in_flight->downstream_request.balancer_request);
  return id;
}

void RequestDispatcher::on_body_received(RequestId id, Seconds received_at) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr || !request->awaits_response()) return;
  Seconds& earliest = request->downstream_request.received_at;
  if (request->has_body_arrived && earliest <= received_at) return;
  request->has_body_arrived = true;
  earliest = received_at;
  expire_at(*request, to_deadline(request->downstream_request).final_response_at());
}

// A client that has sent the last byte awaits a response, whether or not the node reads that byte. While the
// server takes bytes, they are read sooner or later, and a client that is still sending does not lose its
// request. If the client cannot have sent the last byte, the server has the time in which a reader takes
// bytes.
void RequestDispatcher::on_body_blocked(RequestId id, Seconds unread_since, bool may_be_sent) {
  const std::shared_ptr<InFlightRequest> request = find_arriving(id);
  if (request == nullptr) return;
  const Seconds timeout = request->downstream_request.timeout;
  const Seconds earliest = RequestDeadline(unread_since, timeout).final_response_at();
  const Seconds deadline = std::max(earliest, now() + std::min(upstream::kBlockedTime, timeout));
  may_be_sent ? expire_at(*request, deadline) : expire_unless_read(*request, deadline);
}

void RequestDispatcher::on_body_maybe_sent(RequestId id, Seconds sent_after) {
  const std::shared_ptr<InFlightRequest> request = find_arriving(id);
  if (request == nullptr) return;
  const Seconds timeout = request->downstream_request.timeout;
  const Seconds deadline = RequestDeadline(sent_after, timeout).final_response_at();
  if (now() >= deadline) return expire(id);
  expire_at(*request, deadline);
}

void RequestDispatcher::on_body_resumed(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = find_arriving(id);
  if (request != nullptr) request->deadline_timer.cancel();
}

// Lets the request expire at `time`, or later when its server counts as having stopped reading the upload.
void RequestDispatcher::expire_unless_read(InFlightRequest& request, Seconds time) {
  request.deadline_timer.expires_at(timing::to_time_point(time));
  request.deadline_timer.async_wait([this, id = request.id](const error_code& error) {
    const std::shared_ptr<InFlightRequest> arriving = error ? nullptr : find_arriving(id);
    if (arriving == nullptr) return;
    const Seconds stalled_at = upload_stalled_at(*arriving);
    now() < stalled_at ? expire_unless_read(*arriving, stalled_at) : expire(id);
  });
}

// When the server that an upload is sent to counts as having stopped reading.
Seconds RequestDispatcher::upload_stalled_at(const InFlightRequest& request) {
  Seconds latest = 0;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.is_open())
      latest = std::max(latest, upstream::ConnectionPool::upload_stalled_at(attempt.handle));
  }
  return latest;
}

// Returns a request whose body is still arriving and that awaits a response; null if there is none.
std::shared_ptr<InFlightRequest> RequestDispatcher::find_arriving(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  const bool is_arriving = request != nullptr && request->awaits_response() && !request->has_body_arrived;
  return is_arriving ? request : nullptr;
}

bool RequestDispatcher::is_repeatable(const DownstreamRequest& request) const {
  const std::size_t request_class = request.balancer_request.request_class;
  return config_.settings.classes[request_class].idempotency == balancer::Idempotency::kIdempotent;
}

bool RequestDispatcher::may_have_run(const DownstreamRequest& request) const {
  return !is_repeatable(request) && history_.contains(request.client_request_id, now());
}

void RequestDispatcher::on_response_delivered(const std::string& client_request_id) {
  history_.erase(client_request_id);
}

void RequestDispatcher::on_response_lost(const std::string& client_request_id) {
  history_.insert(client_request_id, now());
}

void RequestDispatcher::remove_if_done(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = requests_.remove_if_done(id);
  const bool has_run = request == nullptr || request->may_have_run();
  if (!has_run) history_.erase(request->downstream_request.client_request_id);
}

void RequestDispatcher::on_client_disconnected(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr || !request->awaits_response()) return;
  end_request(*request);
  abort(id);
}

// Whether a request has no final response and its client is still connected. This is checked before anything
// is sent to a server: a late event loop may handle an event that starts an attempt before it handles an
// earlier disconnection of the client.
bool RequestDispatcher::is_response_awaited(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr || !request->awaits_response()) return false;
  const auto& has_client_disconnected = request->downstream_request.has_client_disconnected;
  if (!has_client_disconnected || !has_client_disconnected()) return true;
  on_client_disconnected(id);
  return false;
}

// Lets the request expire at `time`, instead of an earlier choice.
void RequestDispatcher::expire_at(InFlightRequest& request, Seconds time) {
  request.deadline_timer.expires_at(timing::to_time_point(time));
  request.deadline_timer.async_wait([this, id = request.id](const error_code& error) {
    if (!error) expire(id);
  });
}

// Sends the client a final response even if the balancer has not ended the request in time.
void RequestDispatcher::expire(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr || !request->awaits_response()) return;
  const ResponseCallback on_response = end_request(*request);
  on_response(request->may_have_run() ? DownstreamResponse{.status = kGatewayTimeout} : rejection_response());
  abort(id);
}

void RequestDispatcher::abort(RequestId id) {
  balancer_.handle_event(balancer::RequestAborted{to_text(id)});
  remove_if_done(id);
}

void RequestDispatcher::expire_all_requests() {
  for (const RequestId id : requests_.ids()) expire(id);
}

DownstreamResponse RequestDispatcher::rejection_response() const {
  return {.status = kServiceUnavailable, .retry_after = config_.settings.max_retry_after / 2};
}

// The only function that ends requests: takes the response callback from the request and returns it. Attempts
// whose request has not been written completely are withdrawn. Unlike a cancellation, this needs no decision
// of the balancer.
ResponseCallback RequestDispatcher::end_request(InFlightRequest& request) {
  ResponseCallback on_response = std::exchange(request.on_response, nullptr);
  request.deadline_timer.cancel();
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {  // withdraw() may end attempts and add new ones
    const upstream::AttemptHandle attempt = request.attempts[i].handle;
    if (request.attempts[i].is_open()) pool_.withdraw(attempt);
  }
  return on_response;
}

// Does nothing if the request already has its final response.
void RequestDispatcher::respond(InFlightRequest& request, DownstreamResponse&& response) {
  if (!request.awaits_response()) return;
  const ResponseCallback on_response = end_request(request);
  on_response(std::move(response));
}

upstream::AttemptCallbacks RequestDispatcher::make_attempt_callbacks(RequestId id, AttemptNumber number) {
  upstream::AttemptCallbacks callbacks;
  callbacks.on_result = [this, id, number](upstream::UpstreamResult&& result) {
    handle_upstream_result(id, number, std::move(result));
  };
  callbacks.on_response_started = [this, id, number](upstream::StreamedResponse&& response) {
    handle_response_started(id, number, std::move(response));
  };
  callbacks.on_body_stream_consumed = [this, id] {
    balancer_.handle_event(balancer::RequestBodyConsumed{to_text(id)});
  };
  callbacks.on_body_stream_sent = [this, id, number] {
    balancer_.handle_event(balancer::RequestBodySent{to_text(id), number});
  };
  return callbacks;
}

void RequestDispatcher::handle_upstream_result(RequestId id, AttemptNumber number,
                                               upstream::UpstreamResult&& result) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr) return;
  Attempt& attempt = *request->find_attempt(number);
  // If the start of the attempt failed, end_after_failure() has already ended the attempt.
  if (!attempt.is_open()) return;
  attempt.end(result.outcome);
  const Seconds sent_at = std::max(attempt.sent_at, result.body_stream_sent_at);
  if (result.outcome == Outcome::kSuccess) {
    respond(*request, {.status = kOk,
                       .body = std::move(result.body),
                       .content_type = std::move(result.content_type),
                       .body_reservation = std::move(result.body_reservation)});
  }
  balancer_.handle_event(balancer::AttemptResult{to_text(id), number, result.outcome, now() - sent_at,
                                                 !request->awaits_response()});
}

void RequestDispatcher::handle_response_started(RequestId id, AttemptNumber number,
                                                upstream::StreamedResponse&& response) {
  const std::shared_ptr<InFlightRequest> request = requests_.find(id);
  if (request == nullptr || !request->awaits_response()) return response.body->abandon();
  const Seconds sent_at = std::max(request->find_attempt(number)->sent_at, response.body_stream_sent_at);
  respond(*request, {.status = kOk,
                     .content_type = std::move(response.content_type),
                     .streamed_body = std::move(response.body),
                     .content_length = response.content_length});
  balancer_.handle_event(balancer::ResponseStarted{to_text(id), number, now() - sent_at});
}

void RequestDispatcher::on_endpoint_list(const config::EndpointList& list) {
  endpoint_list_is_current_ = true;
  apply_endpoint_list(list);
}

// The balancer is notified of a draining endpoint before it is notified of the attempts that are stopped by
// the drain. New endpoints are added to the pool before the balancer can select them.
void RequestDispatcher::apply_endpoint_list(const config::EndpointList& list) {
  const std::vector<upstream::AttemptHandle> stopped = pool_.apply(list);
  has_endpoints_ = pool_.endpoint_count() > 0;
  balancer_.handle_event(to_endpoint_update(list));
  for (const upstream::AttemptHandle& attempt : stopped) pool_.stop(attempt, Outcome::kNotSent);
}

void RequestDispatcher::on_watch_failed() {
  balancer::EndpointUpdate update;
  update.form = balancer::EndpointUpdate::Form::kWatchFailed;
  balancer_.handle_event(std::move(update));
}

}  // namespace asterdrift::node::dispatch
