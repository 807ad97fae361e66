#include "node/downstream/connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <exception>
#include <string_view>
#include <utility>

#include "node/http/response.h"
#include "node/net/socket_probe.h"
#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::downstream {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using timing::now;

// Bytes of a next request that are buffered while one is being answered, always and where there is memory to
// spare.
constexpr std::size_t kAlwaysPipelined = 8UL * 1024;
constexpr std::size_t kMostPipelined = RequestParser::kMostHeadBytes + memory::kMostBufferedBody;
constexpr int kStreamSendBuffer = 64 * 1024;  // bytes; what the system holds of a streamed response

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

Connection::Connection(ServerState& server, tcp::socket socket)
    : server_(server),
      socket_(std::move(socket)),
      connected_at_(now()),
      pipelined_reservation_(server.body_budget),
      reader_(server) {
  ++server_.connections;
}

Connection::~Connection() { close(); }

void Connection::start() {
  reader_.set_callbacks(reader_callbacks());
  enter(State::kFresh);
  wait_readable();
}

void Connection::close() {
  if (state_ == State::kClosed) return;
  const bool is_open_request = state_ == State::kWaiting || state_ == State::kUploading;
  enter(State::kClosed);
  error_code ignored;
  socket_.close(ignored);
  reader_.release();
  if (is_dispatched_) count_response(0);  // a client that has gone had no complete response
  writer_.abandon();
  if (is_open_request) withdraw_request();
  --server_.connections;
  server_.on_connection_closed();
}

bool Connection::close_if_idle() {
  if (state_ != State::kIdle && state_ != State::kFresh) return false;
  // Unread bytes are a request that this machine has taken.
  if (net::has_unread_bytes(socket_.native_handle())) return false;
  close();
  return true;
}

void Connection::close_if_client_left() {
  if (reader_.is_paused() && has_client_left()) close();
}

bool Connection::close_if_slow(double limit) {
  if (now() - (has_responded_ ? reader_.began_at() : connected_at_) < limit) return false;
  if (!reader_.is_behind(now())) return false;
  error_code ignored;
  if (state_ != State::kFresh) socket_.write_some(asio::buffer(http::kTimeoutResponse), ignored);
  close();
  return true;
}

void Connection::close_if_stuck(double limit) {
  if (is_writing_ && now() - state_since_ > limit) close();
}

void Connection::reject_partial_request() {
  if (state_ != State::kReading) return;
  guarded([&] { reject(RequestError(kServiceUnavailable)); });
}

// ---------------------------------------------------------------- states

void Connection::enter(State state) {
  const auto self = weak_from_this().lock();  // the list's reference may be the last
  if (is_listed_) server_.lists.of(state_)->erase(position_);
  if (is_busy(state_)) --server_.busy_connections;
  if (is_busy(state)) ++server_.busy_connections;
  state_ = state;
  state_since_ = now();
  is_listed_ = false;  // also where the insertion fails
  ConnectionList* list = server_.lists.of(state);
  if (list == nullptr) return;
  position_ = list->insert(list->end(), self);
  is_listed_ = true;
}

// What goes wrong on one connection, be it memory, ends that one alone.
template <class Step>
void Connection::guarded(const Step& step) {
  try {
    step();
  } catch (const std::exception& error) {
    telemetry::log_line(std::string("downstream connection failed: ") + error.what());
    close();
  }
}

bool Connection::has_client_left() { return net::has_peer_left(socket_.native_handle()); }

// ---------------------------------------------------------------- reading

// One wait is pending at any time, also while a request waits for its response: only so is it noticed that a
// client leaves.
void Connection::wait_readable() {
  if (is_waiting_readable_ || state_ == State::kClosed) return;
  is_waiting_readable_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
    self->is_waiting_readable_ = false;
    if (self->state_ == State::kClosed) return;
    if (error) return self->close();
    self->guarded([&] { self->read(); });
  });
}

void Connection::read() {
  error_code error;
  const std::size_t size = socket_.read_some(asio::buffer(server_.read_buffer), error);
  if (error == asio::error::would_block) return wait_readable();
  if (error) return close();
  if (state_ == State::kClosing) {
    discarded_bytes_ += size;
    return discarded_bytes_ > memory::kLargestBody ? close() : wait_readable();
  }
  if (is_busy(state_) && state_ != State::kUploading) {
    buffer_pipelined(size);
    return wait_readable();
  }
  input_.append(server_.read_buffer.data(), size);
  if (state_ != State::kReading && state_ != State::kUploading) begin_request();
  parse();
}

