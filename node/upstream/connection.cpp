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

constexpr double kStaleResetTime = 0.02;  // s; a reused connection that is reset so soon was stale

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

void Connection::begin(AttemptSerial serial, std::shared_ptr<UpstreamRequest> request, double timeout,
                       double write_within, AttemptCallbacks callbacks) {
  serial_ = serial;
  request_ = std::move(request);
  callbacks_ = std::move(callbacks);
  began_at_ = now();
  idle_time_ = state_ == State::kIdle ? began_at_ - idle_since_ : 0;
  timer_.begin(began_at_, timeout, write_within);
  response_.begin();
  sent_at_ = 0;
  is_blocked_ = false;
}

void Connection::connect(const tcp::endpoint& address) {
  address_ = address;
  error_code error;
  socket_.open(address.protocol(), error);
  if (error) return end(Outcome::kNotSent);  // no descriptor left: no fault of the server
  socket_.set_option(tcp::no_delay(true), error);
  socket_.non_blocking(true, error);
  set_timer(std::min({timer_.timeout_at(), timer_.write_by(), now() + owner_.connect_timeout}));
  socket_.async_connect(address, [self = shared_from_this()](const error_code& failure) {
    if (self->state_ != State::kConnecting) return;
    self->owner_.on_connect_ended(self);
    if (failure) return self->end(Outcome::kConnectFailed);
    self->guarded([&] { self->start_writing(); });
  });
}

void Connection::start_writing() {
  state_ = State::kWriting;
  timer_.on_progress();
  set_timer(std::min(timer_.timeout_at(), timer_.write_by()));
  sender_.begin(request_);
  if (request_->body_stream) {
    wait_for_rest();
    wait_readable();  // a server may respond before it has the complete request
  }
  write();
}

void Connection::wait_for_rest() {
  request_->body_stream->on_readable([self = weak_from_this(), serial = serial_] {
    const auto connection = self.lock();
    if (!connection || serial != connection->serial_) return;
    if (connection->state_ != State::kWriting || connection->is_blocked_) return;
    connection->guarded([&] { connection->write(); });
  });
}

void Connection::stop(AttemptSerial serial, Outcome outcome) {
  if (serial == serial_ && callbacks_.on_end) end(outcome);
}

void Connection::withdraw(AttemptSerial serial) {
  const bool is_sending = state_ == State::kWriting && !response_.is_streaming();
  if (state_ == State::kConnecting || is_sending) stop(serial, Outcome::kNotSent);
}

void Connection::set_idle() {
  state_ = State::kIdle;
  idle_since_ = now();
  wait_readable();
}

bool Connection::is_stale() { return !net::is_idle(socket_.native_handle()); }

// Ends the attempt, if there is one, and with it the connection unless it may be reused.
void Connection::end(Outcome outcome, Reuse reuse) {
  AttemptEnd result{outcome, {}, {}, {}, sent_at_};
  const bool broke_at_once = idle_time_ >= kFreshIdleTime && now() - began_at_ < kStaleResetTime;
  if (outcome == Outcome::kConnectionReset && broke_at_once) owner_.on_stale_reset();
  response_.finish(result);
  timer_.cancel();
  const auto on_end = std::exchange(callbacks_, {}).on_end;
  response_.reset();
  request_.reset();
  sender_.reset();
  if (reuse == Reuse::kAllowed) {
    owner_.on_reusable(shared_from_this());
  } else {
    close();
  }
  if (on_end) on_end(std::move(result));
}

