#include "scale/load.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cmath>
#include <memory>
#include <random>
#include <utility>

#include "scale/process.h"
#include "scale/stand_in_server.h"

namespace asterdrift::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

std::chrono::steady_clock::time_point at(double s) {
  return std::chrono::steady_clock::time_point(std::chrono::nanoseconds(static_cast<std::int64_t>(s * 1e9)));
}

class Callers {
 public:
  Callers(int port, double rate, std::size_t calls, unsigned seed)
      : to_(asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)),
        next_(io_),
        random_(seed),
        wait_(rate),
        calls_(calls),
        due_(seconds() + 0.01) {}

  LoadResult run(double patience_s) {
    schedule();
    const double longest = static_cast<double>(calls_) / wait_.lambda() * 1.5 + 1 + patience_s;
    io_.run_until(at(seconds() + longest));
    result_.failed = calls_ - result_.times.size() - result_.refused;
    return std::move(result_);
  }

 private:
  struct Caller {
    explicit Caller(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    double due = 0;
    std::string out, in;
    std::array<char, 8192> bytes;
  };

  void schedule() {
    next_.expires_at(at(due_));
    next_.async_wait([this](const error_code& error) {
      if (error) return;
      while (sent_ < calls_ && due_ <= seconds()) {
        begin(due_);
        due_ += wait_(random_);
      }
      if (sent_ < calls_) schedule();
    });
  }

  void begin(double due) {
    sent_ += 1;
    std::shared_ptr<Caller> caller;
    if (idle_.empty()) {
      caller = std::make_shared<Caller>(io_);
      result_.connections += 1;
    } else {
      caller = std::move(idle_.back());
      idle_.pop_back();
    }
    caller->due = due;
    caller->out = "GET /api?x=1 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: r" + std::to_string(sent_) +
                  "\r\nRequest-Class: read\r\nTenant: acme\r\nRequest-Timeout-Ms: 4000\r\n\r\n";
    if (caller->socket.is_open()) return write(caller);
    caller->socket.async_connect(to_, [this, caller](const error_code& error) {
      if (error) return;
      caller->socket.set_option(tcp::no_delay(true));
      write(caller);
    });
  }

  void write(const std::shared_ptr<Caller>& caller) {
    asio::async_write(caller->socket, asio::buffer(caller->out),
                      [this, caller](const error_code& error, std::size_t) {
                        if (!error) read(caller);
                      });
  }

  void read(const std::shared_ptr<Caller>& caller) {
    caller->socket.async_read_some(asio::buffer(caller->bytes),
                                   [this, caller](const error_code& error, std::size_t size) {
                                     if (error) return;
                                     caller->in.append(caller->bytes.data(), size);
                                     const std::size_t whole = message_size(caller->in);
                                     if (whole == 0) return read(caller);
                                     if (caller->in.compare(9, 3, "200") == 0)
                                       result_.times.push_back(seconds() - caller->due);
                                     caller->in.erase(0, whole);
                                     idle_.push_back(caller);
                                   });
  }

  asio::io_context io_{1};
  tcp::endpoint to_;
  asio::steady_timer next_;
  std::minstd_rand random_;
  std::exponential_distribution<> wait_;
  std::size_t calls_, sent_ = 0;
  double due_;
  std::vector<std::shared_ptr<Caller>> idle_;
  LoadResult result_;
};

}  // namespace

LoadResult call_at_rate(int port, double calls_per_s, std::size_t calls, unsigned seed, double patience_s) {
  return Callers(port, calls_per_s, calls, seed).run(patience_s);
}

}  // namespace asterdrift::scale
