// One connection to the stand-in discovery: answers polls for an endpoint list, and serves watches.
#include "scale/stand_ins/discovery_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include "node/timing/clock.h"
#include "support/http_messages.h"

namespace asterdrift::scale {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::chrono::seconds kHeartbeatPeriod{2};
constexpr std::size_t kMaxRecordedPolls = 1000;
const char* const kHeadEnd = "\r\n\r\n";

// The list version after which a watch continues, if its request line has one.
std::optional<std::uint64_t> parse_known_version(const std::string& request_line) {
  const std::string name = "index=";
  const std::size_t at = request_line.find(name);
  if (at == std::string::npos) return std::nullopt;
  std::uint64_t version = 0;
  std::from_chars(request_line.data() + at + name.size(), request_line.data() + request_line.size(), version);
  return version;
}

// Gives the last entry of a snapshot an unknown health value of the same length, so that the entry cannot be
// parsed and the snapshot keeps its size.
void corrupt_last_entry(std::string& snapshot) {
  const std::string health = "\"active\"";
  snapshot.replace(snapshot.rfind(health), health.size(), "\"astray\"");
}

}  // namespace

std::string watch_event(const std::string& list) { return test_support::chunk(list + "\n"); }

DiscoveryConnection::DiscoveryConnection(DiscoveryState& state, asio::ip::tcp::socket socket,
                                         ClosedHandler on_closed)
    : state_(state),
      socket_(std::move(socket)),
      on_closed_(std::move(on_closed)),
      heartbeat_(socket_.get_executor()) {}

void DiscoveryConnection::close() {
  if (!socket_.is_open()) return;
  error_code ignored;
  socket_.close(ignored);
  heartbeat_.cancel(ignored);
  if (is_watching_) state_.counts.open_watches -= 1;
  is_watching_ = false;
}

void DiscoveryConnection::send(SharedText text) {
  if (!socket_.is_open()) return;
  queue_.push_back(std::move(text));
  if (queue_.size() == 1) write_next();
}

void DiscoveryConnection::disconnect() {
  close();
  on_closed_(shared_from_this());
}

void DiscoveryConnection::read_request() {
  asio::async_read_until(socket_, asio::dynamic_buffer(received_), kHeadEnd,
                         [self = shared_from_this()](const error_code& error, std::size_t size) {
                           if (error) return self->disconnect();
                           self->respond(self->received_.substr(0, size));
                           self->received_.erase(0, size);
                           if (self->socket_.is_open()) self->read_request();
                         });
}

void DiscoveryConnection::respond(const std::string& head) {
  state_.counts.requests += 1;
  if (state_.polled_at.size() < kMaxRecordedPolls) state_.polled_at.push_back(node::timing::now());
  if (state_.mode == DiscoveryMode::kHang) return;
  if (state_.mode == DiscoveryMode::kUnavailable) {
    const std::string status = "HTTP/1.1 503 Service Unavailable\r\n";
    return send(std::make_shared<std::string>(test_support::with_content_length(status, "")));
  }
  const std::string request_line = head.substr(0, head.find("\r\n"));
  const bool is_watch = request_line.find("stream=1") != std::string::npos;
  if (is_watch) {
    start_watch(request_line);
  } else {
    respond_with_snapshot();
  }
}

void DiscoveryConnection::respond_with_snapshot() {
  state_.counts.snapshots += 1;
  const std::string status = "HTTP/1.1 200 OK\r\n";
  send(std::make_shared<std::string>(test_support::with_content_length(status, *state_.list.snapshot())));
}

void DiscoveryConnection::start_watch(const std::string& request_line) {
  send(std::make_shared<std::string>(test_support::kChunkedResponseHead));
  is_watching_ = true;
  state_.counts.open_watches += 1;
  const std::optional<std::uint64_t> version = parse_known_version(request_line);
  const SharedText changes = version ? state_.list.changes_since(*version) : nullptr;
  if (changes == nullptr) {
    send_snapshot_event();
  } else if (!changes->empty()) {
    state_.counts.incremental_lists += 1;
    send(std::make_shared<std::string>(watch_event(*changes)));
  }
  schedule_heartbeat();
}

void DiscoveryConnection::send_snapshot_event() {
  state_.counts.snapshots += 1;
  std::string text = watch_event(*state_.list.snapshot());
  if (state_.mode == DiscoveryMode::kTruncate) {
    text.resize(text.size() / 2);
    closes_after_queue_ = true;
  }
  if (state_.mode == DiscoveryMode::kCorrupt) corrupt_last_entry(text);
  send(std::make_shared<std::string>(std::move(text)));
}

void DiscoveryConnection::write_next() {
  asio::async_write(socket_, asio::buffer(*queue_.front()),
                    [self = shared_from_this()](const error_code& error, std::size_t size) {
                      self->state_.counts.bytes += size;
                      if (error) return self->disconnect();
                      self->queue_.pop_front();
                      if (!self->queue_.empty()) return self->write_next();
                      if (self->closes_after_queue_) return self->disconnect();
                      if (self->is_watching_) self->schedule_heartbeat();
                    });
}

void DiscoveryConnection::schedule_heartbeat() {
  heartbeat_.expires_after(kHeartbeatPeriod);
  heartbeat_.async_wait([self = shared_from_this()](const error_code& error) {
    const bool is_hanging = self->state_.mode == DiscoveryMode::kHang;
    if (error || !self->is_watching_ || !self->queue_.empty() || is_hanging) return;
    self->state_.counts.heartbeats += 1;
    self->send(std::make_shared<std::string>(test_support::chunk("\n")));
  });
}

}  // namespace asterdrift::scale
