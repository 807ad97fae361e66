#include "node/dispatch/request_dispatcher.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

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

// A client counts from when it sent the request until it has the response's last byte; this much of its time
// is for the ways there and back, and for a busy moment of this process.
constexpr double kTransferReserve = 0.025;     // s
constexpr double kTransferReservePart = 0.25;  // of the timeout, at most
constexpr double kResponsePart = 0.4;  // of the reserve; the node's own deadline is so long before the limit
constexpr double kFirstListTimeout = 1;  // s; a node that knows endpoints waits so long for a newer list

// Which outcomes prove that an attempt never ran.
bool never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

double transfer_reserve(const DownstreamRequest& request) {
  return std::min(kTransferReserve, request.timeout * kTransferReservePart);
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
      balancer_(config.settings, config.seed),
      pool_(io, config, body_budget, metrics, max_upstream_connections),
      watch_(std::move(watch)),
      config_(config) {}

void RequestDispatcher::start() {
  post(balancer::Started{});
  if (!config_.settings.requires_watch) watch_();  // pushed lists come on the same stream
  if (!config_.known_endpoints) return;
  apply_endpoints(*config_.known_endpoints);
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, timing::time_point_of(now() + kFirstListTimeout));
  timer->async_wait([this, timer](const error_code&) { list_is_current_ = true; });
}

balancer::EndpointSetView RequestDispatcher::endpoints() const { return balancer_.endpoints(now()); }

// ---------------------------------------------------------------- events and actions

// The balancer is not re-entered: events that its actions cause at once wait here until all are done.
void RequestDispatcher::post(balancer::Event event) {
  events_.push_back(std::move(event));
  if (is_handling_events_) return;
  struct Handling {
    explicit Handling(bool& flag) : flag(flag) { flag = true; }
    ~Handling() { flag = false; }
    bool& flag;
  } const handling(is_handling_events_);
  while (!events_.empty()) handle_next_event();
}

void RequestDispatcher::handle_next_event() {
  const balancer::Event event = std::move(events_.front());
  events_.pop_front();
  actions_.clear();
  balancer_.handle(now(), event, actions_);
  for (const balancer::Action& action : actions_) {
    std::visit([this](const auto& each) { run(each); }, action);
  }
  if (const auto* end = std::get_if<balancer::AttemptResult>(&event)) forget_if_done(end->id);
}

void RequestDispatcher::run(const balancer::SendAttempt& action) {
  const std::shared_ptr<InFlightRequest> request = find(action.id);
  if (request == nullptr) return;
  const RequestId id = *parse_request_id(action.id);
  const auto attempt = static_cast<AttemptNumber>(request->attempts.size());
  request->attempts.push_back({{}, now(), true, true});
  if (!may_send_last_attempt(*request)) {
    return handle_attempt_end(id, attempt, {Outcome::kNotSent, {}, {}, {}, 0});
  }
  upstream::AttemptHandle handle = pool_.start(action.endpoint, request->request.forwarded, action.timeout,
                                               action.write_within, attempt_callbacks(id, attempt));
  request->attempts[static_cast<std::size_t>(attempt)].handle = std::move(handle);
}

void RequestDispatcher::run(const balancer::RejectRequest& action) {
  const std::shared_ptr<InFlightRequest> request = find(action.id);
  if (request == nullptr) return;
  respond(*request, {.status = kServiceUnavailable, .retry_after = action.retry_after});
  forget_if_done(action.id);
}

void RequestDispatcher::run(const balancer::FailRequest& action) {
  const std::shared_ptr<InFlightRequest> request = find(action.id);
  if (request == nullptr) return;
  respond(*request, {.status = kBadGateway});
  forget_if_done(action.id);
}

void RequestDispatcher::run(const balancer::CancelAttempt& action) {
  const std::shared_ptr<InFlightRequest> request = find(action.id);
  if (request == nullptr || action.attempt < 0) return;
  const auto attempt = static_cast<std::size_t>(action.attempt);
  if (attempt < request->attempts.size()) pool_.stop(request->attempts[attempt].handle, Outcome::kCancelled);
}

void RequestDispatcher::run(const balancer::SetTimer& action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, timing::time_point_of(action.at));
  timer->async_wait([this, timer, token = action.token](const error_code& error) {
    if (!error) post(balancer::TimerFired{token});
  });
}

