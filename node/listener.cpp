#include "node/listener.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace asterdrift::node {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kHeadLimit = 8 * 1024;   // bytes, of a request's head and of a chunk's
constexpr std::size_t kEarlyLimit = 8 * 1024;  // bytes kept of a next request while one is being answered,
constexpr std::size_t kMostEarly = kHeadLimit + kWholeBody;  // and where there is memory to spare
constexpr double kIdleLimit = 20;                            // s without a request
// Clients may take 2 s for a head and send a body at 64 kB/s. Whoever sends nothing of use has 3 s in all.
constexpr double kReadLimit = 2.4;            // s for a head, from the connection's start if it is its first
constexpr double kBodyGrace = 0.7;            // s after the head, and then
constexpr double kLeastRate = 40e3;           // bytes/s of a body, on the whole
constexpr double kWriteLimit = 5;             // s for a client to take any byte of its answer
constexpr double kEndingLimitS = 1;           // s for a client to close after its last answer
constexpr int kStreamSendBuffer = 64 * 1024;  // bytes; what the system holds of an answer that passes
constexpr double kYoung = 0.25;     // s in which a new connection or a request being read is not evicted
constexpr int kEvictionLooks = 16;  // connections looked at to find one that can go
constexpr auto kSweepPeriod = std::chrono::milliseconds(100);
constexpr auto kAcceptPause = std::chrono::milliseconds(20);  // after a failed accept: never a busy loop

std::string head_of(const Answer& answer, bool close, bool chunked) {
  std::string out = "HTTP/1.1 " + std::to_string(answer.status) + " ";
  const auto reason = http::obsolete_reason(static_cast<http::status>(answer.status));
  out.append(reason.data(), reason.size());
  out += "\r\n";
  if (chunked) {
    out += "Transfer-Encoding: chunked\r\n";
  } else if (!answer.rest || answer.length) {
    out += "Content-Length: " + std::to_string(answer.rest ? *answer.length : answer.body.size()) + "\r\n";
  }
  if (!answer.content_type.empty()) out += "Content-Type: " + answer.content_type + "\r\n";
  if (answer.retry_after > 0) {
    std::array<char, 32> seconds{};
    std::snprintf(seconds.data(), seconds.size(), "%.3f", answer.retry_after);
    out.append("Retry-After: ").append(seconds.data()).append("\r\n");
  }
  if (close) out += "Connection: close\r\n";
  return out + "\r\n";
}

}  // namespace