void Connection::close() {
  if (state_ == State::kConnecting) owner_.on_connect_ended(shared_from_this());
  if (state_ != State::kClosed) owner_.on_closed();
  state_ = State::kClosed;
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

// An exception, such as one for lack of memory, ends this connection alone.
template <class Step>
void Connection::guarded(const Step& step) {
  try {
    step();
  } catch (const std::exception& error) {
    telemetry::log_line("upstream connection failed: endpoint " + endpoint_ + " (" + net::to_text(address_) +
                        "): " + error.what());
    end(state_ == State::kReading ? Outcome::kUnknown : Outcome::kConnectFailed);
  }
}

void Connection::set_timer(double time) {
  timer_.wait_until(time, [self = shared_from_this(), serial = serial_](const error_code& error) {
    if (error || serial != self->serial_ || !self->callbacks_.on_end) return;
    self->guarded([&] { self->on_timer(); });
  });
}

// When the attempt ends, as things are. The duration of a streamed body depends on its client and its size,
// so that no timeout applies to it, only one to the lack of progress.
double Connection::deadline() const {
  const bool is_streaming = response_.is_streaming() || (state_ == State::kWriting && request_->body_stream);
  if (!is_streaming) return timer_.timeout_at();
  return timer_.stall_timeout_at(response_.is_streaming() ? response_.is_stream_full() : !is_blocked_);
}

// A request that has been written completely must not count as never run.
void Connection::on_timer() {
  if (state_ != State::kReading && now() >= timer_.write_by()) return end(Outcome::kNotSent);
  if (state_ == State::kConnecting && now() < timer_.timeout_at()) return end(Outcome::kConnectFailed);
  const bool was_buffered = timer_.is_buffering() && now() >= timer_.buffer_until();
  if (!response_.is_streaming() && was_buffered) start_streaming();
  if (now() < deadline()) return set_timer(deadline());
  if (response_.is_streaming()) return end(Outcome::kConnectionReset);
  end(state_ == State::kReading ? Outcome::kTimedOut : Outcome::kConnectFailed);
}

void Connection::write() {
  // No attempt may begin for a client that has disconnected, also where that has not been noticed yet.
  const std::shared_ptr<UpstreamRequest> request = request_;
  const bool is_awaited =
      response_.is_streaming() || !request->is_response_awaited || request->is_response_awaited();
  if (!is_awaited) return stop(serial_, Outcome::kNotSent);
  switch (sender_.send(callbacks_.on_body_consumed)) {
    case RequestSender::Result::kComplete:
      return on_request_written();
    case RequestSender::Result::kBlocked:
      return wait_writable();
    case RequestSender::Result::kAwaitsClient:
      return;
    case RequestSender::Result::kTruncated:
    case RequestSender::Result::kOverdue:
      return end(Outcome::kNotSent);
    case RequestSender::Result::kFailed:
      return end(Outcome::kConnectFailed);
  }
}

void Connection::on_request_written() {
  state_ = State::kReading;
  owner_.metrics.count_attempt();
  if (request_->body_stream) {
    sent_at_ = now();
    timer_.restart_timeout(sent_at_);
    set_timer(timer_.timeout_at());
    callbacks_.on_request_sent();
  }
  wait_readable();
}

void Connection::wait_writable() {
  is_blocked_ = true;
  const auto on_writable = [self = shared_from_this(), serial = serial_](const error_code& error) {
    if (self->state_ != State::kWriting || serial != self->serial_) return;
    self->is_blocked_ = false;
    if (error) return self->end(Outcome::kConnectFailed);
    self->guarded([&] { self->write(); });
  };
  socket_.async_wait(tcp::socket::wait_write, on_writable);
}

// At most one wait is pending. It stays while the connection is idle, and the next attempt takes it over.
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
    if (error) return end(outcome_of_break());
    guarded([&] { read(); });
  }
}

// The attempt's outcome where the connection breaks now.
Outcome Connection::outcome_of_break() const {
  return state_ == State::kWriting ? Outcome::kConnectFailed : Outcome::kConnectionReset;
}

void Connection::read() {
  error_code error;
  const std::size_t size = socket_.read_some(asio::buffer(owner_.read_buffer), error);
  if (error == asio::error::would_block) return wait_readable();
  if (error == asio::error::eof && response_.finish_at_close()) return end(response_.outcome());
  if (error) return end(outcome_of_break());
  timer_.on_progress();
  switch (response_.parse({owner_.read_buffer.data(), size}, [this] { handle_body(); })) {
    case ResponseParser::Result::kInvalid:
      return end(Outcome::kUnknown);
    case ResponseParser::Result::kComplete: {
      const bool may_reuse = state_ == State::kReading && response_.is_keep_alive();
      return end(response_.outcome(), may_reuse ? Reuse::kAllowed : Reuse::kNever);
    }
    case ResponseParser::Result::kIncomplete:
      if (!response_.is_stream_full()) wait_readable();  // else once the stream is writable
  }
}

void Connection::handle_body() {
  switch (response_.receive_body()) {
    case ResponseReceiver::BodyState::kBuffered:
      return;
    case ResponseReceiver::BodyState::kTooLarge:
      return start_streaming();
    case ResponseReceiver::BodyState::kUnknownLength:
      if (timer_.is_buffering()) return;
      timer_.begin_buffering();
      return set_timer(std::min(timer_.buffer_until(), timer_.timeout_at()));
  }
}

// From now on the response belongs to its client: its bytes are forwarded as they arrive.
void Connection::start_streaming() {
  timer_.end_buffering();
  const auto on_writable = [self = weak_from_this(), serial = serial_] {
    const auto connection = self.lock();
    if (connection && serial == connection->serial_) connection->on_stream_writable();
  };
  callbacks_.on_response_started(response_.start_streaming(sent_at_, on_writable));
  set_timer(deadline());
}

void Connection::on_stream_writable() {
  if (!response_.is_streaming()) return;
  if (response_.is_stream_abandoned()) return end(Outcome::kCancelled);
  timer_.on_progress();  // the client was awaited
  wait_readable();
}

}  // namespace asterdrift::node::upstream
