// A model of a fleet in virtual time: many replicas of the module before stand-in servers, with callers that
// come by chance, tenants over their share and clients that come again. The same play and seed give the same
// counts.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {

enum class Trouble { kNone, kRefusing, kFailing, kSilent, kSlow, kPausing, kNoDial };
enum class Crew { kAsTold, kHalved, kDoubled, kReplaced };

// What happens on a day. Times in seconds; the cold servers start at `cold_at`.
struct Play {
  std::string name;
  int replicas = 30, servers = 14, cold = 1, tier = 0;
  double unit_rate = 20;                                           // calls/s that a server of size 1 answers
  double load = 0.6, burst = 1, burst_after = 0.5, burst_for = 6;  // the burst begins so long after the start
  double allowances = 0.82;                                        // of the capacity
  double slow_start_capacity = 0.14, slow_start_duration = 22, overload_multiple = 3, overload_window = 2;
  double cold_at = 12, end = 26;
  bool back = false;                 // the cold servers come back after a crash, else they are new
  double list_spread = 2;            // the replicas hear of a start up to so much later, each at its own time
  double troubled = 0, slow_by = 2;  // part of the warm servers, from before the start on
  Trouble trouble = Trouble::kNone;
  bool shared_slowness = false;  // all warm ones slow down by slow_by with the start
  Crew crew = Crew::kAsTold;
  double first_hear = 0.28;
  double come_again = 0.7;  // of refused or failed clients
  double work_cv = 0.6;
  std::uint64_t seed = 1;
};

// A window's received calls against what a cold server bears, N + 2 x root of N + 2.
struct Window {
  double margin = std::numeric_limits<double>::infinity();
  double received = 0, bears = 0, after = 0;  // after: since the start
};

struct Counts {
  Window calls, work;     // the worst ones; work in requests of mean work
  Window early;           // calls against what it bore when the window began
  double cold_calls = 0;  // to a cold server in its first slow_start_duration, all of them together
  double cold_part = 0;   // of what its sure capacity could have done
  int asked = 0, answered = 0, in_time = 0, refused = 0, failed = 0, sends = 0;
};

class FleetModel {
 public:
  explicit FleetModel(const Play& play) : play_(play), random_(play.seed * 7919 + 17) {
    make_servers();
    make_copies();
  }

  Counts run() {
    for (std::size_t c = 0; c < copies_.size(); ++c) open(c);
    for (std::size_t i = 0; i < cold_.size(); ++i) start_cold(cold_[i]);
    change_crew();
    next_arrival();
    while (!events_.empty() && events_.top().at <= play_.end) {
      now_ = events_.top().at;
      const std::function<void()> what = events_.top().what;
      events_.pop();
      what();
    }
    measure();
    return counts_;
  }

 private:
  struct Timed {
    double at = 0;
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const Timed& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  struct Arrived {
    double at = 0, work = 0;
    bool told = false;
  };
  struct Job {
    std::size_t replica = 0;
    std::string id;
    int attempt = 0;
    double work = 0, sent = 0;
  };
  struct StandIn {
    Endpoint told;
    double rate = 0;  // calls/s when warm
    int cores = 1, busy = 0;
    std::size_t room = 0;
    double up_from = 0, cold_from = -1;  // cold_from: when it started cold
    bool down = false;
    int life = 0;
    Trouble trouble = Trouble::kNone;
    std::deque<Job> waiting;
    std::vector<Arrived> arrived;  // while cold
  };
  struct Client {
    double work = 0, until = 0;
    int tries = 0;
    std::size_t tenant = 0;
    bool closed = false;
    std::unordered_map<int, std::size_t> at;  // attempts that are out
  };
  struct Member {
    std::unique_ptr<Balancer> balancer;
    Settings settings;
    bool alive = true;
    std::uint64_t life = 0;
    std::vector<bool> knows;  // of each server's start
    std::vector<double> listed;
    std::unordered_map<std::string, Client> clients;
  };

  double unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  double exponential(double mean) { return -mean * std::log(1 - unit()); }
  double normal() { return std::sqrt(-2 * std::log(1 - unit())) * std::cos(6.283185307179586 * unit()); }
  double lognormal(double cv) {
    const double s2 = std::log(1 + cv * cv);
    return std::exp(std::sqrt(s2) * normal() - s2 / 2);
  }
  void at(double when, std::function<void()> what) { events_.push({when, ++order_, std::move(what)}); }

