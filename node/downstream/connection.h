// One client's connection. Reads its requests, and writes their responses in the order of the requests.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "asterdrift/seconds.h"
#include "node/dispatch/request_id.h"
#include "node/downstream/connection_state_tracker.h"
#include "node/downstream/input_buffer.h"
#include "node/downstream/request_accounting.h"
#include "node/downstream/request_error.h"
#include "node/downstream/request_reader.h"
#include "node/downstream/response_sender.h"
#include "node/downstream/server_state.h"
#include "node/downstream/upload_deadline.h"

namespace asterdrift::node::downstream {

// Handles one request at a time; pipelined bytes are buffered meanwhile. A connection is owned by the
// server's lists and by the pending operations on its socket.
class Connection : public std::enable_shared_from_this<Connection>, private ResponseSenderOwner {
 public:
  // server has to outlive the connection.
  Connection(ServerState& server, boost::asio::ip::tcp::socket socket);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void start();
  void close();

  // Closes the connection unless a request is being read, or its response is awaited or being written.
  // Returns whether the connection has been closed.
  bool close_if_idle();
  // Looks, without reading, at the socket of an upload. Tells the dispatcher if the client may have sent the
  // last byte, which is not read before the server has taken the bytes in front of it. Closes the connection
  // if the upload is blocked and the client has disconnected.
  void probe_upload();
  // The time on the steady clock from which the incomplete request counts as too slow if no more of it
  // arrives. The request is never too slow before its age is `min_age`. The age of a connection's first
  // request counts from the connection's start.
  Seconds receive_deadline(Seconds min_age) const;
  // Closes the connection if the receive deadline has passed. Returns whether it has been closed.
  bool close_if_slow(Seconds min_age);
  // Closes the connection if its client counts as having stopped reading the response: no sooner than
  // `min_timeout` after its system took the last byte, see net::SendProgress.
  void close_if_write_stalled(Seconds min_timeout);
  // Whether nothing of an upload is read until its server has taken more bytes.
  bool is_upload_blocked() const { return reader_.is_paused(); }
  // Rejects the request if it is still being read.
  void reject_partial_request();

  // When the connection was accepted, on the steady clock.
  Seconds connected_at() const { return connected_at_; }
  // When the current state was entered, on the steady clock.
  Seconds state_since() const { return state_.since(); }

 private:
  using State = ConnectionState;

  void enter(State state);
  bool is_in(State state) const { return state_.current() == state; }
  bool awaits_response() const { return is_in(State::kAwaitingResponse) || is_in(State::kUploading); }
  bool has_client_disconnected();
  std::size_t read_pipelined();

  void wait_until_readable();
  void read();
  bool is_socket_empty();
  void on_read_failed(const boost::system::error_code& error);
  void begin_request();
  void parse();
  bool parse_next();
  void finish_upload();
  void on_upload_blocked();
  void resume_upload();
  RequestReader::Callbacks reader_callbacks();

  void handle_request();
  void respond_to_health_check();
  bool dispatch(State next);
  dispatch::DownstreamRequest take_request();
  void abandon_request();
  void handle_response(dispatch::DownstreamResponse&& response);

  void reject(const RequestError& error);
  void respond(dispatch::DownstreamResponse&& response, bool close_connection = false);
  bool must_close_after_response() const;
  void record_delivery();
  void begin_closing();

  // ResponseSenderOwner.
  std::shared_ptr<void> keep_alive() override { return shared_from_this(); }
  void guard(const std::function<void()>& step) override;
  void on_response_written() override;
  void on_response_truncated() override;
  void on_write_failed() override { close(); }

  ServerState& server_;
  boost::asio::ip::tcp::socket socket_;
  const Seconds connected_at_;
  ConnectionStateTracker state_;
  InputBuffer input_;
  RequestReader reader_;
  RequestAccounting accounting_;
  ResponseSender sender_;
  UploadDeadline upload_deadline_;
  bool is_read_wait_pending_ = false;
  bool has_responded_ = false;
  // How many bytes have been received after the last response.
  std::size_t discarded_bytes_ = 0;

  // The state of the current request.
  std::optional<dispatch::RequestId> request_id_;  // set when the dispatcher has accepted the request
  // Whether the request is being passed to the dispatcher, just after a check that the client is connected.
  bool is_dispatching_ = false;
  bool is_head_request_ = false;
  unsigned response_status_ = 0;
  bool closes_after_response_ = false;
  // The Request-Id of the last request if the request must not run again; otherwise empty.
  std::string unrepeatable_id_;
  bool is_delivered_ = false;  // whether the client has the response to unrepeatable_id_
};

}  // namespace asterdrift::node::downstream
