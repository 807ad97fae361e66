#include "node/engine.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

namespace asterdrift::node {
namespace {

using boost::system::error_code;

// A client counts from when it sent and until the answer's last byte has come; this much of its time is for
// the ways there and back, and for a busy moment of this process.
constexpr double kWayReserve = 0.025;     // s
constexpr double kWayReservePart = 0.25;  // of the timeout, at most
constexpr double kAnswerReserve =
    0.4;                              // of the reserve: the node's own deadline is that long before the limit
constexpr double kFirstListWait = 1;  // s; a node that knows servers waits so long for newer word of them

// Which outcomes prove that an attempt never ran.
bool never_ran(balancer::Outcome outcome) {
  return outcome == balancer::Outcome::kRejected || outcome == balancer::Outcome::kConnectFailed ||
         outcome == balancer::Outcome::kNotSent;
}

boost::asio::steady_timer::time_point at(double seconds) {
  return boost::asio::steady_timer::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double>(seconds)));
}

double reserve(const Call& call) { return std::min(kWayReserve, call.timeout * kWayReservePart); }

}  // namespace

void log_line(const std::string& text) { std::fprintf(stderr, "%.3f %s\n", now(), text.c_str()); }

Engine::Engine(boost::asio::io_context& io, const Config& config, ByteBudget& budget, Metrics& metrics,
               std::size_t most_upstream_sockets, std::function<void()> watch)
    : io_(io),
      balancer_(config.settings, config.seed),
      upstream_(io, config, budget, metrics, most_upstream_sockets),
      watch_(std::move(watch)),
      config_(config) {}

void Engine::start() {
  post(balancer::Started{});
  if (!config_.settings.requires_watch) watch_();  // lists that are pushed come on the same stream
  if (!config_.known) return;
  take(*config_.known, true);
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, at(now() + kFirstListWait));
  timer->async_wait([this, timer](const error_code&) { asked_ = true; });
}

// The module is not re-entered: what its actions bring about at once waits here until they are all done.
void Engine::post(balancer::Event event) {
  events_.push_back(std::move(event));
  if (running_) return;
  struct Running {
    explicit Running(bool& flag) : flag(flag) { flag = true; }
    ~Running() { flag = false; }
    bool& flag;
  } const running(running_);
  std::vector<balancer::Action> actions;
  while (!events_.empty()) {
    const balancer::Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    balancer_.handle(now(), next, actions);
    for (const balancer::Action& action : actions) {
      std::visit([this](const auto& a) { run(a); }, action);
    }
    if (const auto* end = std::get_if<balancer::AttemptResult>(&next)) forget_if_done(end->id);
  }
}

std::uint64_t Engine::submit(Call call, Reply reply) {
  const std::uint64_t number = ++last_id_;  // not the client's id, which may come twice
  const std::string id = std::to_string(number);
  const double limit = call.came_at + call.timeout;
  call.facts.id = id;
  call.facts.body_arriving = call.forward->rest != nullptr;
  call.facts.time_left = limit - reserve(call) - now();
  client_ids_.insert(call.client_id);
  call.forward->wanted = [this, number] { return wanted(number); };
  const auto live = live_[id] = std::make_shared<Live>(io_, std::move(call), std::move(reply));
  ++open_;
  if (!live->call.forward->rest) set_deadline(id, *live);
  post(live->call.facts);
  return number;
}

void Engine::set_deadline(const std::string& id, Live& live) {
  const double limit = live.call.came_at + live.call.timeout;
  live.deadline.expires_at(at(limit - reserve(live.call) * kAnswerReserve));
  live.deadline.async_wait([this, id](const error_code& error) {
    if (!error) expire(id);
  });
}

void Engine::body_came(std::uint64_t request) {
  const std::string id = std::to_string(request);
  const std::shared_ptr<Live> live = find(id);
  if (live == nullptr || !live->reply) return;
  live->call.came_at = now();
  set_deadline(id, *live);
}

