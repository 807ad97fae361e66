#include "node/downstream/connection.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <cerrno>
#include <exception>
#include <string_view>
#include <utility>

#include "node/base/clock.h"
#include "node/telemetry/log.h"

namespace asterdrift::node::downstream {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using base::now;
using boost::system::error_code;

// Bytes of a next request that are buffered while one is being answered, always and where there is memory to
// spare.
constexpr std::size_t kAlwaysPipelined = 8 * 1024;
constexpr std::size_t kMostPipelined = RequestParser::kMostHeadBytes + base::kMostBufferedBody;
constexpr int kStreamSendBuffer = 64 * 1024;  // bytes; what the system holds of a streamed response

constexpr std::string_view kTimeoutResponse =
    "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

// Responses need memory too, so requests leave half of the budget to them.
std::size_t headroom(const base::MemoryBudget& budget) { return budget.size() / 2; }

}  // namespace

Connection::Connection(ServerState& server, tcp::socket socket)
    : server_(server),
      socket_(std::move(socket)),
      connected_at_(now()),
      pipelined_reservation_(server.body_budget) {
  ++server_.connections;
}

Connection::~Connection() { close(); }

void Connection::start() {
  enter(State::kFresh);
  wait_readable();
}

void Connection::close() {
  if (state_ == State::kClosed) return;
  const bool is_open_request = state_ == State::kWaiting || state_ == State::kUploading;
  enter(State::kClosed);
  error_code ignored;
  socket_.close(ignored);
  release_request();
  if (is_dispatched_) count_response(0);  // a client that has gone had no complete response
  writer_.abandon();
  if (is_open_request) server_.dispatcher.client_disconnected(request_number_);
  --server_.connections;
  server_.on_connection_closed();
}

bool Connection::close_if_idle() {
  if (state_ != State::kIdle && state_ != State::kFresh) return false;
  char byte = 0;
  // Bytes that have arrived and are not read yet are a request that this machine has taken.
  if (::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) return false;
  close();
  return true;
}

void Connection::close_if_client_left() {
  if (pace_.is_paused() && has_client_left()) close();
}

bool Connection::close_if_slow(double limit) {
  if (now() - (has_responded_ ? pace_.began_at() : connected_at_) < limit) return false;
  const bool waits_for_server = !pace_.is_in_head() && upload_ && upload_->is_full();
  if (waits_for_server || !pace_.is_behind(now())) return false;
  error_code ignored;
  if (state_ != State::kFresh) socket_.write_some(asio::buffer(kTimeoutResponse), ignored);
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

bool Connection::is_busy(State state) {
  return state == State::kUploading || state == State::kWaiting || state == State::kWriting;
}

ConnectionList* Connection::list_of(State state) {
  switch (state) {
    case State::kFresh:
      return &server_.lists.fresh;
    case State::kIdle:
      return &server_.lists.idle;
    case State::kReading:
      return &server_.lists.reading;
    case State::kUploading:
      return &server_.lists.uploading;
    case State::kWriting:
      return &server_.lists.writing;
    case State::kClosing:
      return &server_.lists.closing;
    default:
      return nullptr;
  }
}

void Connection::enter(State state) {
  const auto self = weak_from_this().lock();  // the list's reference may be the last
  if (is_listed_) list_of(state_)->erase(position_);
  if (is_busy(state_)) --server_.busy_connections;
  if (is_busy(state)) ++server_.busy_connections;
  state_ = state;
  state_since_ = now();
  ConnectionList* list = list_of(state);
  is_listed_ = list != nullptr;
  if (is_listed_) position_ = list->insert(list->end(), self);
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

// Whether the client has ended its side of the connection, be it behind bytes that are not read yet.
bool Connection::has_client_left() {
  char byte = 0;
  const ssize_t size = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size <= 0) return size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
  pollfd hang_up{socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&hang_up, 1, 0) > 0;
}

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
    return discarded_bytes_ > base::kLargestBody ? close() : wait_readable();
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
      all <= kAlwaysPipelined || pipelined_reservation_.grow_to(all, headroom(server_.body_budget));
  pipeline_overflow_ = pipeline_overflow_ || all > kMostPipelined || !has_memory;
  if (!pipeline_overflow_) {
    input_.append(server_.read_buffer.data(), size);
  } else {
    std::string().swap(input_);
    pipelined_reservation_.release();
  }
}

