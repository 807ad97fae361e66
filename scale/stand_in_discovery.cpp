#include "scale/stand_in_discovery.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <utility>

#include "node/config/node_config.h"
#include "node/timing/clock.h"

namespace asterdrift::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kEmptyLine = std::chrono::seconds(2);
constexpr std::size_t kHistory = 4096;  // changes; who asks for older ones gets the whole list
constexpr std::size_t kMostTimes = 1000;
constexpr std::size_t kStep = 7919;  // places from one paced change to the next

std::string entry_text(std::size_t place, int dial_port, const char* health) {
  char out[200];
  std::snprintf(out, sizeof out,
                R"({"host":"%s","dial":"127.0.0.1:%d","site":"%c","class":"m2","block":%u,"health":"%s",)"
                R"("share":1.0,"born_ms":0})",
                server_name(place).c_str(), dial_port, static_cast<char>('a' + place % 3),
                static_cast<unsigned>(place % 8), health);
  return out;
}

std::string list_text(std::uint64_t seq, bool whole, const std::string& entries) {
  return "{\"seq\":" + std::to_string(seq) + ",\"whole\":" + (whole ? "true" : "false") + ",\"hosts\":[" +
         entries + "]}";
}

std::string chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size() + 1);
  return size + text + "\n\r\n";
}

}  // namespace

std::string server_name(std::size_t place) {
  char out[16];
  std::snprintf(out, sizeof out, "s-%08x", static_cast<unsigned>(place * 2654435761U));
  return out;
}

std::string whole_list(std::uint64_t seq, std::size_t servers, int dial_port) {
  std::string entries;
  for (std::size_t i = 0; i < servers; ++i)
    entries += (i == 0 ? "" : ",") + entry_text(i, dial_port, "active");
  return list_text(seq, true, entries);
}

std::string change_of(std::uint64_t seq, std::size_t place, int dial_port, const char* health) {
  return list_text(seq, false, entry_text(place, dial_port, health));
}

class StandInDiscovery::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(StandInDiscovery& owner, tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)), silence_(owner.io_) {}

  void start() { read(); }
  void close() {
    if (!socket_.is_open()) return;
    error_code ignored;
    socket_.close(ignored);
    silence_.cancel(ignored);
    if (watching_) owner_.counts_.watches -= 1;
    watching_ = false;
  }
  bool watching() const { return watching_; }
  void send(Text text, bool last = false) {
    if (!socket_.is_open()) return;
    queue_.push_back(std::move(text));
    last_ = last_ || last;
    if (queue_.size() == 1) write();
  }

 private:
  void drop() {
    close();
    owner_.connections_.erase(shared_from_this());
  }

  void read() {
    asio::async_read_until(socket_, asio::dynamic_buffer(in_), "\r\n\r\n",
                           [self = shared_from_this()](const error_code& error, std::size_t size) {
                             if (error) return self->drop();
                             self->take(self->in_.substr(0, size));
                             self->in_.erase(0, size);
                             if (self->socket_.is_open()) self->read();
                           });
  }

  void take(const std::string& head) {
    owner_.counts_.requests += 1;
    if (owner_.asked_at_.size() < kMostTimes) owner_.asked_at_.push_back(node::timing::now());
    const std::string target = head.substr(0, head.find("\r\n"));
    if (owner_.mode_ == Mode::kHang) return;
    if (owner_.mode_ == Mode::kUnavailable) {
      return send(
          std::make_shared<std::string>("HTTP/1.1 503 Service Unavailable\r\n"
                                        "Content-Length: 0\r\n\r\n"));
    }
    if (target.find("stream=1") == std::string::npos) {
      owner_.counts_.whole_lists += 1;
      const Text list = owner_.whole();
      return send(std::make_shared<std::string>(
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list->size()) + "\r\n\r\n" + *list));
    }
    send(std::make_shared<std::string>("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    watching_ = true;
    owner_.counts_.watches += 1;
    const std::size_t index = target.find("index=");
    std::uint64_t seen = 0;
    if (index != std::string::npos)
      std::from_chars(target.data() + index + 6, target.data() + target.size(), seen);
    if (const Text late = index == std::string::npos ? nullptr : owner_.since(seen)) {
      if (!late->empty()) {
        owner_.counts_.changes += 1;
        send(late);
      }
    } else {
      owner_.counts_.whole_lists += 1;
      std::string text = chunk(*owner_.whole());
      const bool cut = owner_.mode_ == Mode::kCut;
      if (cut) text.resize(text.size() / 2);
      if (owner_.mode_ == Mode::kSpoil) text.replace(text.rfind("\"active\""), 8, "\"astray\"");
      send(std::make_shared<std::string>(std::move(text)), cut);
    }
    await_silence();
  }

  void write() {
    asio::async_write(socket_, asio::buffer(*queue_.front()),
                      [self = shared_from_this()](const error_code& error, std::size_t size) {
                        self->owner_.counts_.bytes += size;
                        if (error) return self->drop();
                        self->queue_.pop_front();
                        if (!self->queue_.empty()) return self->write();
                        if (self->last_) return self->drop();
                        if (self->watching_) self->await_silence();
                      });
  }

  void await_silence() {
    silence_.expires_after(kEmptyLine);
    silence_.async_wait([self = shared_from_this()](const error_code& error) {
      if (error || !self->watching_ || !self->queue_.empty() || self->owner_.mode_ == Mode::kHang) return;
      self->owner_.counts_.empty_lines += 1;
      self->send(std::make_shared<std::string>("1\r\n\n\r\n"));
    });
  }

  StandInDiscovery& owner_;
  tcp::socket socket_;
  asio::steady_timer silence_;
  std::string in_;
  std::deque<Text> queue_;
  bool watching_ = false, last_ = false;
};

