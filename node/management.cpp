#include "node/management.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <exception>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

#include "node/config.h"
#include "node/engine.h"

namespace asterdrift::node {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kHeadLimit = 8 * 1024;   // bytes
constexpr std::size_t kRestLimit = 64 * 1024;  // bytes thrown away after the answer
constexpr double kCallLimit = 2.2;             // s for a whole call, and as long again to take its answer
constexpr double kEndingLimit = 1;             // s for a peer to close after its answer
constexpr int kAcceptsAtOnce = 64;             // the callers' sockets have their turn after so many
constexpr auto kSweepPeriod = std::chrono::milliseconds(200);
constexpr auto kAcceptPause = std::chrono::milliseconds(20);  // after a failed accept: never a busy loop

}  // namespace

class Management::Peer : public std::enable_shared_from_this<Peer> {
 public:
  Peer(Management& owner, tcp::socket socket) : owner_(owner), socket_(std::move(socket)) {
    parser_.emplace();
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());  // with none at all Beast 1.74 takes any
                                                                     // length for too long
  }

  void start(Order::iterator place) {
    place_ = place;
    listed_ = true;
    read();
  }

  bool ending() const { return state_ == State::kEnding; }
  bool answering() const { return state_ == State::kAnswering; }

  bool overdue() const { return now() - since_ > (ending() ? kEndingLimit : kCallLimit); }

  // Whoever has sent a part of a call is told.
  void close_late() {
    static constexpr std::string_view kLate =
        "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    error_code ignored;
    if (state_ == State::kReading && begun_) socket_.write_some(asio::buffer(kLate), ignored);
    close();
  }

  void close() {
    const auto self = shared_from_this();  // its place may be what keeps it
    if (std::exchange(listed_, false)) owner_.peers_.erase(place_);
    state_ = State::kClosed;
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  enum class State { kReading, kAnswering, kEnding, kClosed };

  void wait() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
      if (self->state_ == State::kClosed) return;
      if (error) return self->close();
      self->read();
    });
  }

  // Guards the node: what goes wrong here, be it memory, ends this connection alone.
  void read() {
    try {
      std::array<char, 4096> bytes;
      error_code error;
      const std::size_t got = socket_.read_some(asio::buffer(bytes), error);
      if (error == asio::error::would_block) return wait();
      if (error) return close();
      if (ending()) return (rest_ += got) > kRestLimit ? close() : wait();
      begun_ = true;
      in_.append(bytes.data(), got);
      parse();
    } catch (const std::exception& problem) {
      log_line(std::string("an operator's connection ends: ") + problem.what());
      close();
    }
  }

  void parse() {
    error_code error;
    const std::size_t used = parser_->put(asio::buffer(in_), error);
    in_.erase(0, used);
    head_bytes_ += used;
    // Beast's own limit counts no line that is whole.
    if (head_bytes_ + in_.size() > kHeadLimit || error == http::error::header_limit) return answer(431);
    if (parser_->is_header_done()) return take();
    if (error && error != http::error::need_more) return answer(400);
    wait();
  }

  // A body would say nothing: the answer does not wait for one.
  void take() {
    const auto& head = parser_->get();
    const std::string_view target(head.target().data(), head.target().size());
    const std::string_view path = target.substr(0, target.find('?'));
    const bool known = path == "/ready" || path == "/metrics";
    if (!known) return answer(404);
    if (head.method() != http::verb::get) return answer(405, {}, "Allow: GET\r\n");
    if (path == "/ready") return answer(owner_.calls_.ready() ? 200 : 503);
    answer(200, owner_.calls_.metrics(), "Content-Type: text/plain\r\n");
  }

  void answer(unsigned status, const std::string& body = {}, const std::string& more = {}) {
    state_ = State::kAnswering;
    since_ = now();
    parser_.reset();
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    out_ = "HTTP/1.1 " + std::to_string(status) + " ";
    out_.append(reason.data(), reason.size()).append("\r\n").append(more);
    out_ += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        if (self->state_ != State::kAnswering) return;
                        if (error) return self->close();
                        // Closing over unread bytes would reset the connection and might take the answer
                        // along.
                        error_code ignored;
                        self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
                        self->state_ = State::kEnding;
                        self->since_ = now();
                        self->read();
                      });
  }

  Management& owner_;
  tcp::socket socket_;
  State state_ = State::kReading;
  bool listed_ = false, begun_ = false;
  Order::iterator place_;
  double since_ = now();
  std::size_t head_bytes_ = 0, rest_ = 0;
  std::string in_, out_;
  std::optional<http::request_parser<http::string_body>> parser_;  // not eager: it ends at the head
};

Management::Management(asio::io_context& io, const tcp::endpoint& listen, Calls calls)
    : io_(io), calls_(std::move(calls)), acceptor_(io), pause_(io), sweep_(io) {
  acceptor_.open(listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen);
  acceptor_.listen(256);
  acceptor_.non_blocking(true);
  accept();
  sweep();
}

void Management::accept() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](const error_code& error) {
    if (error == asio::error::operation_aborted) return;
    for (int i = 0; i < kAcceptsAtOnce; ++i) {
      error_code failed;
      tcp::socket socket(io_);
      acceptor_.accept(socket, failed);
      if (failed == asio::error::would_block || failed == asio::error::connection_aborted) break;
      if (!failed) socket.non_blocking(true, failed);
      if (failed) {
        pause_.expires_after(kAcceptPause);
        return pause_.async_wait([this](const error_code& stopped) {
          if (!stopped) accept();
        });
      }
      while (peers_.size() >= most_) make_room();
      try {
        const auto peer = std::make_shared<Peer>(*this, std::move(socket));
        peer->start(peers_.insert(peers_.end(), peer));
      } catch (const std::exception& problem) {
        log_line(std::string("an operator's connection is not taken: ") + problem.what());
      }
    }
    accept();
  });
}

// Who has its answer goes first, then the oldest that has not made its call. One that is being answered goes
// last.
void Management::make_room() {
  const auto first = [this](const auto& goes) { return std::find_if(peers_.begin(), peers_.end(), goes); };
  auto it = first([](const auto& peer) { return peer->ending(); });
  if (it == peers_.end()) it = first([](const auto& peer) { return !peer->answering(); });
  const std::shared_ptr<Peer> goes = it == peers_.end() ? peers_.front() : *it;
  goes->close();
}

void Management::sweep() {
  for (auto it = peers_.begin(); it != peers_.end();) {
    const std::shared_ptr<Peer> next = *it++;
    if (next->overdue()) next->close_late();
  }
  sweep_.expires_after(kSweepPeriod);
  sweep_.async_wait([this](const error_code& error) {
    if (!error) sweep();
  });
}

}  // namespace asterdrift::node