void Connection::begin_request() {
  pace_.begin(now());
  enter(State::kReading);
}

void Connection::parse() {
  try {
    if (!parse_buffered()) return;
  } catch (const RequestError& error) {
    return reject(error);
  }
  if (!upload_ || !upload_->is_full()) return wait_readable();  // else once there is room
  pace_.pause(now());
}

// Whether more bytes of the request are needed.
bool Connection::parse_buffered() {
  if (!parser_) parser_.emplace();
  std::string_view bytes = input_;
  while (!bytes.empty() && !parser_->is_done()) {
    const RequestParser::Event event = parser_->parse(bytes);
    if (event == RequestParser::Event::kHead) handle_head();
    if (event == RequestParser::Event::kBody && !handle_body()) return false;
    if (event == RequestParser::Event::kNeedsMore) break;
  }
  input_.erase(0, input_.size() - bytes.size());
  if (parser_->is_done()) {
    state_ == State::kUploading ? finish_upload() : handle_request();
    return false;
  }
  if (input_.size() > RequestParser::kMostHeadBytes) throw RequestError(kHeaderFieldsTooLarge);
  return true;
}

// A request is looked at as soon as its head is there: one that cannot be used is rejected without its body.
void Connection::handle_head() {
  const RequestParser::Head& head = parser_->head();
  pace_.on_head(now());
  client_reads_chunks_ = parser_->client_reads_chunks();
  keeps_connection_ = parser_->keeps_connection();
  body_reservation_ = base::MemoryReservation(server_.body_budget);
  RequestValidator::check_framing(head);
  if (RequestValidator::path_of(head) == "/api") {
    request_.emplace(server_.validator.read(head));
    class_ = request_->facts.request_class;
    // A second one might run twice, or its response might go to the wrong client.
    if (server_.dispatcher.is_in_flight(request_->client_id)) {
      throw RequestError(kConflict, "this Request-Id is open");
    }
  }
  const std::uint64_t length =
      std::min<std::uint64_t>(parser_->content_length().value_or(0), base::kMostBufferedBody);
  if (!body_reservation_.grow_to(length, headroom(server_.body_budget))) {
    throw RequestError(kServiceUnavailable, "no memory to spare");
  }
  if (boost::beast::iequals(head[http::field::expect], "100-continue")) send_continue();
}

void Connection::send_continue() {
  error_code ignored;
  socket_.write_some(asio::buffer(kContinueResponse), ignored);
}

// Bytes of a body, which is buffered as long as it is small. Whether to go on.
bool Connection::handle_body() {
  std::string& body = parser_->body();
  if (state_ == State::kUploading) {
    pace_.add_body_bytes(body.size());
    upload_->write(body);
    body.clear();
    return true;
  }
  if (!request_) {  // not to /api: its connection gets a 404 in the end
    pace_.add_body_bytes(body.size());
    body.clear();
    return true;
  }
  pace_.set_body_bytes(body.size());
  const std::size_t buffered = std::min(body.size(), base::kMostBufferedBody);
  if (!body_reservation_.grow_to(buffered, headroom(server_.body_budget))) {
    throw RequestError(kServiceUnavailable);
  }
  if (body.size() < base::kMostBufferedBody || parser_->is_done()) return true;
  return begin_upload();
}

// A large request is dispatched while the rest of its body arrives. Whether the dispatcher has taken it.
bool Connection::begin_upload() {
  upload_ = std::make_shared<base::BodyStream>(server_.io, server_.body_budget);
  upload_->on_writable([self = weak_from_this()] {
    if (const auto connection = self.lock()) connection->resume_upload();
  });
  return dispatch(State::kUploading);
}

void Connection::resume_upload() {
  if (state_ != State::kUploading) return;
  pace_.resume(now());
  wait_readable();
}

// The last byte of a body that is streamed has arrived.
void Connection::finish_upload() {
  if (has_client_left()) return close();
  upload_->finish(true);
  upload_.reset();
  parser_.reset();
  enter(State::kWaiting);
  server_.dispatcher.body_received(request_number_);
  wait_readable();
}

// ---------------------------------------------------------------- handling

