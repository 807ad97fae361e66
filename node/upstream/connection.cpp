// Establishes a connection to a server, and transfers the requests and responses of its attempts.
#include "node/upstream/connection.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "node/net/address.h"
#include "node/net/socket_probe.h"
#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::upstream {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using balancer::Outcome;
using boost::system::error_code;
using timing::now;

// A reused connection that is reset sooner than this after its request began was stale.
constexpr Seconds kMaxStaleResetTime = 0.02;
// How often the progress of an upload is observed.
constexpr Seconds kUploadCheckPeriod = 1;

}  // namespace

Connection::Connection(ConnectionOwner& owner, std::string endpoint, std::uint64_t generation)
    : owner_(owner),
      endpoint_(std::move(endpoint)),
      generation_(generation),
      socket_(owner.io),
      timer_(owner.io),
      sender_(socket_, timer_),
      response_(owner.io, owner.body_budget) {}

Connection::~Connection() {
  if (state_ != State::kClosed) owner_.on_closed();
}

void Connection::begin_attempt(AttemptId attempt_id, std::shared_ptr<UpstreamRequest> request,
                               Seconds timeout, Seconds write_timeout, AttemptCallbacks callbacks) {
  attempt_id_ = attempt_id;
  request_ = std::move(request);
  callbacks_ = std::move(callbacks);
  began_at_ = now();
  idle_time_ = state_ == State::kIdle ? began_at_ - idle_since_ : 0;
  timer_.begin(began_at_, timeout, write_timeout);
  response_.begin();
  body_stream_sent_at_ = 0;
  is_waiting_writable_ = false;
}

void Connection::connect(const tcp::endpoint& address) {
  address_ = address;
  error_code error;
  socket_.open(address.protocol(), error);
  // Probably no file descriptor is left, which is no fault of the server.
  if (error) return end_attempt(Outcome::kNotSent);
  socket_.set_option(tcp::no_delay(true), error);
  socket_.non_blocking(true, error);
  set_timer(std::min({timer_.timeout_at(), timer_.write_deadline(), now() + owner_.connect_timeout}));
  socket_.async_connect(address, [self = shared_from_this()](const error_code& failure) {
    if (self->state_ != State::kConnecting) return;
    self->owner_.on_connect_ended(self);
    if (failure) return self->end_attempt(Outcome::kConnectFailed);
    self->guard([&] { self->start_writing(); });
  });
}

void Connection::start_writing() {
  state_ = State::kWriting;
  timer_.on_progress();
  set_timer(std::min(timer_.timeout_at(), timer_.write_deadline()));
  sender_.begin(request_);
  if (request_->body_stream) {
    wait_for_body_stream();
    wait_readable();  // a server may respond before it has the complete request
  }
  write();
}

void Connection::wait_for_body_stream() {
  request_->body_stream->on_readable([self = weak_from_this(), attempt_id = attempt_id_] {
    const auto connection = self.lock();
    if (!connection || attempt_id != connection->attempt_id_) return;
    if (connection->state_ != State::kWriting || connection->is_waiting_writable_) return;
    connection->guard([&] { connection->write(); });
  });
}

void Connection::stop(AttemptId attempt_id, Outcome outcome) {
  if (attempt_id == attempt_id_ && callbacks_.on_result) end_attempt(outcome);
}

Seconds Connection::upload_stalled_at(AttemptId attempt_id) {
  if (attempt_id != attempt_id_ || !callbacks_.on_result || !is_uploading()) return 0;
  sender_.observe_progress();
  return sender_.progress().stalled_at(kBlockedTime);
}

void Connection::withdraw(AttemptId attempt_id) {
  const bool is_sending = state_ == State::kWriting && !response_.is_streaming();
  if (state_ != State::kConnecting && !is_sending) return;
  const bool is_blocked = is_waiting_writable_ && timer_.time_without_progress() >= kBlockedTime;
  stop(attempt_id, is_blocked ? Outcome::kConnectFailed : Outcome::kNotSent);
}

void Connection::set_idle() {
  state_ = State::kIdle;
  idle_since_ = now();
  wait_readable();
}

bool Connection::is_stale() { return !net::is_idle(socket_.native_handle()); }