class Listener::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Listener& listener, tcp::socket socket)
      : listener_(listener), socket_(std::move(socket)), early_(listener.budget_) {
    ++listener_.count_;
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void start() {
    enter(State::kFresh);
    wait_readable();
  }

  // Closes it unless a request is being read, waits or is being answered.
  bool close_if_idle() {
    if (state_ != State::kIdle && state_ != State::kFresh) return false;
    char byte = 0;
    // What has come and is not read yet is a request that this machine has taken.
    if (::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) return false;
    close();
    return true;
  }

  // Guards against sending on what nobody waits for: an upload that is held back is not read, and so does not
  // show that its client has gone.
  void close_if_left() {
    if (paused_at_ > 0 && left()) close();
  }

  // Ends it with an error where it has sent a part of a request and has had its time.
  bool close_if_slow(double limit) {
    if (now() - (used_ ? began_at_ : connected_at_) < limit || !behind()) return false;
    static constexpr std::string_view kSlow =
        "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    error_code ignored;
    if (state_ != State::kFresh) socket_.write_some(asio::buffer(kSlow.data(), kSlow.size()), ignored);
    close();
    return true;
  }

  void refuse_part() {
    if (state_ == State::kReading) guarded([&] { turn_away(503); });
  }

  // Ends it where its client has taken no byte for so long. That there are none to take is not its doing.
  void close_if_stuck(double limit) {
    if (moving_ && now() - since_ > limit) close();
  }

  void close() {
    if (state_ == State::kClosed) return;
    const bool waiting = state_ == State::kWaiting || state_ == State::kUploading;
    enter(State::kClosed);
    error_code ignored;
    socket_.close(ignored);
    release();
    if (taken_) count(0);  // whoever has gone had no whole answer
    if (rest_) rest_->drop();
    rest_.reset();
    if (waiting) listener_.engine_.gone(request_);
    listener_.closed();
  }

  double since() const { return since_; }

 private:
  enum class State { kNew, kFresh, kIdle, kReading, kUploading, kWaiting, kWriting, kEnding, kClosed };

  Order* order_of(State state) {
    switch (state) {
      case State::kFresh:
        return &listener_.fresh_;
      case State::kIdle:
        return &listener_.idle_;
      case State::kReading:
        return &listener_.reading_;
      case State::kUploading:
        return &listener_.uploading_;
      case State::kWriting:
        return &listener_.writing_;
      case State::kEnding:
        return &listener_.ending_;
      default:
        return nullptr;
    }
  }
  static bool busy(State state) {
    return state == State::kUploading || state == State::kWaiting || state == State::kWriting;
  }

  // Whether what has come of a request is too little for its time. While it is the server that takes no
  // bytes, the client's time stands still.
  bool behind() const {
    if (head_at_ == 0) return true;
    if (upload_ && upload_->full()) return false;
    return now() - head_at_ - paused_ > kBodyGrace + static_cast<double>(body_bytes_) / kLeastRate;
  }

  void enter(State state) {
    const auto self = weak_from_this().lock();  // its place may be what keeps it
    if (Order* order = listed_ ? order_of(state_) : nullptr) order->erase(place_);
    listed_ = false;
    if (busy(state_)) --listener_.busy_;
    if (busy(state)) ++listener_.busy_;
    state_ = state;
    since_ = now();
    if (Order* order = order_of(state)) {
      place_ = order->insert(order->end(), self);
      listed_ = true;
    }
  }

  // Guards the other connections: what goes wrong in one, be it memory, ends that one alone.
  template <class Step>
  void guarded(Step&& step) {
    try {
      step();
    } catch (const std::exception& problem) {
      log_line(std::string("a caller's connection ends: ") + problem.what());
      close();
    }
  }

  // Whether the client has ended its side of the connection, be it behind bytes that are not read yet.
  bool left() {
    char byte = 0;
    const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got <= 0) return got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    pollfd end{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&end, 1, 0) > 0;
  }

  // One wait is out at any time, also while a request waits for its answer: only so is it noticed that a
  // client leaves.
  void wait_readable() {
    if (waiting_ || state_ == State::kClosed) return;
    waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
      self->waiting_ = false;
      if (self->state_ == State::kClosed) return;
      if (error) return self->close();
      self->guarded([&] { self->read(); });
    });
  }

  void read() {
    const bool early = busy(state_) && state_ != State::kUploading;
    error_code error;
    const std::size_t got = socket_.read_some(asio::buffer(listener_.scratch_), error);
    if (error == asio::error::would_block) return wait_readable();
    if (error) return close();
    if (state_ == State::kEnding) {
      if ((thrown_away_ += got) > kLargestBody) return close();
      return wait_readable();
    }
    if (early) {
      keep_early(got);
      return wait_readable();
    }
    in_.append(listener_.scratch_.data(), got);
    if (state_ != State::kReading && state_ != State::kUploading) begin_request();
    parse();
  }

  // A next request's bytes are kept. Danger: with more than can be kept left unread, it does not show that
  // the client leaves. So the rest is thrown away, and the connection ends with the answer that is owed.
  void keep_early(std::size_t got) {
    const std::size_t all = in_.size() + got;
    overrun_ = overrun_ || all > kMostEarly ||
               (all > kEarlyLimit && !early_.grow_to(all, listener_.budget_.size() / 2));
    if (!overrun_) {
      in_.append(listener_.scratch_.data(), got);
    } else {
      std::string().swap(in_);
      early_.release();
    }
  }

  void begin_request() {
    began_at_ = now();
    head_at_ = paused_ = 0;
    body_bytes_ = 0;
    enter(State::kReading);
  }

  // Not eager: an eager parser of Beast 1.74 goes on after a head whose body is over the limit, and takes the
  // body for more of the head.
  void parse() {
    if (!parser_) {
      parser_.emplace();
      parser_->body_limit(kLargestBody);
      head_bytes_ = 0;
    }
    error_code error;
    std::size_t from = 0;
    while (from < in_.size() && !parser_->is_done()) {
      const bool in_head = !parser_->is_header_done();
      const std::string_view bytes = std::string_view(in_).substr(from);
      // Guards against a header that goes on in the next line: Beast joins them, others read them as two.
      if (in_head && folded(bytes)) return turn_away(400);
      const std::size_t used = parser_->put(asio::buffer(bytes.data(), bytes.size()), error);
      from += used;
      if (in_head) head_bytes_ += used;
      // Guards against heads and chunk heads without end: Beast's own limit counts no line that is whole.
      if (head_bytes_ > kHeadLimit) return turn_away(431);
      if (error == http::error::need_more) break;
      if (error) {
        const bool long_head = error == http::error::header_limit;
        return turn_away(error == http::error::body_limit ? 413 : long_head ? 431 : 400);
      }
      if (in_head && parser_->is_header_done() && !head_came()) return;
      if (!in_head && !body_came()) return;
      if (used == 0) break;
    }
    in_.erase(0, from);
    if (parser_->is_done()) return state_ == State::kUploading ? uploaded() : take();
    if (in_.size() > kHeadLimit) return turn_away(431);
    if (!upload_ || !upload_->full()) return wait_readable();  // else once there is room
    paused_at_ = now();
  }

  // Bytes of a body, which is kept whole as long as it is small. Whether the request goes on.
  bool body_came() {
    std::string& body = parser_->get().body();
    if (!call_ && state_ != State::kUploading) {  // nobody wants it: its connection gets a 404 in the end
      body_bytes_ += body.size();
      body.clear();
      return true;
    }
    if (state_ == State::kUploading) {
      body_bytes_ += body.size();
      upload_->give(body);
      body.clear();
      return true;
    }
    body_bytes_ = body.size();
    if (!claim_.grow_to(std::min(body.size(), kWholeBody), listener_.budget_.size() / 2))
      return turn_away(503), false;
    if (body.size() < kWholeBody || parser_->is_done()) return true;
    upload_ = std::make_shared<Stream>(listener_.io_, listener_.budget_);
    upload_->on_room([self = weak_from_this()] {
      const auto to = self.lock();
      if (!to || to->state_ != State::kUploading) return;
      if (to->paused_at_ > 0) to->paused_ += now() - std::exchange(to->paused_at_, 0);
      to->wait_readable();
    });
    return submit(State::kUploading);
  }

  // The last byte of a body that passes has come.
  void uploaded() {
    if (left()) return close();
    upload_->end(true);
    upload_.reset();
    parser_.reset();
    enter(State::kWaiting);
    listener_.engine_.body_came(request_);
    wait_readable();
  }

  // Looks at a request as soon as its head is there: what can't be used is turned away without its body.
  bool head_came() {
    const Intake::Head& head = parser_->get().base();
    head_at_ = now();
    chunks_ = head.version() >= 11;
    keep_alive_ = parser_->get().keep_alive();
    claim_ = Claim(listener_.budget_);
    try {
      Intake::check_framing(head);
      if (Intake::path_of(head) == "/api") {
        call_.emplace(listener_.intake_.read(head));
        class_ = call_->facts.request_class;
        // Guards against a request that runs twice, or an answer that goes to the wrong client.
        if (listener_.engine_.knows(call_->client_id)) throw BadRequest{409, "this Request-Id is open"};
      }
      // Guards the memory limit: answers need room too, so requests leave half of the budget to them.
      const std::uint64_t length = std::min<std::uint64_t>(parser_->content_length().value_or(0), kWholeBody);
      if (!claim_.grow_to(length, listener_.budget_.size() / 2)) {
        throw BadRequest{503, "no memory to spare"};
      }
    } catch (const BadRequest& bad) {
      turn_away(bad.status, bad.what);
      return false;
    }
    if (boost::beast::iequals(head[http::field::expect], "100-continue")) {
      static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      error_code ignored;
      socket_.write_some(asio::buffer(kContinue.data(), kContinue.size()), ignored);
    }
    return true;
  }

  void turn_away(unsigned status, const char* what = nullptr) {
    Answer out{status, 0, {}, {}, {}, {}, {}};
    if (status == 503) out = listener_.engine_.refusal();
    if (state_ == State::kUploading) listener_.engine_.gone(request_);
    if (what != nullptr) {
      out.body = std::string(what) + "\n";
      out.content_type = "text/plain";
    }
    answer(std::move(out), true);
  }

  void take() {
    const auto& head = parser_->get();
    const std::string_view path = Intake::path_of(head);
    if (path == "/healthz") {
      head_only_ = head.method() == http::verb::head;
      const unsigned status = head.method() != http::verb::get && !head_only_ ? 405
                              : listener_.ready()                             ? 200
                                                                              : 503;
      return answer({status, 0, {}, {}, {}, {}, {}}, false);
    }
    if (!call_) return answer({404, 0, {}, {}, {}, {}, {}}, false);
    submit(State::kWaiting);
  }

  // Hands the request to the engine, with what there is of its body. Whether it has taken it.
  bool submit(State next) {
    const auto& head = parser_->get();
    std::string& body = parser_->get().body();
    Forward& forward = *call_->forward;
    const auto length = parser_->content_length();
    if (head.method() != http::verb::post && !body.empty())
      return turn_away(400, "a body where none belongs"), false;
    if (listener_.engine_.knows(call_->client_id)) return turn_away(409, "this Request-Id is open"), false;
    if (listener_.crowded() || !listener_.engine_.may_send()) return turn_away(503), false;
    // It may have waited, in the machine's queue or behind a busy moment, for longer than its client did.
    if (left()) return close(), false;
    if (upload_ && !length) {
      forward.head += "Transfer-Encoding: chunked\r\n";
      forward.chunked = true;
    } else if (head.method() == http::verb::post) {
      forward.head += "Content-Length: " + std::to_string(upload_ ? *length : body.size()) + "\r\n";
    }
    forward.body = std::move(body);
    body.clear();
    forward.claim = std::exchange(claim_, {});
    forward.rest = upload_;
    Call call = std::move(*call_);
    call_.reset();
    call.came_at = now();
    call.left = [self = weak_from_this()] {
      const auto client = self.lock();
      return !client || (!client->submitting_ && client->left());
    };
    if (next == State::kWaiting) parser_.reset();
    enter(next);
    ++listener_.pending_;
    taken_ = true;
    request_ = 0;
    wait_readable();
    submitting_ = true;
    const std::uint64_t number =
        listener_.engine_.submit(std::move(call), [self = shared_from_this()](Answer&& final) {
          if (self->state_ != State::kWaiting && self->state_ != State::kUploading) {
            if (final.rest) final.rest->drop();
            return;
          }
          self->guarded([&] { self->answer(std::move(final), false); });
        });
    submitting_ = false;
    request_ = number;
    return state_ == next;
  }

  void answer(Answer&& final, bool close) {
    // What still comes of its body has nowhere to go: where the next request begins can't be told.
    const bool uploading = state_ == State::kUploading;
    const bool full = listener_.count_ > listener_.most_;
    status_ = final.status;
    chunked_ = final.rest && !final.length && chunks_;
    const bool until_closed = final.rest && !final.length && !chunks_;
    close_after_ =
        close || uploading || until_closed || !keep_alive_ || listener_.finishing_ || full || overrun_;
    release();
    head_ = head_of(final, close_after_, chunked_);
    answer_ = std::move(final);
    if (std::exchange(head_only_, false)) answer_.body.clear();
    enter(State::kWriting);
    rest_ = std::exchange(answer_.rest, nullptr);
    if (uploading) wait_readable();
    if (rest_) {
      error_code ignored;
      socket_.set_option(tcp::socket::send_buffer_size(kStreamSendBuffer), ignored);
      rest_->on_bytes([self = weak_from_this()] {
        const auto to = self.lock();
        if (to && to->state_ == State::kWriting && !to->moving_) to->guarded([&] { to->write_more(); });
      });
    }
    write(std::array<asio::const_buffer, 2>{asio::buffer(head_), asio::buffer(answer_.body)});
  }

  template <class Buffers>
  void write(const Buffers& parts) {
    moving_ = true;
    asio::async_write(socket_, parts, [self = shared_from_this()](const error_code& error, std::size_t) {
      if (self->state_ != State::kWriting) return;
      self->moving_ = false;
      if (error) return self->close();
      self->guarded([&] { self->write_more(); });
    });
  }

  // What has been written is with the client. More of an answer that passes follows as it comes.
  void write_more() {
    if (!rest_) return answered();
    if (!rest_->empty()) {
      head_ = chunked_ ? chunk_of(rest_->take()) : rest_->take();
    } else if (!rest_->ended()) {
      return;
    } else if (!rest_->whole()) {
      return break_off();
    } else {
      rest_.reset();
      if (!chunked_) return answered();
      head_ = kLastChunk;
    }
    enter(State::kWriting);  // its time begins anew
    write(std::array<asio::const_buffer, 1>{asio::buffer(head_)});
  }

  // Guards the client against a part of an answer that looks like all of it: without a length or chunks, only
  // a reset shows.
  void break_off() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

  void answered() {
    // A sound request that is turned away was none of the engine's, and counts all the same.
    if (class_ && (taken_ || status_ == 503 || status_ == 409 || status_ == 413)) count(status_);
    class_.reset();
    head_.clear();
    answer_ = {};
    used_ = true;
    early_.release();
    if (close_after_ || listener_.finishing_ || overrun_) {
      // Guards the answer: closing over unread bytes resets the connection and may take the answer with it.
      // So what still comes is thrown away for a while.
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      std::string().swap(in_);
      enter(State::kEnding);
      return wait_readable();
    }
    if (in_.empty()) {
      std::string().swap(in_);
      enter(State::kIdle);
      return wait_readable();
    }
    begin_request();
    parse();
  }

  // A request of a known class has come to its end.
  void count(unsigned status) {
    listener_.metrics_.answered(*class_, status);
    if (std::exchange(taken_, false)) --listener_.pending_;
    class_.reset();
  }

  // What is held for a request that is being read.
  void release() {
    if (upload_) upload_->end(false);
    upload_.reset();
    parser_.reset();
    call_.reset();
    claim_ = {};
  }

  Listener& listener_;
  tcp::socket socket_;
  State state_ = State::kNew;
  bool listed_ = false, waiting_ = false, keep_alive_ = false, head_only_ = false, close_after_ = false;
  bool used_ = false;        // has had an answer
  bool submitting_ = false;  // its client's end has just been looked for
  bool taken_ = false;       // the engine has the request, or its answer is being written
  unsigned status_ = 0;
  std::optional<std::size_t> class_;  // of a sound request that has had no whole answer
  Order::iterator place_;
  double since_ = 0;
  double began_at_ = 0, head_at_ = 0;      // of the request that is being read; head: 0 while it comes
  double paused_at_ = 0, paused_ = 0;      // its server took no bytes from then on, and for so long before
  std::size_t body_bytes_ = 0;             // that have come
  bool moving_ = false;                    // bytes of its answer are being written
  bool chunks_ = false, chunked_ = false;  // the client reads chunks; its answer has them
  std::shared_ptr<Stream> upload_;         // the rest of a request's body
  std::shared_ptr<Stream> rest_;           // the rest of its answer
  const double connected_at_ = now();
  std::uint64_t request_ = 0;
  std::size_t head_bytes_ = 0, thrown_away_ = 0;
  std::string in_, head_;
  Answer answer_;
  Claim claim_, early_;   // early: on what is kept of a next request
  bool overrun_ = false;  // more of one has come than can be kept
  std::optional<Call> call_;
  std::optional<http::request_parser<PieceBody>> parser_;
};