  void make_servers() {
    for (int i = 0; i < play_.servers; ++i) {
      StandIn s;
      s.told = server(i, i % 2, i / 6);
      s.told.weight = i % 2 == 0 ? 2 : 1;
      s.cores = i % 2 == 0 ? 2 : 1;
      s.rate = play_.unit_rate * s.told.weight * (0.85 + 0.3 * unit());
      s.room = 6 * static_cast<std::size_t>(s.cores);
      capacity_ += s.rate;
      servers_.push_back(s);
    }
    for (int i = 0; i < play_.cold; ++i) cold_.push_back(static_cast<std::size_t>(i));
    for (const std::size_t i : cold_) servers_[i].down = !play_.back;
    const auto ill = static_cast<std::size_t>(std::lround(play_.troubled * (play_.servers - play_.cold)));
    for (std::size_t i = 0; i < ill; ++i) servers_[servers_.size() - 1 - i].trouble = play_.trouble;
  }

  void make_copies() {
    Settings s;
    RequestClass keyed = class_of(Idempotency::kIdempotencyKey),
                 unsafe = class_of(Idempotency::kNotIdempotent);
    keyed.latency_objective = 0.86;
    keyed.timeout = 2.2;
    keyed.dedup_window = 2.5;
    unsafe.latency_objective = 1.9;
    unsafe.timeout = 4.7;
    s.classes = {keyed, unsafe};
    s.replica_count = play_.replicas;
    s.tier = play_.tier;
    s.clock_granularity = 0.005;
    s.tenants = {{0.66 * play_.allowances * capacity_}, {0.34 * play_.allowances * capacity_}};
    s.over_quota_priority_weight = 0.1;
    s.max_attempts = 5;
    s.hedging_allowed = s.cancel_allowed = true;
    s.max_retry_after = 2;
    s.slow_start_capacity = play_.slow_start_capacity;
    s.slow_start_duration = play_.slow_start_duration;
    s.overload_multiple = play_.overload_multiple;
    s.overload_window = play_.overload_window;
    for (int c = 0; c < play_.replicas; ++c) {
      s.replica_index = c;
      add_copy(s);
    }
  }

  void add_copy(const Settings& s) {
    Member m;
    m.settings = s;
    m.balancer = std::make_unique<Balancer>(s, random_());
    m.knows.resize(servers_.size());
    m.listed.resize(servers_.size(), -1);
    copies_.push_back(std::move(m));
    alive_.push_back(copies_.size() - 1);
  }

