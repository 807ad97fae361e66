// One client's connection: reads requests, and writes their responses in order.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "node/dispatch/request_id.h"
#include "node/downstream/input_buffer.h"
#include "node/downstream/listed_state.h"
#include "node/downstream/request_accounting.h"
#include "node/downstream/request_error.h"
#include "node/downstream/request_reader.h"
#include "node/downstream/response_sender.h"
#include "node/downstream/server_state.h"

namespace asterdrift::node::downstream {

// Handles one request at a time; bytes of the next one are buffered meanwhile. Owned by the server's lists
// and by pending operations on its socket.
class Connection : public std::enable_shared_from_this<Connection>, private ResponseSenderOwner {
 public:
  // server has to outlive the connection.
  Connection(ServerState& server, boost::asio::ip::tcp::socket socket);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void start();
  void close();

  // Closes it unless a request is being read, or its response is awaited or being written. Returns whether it
  // has been closed.
  bool close_if_idle();
  // Closes it where its upload is paused and its client has disconnected: the bytes of a paused upload are
  // not read, so that the disconnection would not be noticed.
  void close_if_client_disconnected();
  // When its incomplete request will have had `limit` s and be too slow, on the steady clock.
  double slow_at(double limit) const;
  // Closes it where that time has come. Returns whether it has been closed.
  bool close_if_slow(double limit);
  // Closes it where its client has taken no byte of its response for `limit` s.
  void close_if_stuck(double limit);
  // Rejects a request that is still being read.
  void reject_partial_request();

  // On the steady clock.
  double connected_at() const { return connected_at_; }
  double state_since() const { return state_.since(); }

 private:
  using State = ConnectionState;

  void enter(State state);
  bool is_in(State state) const { return state_.current() == state; }
  bool awaits_response() const { return is_in(State::kWaiting) || is_in(State::kUploading); }
  bool has_client_disconnected();

  void wait_readable();
  void read();
  void begin_request();
  void parse();
  bool parse_next();
  void finish_upload();
  void resume_upload();
  RequestReader::Callbacks reader_callbacks();

  void handle_request();
  void respond_to_health_check();
  bool dispatch(State next);
  dispatch::DownstreamRequest take_request();
  void withdraw_request();
  void handle_response(dispatch::DownstreamResponse&& response);

  void reject(const RequestError& error);
  void respond(dispatch::DownstreamResponse&& response, bool close_connection = false);
  bool must_close() const;
  void begin_closing();

  // ResponseSenderOwner.
  std::shared_ptr<void> keep_alive() override { return shared_from_this(); }
  void guard(const std::function<void()>& step) override;
  void on_response_progress() override { enter(State::kWriting); }
  void on_response_written() override;
  void on_response_truncated() override;
  void on_write_failed() override { close(); }

  ServerState& server_;
  boost::asio::ip::tcp::socket socket_;
  const double connected_at_;
  ListedState state_;
  InputBuffer input_;
  RequestReader reader_;
  RequestAccounting accounting_;
  ResponseSender sender_;
  bool is_waiting_readable_ = false;
  bool has_responded_ = false;
  std::size_t discarded_bytes_ = 0;  // received after the last response

  // Of the current request.
  std::optional<dispatch::RequestId> request_id_;  // once the dispatcher has taken it
  bool is_dispatching_ = false;                    // the client was seen connected just before
  bool is_head_request_ = false;
  unsigned response_status_ = 0;
  bool closes_after_response_ = false;
};

}  // namespace asterdrift::node::downstream