void RequestDispatcher::run(const balancer::WatchEndpoints&) { watch_(); }

void RequestDispatcher::run(const balancer::LogLine& action) { telemetry::log_line(action.text); }

// ---------------------------------------------------------------- requests

RequestId RequestDispatcher::dispatch(DownstreamRequest request, ResponseCallback on_response) {
  const RequestId id{++last_id_};
  const double limit = request.received_at + request.timeout;
  request.facts.id = to_text(id);
  request.facts.body_arriving = request.forwarded->body_rest != nullptr;
  request.facts.time_left = limit - transfer_reserve(request) - now();
  client_ids_.insert(request.client_id);
  request.forwarded->is_wanted = [this, id] { return is_wanted(id); };
  const auto in_flight = std::make_shared<InFlightRequest>(io_, std::move(request), std::move(on_response));
  requests_[id] = in_flight;
  if (!in_flight->request.forwarded->body_rest) set_deadline(id, *in_flight);
  post(in_flight->request.facts);
  return id;
}

void RequestDispatcher::body_received(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = find(id);
  if (request == nullptr || !request->on_response) return;
  request->request.received_at = now();
  set_deadline(id, *request);
}

void RequestDispatcher::client_disconnected(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = find(id);
  if (request == nullptr || !request->on_response) return;
  close(*request);
  post(balancer::RequestAborted{to_text(id)});
  forget_if_done(id);
}

// Whether a request is open and its client still there. Asked before anything goes out: in a busy moment what
// lets an attempt begin may be noticed long before the client's end is, which came sooner.
bool RequestDispatcher::is_wanted(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = find(id);
  if (request == nullptr || !request->on_response) return false;
  const auto& has_client_left = request->request.has_client_left;
  if (!has_client_left || !has_client_left()) return true;
  client_disconnected(id);
  return false;
}

void RequestDispatcher::set_deadline(RequestId id, InFlightRequest& request) {
  const double limit = request.request.received_at + request.request.timeout;
  const double deadline = limit - transfer_reserve(request.request) * kResponsePart;
  request.deadline.expires_at(timing::time_point_of(deadline));
  request.deadline.async_wait([this, id](const error_code& error) {
    if (!error) expire(id);
  });
}

// The client gets a final response also where the balancer has not ended the request in time.
void RequestDispatcher::expire(RequestId id) {
  const std::shared_ptr<InFlightRequest> request = find(id);
  if (request == nullptr || !request->on_response) return;
  const ResponseCallback on_response = close(*request);
  const bool may_have_run = std::ranges::any_of(request->attempts, &Attempt::may_have_run);
  on_response(may_have_run ? Response{.status = kGatewayTimeout} : rejection());
  post(balancer::RequestAborted{to_text(id)});
  forget_if_done(id);
}

void RequestDispatcher::expire_all() {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) ids.push_back(id);
  for (const RequestId id : ids) expire(id);
}

Response RequestDispatcher::rejection() const {
  return {.status = kServiceUnavailable, .retry_after = config_.settings.max_retry_after / 2};
}

std::shared_ptr<RequestDispatcher::InFlightRequest> RequestDispatcher::find(RequestId id) const {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : it->second;
}

std::shared_ptr<RequestDispatcher::InFlightRequest> RequestDispatcher::find(
    const std::string& id_text) const {
  const std::optional<RequestId> id = parse_request_id(id_text);
  return id ? find(*id) : nullptr;
}

// The only way to a request's end. Attempts that are not with a server by now stay here: not to send one is
// no cancellation, and needs no permission.
RequestDispatcher::ResponseCallback RequestDispatcher::close(InFlightRequest& request) {
  ResponseCallback on_response = std::exchange(request.on_response, nullptr);
  request.deadline.cancel();
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {  // their ends may be handled meanwhile
    const upstream::AttemptHandle attempt = request.attempts[i].handle;
    if (request.attempts[i].open) pool_.withdraw(attempt);
  }
  return on_response;
}

// A second response is dropped here.
void RequestDispatcher::respond(InFlightRequest& request, Response&& response) {
  if (!request.on_response) return;
  const ResponseCallback on_response = close(request);
  on_response(std::move(response));
}

