#include "node/upstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cmath>
#include <exception>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "node/engine.h"

namespace asterdrift::node {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using balancer::Outcome;
using boost::system::error_code;

constexpr std::size_t kHeadLimit = 16 * 1024;  // bytes, of an answer's head and of a chunk's
constexpr double kHold =
    0.1;  // s; how long an answer of unknown length is kept whole before it passes as it comes
constexpr double kStall = 15;         // s without a byte in which a body that passes is given up
constexpr int kLeastTimeout = 1;      // ms, told to the server
constexpr double kFreshIdle = 0.1;    // s; a connection idle for less has hardly ever gone stale
constexpr double kStaleReset = 0.02;  // s; a kept connection that breaks so soon was stale
constexpr double kWary = 10;          // s after such a one
constexpr int kMostInterim = 8;       // answers 1xx ahead of the final one
constexpr double kKeepIdle = 0.9;     // of the servers' idle time; what is older is closed, not used

std::chrono::nanoseconds duration(double seconds) {
  return std::chrono::nanoseconds(static_cast<std::int64_t>(std::max(0.0, seconds) * 1e9));
}

}  // namespace

// One connection and, while it carries one, the attempt on it.
class Upstream::Connection : public std::enable_shared_from_this<Connection> {
 public:
  enum class State { kConnecting, kWriting, kReading, kParked, kClosed };