Listener::Listener(asio::io_context& io, const Config& config, Engine& engine, ByteBudget& budget,
                   Metrics& metrics, std::size_t most_connections, bool shared_address)
    : io_(io),
      engine_(engine),
      budget_(budget),
      metrics_(metrics),
      intake_(config),
      most_(most_connections),
      acceptor_(io),
      retry_(io),
      sweep_(io) {
  acceptor_.open(config.listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  if (shared_address) {
    using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    error_code refused;  // then the address is this process's alone, as it would be anyway
    acceptor_.set_option(reuse_port(true), refused);
  }
  acceptor_.bind(config.listen);
  acceptor_.non_blocking(true);
  sweep();
}

void Listener::listen() {
  acceptor_.listen(4096);
  listening_ = true;
  accept();
}

void Listener::set_most(std::size_t connections) {
  const bool room = connections > most_;
  most_ = connections;
  for (std::size_t over = count_ > most_ ? count_ - most_ : 0; over > 0 && make_room(); --over) {
  }
  if (room && full_) accept();
}

// Guards the limit on descriptors: a connection that does nothing makes room; where there is none, the rest
// wait in the machine's queue until one ends.
void Listener::accept() {
  if (accepting_ || !listening_ || !acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](const error_code& error) {
    accepting_ = false;
    if (error == asio::error::operation_aborted) return;
    if (error) return accept_later();
    for (int i = 0; i < 64; ++i) {
      if (count_ >= most_ && !make_room()) {
        if (!full_) log_line("no room for further connections of callers");
        full_ = true;
        return;  // the next one that closes accepts
      }
      error_code failed;
      tcp::socket socket(io_);
      acceptor_.accept(socket, failed);
      if (failed == asio::error::would_block || failed == asio::error::connection_aborted) break;
      if (failed) return accept_later();  // no descriptor left, most likely
      full_ = false;
      adopt(std::move(socket));
    }
    accept();
  });
}

