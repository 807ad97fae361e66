#include "node/upstream/connection.h"

#include <algorithm>
#include <cmath>
#include <exception>
#include <utility>

#include "node/http/status.h"
#include "node/net/socket_probe.h"
#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::upstream {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using balancer::Outcome;
using boost::system::error_code;
using http::kOk;
using timing::now;

constexpr double kBufferTime = 0.1;       // s; a response of unknown length is buffered before it is streamed
constexpr double kStallTimeout = 15;      // s without a byte of a body that is streamed
constexpr double kLeastTimeoutMs = 1;     // told to the server
constexpr double kStaleResetTime = 0.02;  // s; a reused connection that breaks so soon was stale

}  // namespace

Connection::Connection(ConnectionOwner& owner, std::string endpoint, std::uint64_t generation)
    : owner_(owner),
      endpoint_(std::move(endpoint)),
      generation_(generation),
      socket_(owner.io),
      timer_(owner.io) {}

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
  timeout_ = timeout;
  timeout_at_ = began_at_ + timeout;
  write_by_ = began_at_ + write_within;
  parser_.emplace();
  body_reservation_ = memory::MemoryReservation(owner_.body_budget);
  sent_at_ = buffer_until_ = 0;
  is_blocked_ = false;
}

void Connection::connect(const tcp::endpoint& address) {
  error_code error;
  socket_.open(address.protocol(), error);
  if (error) return end(Outcome::kNotSent, false);  // no descriptor left: nothing to do with the server
  socket_.set_option(tcp::no_delay(true), error);
  socket_.non_blocking(true, error);
  set_timer(std::min({timeout_at_, write_by_, now() + owner_.connect_timeout}));
  socket_.async_connect(address, [self = shared_from_this()](const error_code& failure) {
    if (self->state_ != State::kConnecting) return;
    self->owner_.on_connect_ended(self);
    if (failure) return self->end(Outcome::kConnectFailed, false);
    self->guarded([&] { self->start_writing(); });
  });
}

void Connection::start_writing() {
  state_ = State::kWriting;
  progress_at_ = now();
  set_timer(std::min(timeout_at_, write_by_));
  const double left_ms = std::max(std::floor((timeout_at_ - now()) * 1000), kLeastTimeoutMs);
  writer_.begin(request_, static_cast<std::int64_t>(left_ms));
  if (request_->body_rest) {
    request_->body_rest->on_readable([self = weak_from_this(), serial = serial_] {
      const auto connection = self.lock();
      if (!connection || serial != connection->serial_) return;
      if (connection->state_ != State::kWriting || connection->is_blocked_) return;
      connection->guarded([&] { connection->write(); });
    });
    wait_readable();  // a server may respond before it has the whole request
  }
  write();
}

void Connection::stop(AttemptSerial serial, Outcome outcome) {
  if (serial == serial_ && callbacks_.on_end) end(outcome, false);
}

void Connection::withdraw(AttemptSerial serial) {
  const bool is_sending = state_ == State::kWriting && !response_body_;
  if (state_ == State::kConnecting || is_sending) stop(serial, Outcome::kNotSent);
}

void Connection::set_idle() {
  state_ = State::kIdle;
  idle_since_ = now();
  wait_readable();
}

bool Connection::is_stale() { return !net::is_quiet(socket_.native_handle()); }

