// Reads, dispatches and answers a client's requests, and decides when the connection is closed.
#include "node/downstream/connection.h"

#include <algorithm>
#include <boost/asio/socket_base.hpp>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

#include "node/http/response.h"
#include "node/net/address.h"
#include "node/net/socket_probe.h"
#include "node/net/timestamped_read.h"
#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::downstream {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using timing::now;

// More than the sockets of a client and of this machine hold together. After this many bytes, the client was
// still connected when the first of them were read.
constexpr std::size_t kMaxReadAheadBytes = 12UL * 1024 * 1024;

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

Connection::Connection(ServerState& server, tcp::socket socket)
    : server_(server),
      socket_(std::move(socket)),
      connected_at_(now()),
      state_(server),
      input_(server.body_budget),
      reader_(server),
      accounting_(server),
      sender_(*this, socket_),
      upload_deadline_(server.dispatcher, reader_, socket_) {
  ++server_.connections;
}

Connection::~Connection() { close(); }

void Connection::start() {
  reader_.set_callbacks(reader_callbacks());
  enter(State::kAwaitingFirstRequest);
  wait_until_readable();
}

void Connection::enter(State state) {
  state_.enter(state, weak_from_this().lock());
  if (!is_busy(state)) server_.on_connection_inactive();
}

void Connection::close() {
  if (is_in(State::kClosed)) return;
  const bool was_awaiting_response = awaits_response();
  enter(State::kClosed);
  error_code ignored;
  socket_.close(ignored);
  reader_.release();
  accounting_.on_connection_closed(reader_.request_class());
  reader_.clear_request_class();
  sender_.stop();
  if (was_awaiting_response) abandon_request();
  --server_.connections;
}

bool Connection::close_if_idle() {
  if (!is_in(State::kIdle) && !is_in(State::kAwaitingFirstRequest)) return false;
  // Unread bytes belong to a request that has already arrived.
  if (net::has_unread_bytes(socket_.native_handle())) return false;
  close();
  return true;
}

void Connection::probe_upload() {
  if (!is_in(State::kUploading) || !request_id_) return;
  if (reader_.is_paused() && has_client_disconnected()) return close();
  upload_deadline_.probe(*request_id_);
}

Seconds Connection::receive_deadline(Seconds min_age) const {
  const Seconds began_at = has_responded_ ? reader_.began_at() : connected_at_;
  return std::max(began_at + min_age, reader_.receive_deadline());
}

bool Connection::close_if_slow(Seconds min_age) {
  if (now() < receive_deadline(min_age)) return false;
  error_code ignored;
  if (!is_in(State::kAwaitingFirstRequest)) {
    socket_.write_some(asio::buffer(http::kRequestTimeoutResponse), ignored);
  }
  close();
  return true;
}

void Connection::close_if_write_stalled(Seconds min_timeout) {
  if (!sender_.is_writing()) return;
  sender_.observe_progress();
  if (now() < sender_.progress().stalled_at(min_timeout)) return;
  server_.stalled_responses.record(net::peer_address(socket_), now() - sender_.progress().progress_at(),
                                   net::send_state(socket_.native_handle()));
  close();
}

void Connection::reject_partial_request() {
  if (!is_in(State::kReading)) return;
  guard([this] { reject(RequestError(kServiceUnavailable)); });
}

// An exception, such as std::bad_alloc, closes this connection and leaves the others open.
void Connection::guard(const std::function<void()>& step) {
  try {
    step();
  } catch (const std::exception& error) {
    telemetry::log_line("downstream connection failed: client " + net::peer_address(socket_) + ": " +
                        error.what());
    close();
  }
}

// The end of the connection is hidden behind unread bytes if these fill the receive buffer. Therefore
// pipelined bytes are read first. Bytes of an upload are read only as fast as the server takes them.
bool Connection::has_client_disconnected() {
  for (std::size_t read_bytes = 0; read_bytes < kMaxReadAheadBytes;) {
    const net::PeerState peer = net::probe_peer(socket_.native_handle());
    if (peer != net::PeerState::kUnreadBytes || reader_.is_upload_arriving()) {
      return peer == net::PeerState::kDisconnected;
    }
    const std::size_t size = read_pipelined();
    if (size == 0) return false;
    read_bytes += size;
  }
  return false;
}

// Returns how many bytes have been read.
std::size_t Connection::read_pipelined() {
  error_code ignored;
  const net::TimestampedRead received = net::read_some(socket_, asio::buffer(server_.read_buffer), ignored);
  input_.append_pipelined({server_.read_buffer.data(), received.size}, received.arrived_at);
  return received.size;
}

