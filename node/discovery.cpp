#include "node/discovery.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "node/ask_limits.h"
#include "node/engine.h"
#include "node/list_reader.h"

namespace asterdrift::node {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

std::chrono::nanoseconds duration(double seconds) {
  return std::chrono::nanoseconds(static_cast<std::int64_t>(std::max(0.0, seconds) * 1e9));
}

}  // namespace

class Discovery::Watch : public std::enable_shared_from_this<Watch> {
 public:
  explicit Watch(Discovery& owner)
      : owner_(owner),
        pushed_(!owner.config_.settings.requires_watch),
        asked_whole_(owner.asks_whole()),
        stream_(owner.io_),
        reader_(owner.config_.zones, most_servers(owner.config_.memory_mb)) {
    parser_.body_limit(boost::none);
    parser_.eager(true);
  }

  void start() {
    request_.method(http::verb::get);
    request_.target("/v1/servers?stream=1" +
                    (asked_whole_ ? std::string() : "&index=" + std::to_string(*owner_.seq_)));
    request_.version(11);
    request_.set(http::field::host,
                 owner_.address_.address().to_string() + ":" + std::to_string(owner_.address_.port()));
    began_ = now();
    give_up_at(ask_limits::connected_by(pushed_, began_));
    stream_.async_connect(owner_.address_, [self = shared_from_this()](const error_code& error) {
      if (error) return self->fail("connect: " + error.message());
      self->give_up_at(ask_limits::answered_by(self->pushed_, self->began_, now()));
      self->ask();
    });
  }

  void close() {
    closed_ = true;
    stream_.close();
  }

 private:
  void ask() {
    http::async_write(stream_, request_, [self = shared_from_this()](const error_code& error, std::size_t) {
      if (error) return self->fail("write: " + error.message());
      self->await_answer();
    });
  }

  void await_answer() {
    http::async_read_header(stream_, buffer_, parser_,
                            [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (error) return self->fail("answer: " + error.message());
                              const unsigned status = self->parser_.get().result_int();
                              if (status != 200)
                                return self->fail("answer: status " + std::to_string(status));
                              self->give_up_at(ask_limits::first_news_by(self->began_, now()));
                              self->take_lists();
                            });
  }

  void give_up_at(double when) { stream_.expires_after(duration(when - now())); }

  // Guards against a watch that is silent but up: without its empty lines for so long it counts as broken.
  // Bytes that make no line and no list are no news, unless they are many: a long list takes its time.
  void heard() {
    lost_before_ = lost_;
    give_up_at(now() + ask_limits::kSilence);
  }

  void read() {
    http::async_read_some(stream_, buffer_, parser_,
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                            if (error) return self->fail("watch: " + error.message());
                            self->take_lists();
                          });
  }

  // What is cut in the middle of a list is dropped with its connection; only whole ones count.
  void take_lists() {
    const std::string came = std::exchange(parser_.get().body(), {});
    lost_ += came.size();
    // Guards against a list that can't be read or taken over: it must not leave this watch without a wait.
    try {
      for (std::string_view rest = came; !rest.empty() && !closed_;) {
        const auto [seen, used] = reader_.take(rest);
        rest.remove_prefix(used);
        if (seen == ListReader::Seen::kNothing) break;
        const std::size_t bytes = std::exchange(lost_, rest.size()) - rest.size();
        if (seen == ListReader::Seen::kList) owner_.came(this, reader_.list(), told_ ? 0 : bytes);
        told_ = told_ || seen == ListReader::Seen::kList;
        heard();
      }
    } catch (const std::exception& problem) {
      return fail(std::string("watch: ") + problem.what(), true);
    }
    if (closed_) return;
    if (lost_ >= lost_before_ + kProgress) heard();
    if (parser_.is_done()) return fail("watch: ended");
    read();
  }

  void fail(const std::string& why, bool not_taken = false) {
    if (closed_) return;
    error_code ignored;
    const std::size_t unread = stream_.socket().available(ignored);
    close();
    owner_.failed(this, {why, lost_ + unread, not_taken, asked_whole_ && !told_});
  }

  // Bytes of a list that is coming which show that it goes on.
  static constexpr std::size_t kProgress = 64 * 1024;

  Discovery& owner_;
  const bool pushed_, asked_whole_;
  double began_ = 0;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response_parser<http::string_body> parser_;
  ListReader reader_;
  std::size_t lost_ = 0, lost_before_ = 0;  // bytes since the last list or line, now and when last heard
  bool told_ = false, closed_ = false;
};