// Ends the attempt, if there is one, and with it the connection unless it may be reused.
void Connection::end(Outcome outcome, bool may_reuse) {
  AttemptEnd result{outcome, {}, {}, {}, sent_at_};
  const bool broke_at_once = idle_time_ >= kFreshIdleTime && now() - began_at_ < kStaleResetTime;
  if (outcome == Outcome::kConnectionReset && broke_at_once) owner_.on_stale_reset();
  if (response_body_) {
    response_body_->finish(outcome == Outcome::kSuccess);
  } else if (outcome == Outcome::kSuccess) {
    result.content_type = parser_->content_type();
    result.body = std::move(parser_->body());
    result.body_reservation = std::exchange(body_reservation_, {});
  }
  body_reservation_ = {};
  timer_.cancel();
  const auto on_end = std::exchange(callbacks_, {}).on_end;
  parser_.reset();
  request_.reset();
  response_body_.reset();
  writer_.reset();
  if (may_reuse) {
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

// What goes wrong on one connection, be it memory, ends that one alone.
template <class Step>
void Connection::guarded(const Step& step) {
  try {
    step();
  } catch (const std::exception& error) {
    telemetry::log_line("upstream connection to " + endpoint_ + " failed: " + error.what());
    end(state_ == State::kReading ? Outcome::kUnknown : Outcome::kConnectFailed, false);
  }
}

void Connection::set_timer(double time) {
  timer_.expires_after(timing::duration_of(time - now()));
  timer_.async_wait([self = shared_from_this(), serial = serial_](const error_code& error) {
    if (error || serial != self->serial_ || !self->callbacks_.on_end) return;
    self->guarded([&] { self->on_timer(); });
  });
}

// When the attempt ends, as things are. A body that is streamed takes the time that its client and its size
// need, so that no timeout holds for it; but a side that moves no byte for long is given up.
double Connection::deadline() const {
  const bool is_streaming = response_body_ || (state_ == State::kWriting && request_->body_rest);
  if (!is_streaming) return timeout_at_;
  const bool waits_for_client = response_body_ ? response_body_->is_full() : !is_blocked_;
  return (waits_for_client ? now() : progress_at_) + kStallTimeout;
}

// A request that was sent must not be taken for one that never ran: only bytes that are still here prove it.
void Connection::on_timer() {
  if (state_ != State::kReading && now() >= write_by_) return end(Outcome::kNotSent, false);
  if (state_ == State::kConnecting && now() < timeout_at_) return end(Outcome::kConnectFailed, false);
  if (!response_body_ && buffer_until_ > 0 && now() >= buffer_until_) start_streaming();
  if (now() < deadline()) return set_timer(deadline());
  if (response_body_) return end(Outcome::kConnectionReset, false);
  end(state_ == State::kReading ? Outcome::kTimedOut : Outcome::kConnectFailed, false);
}

// Writes here and not by a composed operation, which would tell of the last byte only later: in between, a
// timeout would take a request that is out for one that is not.
void Connection::write() {
  // No attempt may begin for a client that has gone, also where that has not been noticed yet.
  const std::shared_ptr<UpstreamRequest> request = request_;
  if (!response_body_ && request->is_awaited && !request->is_awaited()) return stop(serial_, Outcome::kNotSent);
  do {
    if (!write_piece()) return;
  } while (prepare_next_piece());
}

// Whether the piece has been written.
bool Connection::write_piece() {
  while (!writer_.piece_is_written()) {
    if (now() >= write_by_) {
      end(Outcome::kNotSent, false);
      return false;
    }
    error_code error;
    writer_.advance(socket_.write_some(writer_.buffers(), error));
    if (error == asio::error::would_block) {
      wait_writable();
      return false;
    }
    if (error) {
      end(Outcome::kConnectFailed, false);
      return false;
    }
    progress_at_ = now();
  }
  return true;
}

// Whether there is more to write now; if not, the client or the response is waited for, or the attempt has
// ended.
bool Connection::prepare_next_piece() {
  const bool was_consumed = request_->rest_consumed;
  switch (writer_.next()) {
    case RequestWriter::Next::kPiece:
      if (request_->rest_consumed && !was_consumed) callbacks_.on_body_consumed();
      return true;
    case RequestWriter::Next::kWait:
      return false;
    case RequestWriter::Next::kTruncated:
      end(Outcome::kNotSent, false);
      return false;
    case RequestWriter::Next::kComplete:
      on_request_written();
      return false;
  }
  return false;
}

void Connection::on_request_written() {
  state_ = State::kReading;
  owner_.metrics.count_attempt();
  if (request_->body_rest) {
    sent_at_ = now();
    timeout_at_ = sent_at_ + timeout_;
    set_timer(timeout_at_);
    callbacks_.on_request_sent();
  }
  wait_readable();
}

void Connection::wait_writable() {
  is_blocked_ = true;
  const auto on_writable = [self = shared_from_this(), serial = serial_](const error_code& error) {
    if (self->state_ != State::kWriting || serial != self->serial_) return;
    self->is_blocked_ = false;
    if (error) return self->end(Outcome::kConnectFailed, false);
    self->guarded([&] { self->write(); });
  };
  socket_.async_wait(tcp::socket::wait_write, on_writable);
}

// At most one wait is pending; it stays while the connection is idle and is taken over by the next attempt.
void Connection::wait_readable() {
  if (is_waiting_readable_ || state_ == State::kClosed) return;
  is_waiting_readable_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
    self->is_waiting_readable_ = false;
    if (self->state_ == State::kIdle) {
      self->owner_.on_idle_ended(self);
      self->close();
    } else if (self->state_ == State::kReading || self->state_ == State::kWriting) {
      if (error) return self->end(self->outcome_of_break(), false);
      self->guarded([&] { self->read(); });
    }
  });
}