void Listener::accept_later() {
  if (make_room()) return accept();
  retry_.expires_after(kAcceptPause);
  retry_.async_wait([this](const error_code& error) {
    if (!error) accept();
  });
}

void Listener::adopt(tcp::socket socket) {
  error_code error;
  socket.set_option(tcp::no_delay(true), error);
  socket.non_blocking(true, error);
  if (error) return;
  try {
    std::make_shared<Connection>(*this, std::move(socket))->start();
  } catch (const std::exception& problem) {
    log_line(std::string("a caller's connection is not taken: ") + problem.what());
  }
}

void Listener::closed() {
  --count_;
  if (full_) accept();
}

// The most useless go first: those that have their last answer, those that never sent a byte, those that are
// idle, and last those that are slow to send. Guards the usual clients against hundreds that connect and
// wait.
bool Listener::make_room() {
  if (!ending_.empty()) {
    const std::shared_ptr<Connection> oldest = ending_.front();
    oldest->close();
    return true;
  }
  // Guards clients that have just connected and are about to send: evicted at once, they would come again,
  // and push each other out for ever (seen: 800 connections a second).
  const double old = now() - kYoung;
  const auto evict = [](const Order& order, double before) {
    int looks = 0;  // one with a request that is not read yet must not protect those behind it
    for (auto it = order.begin(); it != order.end() && looks < kEvictionLooks; ++looks) {
      const std::shared_ptr<Connection> next = *it++;
      if (next->since() > before) break;
      if (next->close_if_idle()) return true;
    }
    return false;
  };
  if (evict(fresh_, old) || evict(idle_, now())) return true;
  if (reading_.empty()) return evict(fresh_, now());
  const std::shared_ptr<Connection> slowest = reading_.front();
  return slowest->close_if_slow(kYoung) || evict(fresh_, now());
}

