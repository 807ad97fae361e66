// One poll of discovery: a stream of endpoint lists over HTTP/1.1.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "asterdrift/seconds.h"
#include "node/config/endpoint_list_reader.h"

namespace asterdrift::node::discovery {

// Why a watch has ended.
struct WatchError {
  enum class Kind {
    kConnect,      // no connection
    kWrite,        // the request could not be written
    kResponse,     // no response head, or a status other than 200
    kStream,       // the stream was reset, timed out or ended
    kInvalidList,  // a list that is not valid
  };
  Kind kind = Kind::kStream;
  std::string message;
  std::size_t wasted_bytes = 0;    // received since the last complete list or empty line
  bool is_first_snapshot = false;  // the watch requested a snapshot and had received no list yet
};

// Ends with the first error: a timeout, a broken stream, or a list that is not valid.
class EndpointWatch : public std::enable_shared_from_this<EndpointWatch> {
 public:
  struct Options {
    boost::asio::ip::tcp::endpoint address;
    std::optional<std::uint64_t> since_version;  // requests only later changes; none: requests a snapshot
    bool lists_are_pushed = false;               // discovery is an agent on this host
    const std::vector<std::string>& zones;
    std::size_t max_endpoints = 0;
  };

  struct Callbacks {
    // A list. first_list_bytes: its size if it is the first list of the watch; 0 for later lists.
    std::function<void(EndpointWatch*, config::EndpointList&&, std::size_t first_list_bytes)> on_list;
    // The watch has failed. Not called after close().
    std::function<void(EndpointWatch*, const WatchError&)> on_error;
  };

  EndpointWatch(boost::asio::io_context& io, const Options& options, Callbacks callbacks);

  void start();
  void close();
  const boost::asio::ip::tcp::endpoint& address() const { return options_.address; }

 private:
  void write_request();
  void read_head();
  void read_body();
  void handle_body();
  void handle_text(std::string_view bytes);
  void restart_silence_timeout();
  void set_deadline(Seconds time);
  void fail(WatchError::Kind kind, const std::string& message);

  const Options options_;
  const Callbacks callbacks_;
  Seconds started_at_ = 0;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  config::EndpointListReader reader_;
  std::size_t incomplete_bytes_ = 0;  // received since the last complete list or empty line
  // incomplete_bytes_ when the silence timeout was last restarted.
  std::size_t incomplete_bytes_at_restart_ = 0;
  bool had_list_ = false, closed_ = false;
};

}  // namespace asterdrift::node::discovery