// Keeps one wait pending, also while a response is awaited: otherwise a disconnection of the client would not
// be noticed.
void Connection::wait_until_readable() {
  if (is_read_wait_pending_ || is_in(State::kClosed)) return;
  is_read_wait_pending_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
    self->is_read_wait_pending_ = false;
    if (self->is_in(State::kClosed)) return;
    if (error) return self->close();
    self->guard([connection = self.get()] { connection->read(); });
  });
}

void Connection::read() {
  if (is_in(State::kUploading) && reader_.is_upload_full()) return;  // resume_upload() continues
  error_code error;
  const std::size_t max_bytes = std::min(server_.read_buffer.size(), reader_.max_read_bytes());
  const net::TimestampedRead received =
      net::read_some(socket_, asio::buffer(server_.read_buffer, max_bytes), error);
  if (error == asio::error::would_block) return wait_until_readable();
  if (error) return on_read_failed(error);
  if (is_in(State::kClosing)) {
    discarded_bytes_ += received.size;
    return discarded_bytes_ > memory::kMaxBodyBytes ? close() : wait_until_readable();
  }
  const bool begins_request = !is_in(State::kReading) && !is_in(State::kUploading);
  if (begins_request) upload_deadline_.set_unread_since(received.arrived_at);
  if (received.size < max_bytes && is_socket_empty()) upload_deadline_.set_unread_since(now());
  const std::string_view bytes(server_.read_buffer.data(), received.size);
  if (is_in(State::kAwaitingResponse) || is_in(State::kWriting)) {
    // Bytes left unread in the socket would hide a disconnection of the client.
    input_.append_pipelined(bytes, received.arrived_at);
    return wait_until_readable();
  }
  input_.append(bytes, received.arrived_at);
  if (begins_request) begin_request();
  parse();
}

// A client that closes its connection while bytes are unread resets the connection.
void Connection::on_read_failed(const error_code& error) {
  if (is_delivered_ && error != asio::error::eof) server_.dispatcher.on_response_lost(unrepeatable_id_);
  close();
}

// While an upload is read slowly, bytes that the client's system holds arrive as soon as others are read.
bool Connection::is_socket_empty() {
  return !is_in(State::kUploading) || net::unread_bytes(socket_.native_handle()) == 0;
}