StandInDiscovery::StandInDiscovery(asio::io_context& io, std::size_t servers, int dial_port)
    : io_(io), dial_port_(dial_port), draining_(servers), acceptor_(io), holder_(io), pace_(io) {
  listen();
}

StandInDiscovery::~StandInDiscovery() {
  for (const auto& connection : connections_) connection->close();
}

void StandInDiscovery::listen() {
  using SharedPort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  tcp::acceptor next(io_);
  next.open(tcp::v4());
  next.set_option(SharedPort(true));
  next.bind({asio::ip::address_v4::loopback(), static_cast<unsigned short>(port_)});
  next.listen(4096);
  port_ = next.local_endpoint().port();
  if (!holder_.is_open()) {
    holder_.open(tcp::v4());
    holder_.set_option(SharedPort(true));
    holder_.bind(next.local_endpoint());
  }
  acceptor_ = std::move(next);
  accept();
}

void StandInDiscovery::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error) {
      counts_.connections += 1;
      socket.set_option(tcp::no_delay(true));
      const auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_.insert(connection);
      connection->start();
    }
    accept();
  });
}

void StandInDiscovery::set_mode(Mode mode) {
  mode_ = mode;
  if (mode != Mode::kHang) {
    for (const auto& connection : connections_) connection->close();
    connections_.clear();
  }
  if (mode == Mode::kRefuse) acceptor_.close();
  if (mode != Mode::kRefuse && !acceptor_.is_open()) listen();
}

void StandInDiscovery::set_draining(std::size_t place, bool draining) {
  draining_[place] = draining;
  history_.emplace_back(++seq_, place);
  if (history_.size() > kHistory) history_.pop_front();
  whole_.reset();
  if (mode_ == Mode::kHang) return;
  const auto text = std::make_shared<std::string>(chunk(list_text(seq_, false, entry(place))));
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const auto& connection : all) {
    if (!connection->watching()) continue;
    counts_.changes += 1;
    connection->send(text);
  }
}

void StandInDiscovery::set_rate(double changes_per_s) {
  period_ = changes_per_s > 0 ? 1 / changes_per_s : 0;
  pace_.expires_at(std::chrono::steady_clock::now());
  if (period_ > 0) next_change();
}

void StandInDiscovery::next_change() {
  pace_.expires_at(pace_.expiry() + std::chrono::nanoseconds(static_cast<std::int64_t>(period_ * 1e9)));
  pace_.async_wait([this](const error_code& error) {
    if (error || period_ == 0) return;
    const std::size_t place = paced_++ * kStep % draining_.size();
    set_draining(place, !draining_[place]);
    next_change();
  });
}

std::string StandInDiscovery::entry(std::size_t place) const {
  return entry_text(place, dial_port_, draining_[place] ? "leaving" : "active");
}

StandInDiscovery::Text StandInDiscovery::whole() {
  if (whole_) return whole_;
  std::string entries;
  for (std::size_t i = 0; i < draining_.size(); ++i) entries += (i == 0 ? "" : ",") + entry(i);
  return whole_ = std::make_shared<std::string>(list_text(seq_, true, entries));
}

// Empty where there is nothing newer; none where that is no longer known.
StandInDiscovery::Text StandInDiscovery::since(std::uint64_t index) {
  if (index == seq_) return std::make_shared<std::string>();
  if (index > seq_ || history_.empty() || history_.front().first > index + 1) return nullptr;
  std::set<std::size_t> places;
  for (const auto& [version, place] : history_) {
    if (version > index) places.insert(place);
  }
  std::string entries;
  for (const std::size_t place : places) entries += (entries.empty() ? "" : ",") + entry(place);
  return std::make_shared<std::string>(chunk(list_text(seq_, false, entries)));
}

}  // namespace asterdrift::scale
