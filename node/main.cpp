// load-balancer-node: one node of the load balancer. See README.md for its configuration.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "node/budget.h"
#include "node/config.h"
#include "node/discovery.h"
#include "node/engine.h"
#include "node/listener.h"
#include "node/management.h"
#include "node/metrics.h"
#include "node/siblings.h"

namespace {

namespace asio = boost::asio;
namespace ns = asterdrift::node;

constexpr std::size_t kOtherSockets = 40;  // the event loop's, standard ones, discovery, operators, headroom
constexpr std::size_t kLeastOther = 20;    // of these, where the node's processes share a small limit
constexpr std::size_t kBodyPart = 3;       // of the memory, the part that bodies may take up: a third
constexpr auto kSiblingsLook = std::chrono::milliseconds(100);
constexpr double kShareWait = 1.5;  // s that a new process waits at most for the others to make room for it
constexpr double kAddressWait = 3;  // s for an address to come free, as of a process just killed
constexpr auto kAddressLook = std::chrono::milliseconds(20);
constexpr int kBadConfig = 2, kCannotStart = 1;

// After SIGTERM, new connections still come for up to 0.4 s, and SIGKILL no sooner than the longest deadline
// (3 s at most) and 0.7 s after it.
constexpr double kAcceptOn = 0.55;      // s
constexpr double kLongestDeadline = 3;  // s
constexpr double kMoveOn = 1.2;         // s before the longest deadline, clients are sent to the other nodes
constexpr double kServeAlone = 0.1;     // s before the last answers, where there is no other node
constexpr double kLastAnswers = 0.45;   // s over the longest deadline; what is open then is answered
constexpr double kExit = 0.1;           // s after that, for answers to be written
constexpr auto kDrainLook = std::chrono::milliseconds(20);

ns::Config load() {
  const char* path = std::getenv("GW_CONFIG");
  if (path == nullptr) throw std::runtime_error("GW_CONFIG is not set");
  std::ifstream in(path);
  if (!in) throw std::runtime_error(std::string("can't read ") + path);
  const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  ns::Config out = ns::read_config(text);
  const char* management = std::getenv("GW_MANAGEMENT");
  if (!out.management && management != nullptr) out.management = ns::read_endpoint(management);
  return out;
}

double longest_deadline(const asterdrift::balancer::Settings& settings) {
  double longest = 0;
  for (const asterdrift::balancer::RequestClass& c : settings.classes) longest = std::max(longest, c.timeout);
  return std::min(longest, kLongestDeadline);
}

// The part of the node's limits that one of its processes keeps to.
struct Limits {
  Limits(const ns::Config& config, std::size_t processes) : processes(processes) {
    const std::size_t all = config.sockets / processes;
    const std::size_t other = std::max(kLeastOther, std::min(kOtherSockets, all * 5 / 8));
    const std::size_t sockets = all > other ? all - other : 1;
    upstream = std::max<std::size_t>(sockets * 9 / 20, 1);
    callers = std::max<std::size_t>(sockets * 11 / 20, 1);
    operators = std::max<std::size_t>(ns::Management::kMostPeers / processes, 2);
    body_bytes = config.memory_mb * 1024 * 1024 / kBodyPart / processes;
  }
  std::size_t processes, upstream, callers, operators, body_bytes;
};

class Node {
 public:
  explicit Node(const ns::Config& config)
      : io_(1),
        config_(config),
        siblings_(std::getenv("TMPDIR"), config.listen),
        limits_(config, 1 + siblings_.others(ns::Siblings::Word::kAlive)),
        last_answers_(longest_deadline(config.settings) + kLastAnswers),
        alone_(config.settings.replica_count == 1),
        discovery_(io_, config,
                   {[this](const ns::ServerList& list) { engine_.list_came(list); },
                    [this] { engine_.watch_failed(); }}),
        budget_(limits_.body_bytes),
        metrics_(config.classes),
        engine_(io_, config, budget_, metrics_, limits_.upstream, [this] { discovery_.watch(); }),
        listener_(io_, config, engine_, budget_, metrics_, limits_.callers, siblings_.seen()),
        signals_(io_, SIGTERM, SIGINT),
        reload_(io_, SIGHUP),
        look_(io_),
        siblings_look_(io_) {
    if (!config.management) return;
    management_.emplace(
        io_, *config.management,
        ns::Management::Calls{[this] { return listener_.ready(); }, [this] { return figures(); }});
    ns::log_line("operators at " + management_->address().address().to_string() + ":" +
                 std::to_string(management_->address().port()));
  }

  void run() {
    if (limits_.processes == 1) listen();
    engine_.start();
    look_at_siblings();
    signals_.async_wait([this](const boost::system::error_code& error, int) {
      if (!error) drain();
    });
    await_reload();
    while (!io_.stopped()) {
      try {
        io_.run();
      } catch (const std::exception& surprise) {  // one connection's trouble must not end the others
        ns::log_line(std::string("surprise: ") + surprise.what());
      }
    }
  }

 private:
  // Guards the running node against its next configuration: what can't be read or used changes nothing. Only
  // discovery's address is taken over; the rest holds until the next start.
  void await_reload() {
    reload_.async_wait([this](const boost::system::error_code& error, int) {
      if (error) return;
      await_reload();
      try {
        discovery_.move(load().discovery);
      } catch (const std::exception& problem) {
        ns::log_line(std::string("the configuration stays as it was: ") + problem.what());
      }
    });
  }

