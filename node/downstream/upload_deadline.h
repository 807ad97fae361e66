// Tells the dispatcher from when the time of a request with a streamed body counts.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "asterdrift/seconds.h"
#include "node/dispatch/request_dispatcher.h"
#include "node/dispatch/request_id.h"
#include "node/downstream/request_reader.h"
#include "node/downstream/upload_progress.h"

namespace asterdrift::node::downstream {

// A request's time counts from when its client sent the last byte, which may wait unread while the server
// takes the bytes in front of it. All times are on the steady clock.
class UploadDeadline {
 public:
  // The arguments have to outlive the object.
  UploadDeadline(dispatch::RequestDispatcher& dispatcher, const RequestReader& reader,
                 boost::asio::ip::tcp::socket& socket)
      : dispatcher_(dispatcher), reader_(reader), socket_(socket) {}

  // To be called when a request begins to arrive.
  void reset() { progress_.reset(); }
  // All bytes that have not been read arrived after this time.
  void set_unread_since(Seconds time) { unread_since_ = time; }

  // Looks, without reading, whether the client may have sent the last byte. To be called from time to time.
  void probe(dispatch::RequestId request);
  // To be called when the server takes no more bytes.
  void on_blocked(dispatch::RequestId request);
  // When the client sent the last byte, which has been read and arrived at `arrived_at`, at the earliest.
  Seconds sent_at(Seconds arrived_at) const;

 private:
  void on_socket_empty(dispatch::RequestId request);

  dispatch::RequestDispatcher& dispatcher_;
  const RequestReader& reader_;
  boost::asio::ip::tcp::socket& socket_;
  Seconds unread_since_ = 0;
  UploadProgress progress_;
};

}  // namespace asterdrift::node::downstream