void Listener::sweep() {
  const auto look_at = [](Order& order, const auto& look) {
    for (auto it = order.begin(); it != order.end();) {
      const std::shared_ptr<Connection> next = *it++;
      if (!look(*next)) break;
    }
  };
  const auto close_older = [&](Order& order, double limit, const auto& close) {
    look_at(order, [&](Connection& connection) {
      const bool old = now() - connection.since() > limit;
      if (old) close(connection);
      return old;
    });
  };
  const auto if_idle = [](Connection& connection) { connection.close_if_idle(); };
  close_older(fresh_, kReadLimit, if_idle);
  close_older(idle_, kIdleLimit, if_idle);
  close_older(ending_, kEndingLimitS, [](Connection& connection) { connection.close(); });
  for (Order* order : {&reading_, &uploading_}) {
    look_at(*order, [](Connection& connection) { return connection.close_if_slow(kReadLimit), true; });
  }
  look_at(uploading_, [](Connection& connection) { return connection.close_if_left(), true; });
  look_at(writing_, [](Connection& connection) { return connection.close_if_stuck(kWriteLimit), true; });
  sweep_.expires_after(kSweepPeriod);
  sweep_.async_wait([this](const error_code& error) {
    if (!error) sweep();
  });
}

void Listener::finish() {
  finishing_ = true;
  for (const Order* order : {&fresh_, &idle_}) {
    const Order all = *order;
    for (const std::shared_ptr<Connection>& connection : all) connection->close_if_idle();
  }
}

void Listener::refuse_parts() {
  const Order all = reading_;
  for (const std::shared_ptr<Connection>& connection : all) connection->refuse_part();
}

void Listener::stop_accepting() {
  for (error_code error; listening_ && !error;) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) adopt(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
  retry_.cancel();
}

}  // namespace asterdrift::node