// Bytes of a next request are buffered. Left unread, more than can be buffered would hide that the client
// leaves; so the rest is discarded, and the connection ends with the response that is owed.
void Connection::buffer_pipelined(std::size_t size) {
  const std::size_t all = input_.size() + size;
  const bool has_memory =
      all <= kAlwaysPipelined || pipelined_reservation_.grow_to(all, server_.body_budget.size() / 2);
  pipeline_overflow_ = pipeline_overflow_ || all > kMostPipelined || !has_memory;
  if (!pipeline_overflow_) {
    input_.append(server_.read_buffer.data(), size);
  } else {
    std::string().swap(input_);
    pipelined_reservation_.release();
  }
}

void Connection::begin_request() {
  reader_.begin(now());
  enter(State::kReading);
}

void Connection::parse() {
  try {
    while (parse_next()) {
    }
  } catch (const RequestError& error) {
    reject(error);
  }
}

// Whether to go on at once.
bool Connection::parse_next() {
  switch (reader_.read(input_)) {
    case RequestReader::Result::kNeedsMore:
      wait_readable();
      return false;
    case RequestReader::Result::kPaused:
      return false;
    case RequestReader::Result::kUpload:
      return dispatch(State::kUploading);
    case RequestReader::Result::kComplete:
      state_ == State::kUploading ? finish_upload() : handle_request();
      return false;
  }
  return false;
}

RequestReader::Callbacks Connection::reader_callbacks() {
  RequestReader::Callbacks callbacks;
  callbacks.send_continue = [this] {
    error_code ignored;
    socket_.write_some(asio::buffer(kContinueResponse), ignored);
  };
  callbacks.on_upload_resumed = [self = weak_from_this()] {
    if (const auto connection = self.lock()) connection->resume_upload();
  };
  return callbacks;
}

void Connection::resume_upload() {
  if (state_ != State::kUploading) return;
  reader_.resume(now());
  wait_readable();
}

// The last byte of a body that is streamed has arrived.
void Connection::finish_upload() {
  if (has_client_left()) return close();
  reader_.finish_upload();
  enter(State::kWaiting);
  server_.dispatcher.body_received(*request_id_);
  wait_readable();
}

// ---------------------------------------------------------------- handling

void Connection::handle_request() {
  if (reader_.path() == "/healthz") return respond_to_health_check();
  if (!reader_.api_request()) return respond({.status = kNotFound}, false);
  dispatch(State::kWaiting);
}

void Connection::respond_to_health_check() {
  is_head_request_ = reader_.method() == beast_http::verb::head;
  const bool is_allowed = is_head_request_ || reader_.method() == beast_http::verb::get;
  if (!is_allowed) return respond({.status = kMethodNotAllowed}, false);
  respond({.status = server_.is_ready() ? kOk : kServiceUnavailable}, false);
}

// Hands the request to the dispatcher, with what there is of its body. Whether it goes on. Throws
// RequestError.
bool Connection::dispatch(State next) {
  if (reader_.method() != beast_http::verb::post && reader_.has_body()) {
    throw RequestError(kBadRequest, "a body where none belongs");
  }
  server_.check_not_in_flight(reader_.api_request()->client_id);
  if (server_.is_crowded() || !server_.dispatcher.list_is_current()) throw RequestError(kServiceUnavailable);
  // It may have waited, in the machine's queue or behind a busy moment, for longer than its client did.
  if (has_client_left()) {
    close();
    return false;
  }
  dispatch::DownstreamRequest request = reader_.take_api_request();
  request.received_at = now();
  request.has_client_left = [self = weak_from_this()] {
    const auto connection = self.lock();
    return !connection || (!connection->is_dispatching_ && connection->has_client_left());
  };
  if (next == State::kWaiting) reader_.release_parser();
  enter(next);
  ++server_.pending_requests;
  is_dispatched_ = true;
  request_id_.reset();
  wait_readable();
  is_dispatching_ = true;
  const dispatch::RequestId id = server_.dispatcher.dispatch(
      std::move(request), [self = shared_from_this()](dispatch::Response&& response) {
        self->handle_response(std::move(response));
      });
  is_dispatching_ = false;
  request_id_ = id;
  return state_ == next;
}

