#include "node/discovery/endpoint_watch.h"

#include <exception>
#include <utility>

#include "node/discovery/poll_timeouts.h"
#include "node/http/status.h"
#include "node/net/address.h"
#include "node/timing/clock.h"

namespace asterdrift::node::discovery {
namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;
using http::kOk;
using Kind = WatchError::Kind;

// Bytes of a long list that count as progress of the watch.
constexpr std::size_t kProgressBytes = 64UL * 1024;
constexpr int kHttp11 = 11;

}  // namespace

EndpointWatch::EndpointWatch(boost::asio::io_context& io, const Options& options, Callbacks callbacks)
    : options_(options),
      callbacks_(std::move(callbacks)),
      stream_(io),
      reader_(options.zones, options.max_endpoints) {
  parser_.body_limit(boost::none);
  parser_.eager(true);
}

void EndpointWatch::start() {
  const std::string since = options_.since ? "&index=" + std::to_string(*options_.since) : std::string();
  request_.method(beast_http::verb::get);
  request_.target("/v1/servers?stream=1" + since);
  request_.version(kHttp11);
  request_.set(beast_http::field::host, net::to_text(options_.address));
  began_ = timing::now();
  set_deadline(poll_timeouts::connect_deadline(options_.is_pushed, began_));
  stream_.async_connect(options_.address, [self = shared_from_this()](const error_code& error) {
    if (error) return self->fail(Kind::kConnect, "connect: " + error.message());
    self->set_deadline(
        poll_timeouts::response_deadline(self->options_.is_pushed, self->began_, timing::now()));
    self->write_request();
  });
}

void EndpointWatch::close() {
  closed_ = true;
  stream_.close();
}

void EndpointWatch::write_request() {
  beast_http::async_write(stream_, request_,
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                            if (error) return self->fail(Kind::kWrite, "write: " + error.message());
                            self->read_head();
                          });
}

void EndpointWatch::read_head() {
  const auto on_head = [self = shared_from_this()](const error_code& error, std::size_t) {
    if (error) return self->fail(Kind::kResponse, "response: " + error.message());
    const unsigned status = self->parser_.get().result_int();
    if (status != kOk) return self->fail(Kind::kResponse, "response: status " + std::to_string(status));
    self->set_deadline(poll_timeouts::first_line_deadline(self->began_, timing::now()));
    self->handle_body();
  };
  beast_http::async_read_header(stream_, buffer_, parser_, on_head);
}

void EndpointWatch::read_body() {
  const auto on_bytes = [self = shared_from_this()](const error_code& error, std::size_t) {
    if (error) return self->fail(Kind::kStream, "stream: " + error.message());
    self->handle_body();
  };
  beast_http::async_read_some(stream_, buffer_, parser_, on_bytes);
}

void EndpointWatch::set_deadline(double time) {
  stream_.expires_after(timing::to_duration(time - timing::now()));
}

// A line or list has arrived, or many bytes of a long list: the silence timeout starts again. A few bytes
// that complete neither do not count.
void EndpointWatch::on_alive() {
  unused_bytes_at_alive_ = unused_bytes_;
  set_deadline(timing::now() + poll_timeouts::kSilenceTimeout);
}

// A truncated list is discarded with its connection.
void EndpointWatch::handle_body() {
  const std::string bytes = std::exchange(parser_.get().body(), {});
  unused_bytes_ += bytes.size();
  // Any error while a list is read or applied must end this watch, so that another one is started.
  try {
    handle_lines(bytes);
  } catch (const std::exception& error) {
    return fail(Kind::kInvalidList, error.what());
  }
  if (closed_) return;
  if (unused_bytes_ >= unused_bytes_at_alive_ + kProgressBytes) on_alive();
  if (parser_.is_done()) return fail(Kind::kStream, "stream: ended");
  read_body();
}

void EndpointWatch::handle_lines(std::string_view bytes) {
  while (!bytes.empty() && !closed_) {
    const config::EndpointListReader::Progress progress = reader_.feed(bytes);
    bytes.remove_prefix(progress.bytes);
    if (progress.event == config::EndpointListReader::Event::kNothing) return;
    const std::size_t used = std::exchange(unused_bytes_, bytes.size()) - bytes.size();
    if (progress.event == config::EndpointListReader::Event::kList) {
      callbacks_.on_list(this, reader_.take_list(), had_list_ ? 0 : used);
      had_list_ = true;
    }
    on_alive();
  }
}

void EndpointWatch::fail(WatchError::Kind kind, const std::string& message) {
  if (closed_) return;
  error_code ignored;
  const std::size_t unread = stream_.socket().available(ignored);
  close();
  callbacks_.on_error(this, {kind, message, unused_bytes_ + unread, !options_.since && !had_list_});
}

}  // namespace asterdrift::node::discovery