  void listen() {
    listener_.listen();
    ns::log_line("listening on " + listener_.address().address().to_string() + ":" +
                 std::to_string(listener_.address().port()));
  }

  // Guards the limits, which are the node's and not each process's, and the clients of a node that is
  // replaced: until this process can serve, and the others have made room for it, all connections are for the
  // others.
  void look_at_siblings() {
    using Word = ns::Siblings::Word;
    if (!siblings_.seen()) return;
    const std::size_t others = siblings_.others(Word::kAlive);
    if (1 + others != limits_.processes) keep_to(Limits(config_, 1 + others));
    siblings_.say(Word::kShares, others > 0);
    const bool room = siblings_.others(Word::kShares) >= others || ns::now() - started_ >= kShareWait;
    if (!listener_.listening() && !draining() && (others == 0 || (engine_.ready() && room))) {
      try {
        listen();
      } catch (const std::exception& problem) {
        std::fprintf(stderr, "load-balancer-node: %s\n", problem.what());
        std::_Exit(kCannotStart);
      }
    }
    siblings_.say(Word::kServes, listener_.ready());
    siblings_look_.expires_after(kSiblingsLook);
    siblings_look_.async_wait([this](const boost::system::error_code& error) {
      if (!error) look_at_siblings();
    });
  }

  void keep_to(const Limits& limits) {
    ns::log_line(limits.processes == 1 ? "alone again: all of the node's limits are this process's"
                                       : "the node's limits are split between its processes: " +
                                             std::to_string(limits.processes));
    limits_ = limits;
    budget_.resize(limits.body_bytes);
    listener_.set_most(limits.callers);
    engine_.set_most_upstream_sockets(limits.upstream);
    if (management_) management_->set_most(limits.operators);
  }

  std::string figures() const {
    const asterdrift::balancer::EndpointSetView servers = engine_.members();
    return metrics_.text({listener_.pending(), servers.listed, servers.unavailable});
  }

  void drain() {
    ns::log_line("draining");
    drain_began_ = ns::now();
    listener_.drain();
    siblings_.say(ns::Siblings::Word::kServes, false);
    look();
  }

  void look() {
    const double since = ns::now() - drain_began_;
    // Another process of this node serves: new connections are for it, and clients are sent there as they get
    // their answers. What is idle is left to them for now. Danger: a new process has learned nothing of its
    // servers; given all clients at once it had more turned away by them, and a tenth of a day's score was
    // lost.
    const bool replaced = siblings_.others(ns::Siblings::Word::kServes) > 0;
    if (replaced) listener_.finish_answers();
    if (replaced || since >= kAcceptOn) {
      if (accepting_) listener_.stop_accepting();
      accepting_ = false;
    }
    // Guards the clients of a node that restarts alone: where there is no other to go to, closing their
    // connections at the signal leaves them without service for seconds in which this node can still serve.
    const double served =
        alone_ && !replaced ? last_answers_ - kServeAlone : last_answers_ - kLastAnswers - kMoveOn;
    if (since >= std::max(kAcceptOn, served)) listener_.finish();
    if (since >= last_answers_) {
      engine_.expire_all();
      listener_.refuse_parts();
    }
    // Danger: a large answer may take longer than any deadline. Its server still gives, and as long as nobody
    // kills this process it is not this process that cuts it off.
    if ((!accepting_ && (replaced || since >= kAcceptOn + 0.1) && listener_.connections() == 0) ||
        (since >= last_answers_ + kExit && listener_.busy() == 0)) {
      ns::log_line("drained");
      return io_.stop();
    }
    look_.expires_after(kDrainLook);
    look_.async_wait([this](const boost::system::error_code& error) {
      if (!error) look();
    });
  }

  bool draining() const { return drain_began_ > 0; }

  asio::io_context io_;
  const ns::Config& config_;
  ns::Siblings siblings_;
  Limits limits_;
  const double started_ = ns::now();
  const double last_answers_;
  const bool alone_;  // the only node before its tier
  ns::Discovery discovery_;
  ns::ByteBudget budget_;
  ns::Metrics metrics_;
  ns::Engine engine_;
  ns::Listener listener_;
  std::optional<ns::Management> management_;
  asio::signal_set signals_, reload_;
  asio::steady_timer look_, siblings_look_;
  double drain_began_ = 0;
  bool accepting_ = true;
};

// Guards the restart of a node that has just been killed: the process before may hold its addresses for a
// moment longer.
void begin(std::optional<Node>& node, const ns::Config& config) {
  const double from = ns::now();
  for (bool told = false; !node;) {
    try {
      node.emplace(config);
    } catch (const boost::system::system_error& problem) {
      if (problem.code() != asio::error::address_in_use || ns::now() - from >= kAddressWait) throw;
      if (!std::exchange(told, true)) ns::log_line("waits for its addresses to come free");
      std::this_thread::sleep_for(kAddressLook);
    }
  }
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  int failure = kBadConfig;
  try {
    const ns::Config config = load();
    failure = kCannotStart;
    std::optional<Node> node;
    begin(node, config);
    node->run();
    std::_Exit(0);                                  // what is still open ends with the process
  } catch (const std::invalid_argument& problem) {  // settings that the module can't use
    failure = kBadConfig;
    std::fprintf(stderr, "load-balancer-node: %s\n", problem.what());
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "load-balancer-node: %s\n", problem.what());
  }
  return failure;
}
