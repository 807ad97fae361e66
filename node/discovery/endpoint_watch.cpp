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

// Bytes of an incomplete list that count as progress of the watch.
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
  const std::string since =
      options_.since_version ? "&index=" + std::to_string(*options_.since_version) : std::string();
  request_.method(beast_http::verb::get);
  request_.target("/v1/servers?stream=1" + since);
  request_.version(kHttp11);
  request_.set(beast_http::field::host, net::to_text(options_.address));
  started_at_ = timing::now();
  set_deadline(poll_timeouts::connect_deadline(options_.lists_are_pushed, started_at_));
  stream_.async_connect(options_.address, [self = shared_from_this()](const error_code& error) {
    if (error) return self->fail(Kind::kConnect, "cannot connect: " + error.message());
    self->set_deadline(
        poll_timeouts::response_deadline(self->options_.lists_are_pushed, self->started_at_, timing::now()));
    self->write_request();
  });
}

void EndpointWatch::close() {
  closed_ = true;
  stream_.close();
}

void EndpointWatch::write_request() {
  const auto on_written = [self = shared_from_this()](const error_code& error, std::size_t) {
    if (error) return self->fail(Kind::kWrite, "cannot send the request: " + error.message());
    self->read_head();
  };
  beast_http::async_write(stream_, request_, on_written);
}

void EndpointWatch::read_head() {
  const auto on_head = [self = shared_from_this()](const error_code& error, std::size_t) {
    if (error) return self->fail(Kind::kResponse, "cannot read the response head: " + error.message());
    const unsigned status = self->parser_.get().result_int();
    if (status != kOk) {
      return self->fail(Kind::kResponse, "response status " + std::to_string(status) + ", expected 200");
    }
    self->set_deadline(poll_timeouts::first_line_deadline(self->started_at_, timing::now()));
    self->handle_body();
  };
  beast_http::async_read_header(stream_, buffer_, parser_, on_head);
}

void EndpointWatch::read_body() {
  const auto on_bytes = [self = shared_from_this()](const error_code& error, std::size_t) {
    if (error) return self->fail(Kind::kStream, "cannot read endpoint lists: " + error.message());
    self->handle_body();
  };
  beast_http::async_read_some(stream_, buffer_, parser_, on_bytes);
}

void EndpointWatch::set_deadline(Seconds time) {
  stream_.expires_after(timing::to_duration(time - timing::now()));
}

// Called when an empty line or a list is complete, or when kProgressBytes of an incomplete list have arrived.
// Fewer bytes that complete neither do not restart the timeout.
void EndpointWatch::restart_silence_timeout() {
  incomplete_bytes_at_restart_ = incomplete_bytes_;
  set_deadline(timing::now() + poll_timeouts::kSilenceTimeout);
}

// If the stream ends within a list, the truncated list is discarded with the watch.
void EndpointWatch::handle_body() {
  const std::string bytes = std::exchange(parser_.get().body(), {});
  incomplete_bytes_ += bytes.size();
  // Any error while a list is read or applied must end this watch, so that another one is started.
  try {
    handle_text(bytes);
  } catch (const std::exception& error) {
    return fail(Kind::kInvalidList, error.what());
  }
  if (closed_) return;
  if (incomplete_bytes_ >= incomplete_bytes_at_restart_ + kProgressBytes) restart_silence_timeout();
  if (parser_.is_done()) return fail(Kind::kStream, "discovery ended the stream of endpoint lists");
  read_body();
}

void EndpointWatch::handle_text(std::string_view bytes) {
  while (!bytes.empty() && !closed_) {
    const config::EndpointListReader::Progress progress = reader_.feed(bytes);
    bytes.remove_prefix(progress.bytes);
    if (progress.event == config::EndpointListReader::Event::kNone) return;
    const std::size_t completed_bytes = std::exchange(incomplete_bytes_, bytes.size()) - bytes.size();
    if (progress.event == config::EndpointListReader::Event::kList) {
      callbacks_.on_list(this, reader_.take_list(), had_list_ ? 0 : completed_bytes);
      had_list_ = true;
    }
    restart_silence_timeout();
  }
}

void EndpointWatch::fail(WatchError::Kind kind, const std::string& message) {
  if (closed_) return;
  error_code ignored;
  const std::size_t unread_bytes = stream_.socket().available(ignored);
  close();
  const bool is_first_snapshot = !options_.since_version && !had_list_;
  callbacks_.on_error(this, {kind, message, incomplete_bytes_ + unread_bytes, is_first_snapshot});
}

}  // namespace asterdrift::node::discovery