void Connection::begin_request() {
  upload_deadline_.reset();
  is_delivered_ = false;
  std::string().swap(unrepeatable_id_);
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

// Returns whether parsing can go on with the bytes that are buffered.
bool Connection::parse_next() {
  switch (reader_.read(input_.bytes())) {
    case RequestReader::Result::kNeedsMore:
      wait_until_readable();
      return false;
    case RequestReader::Result::kPaused:
      on_upload_blocked();
      return false;
    case RequestReader::Result::kUploadStarted:
      return dispatch(State::kUploading);
    case RequestReader::Result::kComplete:
      is_in(State::kUploading) ? finish_upload() : handle_request();
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

// The server takes no more bytes of the upload, and the last byte may arrive unread.
void Connection::on_upload_blocked() {
  if (request_id_) upload_deadline_.on_blocked(*request_id_);
}

void Connection::resume_upload() {
  if (!is_in(State::kUploading) || reader_.is_upload_full()) return;
  reader_.resume(now());
  if (request_id_) server_.dispatcher.on_body_resumed(*request_id_);
  wait_until_readable();
}

// Called when the last byte of a streamed body has arrived.
void Connection::finish_upload() {
  const Seconds sent_at = upload_deadline_.sent_at(input_.parsed_bytes_arrived_at());
  enter(State::kAwaitingResponse);
  if (has_client_disconnected()) return close();
  reader_.finish_upload();
  if (request_id_) server_.dispatcher.on_body_received(*request_id_, sent_at);
  wait_until_readable();
}

void Connection::handle_request() {
  if (reader_.path() == "/healthz") return respond_to_health_check();
  if (!reader_.api_request()) return respond({.status = kNotFound});
  dispatch(State::kAwaitingResponse);
}

void Connection::respond_to_health_check() {
  is_head_request_ = reader_.method() == beast_http::verb::head;
  const bool is_allowed = is_head_request_ || reader_.method() == beast_http::verb::get;
  if (!is_allowed) return respond({.status = kMethodNotAllowed});
  respond({.status = server_.is_ready() ? kOk : kServiceUnavailable});
}

// Passes the request to the dispatcher, with the bytes of its body that have arrived. Returns whether the
// connection is still in the state `next`, so that reading can go on. Throws RequestError.
bool Connection::dispatch(State next) {
  if (reader_.method() != beast_http::verb::post && reader_.has_body()) {
    throw RequestError(kBadRequest, "a body where none belongs");
  }
  server_.check_is_new(*reader_.api_request());
  if (server_.is_overloaded() || !server_.dispatcher.is_endpoint_list_current())
    throw RequestError(kServiceUnavailable);
  dispatch::DownstreamRequest request = take_request();
  if (!server_.dispatcher.is_repeatable(request)) unrepeatable_id_ = request.client_request_id;
  // The client may have disconnected while its request was unread in the socket.
  if (has_client_disconnected()) {
    close();
    return false;
  }
  if (next == State::kAwaitingResponse) reader_.release_parser();
  enter(next);
  accounting_.on_dispatched();
  request_id_.reset();
  wait_until_readable();
  is_dispatching_ = true;
  const dispatch::RequestId id = server_.dispatcher.dispatch(
      std::move(request), [self = shared_from_this()](dispatch::DownstreamResponse&& response) {
        self->handle_response(std::move(response));
      });
  is_dispatching_ = false;
  request_id_ = id;
  return is_in(next);
}

dispatch::DownstreamRequest Connection::take_request() {
  dispatch::DownstreamRequest request = reader_.take_api_request();
  request.received_at = input_.parsed_bytes_arrived_at();
  request.has_client_disconnected = [self = weak_from_this()] {
    const auto connection = self.lock();
    return !connection || (!connection->is_dispatching_ && connection->has_client_disconnected());
  };
  return request;
}

// Tells the dispatcher that the client no longer awaits the response.
void Connection::abandon_request() {
  if (request_id_) server_.dispatcher.on_client_disconnected(*request_id_);
}

void Connection::handle_response(dispatch::DownstreamResponse&& response) {
  if (!awaits_response()) {
    if (response.streamed_body) response.streamed_body->abandon();
    return;
  }
  guard([&] { respond(std::move(response)); });
}

void Connection::reject(const RequestError& error) {
  dispatch::DownstreamResponse response{.status = error.status()};
  if (error.status() == kServiceUnavailable) response = server_.dispatcher.rejection_response();
  if (is_in(State::kUploading)) abandon_request();
  const std::string message = error.what();
  if (!message.empty()) {
    response.body = message + "\n";
    response.content_type = "text/plain";
  }
  respond(std::move(response), true);
}

void Connection::respond(dispatch::DownstreamResponse&& response, bool close_connection) {
  // The rest of an unfinished upload is not parsed, and so the start of a next request would be unknown.
  const bool is_uploading = is_in(State::kUploading);
  const bool client_reads_chunks = reader_.client_reads_chunks();
  closes_after_response_ =
      close_connection || is_uploading || ends_at_connection_close(response, client_reads_chunks) ||
      !reader_.is_keep_alive() || server_.has_too_many_connections() || must_close_after_response();
  response_status_ = response.status;
  reader_.release();
  const bool head_only = std::exchange(is_head_request_, false);
  enter(State::kWriting);
  if (is_uploading) wait_until_readable();
  sender_.send(std::move(response), {closes_after_response_, client_reads_chunks, head_only});
}

// Whether the connection cannot serve another request after the current one.
bool Connection::must_close_after_response() const {
  return server_.closes_after_responses || input_.has_overflowed();
}

void Connection::on_response_written() {
  accounting_.on_response_written(reader_.request_class(), response_status_);
  reader_.clear_request_class();
  has_responded_ = true;
  record_delivery();
  input_.release_reservation();
  // After a response without "Connection: close" the client goes on using the connection, which therefore
  // stays open even if server_.closes_after_responses has been set since the response was begun.
  if (closes_after_response_ || input_.has_overflowed()) return begin_closing();
  if (input_.is_empty()) {
    input_.clear();
    enter(State::kIdle);
    return wait_until_readable();
  }
  begin_request();
  parse();
}

void Connection::record_delivery() {
  const bool has_result = response_status_ == kOk && !unrepeatable_id_.empty();
  if (!has_result || net::has_peer_reset(socket_.native_handle())) return;
  server_.dispatcher.on_response_delivered(unrepeatable_id_);
  is_delivered_ = true;
}

// A truncated response must not look complete. If the response has neither a length nor chunks, only a reset
// of the connection tells the client that bytes are missing.
void Connection::on_response_truncated() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

// Closing a socket with unread bytes resets the connection, and the client may lose the response. Therefore
// the socket stays open and incoming bytes are discarded until the client closes the connection.
void Connection::begin_closing() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  input_.clear();
  enter(State::kClosing);
  wait_until_readable();
}

}  // namespace asterdrift::node::downstream