// Ends the current attempt, if there is one. Closes the connection unless it may be reused.
void Connection::end_attempt(Outcome outcome, Reuse reuse) {
  UpstreamResult result{outcome, {}, {}, {}, body_stream_sent_at_};
  const bool was_reset_at_once = idle_time_ >= kFreshIdleTime && now() - began_at_ < kMaxStaleResetTime;
  if (outcome == Outcome::kConnectionReset && was_reset_at_once) owner_.on_stale_reset();
  response_.finish(result);
  timer_.cancel();
  const auto on_result = std::exchange(callbacks_, {}).on_result;
  response_.reset();
  request_.reset();
  sender_.reset();
  if (reuse == Reuse::kAllowed) {
    owner_.on_reusable(shared_from_this());
  } else {
    close();
  }
  if (on_result) on_result(std::move(result));
}

void Connection::close() {
  if (state_ == State::kConnecting) owner_.on_connect_ended(shared_from_this());
  if (state_ != State::kClosed) owner_.on_closed();
  state_ = State::kClosed;
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

// Executes a step of the attempt. An exception, such as one for lack of memory, ends only this connection.
template <class Step>
void Connection::guard(const Step& step) {
  try {
    step();
  } catch (const std::exception& error) {
    telemetry::log_line("upstream connection failed: endpoint " + endpoint_ + " (" + net::to_text(address_) +
                        "): " + error.what());
    end_attempt(state_ == State::kReading ? Outcome::kUnknown : Outcome::kConnectFailed);
  }
}

void Connection::set_timer(Seconds time) {
  timer_.wait_until(time, [self = shared_from_this(), attempt_id = attempt_id_](const error_code& error) {
    if (error || attempt_id != self->attempt_id_ || !self->callbacks_.on_result) return;
    self->guard([&] { self->on_timer(); });
  });
}

// When the attempt times out if its state does not change. The duration of a streamed body depends on its
// client and its size, so the only timeout of a streamed body is that for the lack of progress. Time in which
// the client is awaited does not count.
Seconds Connection::deadline() const {
  const Seconds stall_timeout_while_awaiting_client = now() + kStallTimeout;
  if (response_.is_streaming()) {
    return response_.is_stream_full() ? stall_timeout_while_awaiting_client : timer_.stall_timeout_at();
  }
  if (!is_uploading()) return timer_.timeout_at();
  return is_waiting_writable_ ? sender_.progress().stalled_at(kStallTimeout)
                              : stall_timeout_while_awaiting_client;
}

// When on_timer() has to look at the attempt again.
Seconds Connection::next_check_at() const {
  return is_uploading() ? std::min(deadline(), now() + kUploadCheckPeriod) : deadline();
}

// An attempt whose request has been written completely may have run, and must not end as one that never ran.
void Connection::on_timer() {
  if (state_ != State::kReading && now() >= timer_.write_deadline()) return end_attempt(Outcome::kNotSent);
  if (state_ == State::kConnecting && now() < timer_.timeout_at())
    return end_attempt(Outcome::kConnectFailed);
  const bool buffering_time_is_over = timer_.is_buffering() && now() >= timer_.buffer_until();
  if (!response_.is_streaming() && buffering_time_is_over) start_streaming();
  if (is_uploading()) sender_.observe_progress();
  if (now() < deadline()) return set_timer(next_check_at());
  if (response_.is_streaming()) return end_attempt(Outcome::kConnectionReset);
  end_attempt(state_ == State::kReading ? Outcome::kTimedOut : Outcome::kConnectFailed);
}

void Connection::write() {
  // Nothing may be sent for a client that has disconnected, even if the event loop has not handled the
  // disconnection yet.
  const std::shared_ptr<UpstreamRequest> request = request_;
  const bool is_response_awaited =
      response_.is_streaming() || !request->is_response_awaited || request->is_response_awaited();
  if (!is_response_awaited) return stop(attempt_id_, Outcome::kNotSent);
  switch (sender_.send(callbacks_.on_body_stream_consumed)) {
    case RequestSender::Result::kComplete:
      return on_request_written();
    case RequestSender::Result::kBlocked:
      return wait_writable();
    case RequestSender::Result::kAwaitsClient:
      return;
    case RequestSender::Result::kTruncated:
    case RequestSender::Result::kOverdue:
      return end_attempt(Outcome::kNotSent);
    case RequestSender::Result::kFailed:
      return end_attempt(Outcome::kConnectFailed);
  }
}

void Connection::on_request_written() {
  state_ = State::kReading;
  owner_.metrics.count_attempt();
  if (request_->body_stream) {
    body_stream_sent_at_ = now();
    timer_.restart_timeout(body_stream_sent_at_);
    set_timer(timer_.timeout_at());
    callbacks_.on_body_stream_sent();
  }
  wait_readable();
}

void Connection::wait_writable() {
  is_waiting_writable_ = true;
  const auto on_writable = [self = shared_from_this(), attempt_id = attempt_id_](const error_code& error) {
    if (self->state_ != State::kWriting || attempt_id != self->attempt_id_) return;
    self->is_waiting_writable_ = false;
    if (error) return self->end_attempt(Outcome::kConnectFailed);
    self->guard([&] { self->write(); });
  };
  socket_.async_wait(tcp::socket::wait_write, on_writable);
}

// At most one wait is pending. It stays pending while the connection is idle, and serves the next attempt.
void Connection::wait_readable() {
  if (is_waiting_readable_ || state_ == State::kClosed) return;
  is_waiting_readable_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
    self->is_waiting_readable_ = false;
    self->on_readable(error);
  });
}