// The client awaits no response any more.
void Connection::withdraw_request() {
  if (request_id_) server_.dispatcher.client_disconnected(*request_id_);
}

void Connection::handle_response(dispatch::Response&& response) {
  if (state_ != State::kWaiting && state_ != State::kUploading) {
    if (response.streamed_body) response.streamed_body->abandon();
    return;
  }
  guarded([&] { respond(std::move(response), false); });
}

void Connection::reject(const RequestError& error) {
  dispatch::Response response{.status = error.status()};
  if (error.status() == kServiceUnavailable) response = server_.dispatcher.rejection();
  if (state_ == State::kUploading) withdraw_request();
  const std::string message = error.what();
  if (!message.empty()) {
    response.body = message + "\n";
    response.content_type = "text/plain";
  }
  respond(std::move(response), true);
}

// A request of a known class has come to its end.
void Connection::count_response(unsigned status) {
  server_.metrics.count_response(*reader_.request_class(), status);
  if (std::exchange(is_dispatched_, false)) --server_.pending_requests;
  reader_.clear_request_class();
}

// ---------------------------------------------------------------- writing

void Connection::respond(dispatch::Response&& response, bool close_connection) {
  // What still arrives of its body has nowhere to go: where the next request begins cannot be told.
  const bool is_uploading = state_ == State::kUploading;
  const bool ends_connection = ends_with_connection(response, reader_.client_reads_chunks());
  closes_after_response_ = close_connection || is_uploading || ends_connection ||
                           !reader_.keeps_connection() || server_.closes_after_responses ||
                           server_.has_too_many_connections() || pipeline_overflow_;
  status_ = response.status;
  reader_.release();
  const bool head_only = std::exchange(is_head_request_, false);
  writer_.begin(std::move(response), {closes_after_response_, reader_.client_reads_chunks(), head_only});
  enter(State::kWriting);
  if (is_uploading) wait_readable();
  if (writer_.stream()) forward_stream();
  write();
}

void Connection::forward_stream() {
  error_code ignored;
  socket_.set_option(tcp::socket::send_buffer_size(kStreamSendBuffer), ignored);
  writer_.stream()->on_readable([self = weak_from_this()] {
    const auto connection = self.lock();
    if (!connection || connection->state_ != State::kWriting || connection->is_writing_) return;
    connection->guarded([&] { connection->write_next(); });
  });
}

void Connection::write() {
  is_writing_ = true;
  const auto on_written = [self = shared_from_this()](const error_code& error, std::size_t) {
    if (self->state_ != State::kWriting) return;
    self->is_writing_ = false;
    if (error) return self->close();
    self->guarded([&] { self->write_next(); });
  };
  asio::async_write(socket_, writer_.buffers(), on_written);
}

// What has been written is with the client. More of a streamed response follows as it arrives.
void Connection::write_next() {
  switch (writer_.next()) {
    case ResponseWriter::Next::kPiece:
      enter(State::kWriting);  // its time begins anew
      return write();
    case ResponseWriter::Next::kWait:
      return;
    case ResponseWriter::Next::kTruncated:
      return reset_connection();
    case ResponseWriter::Next::kComplete:
      return on_response_written();
  }
}

// A part of a response must not look like all of it: without a length or chunks, only a reset shows.
void Connection::reset_connection() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

void Connection::on_response_written() {
  // A valid request that was rejected here never got to the dispatcher, and counts all the same.
  const bool is_rejected =
      status_ == kServiceUnavailable || status_ == kConflict || status_ == kPayloadTooLarge;
  if (reader_.request_class() && (is_dispatched_ || is_rejected)) count_response(status_);
  reader_.clear_request_class();
  writer_.reset();
  has_responded_ = true;
  pipelined_reservation_.release();
  if (closes_after_response_ || server_.closes_after_responses || pipeline_overflow_) return begin_closing();
  if (input_.empty()) {
    std::string().swap(input_);
    enter(State::kIdle);
    return wait_readable();
  }
  begin_request();
  parse();
}

// Closing over unread bytes resets the connection and may take the response along. So what still arrives is
// discarded for a while.
void Connection::begin_closing() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  std::string().swap(input_);
  enter(State::kClosing);
  wait_readable();
}

}  // namespace asterdrift::node::downstream