void RequestDispatcher::forget_if_done(const std::string& id_text) {
  if (const std::optional<RequestId> id = parse_request_id(id_text)) forget_if_done(*id);
}

void RequestDispatcher::forget_if_done(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second->on_response) return;
  if (std::ranges::any_of(it->second->attempts, &Attempt::open)) return;
  client_ids_.erase(it->second->request.client_id);
  requests_.erase(it);
}

// ---------------------------------------------------------------- attempts

// Nothing is sent for a request that has its final response, nor for a client that has gone. And a body that
// is no longer buffered as a whole cannot go out a second time, nor on two connections at once.
bool RequestDispatcher::may_send_last_attempt(const InFlightRequest& request) {
  const upstream::UpstreamRequest& forwarded = *request.request.forwarded;
  const auto last = request.attempts.end() - 1;
  const bool another_is_out =
      std::any_of(request.attempts.begin(), last, [](const Attempt& a) { return a.open; });
  return forwarded.is_wanted() && !forwarded.rest_consumed && !(forwarded.body_rest && another_is_out);
}

upstream::AttemptCallbacks RequestDispatcher::attempt_callbacks(RequestId id, AttemptNumber attempt) {
  upstream::AttemptCallbacks callbacks;
  callbacks.on_end = [this, id, attempt](upstream::AttemptEnd&& end) {
    handle_attempt_end(id, attempt, std::move(end));
  };
  callbacks.on_response_started = [this, id, attempt](upstream::StreamedResponse&& response) {
    handle_response_started(id, attempt, std::move(response));
  };
  callbacks.on_body_consumed = [this, id] { post(balancer::RequestBodyConsumed{to_text(id)}); };
  callbacks.on_request_sent = [this, id, attempt] { post(balancer::RequestBodySent{to_text(id), attempt}); };
  return callbacks;
}

void RequestDispatcher::handle_attempt_end(RequestId id, AttemptNumber number, upstream::AttemptEnd&& end) {
  const std::shared_ptr<InFlightRequest> request = find(id);
  if (request == nullptr) return;
  Attempt& attempt = request->attempts[static_cast<std::size_t>(number)];
  attempt.open = false;
  attempt.may_have_run = !never_ran(end.outcome);
  const double sent_at = std::max(attempt.sent_at, end.sent_at);
  if (end.outcome == Outcome::kSuccess) {
    respond(*request, {.status = kOk,
                       .body = std::move(end.body),
                       .content_type = std::move(end.content_type),
                       .body_reservation = std::move(end.body_reservation)});
  }
  post(balancer::AttemptResult{to_text(id), number, end.outcome, now() - sent_at, !request->on_response});
}

void RequestDispatcher::handle_response_started(RequestId id, AttemptNumber number,
                                                upstream::StreamedResponse&& response) {
  const std::shared_ptr<InFlightRequest> request = find(id);
  if (request == nullptr || !request->on_response) return response.body->abandon();
  const Attempt& attempt = request->attempts[static_cast<std::size_t>(number)];
  const double sent_at = std::max(attempt.sent_at, response.sent_at);
  respond(*request, {.status = kOk,
                     .content_type = std::move(response.content_type),
                     .streamed_body = std::move(response.body),
                     .content_length = response.content_length});
  post(balancer::ResponseStarted{to_text(id), number, now() - sent_at});
}

// ---------------------------------------------------------------- endpoints

void RequestDispatcher::apply(const config::EndpointList& list) {
  list_is_current_ = true;
  apply_endpoints(list);
}

void RequestDispatcher::apply_endpoints(const config::EndpointList& list) {
  // The balancer is told of a drain before it is told of the attempts that the drain has stopped. New
  // endpoints are in the pool before the balancer can select them.
  const std::vector<upstream::AttemptHandle> stopped = pool_.apply(list);
  has_endpoints_ = pool_.endpoints() > 0;
  post(update_of(list));
  for (const upstream::AttemptHandle& attempt : stopped) pool_.stop(attempt, Outcome::kNotSent);
}

void RequestDispatcher::handle_watch_failure() {
  balancer::EndpointUpdate update;
  update.form = balancer::EndpointUpdate::Form::kWatchFailed;
  post(std::move(update));
}

}  // namespace asterdrift::node::dispatch