void Engine::gone(std::uint64_t request) {
  const std::string id = std::to_string(request);
  const std::shared_ptr<Live> live = find(id);
  if (live == nullptr || !live->reply) return;
  close(*live);
  post(balancer::RequestAborted{id});
  forget_if_done(id);
}

// Whether a request is open and its client still there. Asked before anything goes out: in a busy moment what
// lets an attempt begin may be heard of long before its client's end is, which came sooner.
bool Engine::wanted(std::uint64_t request) {
  const std::shared_ptr<Live> live = find(std::to_string(request));
  if (live == nullptr || !live->reply) return false;
  if (!live->call.left || !live->call.left()) return true;
  gone(request);
  return false;
}

// Guards against a module that has not ended a request in time: the client gets a final answer all the same.
void Engine::expire(const std::string& id) {
  const std::shared_ptr<Live> live = find(id);
  if (live == nullptr || !live->reply) return;
  const Reply reply = close(*live);
  const bool may_have_run = std::any_of(live->tries.begin(), live->tries.end(),
                                        [](const Try& attempt) { return attempt.may_have_run; });
  reply(may_have_run ? Answer{504, 0, {}, {}, {}, {}, {}} : refusal());
  post(balancer::RequestAborted{id});
  forget_if_done(id);
}

Answer Engine::refusal() const { return {503, config_.settings.max_retry_after / 2, {}, {}, {}, {}, {}}; }

void Engine::expire_all() {
  std::vector<std::string> ids;
  for (const auto& [id, live] : live_) ids.push_back(id);
  for (const std::string& id : ids) expire(id);
}

void Engine::list_came(const ServerList& list) {
  asked_ = true;
  take(list, list.whole);
}

void Engine::take(const ServerList& list, bool whole) {
  balancer::EndpointUpdate update;
  update.form =
      whole ? balancer::EndpointUpdate::Form::kSnapshot : balancer::EndpointUpdate::Form::kIncremental;
  update.endpoints.reserve(list.servers.size());
  for (const ListedServer& server : list.servers) update.endpoints.push_back(server.facts);
  // The module hears of a drain before it hears of the sends that the drain has stopped. New servers are
  // there before it can choose them.
  const std::vector<Upstream::Handle> stopped = upstream_.apply(list, whole);
  servers_known_ = upstream_.servers() > 0;
  post(std::move(update));
  for (const Upstream::Handle& send : stopped) upstream_.stop(send, balancer::Outcome::kNotSent);
}

void Engine::watch_failed() {
  balancer::EndpointUpdate update;
  update.form = balancer::EndpointUpdate::Form::kWatchFailed;
  post(update);
}

std::shared_ptr<Engine::Live> Engine::find(const std::string& id) const {
  const auto it = live_.find(id);
  return it == live_.end() ? nullptr : it->second;
}

// The only way to a request's end. What is not with a server by now stays here: not to send it is no cancel,
// and needs no leave.
Engine::Reply Engine::close(Live& live) {
  Reply reply = std::exchange(live.reply, nullptr);
  --open_;
  live.deadline.cancel();
  for (std::size_t i = 0; i < live.tries.size(); ++i) {  // their ends may come here meanwhile
    const Upstream::Handle attempt = live.tries[i].handle;
    if (live.tries[i].open) upstream_.withdraw(attempt);
  }
  return reply;
}

void Engine::forget_if_done(const std::string& id) {
  const auto it = live_.find(id);
  if (it == live_.end() || it->second->reply) return;
  const auto& tries = it->second->tries;
  if (std::none_of(tries.begin(), tries.end(), [](const Try& attempt) { return attempt.open; })) {
    client_ids_.erase(it->second->call.client_id);
    live_.erase(it);
  }
}

// Whatever comes second is dropped here.
bool Engine::answer(Live& live, Answer&& answer) {
  if (!live.reply) return false;
  const Reply reply = close(live);
  reply(std::move(answer));
  return true;
}