void Connection::on_readable(const error_code& error) {
  if (state_ == State::kIdle) {
    owner_.on_idle_ended(shared_from_this());
    close();
  } else if (state_ == State::kReading || state_ == State::kWriting) {
    if (error) return end_attempt(outcome_of_connection_loss());
    guard([&] { read(); });
  }
}

// The attempt's outcome if the connection is lost in its current state.
Outcome Connection::outcome_of_connection_loss() const {
  return state_ == State::kWriting ? Outcome::kConnectFailed : Outcome::kConnectionReset;
}

void Connection::read() {
  if (response_.is_stream_full()) return;  // on_stream_writable() continues
  error_code error;
  const std::size_t size =
      socket_.read_some(asio::buffer(owner_.read_buffer, response_.max_read_bytes()), error);
  if (error == asio::error::would_block || error == asio::error::interrupted) return wait_readable();
  if (error == asio::error::eof && response_.finish_at_close()) return end_attempt(response_.outcome());
  if (error) return end_attempt(outcome_of_connection_loss());
  timer_.on_progress();
  switch (response_.parse({owner_.read_buffer.data(), size}, [this] { handle_body_bytes(); })) {
    case ResponseParser::Result::kInvalid:
      return end_attempt(Outcome::kUnknown);
    case ResponseParser::Result::kComplete: {
      const bool may_reuse = state_ == State::kReading && response_.is_keep_alive();
      return end_attempt(response_.outcome(), may_reuse ? Reuse::kAllowed : Reuse::kNever);
    }
    case ResponseParser::Result::kIncomplete:
      if (!response_.is_stream_full()) wait_readable();  // otherwise on_stream_writable() does
  }
}

void Connection::handle_body_bytes() {
  switch (response_.receive_body()) {
    case ResponseReceiver::BodyState::kReceiving:
      return;
    case ResponseReceiver::BodyState::kTooLarge:
      return start_streaming();
    case ResponseReceiver::BodyState::kUnknownLength:
      if (timer_.is_buffering()) return;
      timer_.begin_buffering();
      return set_timer(std::min(timer_.buffer_until(), timer_.timeout_at()));
  }
}

// Forwards the response to its client from now on: its bytes are sent as they arrive, and the attempt cannot
// be retried.
void Connection::start_streaming() {
  timer_.end_buffering();
  const auto on_writable = [self = weak_from_this(), attempt_id = attempt_id_] {
    const auto connection = self.lock();
    if (connection && attempt_id == connection->attempt_id_) connection->on_stream_writable();
  };
  callbacks_.on_response_started(response_.start_streaming(body_stream_sent_at_, on_writable));
  set_timer(deadline());
}

void Connection::on_stream_writable() {
  if (!response_.is_streaming()) return;
  if (response_.is_stream_abandoned()) return end_attempt(Outcome::kCancelled);
  timer_.on_progress();  // time in which the client was awaited does not count as a stall
  wait_readable();
}

}  // namespace asterdrift::node::upstream