  Connection(Upstream& pool, std::string server, std::uint64_t generation)
      : pool_(pool), server(std::move(server)), generation(generation), socket_(pool.io_), timer_(pool.io_) {
    ++pool_.open_;
  }
  ~Connection() {
    if (state != State::kClosed) --pool_.open_;
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void begin(std::uint64_t serial, std::shared_ptr<Forward> request, double timeout, double write_within,
             Watcher watcher) {
    serial_ = serial;
    request_ = std::move(request);
    began_ = now();
    idle_ = state == State::kParked ? began_ - parked_at : 0;
    timeout_ = timeout;
    give_up_at_ = began_ + timeout;
    write_by_ = began_ + write_within;
    watcher_ = std::move(watcher);
    fresh_parser();
    interim_ = 0;
    written_ = 0;
    asked_at_ = hold_until_ = 0;
    last_piece_ = blocked_ = false;
    out_.clear();
  }

  void connect(const tcp::endpoint& to) {
    error_code error;
    socket_.open(to.protocol(), error);
    if (error) return end(Outcome::kNotSent, false);  // no descriptor left: nothing to do with the server
    socket_.set_option(tcp::no_delay(true), error);
    socket_.non_blocking(true, error);
    arm_timer(std::min({give_up_at_, write_by_, now() + pool_.connect_timeout_}));
    socket_.async_connect(to, [self = shared_from_this()](const error_code& failed) {
      if (self->state != State::kConnecting) return;
      if (Server* known = self->pool_.find(self->server)) std::erase(known->connecting, self);
      if (failed) return self->end(Outcome::kConnectFailed, false);
      self->guarded([&] { self->start_writing(); });
    });
  }

  void start_writing() {
    state = State::kWriting;
    progress_at_ = now();
    arm_timer(std::min(give_up_at_, write_by_));
    const double left = std::floor((give_up_at_ - now()) * 1000);
    out_ = request_->head;
    out_ +=
        "Request-Timeout-Ms: " + std::to_string(std::max<std::int64_t>(std::int64_t(left), kLeastTimeout)) +
        "\r\n\r\n";
    kept_ = request_->body;
    if (request_->chunked) {  // how the body begins is its first chunk
      out_ += chunk_of(request_->body);
      kept_ = {};
    }
    if (request_->rest) {
      request_->rest->on_bytes([self = weak_from_this(), serial = serial_] {
        const auto to = self.lock();
        if (to && to->state == State::kWriting && serial == to->serial_ && !to->blocked_) {
          to->guarded([&] { to->write(); });
        }
      });
      wait_readable();  // a server may answer before it has heard all
    }
    write();
  }

  void stop(std::uint64_t serial, Outcome outcome) {
    if (serial == serial_ && watcher_.done) end(outcome, false);
  }

  void withdraw(std::uint64_t serial) {
    if (state == State::kConnecting || (state == State::kWriting && !answer_))
      stop(serial, Outcome::kNotSent);
  }

  Handle handle() { return {weak_from_this(), serial_}; }

  // Whether the server has closed it, or has said what nobody asked for, while it was parked.
  bool stale() {
    char byte = 0;
    const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  // Ends the attempt, if there is one, and with it the connection unless it may be kept.
  void end(Outcome outcome, bool keep) {
    AttemptEnd result{outcome, {}, {}, {}, asked_at_};
    if (outcome == Outcome::kConnectionReset && idle_ >= kFreshIdle && now() - began_ < kStaleReset) {
      pool_.wary_until_ = now() + kWary;
    }
    if (answer_) {
      answer_->end(outcome == Outcome::kSuccess);
    } else if (outcome == Outcome::kSuccess) {
      result.content_type = std::string(parser_->get()[http::field::content_type]);
      result.body = std::move(parser_->get().body());
      result.claim = std::exchange(claim_, {});
    }
    claim_ = {};
    timer_.cancel();
    const auto done = std::exchange(watcher_, {}).done;
    parser_.reset();
    request_.reset();
    answer_.reset();
    kept_ = {};
    std::string().swap(out_);
    std::string().swap(in_);
    if (keep) {
      pool_.park(shared_from_this());
    } else {
      close();
    }
    if (done) done(std::move(result));
  }

  void close() {
    if (state == State::kConnecting) {
      if (Server* known = pool_.find(server)) std::erase(known->connecting, shared_from_this());
    }
    if (state != State::kClosed) --pool_.open_;
    state = State::kClosed;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  // Guards the other attempts: what goes wrong on one connection, be it memory, ends that one alone.
  template <class Step>
  void guarded(Step&& step) {
    try {
      step();
    } catch (const std::exception& problem) {
      log_line("a connection to " + server + " ends: " + problem.what());
      end(state == State::kReading ? Outcome::kUnknown : Outcome::kConnectFailed, false);
    }
  }

  void arm_timer(double at) {
    timer_.expires_after(duration(at - now()));
    timer_.async_wait([self = shared_from_this(), serial = serial_](const error_code& error) {
      if (!error && serial == self->serial_ && self->watcher_.done) self->guarded([&] { self->expire(); });
    });
  }

  // Until when the server may take, as things are. Danger: a body that passes takes the time that its client
  // and its size need; no time for an answer holds for it, but whoever moves no byte for long is given up.
  double deadline() const {
    const bool passes = answer_ || (state == State::kWriting && request_->rest);
    if (!passes) return give_up_at_;
    const bool other_side =
        answer_ ? answer_->full() : !blocked_;  // the client is waited for, not the server
    return (other_side ? now() : progress_at_) + kStall;
  }

  // Guards against taking a sent request for one that never ran: only bytes still here prove it.
  void expire() {
    if (state != State::kReading && now() >= write_by_) return end(Outcome::kNotSent, false);
    if (state == State::kConnecting && now() < give_up_at_) return end(Outcome::kConnectFailed, false);
    if (!answer_ && hold_until_ > 0 && now() >= hold_until_) pass_on();
    if (now() < deadline()) return arm_timer(deadline());
    if (answer_) return end(Outcome::kConnectionReset, false);
    end(state == State::kReading ? Outcome::kTimedOut : Outcome::kConnectFailed, false);
  }

  // The writing is done here and not by a composed operation, which would tell of the last byte only later:
  // in between, a time-out would take a request that is out for one that is not.
  void write() {
    // Guards against an attempt that begins for nobody, also where its client's end is yet to be heard of.
    const std::shared_ptr<Forward> request = request_;
    if (!answer_ && request->wanted && !request->wanted()) return stop(serial_, Outcome::kNotSent);
    do {
      while (written_ < out_.size() + kept_.size()) {
        const std::size_t head = out_.size();
        const std::array<asio::const_buffer, 2> parts = {
            written_ < head ? asio::buffer(out_) + written_ : asio::const_buffer(),
            asio::buffer(kept_.data(), kept_.size()) + (written_ > head ? written_ - head : 0)};
        if (now() >= write_by_) return end(Outcome::kNotSent, false);
        error_code error;
        written_ += socket_.write_some(parts, error);
        if (error == asio::error::would_block) return wait_writable();
        if (error) return end(Outcome::kConnectFailed, false);
        progress_at_ = now();
      }
    } while (next_piece());
  }

  void wait_writable() {
    blocked_ = true;
    socket_.async_wait(tcp::socket::wait_write,
                       [self = shared_from_this(), serial = serial_](const error_code& failed) {
                         if (self->state != State::kWriting || serial != self->serial_) return;
                         self->blocked_ = false;
                         if (failed) return self->end(Outcome::kConnectFailed, false);
                         self->guarded([&] { self->write(); });
                       });
  }

  // What is written has gone. Whether there is more to write now; if not, the client is waited for, or the
  // answer.
  bool next_piece() {
    Stream* const rest = request_->rest.get();
    if (rest != nullptr && !last_piece_) {
      if (rest->empty() && !rest->ended()) return false;
      // The client has broken off: the server does not begin what it has not got whole.
      if (rest->empty() && !rest->whole()) return end(Outcome::kNotSent, false), false;
      last_piece_ = rest->empty();
      kept_ = {};
      written_ = 0;
      if (last_piece_) {
        out_ = request_->chunked ? kLastChunk : std::string_view();
        return !out_.empty() || next_piece();
      }
      if (!std::exchange(request_->rest_begun, true)) watcher_.rest_begun();
      out_ = request_->chunked ? chunk_of(rest->take()) : rest->take();
      return true;
    }
    std::string().swap(out_);
    kept_ = {};
    state = State::kReading;
    pool_.metrics_.attempt_written();
    if (rest != nullptr) {
      asked_at_ = now();
      give_up_at_ = asked_at_ + timeout_;
      arm_timer(give_up_at_);
      watcher_.out();
    }
    wait_readable();
    return false;
  }

  // At most one wait is out; it stays out while the connection is parked and is taken over by the next use.
  void wait_readable() {
    if (waiting_ || state == State::kClosed) return;
    waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
      self->waiting_ = false;
      if (self->state == State::kParked) {
        self->pool_.unpark(self);
        self->close();
      } else if (self->state == State::kReading || self->state == State::kWriting) {
        if (error) return self->end(self->broken(), false);
        self->guarded([&] { self->read(); });
      }
    });
  }

  // What a connection that breaks now says of its attempt.
  Outcome broken() const {
    return state == State::kWriting ? Outcome::kConnectFailed : Outcome::kConnectionReset;
  }

  void read() {
    error_code error;
    const std::size_t got = socket_.read_some(asio::buffer(pool_.scratch_), error);
    if (error == asio::error::would_block) return wait_readable();
    if (error == asio::error::eof && ends_with_connection()) return end(outcome(), false);
    if (error) return end(broken(), false);
    progress_at_ = now();
    in_.append(pool_.scratch_.data(), got);
    std::size_t from = 0;
    while (from < in_.size() && !parser_->is_done()) {
      const bool in_head = !parser_->is_header_done();
      const std::size_t used = parser_->put(asio::buffer(in_.data() + from, in_.size() - from), error);
      from += used;
      if (in_head) head_bytes_ += used;
      if (error && error != http::error::need_more) return end(Outcome::kUnknown, false);
      // Guards the memory and the client: an answer whose head has no end, or whose length is in doubt or too
      // long, is spoilt. It ends here, as one that may have run, and its connection is of no further use.
      if (head_bytes_ > kHeadLimit || (in_head && parser_->is_header_done() && !sound_head())) {
        return end(Outcome::kUnknown, false);
      }
      pass_body();
      if (error == http::error::need_more) break;
      if (parser_->is_done() && is_interim()) {
        if (++interim_ > kMostInterim) return end(Outcome::kUnknown, false);
        fresh_parser();
      } else if (used == 0) {
        break;
      }
    }
    in_.erase(0, from);
    if (parser_->is_done()) {
      return end(outcome(), state == State::kReading && parser_->get().keep_alive() && in_.empty());
    }
    if (in_.size() > kHeadLimit) return end(Outcome::kUnknown, false);
    if (!answer_ || !answer_->full()) wait_readable();  // else once there is room
  }

  // An answer with neither a length nor chunks is whole when its connection is closed in good order.
  bool ends_with_connection() {
    if (!parser_->is_header_done() || !parser_->need_eof() || is_interim()) return false;
    error_code error;
    parser_->put_eof(error);
    return !error && parser_->is_done();
  }

  // Where the body goes that has come so far. Errors have none that is passed on.
  void pass_body() {
    if (!parser_->is_header_done() || is_interim()) return;
    std::string& body = parser_->get().body();
    if (parser_->get().result_int() != 200) return body.clear();
    const auto length = parser_->content_length();
    if (!answer_ &&
        (body.size() > kWholeBody || (length && *length > kWholeBody) || !claim_.grow_to(body.size()))) {
      return pass_on();
    }
    if (answer_) {
      answer_->give(body);
      body.clear();
    } else if (!length && hold_until_ == 0 && !parser_->is_done()) {
      hold_until_ = now() + kHold;
      arm_timer(std::min(hold_until_, give_up_at_));
    }
  }

  // From here on the answer is its client's: its bytes pass as they come.
  void pass_on() {
    hold_until_ = 0;
    answer_ = std::make_shared<Stream>(pool_.io_, pool_.budget_);
    answer_->on_room([self = weak_from_this(), serial = serial_] {
      const auto to = self.lock();
      if (!to || serial != to->serial_ || !to->answer_) return;
      if (to->answer_->dropped()) return to->end(Outcome::kCancelled, false);
      to->progress_at_ = now();  // the client was waited for
      to->wait_readable();
    });
    std::optional<std::uint64_t> length;
    if (const auto told = parser_->content_length()) length = *told;
    std::string& body = parser_->get().body();
    answer_->give(body);
    std::string().swap(body);
    claim_.release();
    watcher_.begins({std::string(parser_->get()[http::field::content_type]), length, answer_, asked_at_});
    arm_timer(deadline());
  }

  // Not eager: an eager parser of Beast 1.74 goes on after a head whose body is over the limit.
  void fresh_parser() {
    parser_.emplace();
    parser_->body_limit(kLargestBody);
    head_bytes_ = 0;
    claim_ = Claim(pool_.budget_);
  }

  // Whether a head leaves no doubt where its answer ends.
  bool sound_head() {
    const auto& head = parser_->get();
    const std::size_t encodings = head.count(http::field::transfer_encoding);
    if (head.count(http::field::content_length) + encodings > 1) return false;
    return encodings == 0 || boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
  }

  bool is_interim() const {
    const unsigned status = parser_->get().result_int();
    return status >= 100 && status < 200 && status != 101;
  }

  // Only the two statuses with the server's word for it prove that a request never ran.
  Outcome outcome() const {
    const auto& answer = parser_->get();
    const unsigned status = answer.result_int();
    if (status == 200) return Outcome::kSuccess;
    if ((status == 503 || status == 504) && answer["Not-Started"] == "1") return Outcome::kRejected;
    return status >= 500 ? Outcome::kServerError : Outcome::kUnknown;
  }

  Upstream& pool_;

 public:
  const std::string server;
  const std::uint64_t generation;
  State state = State::kConnecting;
  double parked_at = 0;
  std::list<std::shared_ptr<Connection>>::iterator place;  // among all that are parked
  void stay_readable() { wait_readable(); }

 private:
  tcp::socket socket_;
  asio::steady_timer timer_;
  bool waiting_ = false, blocked_ = false, last_piece_ = false;  // blocked: the server takes no bytes now
  std::string in_, out_;                                         // out: what is being written
  std::string_view kept_;                                        // and the request's kept bytes behind it
  std::size_t written_ = 0, head_bytes_ = 0;
  int interim_ = 0;
  Claim claim_;
  std::uint64_t serial_ = 0;
  std::shared_ptr<Forward> request_;
  std::shared_ptr<Stream> answer_;  // its body, once it passes as it comes
  double began_ = 0, idle_ = 0, timeout_ = 0, give_up_at_ = 0, write_by_ = 0;
  double asked_at_ = 0, progress_at_ = 0, hold_until_ = 0;
  Watcher watcher_;
  std::optional<http::response_parser<PieceBody>> parser_;
};

Upstream::Upstream(asio::io_context& io, const Config& config, ByteBudget& budget, Metrics& metrics,
                   std::size_t most_sockets)
    : io_(io),
      budget_(budget),
      metrics_(metrics),
      connect_timeout_(config.connect_timeout),
      keep_idle_(config.idle_close * kKeepIdle),
      most_sockets_(most_sockets),
      sweep_(io) {
  close_old();
}

Upstream::Server* Upstream::find(const std::string& name) {
  const auto it = servers_.find(name);
  return it == servers_.end() ? nullptr : &it->second;
}

Upstream::Handle Upstream::start(const std::string& server, std::shared_ptr<Forward> request, double timeout,
                                 double write_within, Watcher watcher) {
  Server* known = find(server);
  if (known == nullptr || timeout <= 0 || write_within <= 0) {
    watcher.done({Outcome::kNotSent, {}, {}, {}, 0});
    return {};
  }
  const std::uint64_t serial = ++serial_;
  if (const std::shared_ptr<Connection> old = reuse(*known)) {
    old->begin(serial, std::move(request), timeout, write_within, std::move(watcher));
    old->start_writing();
    return {old, serial};
  }
  if (!make_room()) {
    watcher.done({Outcome::kNotSent, {}, {}, {}, 0});
    return {};
  }
  const auto fresh = std::make_shared<Connection>(*this, server, known->generation);
  fresh->begin(serial, std::move(request), timeout, write_within, std::move(watcher));
  known->connecting.push_back(fresh);
  fresh->connect(known->dial);
  return {fresh, serial};
}

void Upstream::stop(const Handle& attempt, Outcome outcome) {
  if (const auto connection = attempt.connection.lock()) connection->stop(attempt.serial, outcome);
}

void Upstream::withdraw(const Handle& attempt) {
  if (const auto connection = attempt.connection.lock()) connection->withdraw(attempt.serial);
}

// The most recently used, so that the others can idle out. Guards against writing on a connection that the
// server has closed or is about to close: what may not be repeated would be lost.
// Where kept connections break under their next request all the same, as when something on the way forgets
// them, that request may have run: requests then go on one just used, or on a new one. That goes for those
// that may be repeated too: only few servers drop a repeat, and those are seldom the ones with room.
std::shared_ptr<Upstream::Connection> Upstream::reuse(Server& server) {
  while (!server.parked.empty()) {
    const std::shared_ptr<Connection> last = server.parked.back();
    if (now() < wary_until_ && now() - last->parked_at >= kFreshIdle) return nullptr;
    server.parked.pop_back();
    parked_.erase(last->place);
    if (now() - last->parked_at < keep_idle_ && !last->stale()) return last;
    last->close();
  }
  return nullptr;
}

// Guards the limit on sockets: the longest idle connection makes room for one that is needed.
bool Upstream::make_room() {
  while (open_ >= most_sockets_ && !parked_.empty()) {
    const std::shared_ptr<Connection> oldest = parked_.front();
    unpark(oldest);
    oldest->close();
  }
  return open_ < most_sockets_;
}

void Upstream::set_most(std::size_t sockets) {
  most_sockets_ = sockets;
  make_room();
}

void Upstream::park(const std::shared_ptr<Connection>& connection) {
  Server* known = find(connection->server);
  // Guards against a connection that leads to the process before: it was busy while another took its place.
  if (known == nullptr || known->generation != connection->generation) return connection->close();
  if (open_ > most_sockets_) return connection->close();
  connection->state = Connection::State::kParked;
  connection->parked_at = now();
  connection->place = parked_.insert(parked_.end(), connection);
  known->parked.push_back(connection);
  connection->stay_readable();
}

void Upstream::unpark(const std::shared_ptr<Connection>& connection) {
  parked_.erase(connection->place);
  if (Server* known = find(connection->server)) std::erase(known->parked, connection);
}

void Upstream::close_parked(Server& server) {
  for (const std::shared_ptr<Connection>& connection : std::exchange(server.parked, {})) {
    parked_.erase(connection->place);
    connection->close();
  }
}

void Upstream::close_old() {
  while (!parked_.empty() && now() - parked_.front()->parked_at >= keep_idle_) {
    const std::shared_ptr<Connection> oldest = parked_.front();
    unpark(oldest);
    oldest->close();
  }
  sweep_.expires_after(duration(keep_idle_ - (parked_.empty() ? 0 : now() - parked_.front()->parked_at)));
  sweep_.async_wait([this](const error_code& error) {
    if (!error) close_old();
  });
}

void Upstream::stop_connecting(const Server& server, std::vector<Handle>& stopped) {
  for (const std::shared_ptr<Connection>& waiting : server.connecting) stopped.push_back(waiting->handle());
}

// Guards the drains: a send that still waits for its connection must not be written later.
void Upstream::remove(std::unordered_map<std::string, Server>::iterator server,
                      std::vector<Handle>& stopped) {
  stop_connecting(server->second, stopped);
  close_parked(server->second);
  servers_.erase(server);
}

std::vector<Upstream::Handle> Upstream::apply(const ServerList& list, bool whole) {
  std::vector<Handle> stopped;
  ++lists_;
  for (const ListedServer& told : list.servers) {
    if (told.facts.state != balancer::EndpointState::kReady) continue;
    Server& server = servers_[told.facts.address];
    // Another process, or the same at another address: what is parked or on its way leads nowhere.
    if (server.dial != told.dial || server.started != told.facts.started_at) {
      close_parked(server);
      stop_connecting(server, stopped);
      server.generation = ++generation_;
    }
    server.dial = told.dial;
    server.started = told.facts.started_at;
    server.listed = lists_;
  }
  for (const ListedServer& told : list.servers) {
    if (told.facts.state == balancer::EndpointState::kReady) continue;
    const auto it = servers_.find(told.facts.address);
    if (it != servers_.end()) remove(it, stopped);
  }
  if (whole) {  // what it does not name is gone
    for (auto it = servers_.begin(); it != servers_.end();) {
      const auto server = it++;
      if (server->second.listed != lists_) remove(server, stopped);
    }
  }
  return stopped;
}

}  // namespace asterdrift::node