  // A process starts: its first list is what discovery has now, a start of just now included.
  void open(std::size_t c) {
    apply(c, Started{});
    EndpointUpdate list;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].down) continue;
      list.endpoints.push_back(servers_[i].told);
      copies_[c].knows[i] = servers_[i].cold_from >= 0;
    }
    apply(c, list);
  }

  void start_cold(std::size_t i) {
    if (play_.back) at(play_.cold_at - 1.2, [this, i] { crash(i); });
    at(play_.cold_at, [this, i] {
      StandIn& s = servers_[i];
      s.down = false;
      s.cold_from = now_;
      s.told.started_at = now_;
      for (std::size_t c = 0; c < copies_.size(); ++c) {
        at(now_ + play_.first_hear + play_.list_spread * unit(), [this, c, i] { tell(c, i); });
      }
    });
  }

  void crash(std::size_t i) {
    StandIn& s = servers_[i];
    s.down = true;
    ++s.life;
    s.busy = 0;
    s.waiting.clear();
  }

  void tell(std::size_t c, std::size_t i) {
    if (!copies_[c].alive || copies_[c].knows[i]) return;
    copies_[c].knows[i] = true;
    EndpointUpdate m;
    m.form = EndpointUpdate::Form::kIncremental;
    m.endpoints = {servers_[i].told};
    apply(c, m);
  }

  void change_crew() {
    const std::size_t count = copies_.size();
    if (play_.crew == Crew::kHalved) {
      at(play_.cold_at - 0.5, [this, count] {
        for (std::size_t c = 0; c < count; c += 2) end(c);
      });
    }
    if (play_.crew == Crew::kDoubled || play_.crew == Crew::kReplaced) {
      for (std::size_t c = 0; c < count; ++c) {
        const double when = play_.cold_at + 0.05 + 3 * static_cast<double>(c) / static_cast<double>(count);
        at(when, [this, c] {
          add_copy(copies_[c].settings);
          open(copies_.size() - 1);
          if (play_.crew == Crew::kReplaced) end(c);
        });
      }
    }
  }

  void end(std::size_t c) {
    copies_[c].alive = false;
    alive_.erase(std::find(alive_.begin(), alive_.end(), c));
  }

  // ---------------------------------------------------------------- callers

  double rate_now() const {
    const double since = now_ - play_.cold_at - play_.burst_after;
    const bool in_burst = since >= 0 && since < play_.burst_for;
    return play_.load * capacity_ * (in_burst ? play_.burst : 1);
  }

  void next_arrival() {
    const double most = play_.load * capacity_ * std::max(1.0, play_.burst);
    at(now_ + exponential(1 / most), [this, most] {
      next_arrival();
      if (unit() * most > rate_now()) return;
      Client client;
      client.work = lognormal(play_.work_cv);
      client.tenant = unit() < 0.66 ? 0 : 1;
      ++counts_.asked;
      const bool keyed = unit() < 0.55;
      client.until = now_ + (keyed ? 2.2 : 4.7);
      ask(client, keyed ? 0 : 1);
    });
  }

  void ask(Client client, std::size_t request_class) {
    const std::size_t c = alive_[static_cast<std::size_t>(unit() * static_cast<double>(alive_.size()))];
    Request r;
    r.id = std::to_string(request_class) + "-" + std::to_string(++ids_);
    r.tenant = client.tenant;
    r.request_class = request_class;
    r.time_left = client.until - now_;
    r.is_client_retry = client.tries > 0;
    ++client.tries;
    copies_[c].clients[r.id] = client;
    at(client.until, [this, c, id = r.id] {
      const auto it = copies_[c].clients.find(id);
      if (it == copies_[c].clients.end()) return;
      it->second.closed = true;
      if (copies_[c].alive) apply(c, RequestAborted{id});
    });
    apply(c, r);
  }

  void answered(std::size_t c, const std::string& id, double wait) {
    const auto it = copies_[c].clients.find(id);
    if (it == copies_[c].clients.end() || it->second.closed) return;
    it->second.closed = true;
    Client client = it->second;
    const double back = now_ + wait * (0.5 + unit()) + 0.03 + exponential(0.1);
    if (client.tries >= 4 || back > client.until - 0.2 || unit() > play_.come_again) return;
    at(back, [this, client, request_class = static_cast<std::size_t>(id[0] - '0')]() mutable {
      client.closed = false;
      client.at.clear();
      ask(client, request_class);
    });
  }

  // ---------------------------------------------------------------- replicas

  void apply(std::size_t c, const Event& event) {
    std::vector<Action> out;
    copies_[c].balancer->handle(now_, event, out);
    for (const Action& action : out) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) sent(c, *send);
      if (const auto* refuse = std::get_if<RejectRequest>(&action)) {
        ++counts_.refused;
        answered(c, refuse->id, refuse->retry_after);
      }
      if (const auto* fail = std::get_if<FailRequest>(&action)) {
        ++counts_.failed;
        answered(c, fail->id, 0);
      }
      if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        at(now_, [this, c, stop = *cancel] { result(c, stop.id, stop.attempt, Outcome::kCancelled, now_); });
      }
    }
  }

  void sent(std::size_t c, const SendAttempt& send) {
    ++counts_.sends;
    Client& client = copies_[c].clients.at(send.id);
    const auto i = static_cast<std::size_t>(std::stoi(send.endpoint.substr(1)));
    const int attempt = static_cast<int>(client.at.size());
    client.at[attempt] = i;
    Job job{c, send.id, attempt, client.work, now_};
    at(now_ + 0.0005 + 0.004 * unit(), [this, i, job] { arrive(i, job); });
    at(now_ + send.timeout,
       [this, job] { result(job.replica, job.id, job.attempt, Outcome::kTimedOut, job.sent); });
  }

  // The attempt's first end counts, and the process has to be there still.
  void result(std::size_t c, const std::string& id, int attempt, Outcome outcome, double since) {
    Member& m = copies_[c];
    const auto it = m.clients.find(id);
    if (it == m.clients.end() || !m.alive) return;
    Client& client = it->second;
    const auto out = client.at.find(attempt);
    if (out == client.at.end() || out->second == kEnded) return;
    out->second = kEnded;
    const bool done = outcome == Outcome::kSuccess;
    if (done && !client.closed) {
      client.closed = true;
      ++counts_.answered;
      const bool keyed = id[0] == '0';
      if (now_ <= client.until - (keyed ? 2.2 - 0.86 : 4.7 - 1.9)) ++counts_.in_time;
    }
    apply(c, AttemptResult{id, attempt, outcome, now_ - since, client.closed});
  }

  // ---------------------------------------------------------------- servers

  double capacity_part(const StandIn& s, double when) const {
    if (s.cold_from < 0) return 1;
    return std::min(1.0, play_.slow_start_capacity + (1 - play_.slow_start_capacity) *
                                                         std::max(0.0, when - s.cold_from) /
                                                         play_.slow_start_duration);
  }

  void answer(const Job& job, Outcome outcome) {
    at(now_ + 0.0005 + 0.004 * unit(),
       [this, job, outcome] { result(job.replica, job.id, job.attempt, outcome, job.sent); });
  }

  void arrive(std::size_t i, const Job& job) {
    StandIn& s = servers_[i];
    if (s.down) return answer(job, Outcome::kConnectFailed);
    if (s.cold_from >= 0) s.arrived.push_back({now_, job.work, copies_[job.replica].knows[i]});
    switch (s.trouble) {
      case Trouble::kNoDial:
        return answer(job, Outcome::kConnectFailed);
      case Trouble::kRefusing:
        return answer(job, Outcome::kRejected);
      case Trouble::kFailing:
        return answer(job, Outcome::kServerError);
      case Trouble::kSilent:
        if (now_ > play_.cold_at - 2) return;
        break;
      default:
        break;
    }
    if (s.busy < s.cores) return begin(i, job);
    if (s.waiting.size() >= s.room) return answer(job, Outcome::kRejected);
    s.waiting.push_back(job);
  }

  void begin(std::size_t i, const Job& job) {
    StandIn& s = servers_[i];
    ++s.busy;
    double takes = job.work * s.cores / (s.rate * capacity_part(s, now_));
    if (s.waiting.size() > 2 * static_cast<std::size_t>(s.cores)) takes /= 0.6;  // crowded
    if (s.trouble == Trouble::kSlow) takes *= play_.slow_by;
    if (play_.shared_slowness && now_ > play_.cold_at) takes *= play_.slow_by;
    if (s.trouble == Trouble::kPausing && std::fmod(now_, 3.0) < 0.4) takes += 0.4 - std::fmod(now_, 3.0);
    at(now_ + takes, [this, i, job, life = s.life] {
      StandIn& done = servers_[i];
      if (done.life != life) return answer(job, Outcome::kConnectionReset);
      --done.busy;
      answer(job, Outcome::kSuccess);
      if (done.waiting.empty()) return;
      const Job next = done.waiting.front();
      done.waiting.pop_front();
      begin(i, next);
    });
  }

  // ---------------------------------------------------------------- what came of it

  void measure() {
    double could = 0;
    for (const std::size_t i : cold_) {
      const StandIn& s = servers_[i];
      const double span = std::min(play_.slow_start_duration, play_.end - play_.cold_at);
      could += s.rate * span * (capacity_part(s, s.cold_from) + capacity_part(s, s.cold_from + span)) / 2;
      std::size_t first = 0;
      double work = 0, told = 0, told_work = 0;
      for (std::size_t last = 0; last < s.arrived.size(); ++last) {
        const Arrived& a = s.arrived[last];
        work += a.work;
        told += a.told ? 1 : 0;
        told_work += a.told ? a.work : 0;
        for (; s.arrived[first].at <= a.at - play_.overload_window; ++first) {
          work -= s.arrived[first].work;
          told -= s.arrived[first].told ? 1 : 0;
          told_work -= s.arrived[first].told ? s.arrived[first].work : 0;
        }
        const double from = std::max(s.cold_from, a.at - play_.overload_window);
        if (a.at > s.cold_from + play_.slow_start_duration) break;
        ++counts_.cold_calls;
        const double n =
            play_.overload_multiple * play_.overload_window * s.rate * capacity_part(s, (from + a.at) / 2);
        const double calls = static_cast<double>(last - first + 1);
        if (told * 3 > calls * 2) {
          const double least =
              play_.overload_multiple * play_.overload_window * s.rate * capacity_part(s, from);
          note(counts_.calls, n, calls, a.at - s.cold_from);
          note(counts_.early, least, calls, a.at - s.cold_from);
        }
        if (told_work * 3 > work * 2) note(counts_.work, n, work, a.at - s.cold_from);
      }
    }
    counts_.cold_part = could > 0 ? counts_.cold_calls / could : 0;
  }

  static void note(Window& worst, double n, double received, double after) {
    const double bears = n + 2 * std::sqrt(n) + 2;
    if (bears - received < worst.margin) worst = {bears - received, received, bears, after};
  }

  static constexpr std::size_t kEnded = std::numeric_limits<std::size_t>::max();
  Play play_;
  std::mt19937_64 random_;
  std::vector<StandIn> servers_;
  std::vector<Member> copies_;
  std::vector<std::size_t> alive_, cold_;
  std::priority_queue<Timed> events_;
  std::uint64_t order_ = 0, ids_ = 0;
  double now_ = 0, capacity_ = 0;
  Counts counts_;
};

}  // namespace asterdrift::balancer