// What a connection that breaks now says of its attempt.
Outcome Connection::outcome_of_break() const {
  return state_ == State::kWriting ? Outcome::kConnectFailed : Outcome::kConnectionReset;
}

void Connection::read() {
  error_code error;
  const std::size_t size = socket_.read_some(asio::buffer(owner_.read_buffer), error);
  if (error == asio::error::would_block) return wait_readable();
  if (error == asio::error::eof && parser_->finish_at_close()) return end(parser_->outcome(), false);
  if (error) return end(outcome_of_break(), false);
  progress_at_ = now();
  switch (parser_->parse({owner_.read_buffer.data(), size}, [this] { handle_body(); })) {
    case ResponseParser::Result::kInvalid:
      return end(Outcome::kUnknown, false);
    case ResponseParser::Result::kComplete:
      return end(parser_->outcome(), state_ == State::kReading && parser_->keeps_connection());
    case ResponseParser::Result::kIncomplete:
      if (!response_body_ || !response_body_->is_full()) wait_readable();  // else once it is writable
  }
}

// A body that has arrived is buffered or streamed. Bodies of errors are not forwarded.
void Connection::handle_body() {
  std::string& body = parser_->body();
  if (parser_->status() != kOk) return body.clear();
  if (response_body_) {
    response_body_->write(body);
    return body.clear();
  }
  const auto length = parser_->content_length();
  const bool is_large =
      body.size() > memory::kMostBufferedBody || (length && *length > memory::kMostBufferedBody);
  if (is_large || !body_reservation_.grow_to(body.size())) return start_streaming();
  if (length || buffer_until_ > 0 || parser_->is_done()) return;
  buffer_until_ = now() + kBufferTime;
  set_timer(std::min(buffer_until_, timeout_at_));
}

// From here on the response is its client's: its bytes are forwarded as they arrive.
void Connection::start_streaming() {
  buffer_until_ = 0;
  response_body_ = std::make_shared<memory::BodyStream>(owner_.io, owner_.body_budget);
  response_body_->on_writable([self = weak_from_this(), serial = serial_] {
    const auto connection = self.lock();
    if (!connection || serial != connection->serial_ || !connection->response_body_) return;
    if (connection->response_body_->is_abandoned()) return connection->end(Outcome::kCancelled, false);
    connection->progress_at_ = now();  // the client was waited for
    connection->wait_readable();
  });
  std::string& body = parser_->body();
  response_body_->write(body);
  std::string().swap(body);
  body_reservation_.release();
  callbacks_.on_response_started(
      {parser_->content_type(), parser_->content_length(), response_body_, sent_at_});
  set_timer(deadline());
}

}  // namespace asterdrift::node::upstream