void Engine::ended(const std::string& id, int attempt, AttemptEnd&& end) {
  const std::shared_ptr<Live> live = find(id);
  if (live == nullptr) return;
  Try& done = live->tries[static_cast<std::size_t>(attempt)];
  done.open = false;
  done.may_have_run = !never_ran(end.outcome);
  const double asked_at = std::max(done.sent_at, end.asked_at);
  if (end.outcome == balancer::Outcome::kSuccess) {
    answer(*live, {200, 0, std::move(end.body), std::move(end.content_type), std::move(end.claim), {}, {}});
  }
  post(balancer::AttemptResult{id, attempt, end.outcome, now() - asked_at, !live->reply});
}

void Engine::begins(const std::string& id, int attempt, AnswerBegins&& begun) {
  const std::shared_ptr<Live> live = find(id);
  if (live == nullptr || !live->reply) return begun.body->drop();
  const double asked_at = std::max(live->tries[static_cast<std::size_t>(attempt)].sent_at, begun.asked_at);
  answer(*live, {200, 0, {}, std::move(begun.content_type), {}, std::move(begun.body), begun.length});
  post(balancer::ResponseStarted{id, attempt, now() - asked_at});
}

void Engine::run(const balancer::SendAttempt& action) {
  const std::shared_ptr<Live> live = find(action.id);
  if (live == nullptr) return;
  const int attempt = static_cast<int>(live->tries.size());
  live->tries.push_back({{}, now(), true, true});
  // Guards the one final answer: nothing is sent for a request that has it, nor for whoever has gone.
  // And what is no longer here whole can't go out a second time, nor on two ways at once.
  const std::shared_ptr<Forward>& forward = live->call.forward;
  const bool on_its_way =
      std::any_of(live->tries.begin(), live->tries.end() - 1, [](const Try& t) { return t.open; });
  if (!forward->wanted() || forward->rest_begun || (forward->rest && on_its_way)) {
    return ended(action.id, attempt, {balancer::Outcome::kNotSent, {}, {}, {}, 0});
  }
  Upstream::Handle handle = upstream_.start(
      action.endpoint, forward, action.timeout, action.write_within,
      {[this, id = action.id, attempt](AttemptEnd&& end) { ended(id, attempt, std::move(end)); },
       [this, id = action.id, attempt](AnswerBegins&& begun) { begins(id, attempt, std::move(begun)); },
       [this, id = action.id] { post(balancer::RequestBodyConsumed{id}); },
       [this, id = action.id, attempt] {
         post(balancer::RequestBodySent{id, attempt});
       }});
  live->tries[static_cast<std::size_t>(attempt)].handle = std::move(handle);
}

void Engine::run(const balancer::RejectRequest& action) {
  const std::shared_ptr<Live> live = find(action.id);
  if (live == nullptr) return;
  answer(*live, {503, action.retry_after, {}, {}, {}, {}, {}});
  forget_if_done(action.id);
}

void Engine::run(const balancer::FailRequest& action) {
  const std::shared_ptr<Live> live = find(action.id);
  if (live == nullptr) return;
  answer(*live, {502, 0, {}, {}, {}, {}, {}});
  forget_if_done(action.id);
}

void Engine::run(const balancer::CancelAttempt& action) {
  const std::shared_ptr<Live> live = find(action.id);
  if (live == nullptr || action.attempt < 0) return;
  const auto attempt = static_cast<std::size_t>(action.attempt);
  if (attempt < live->tries.size())
    upstream_.stop(live->tries[attempt].handle, balancer::Outcome::kCancelled);
}

void Engine::run(const balancer::SetTimer& action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, at(action.at));
  timer->async_wait([this, timer, token = action.token](const error_code& error) {
    if (!error) post(balancer::TimerFired{token});
  });
}

void Engine::run(const balancer::WatchEndpoints&) { watch_(); }

void Engine::run(const balancer::LogLine& action) { log_line(action.text); }

}  // namespace asterdrift::node
