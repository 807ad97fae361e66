// One client's connection: reads requests, and writes their responses in order.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "node/dispatch/request_id.h"
#include "node/downstream/request_error.h"
#include "node/downstream/request_reader.h"
#include "node/downstream/response_writer.h"
#include "node/downstream/server_state.h"

namespace asterdrift::node::downstream {

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // server has to outlive the connection.
  Connection(ServerState& server, boost::asio::ip::tcp::socket socket);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void start();
  void close();

  // Closes it unless a request is being read, waits or is being answered. Whether it has been closed.
  bool close_if_idle();
  // Closes it where its upload is paused and its client has left: paused uploads are not read, and so do not
  // show that their clients have gone.
  void close_if_client_left();
  // Closes it where it has sent a part of a request and has had `limit` s. Whether it has been closed.
  bool close_if_slow(double limit);
  // Closes it where its client has taken no byte for `limit` s, though there were some.
  void close_if_stuck(double limit);
  // Rejects a request that is still being read.
  void reject_partial_request();

  double state_since() const { return state_since_; }  // on the steady clock

 private:
  using State = ConnectionState;

  void enter(State state);
  template <class Step>
  void guarded(const Step& step);
  bool has_client_left();

  // Reading.
  void wait_readable();
  void read();
  void buffer_pipelined(std::size_t size);
  void begin_request();
  void parse();
  bool parse_next();
  void finish_upload();
  void resume_upload();
  RequestReader::Callbacks reader_callbacks();

  // Handling.
  void handle_request();
  void respond_to_health_check();
  bool dispatch(State next);
  void withdraw_request();
  void handle_response(dispatch::Response&& response);
  void reject(const RequestError& error);
  void count_response(unsigned status);

  // Writing.
  void respond(dispatch::Response&& response, bool close_connection);
  void forward_stream();
  void write();
  void write_next();
  void reset_connection();
  void on_response_written();
  void begin_closing();

  ServerState& server_;
  boost::asio::ip::tcp::socket socket_;
  const double connected_at_;
  State state_ = State::kNew;
  double state_since_ = 0;
  bool is_listed_ = false;  // at position_ of its state's list
  ConnectionList::iterator position_;
  bool is_waiting_readable_ = false;
  bool has_responded_ = false;

  // Bytes that have been read and not parsed: of this request, or pipelined behind it.
  std::string input_;
  memory::MemoryReservation pipelined_reservation_;
  bool pipeline_overflow_ = false;  // more have come than can be buffered
  std::size_t discarded_bytes_ = 0;

  RequestReader reader_;  // of the request that is being read

  // Of the request that is being handled.
  std::optional<dispatch::RequestId> request_id_;  // once the dispatcher has taken it
  bool is_dispatched_ = false;                     // the dispatcher has it, or its response is being written
  bool is_dispatching_ = false;                    // its client's end has just been looked for
  bool is_head_request_ = false;

  // Of the response that is being written.
  ResponseWriter writer_;
  unsigned status_ = 0;
  bool closes_after_response_ = false;
  bool is_writing_ = false;  // bytes are on their way
};

}  // namespace asterdrift::node::downstream