void Connection::handle_request() {
  const std::string_view path = RequestValidator::path_of(parser_->head());
  if (path == "/healthz") return respond_to_health_check();
  if (!request_) return respond({.status = kNotFound}, false);
  dispatch(State::kWaiting);
}

void Connection::respond_to_health_check() {
  is_head_request_ = parser_->method() == http::verb::head;
  const bool is_allowed = is_head_request_ || parser_->method() == http::verb::get;
  if (!is_allowed) return respond({.status = kMethodNotAllowed}, false);
  respond({.status = server_.is_ready() ? kOk : kServiceUnavailable}, false);
}

// Hands the request to the dispatcher, with what there is of its body. Whether it goes on. Throws
// RequestError.
bool Connection::dispatch(State next) {
  const bool has_method_with_body = parser_->method() == http::verb::post;
  if (!has_method_with_body && !parser_->body().empty()) {
    throw RequestError(kBadRequest, "a body where none belongs");
  }
  if (server_.dispatcher.is_in_flight(request_->client_id)) {
    throw RequestError(kConflict, "this Request-Id is open");
  }
  if (server_.is_crowded() || !server_.dispatcher.list_is_current()) throw RequestError(kServiceUnavailable);
  // It may have waited, in the machine's queue or behind a busy moment, for longer than its client did.
  if (has_client_left()) {
    close();
    return false;
  }
  set_forwarded_body(*request_->forwarded);
  dispatch::DownstreamRequest request = std::move(*request_);
  request_.reset();
  request.received_at = now();
  request.has_client_left = [self = weak_from_this()] {
    const auto connection = self.lock();
    return !connection || (!connection->is_dispatching_ && connection->has_client_left());
  };
  if (next == State::kWaiting) parser_.reset();
  enter(next);
  ++server_.pending_requests;
  is_dispatched_ = true;
  request_number_ = 0;
  wait_readable();
  is_dispatching_ = true;
  const std::uint64_t number = server_.dispatcher.dispatch(
      std::move(request), [self = shared_from_this()](dispatch::Response&& response) {
        self->handle_response(std::move(response));
      });
  is_dispatching_ = false;
  request_number_ = number;
  return state_ == next;
}

void Connection::set_forwarded_body(upstream::UpstreamRequest& forwarded) {
  std::string& body = parser_->body();
  const auto length = parser_->content_length();
  if (upload_ && !length) {
    forwarded.head += "Transfer-Encoding: chunked\r\n";
    forwarded.is_chunked = true;
  } else if (parser_->method() == http::verb::post) {
    forwarded.head += "Content-Length: " + std::to_string(upload_ ? *length : body.size()) + "\r\n";
  }
  forwarded.body = std::move(body);
  body.clear();
  forwarded.body_reservation = std::exchange(body_reservation_, {});
  forwarded.body_rest = upload_;
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
  if (state_ == State::kUploading) server_.dispatcher.client_disconnected(request_number_);
  const std::string message = error.what();
  if (!message.empty()) {
    response.body = message + "\n";
    response.content_type = "text/plain";
  }
  respond(std::move(response), true);
}

// What is held for a request that is being read.
void Connection::release_request() {
  if (upload_) upload_->finish(false);
  upload_.reset();
  parser_.reset();
  request_.reset();
  body_reservation_ = {};
}

// A request of a known class has come to its end.
void Connection::count_response(unsigned status) {
  server_.metrics.count_response(*class_, status);
  if (std::exchange(is_dispatched_, false)) --server_.pending_requests;
  class_.reset();
}

// ---------------------------------------------------------------- writing

void Connection::respond(dispatch::Response&& response, bool close_connection) {
  // What still arrives of its body has nowhere to go: where the next request begins cannot be told.
  const bool is_uploading = state_ == State::kUploading;
  const bool ends_connection = ends_with_connection(response, client_reads_chunks_);
  closes_after_response_ = close_connection || is_uploading || ends_connection || !keeps_connection_ ||
                           server_.closes_after_responses || server_.has_too_many_connections() ||
                           pipeline_overflow_;
  status_ = response.status;
  release_request();
  const bool head_only = std::exchange(is_head_request_, false);
  writer_.begin(std::move(response), {closes_after_response_, client_reads_chunks_, head_only});
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
  if (class_ && (is_dispatched_ || is_rejected)) count_response(status_);
  class_.reset();
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
