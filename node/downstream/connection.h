// One client's connection: reads requests, and writes their responses in order.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "node/downstream/receive_pace.h"
#include "node/downstream/request_error.h"
#include "node/downstream/request_parser.h"
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
  enum class State { kNew, kFresh, kIdle, kReading, kUploading, kWaiting, kWriting, kClosing, kClosed };

  static bool is_busy(State state);
  ConnectionList* list_of(State state);
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
  bool parse_buffered();
  void handle_head();
  bool handle_body();
  bool begin_upload();
  void finish_upload();
  void resume_upload();
  void send_continue();

  // Handling.
  void handle_request();
  void respond_to_health_check();
  bool dispatch(State next);
  void set_forwarded_body(upstream::UpstreamRequest& forwarded);
  void handle_response(dispatch::Response&& response);
  void reject(const RequestError& error);
  void release_request();
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
  base::MemoryReservation pipelined_reservation_;
  bool pipeline_overflow_ = false;  // more have come than can be buffered
  std::size_t discarded_bytes_ = 0;

  // Of the request that is being read.
  std::optional<RequestParser> parser_;
  std::optional<dispatch::DownstreamRequest> request_;  // of one to /api, until it is dispatched
  base::MemoryReservation body_reservation_;
  std::shared_ptr<base::BodyStream> upload_;  // the rest of its body
  ReceivePace pace_;

  // Of the request that is being handled.
  std::uint64_t request_number_ = 0;  // the dispatcher's
  bool is_dispatched_ = false;        // the dispatcher has it, or its response is being written
  bool is_dispatching_ = false;       // its client's end has just been looked for
  std::optional<std::size_t> class_;  // of a valid request without a complete response
  bool keeps_connection_ = false, client_reads_chunks_ = false, is_head_request_ = false;

  // Of the response that is being written.
  ResponseWriter writer_;
  unsigned status_ = 0;
  bool closes_after_response_ = false;
  bool is_writing_ = false;  // bytes are on their way
};

}  // namespace asterdrift::node::downstream