Discovery::Discovery(boost::asio::io_context& io, const Config& config, Listeners listeners)
    : io_(io),
      config_(config),
      listeners_(std::move(listeners)),
      address_(config.discovery),
      random_(static_cast<std::minstd_rand::result_type>(config.seed)),
      again_(io) {
  if (config.known) seq_ = config.known->seq;
}

Discovery::~Discovery() = default;

void Discovery::watch() {
  if (current_ || moving_) return;
  const double wait = budget_.wait(now());
  if (wait > 0) return later(wait, [this] { start(); });
  start();
}

void Discovery::start() {
  if (current_ || moving_) return;
  current_ = std::make_shared<Watch>(*this);
  current_->start();
}

// Guards the drains and the list over a move: the new address is asked at once and for the whole list, since
// its versions need not be those of the old one, and nothing is given up before it has spoken.
void Discovery::move(const boost::asio::ip::tcp::endpoint& address) {
  if (address == address_) return;
  log_line("discovery: moves to " + address.address().to_string() + ":" + std::to_string(address.port()));
  address_ = address;
  seq_.reset();
  whole_next_ = met_ = false;
  moving_ = true;
  budget_.restart();
  again_.cancel();
  if (next_) next_->close();
  reach();
}

void Discovery::reach() {
  next_ = std::make_shared<Watch>(*this);
  next_->start();
}

void Discovery::later(double wait, std::function<void()> what) {
  again_.expires_after(duration(wait));
  again_.async_wait([what = std::move(what)](const error_code& error) {
    if (!error) what();
  });
}

// Jittered: all nodes lose it at once and must not come back at once.
double Discovery::retry_wait() {
  const double wait = ask_limits::wait(!config_.settings.requires_watch) * (0.5 + unit() / 2);
  return std::max(wait, budget_.wait(now()));
}

// The first whole list that an address tells is what was asked for. Each further one that answers a call
// counts as lost: told over and over, be it for changes that can't be taken or on watches that break, it must
// not cost more. What comes on an open watch has not been asked for anew and holds back no call.
void Discovery::came(Watch* which, ServerList&& list, std::size_t answer_bytes) {
  if (which == next_.get()) {
    if (current_) current_->close();  // what an abandoned watch says later is old
    current_ = std::exchange(next_, nullptr);
    moving_ = false;
  }
  if (!moving_) seq_.reset();  // until it has been taken over
  listeners_.list(list);
  if (!well_) log_line("discovery: heard again");
  well_ = true;
  said_.clear();
  budget_.taken();
  if (list.whole && met_) budget_.lost(now(), answer_bytes, unit(), AskBudget::Reason::kRepeated);
  if (moving_) return;
  met_ = met_ || list.whole;
  whole_next_ = false;
  seq_ = list.seq;
}

void Discovery::failed(const Watch* which, const Failure& failure) {
  if (which != current_.get() && which != next_.get()) return;
  if (well_ || (failure.not_taken && failure.why != said_)) {
    log_line("discovery: " + failure.why + "; the last list is kept");
  }
  well_ = false;
  budget_.lost(now(), failure.lost, unit(),
               failure.not_taken ? AskBudget::Reason::kSpoilt : AskBudget::Reason::kCut);
  if (failure.not_taken) {
    said_ = failure.why;
    // Changes that can't be taken would come again, so that all is asked for next; where it is the whole list
    // that can't be taken, the changes since the last good one may be sound.
    whole_next_ = !failure.whole_first;
    budget_.not_taken(now(), unit());
  }
  if (const double wait = budget_.wait(now()); budget_.spent() && wait > 0) {
    log_line("discovery: asked again in " + std::to_string(static_cast<int>(std::ceil(wait))) +
             " s: too many bytes have come for nothing");
  }
  if (which == next_.get()) {  // the module has not asked for this one: it is asked for again here
    next_.reset();
    return later(retry_wait(), [this] { reach(); });
  }
  current_.reset();
  if (moving_) return;
  if (!config_.settings.requires_watch) later(retry_wait(), [this] { start(); });
  listeners_.failed();
}

}  // namespace asterdrift::node
