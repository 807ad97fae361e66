// A long random stream of legal events, and a digest of what a balancer makes of it: to tell whether a change
// of how servers are kept has changed any decision.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {

class EventStream {
 public:
  EventStream(std::uint64_t seed, std::size_t most_servers)
      : state_(seed * 2654435761 + 1), most_(most_servers), copy_(settings_of(seed), seed) {
    servers_.resize(most_);
    for (std::size_t i = 0; i < most_; ++i) renew(servers_[i]);
    take(Started{});
    EndpointUpdate all;
    for (const Known& k : servers_) {
      if (k.told.state == EndpointState::kReady) all.endpoints.push_back(k.told);
    }
    take(all);
  }

  void run(int steps) {
    for (int i = 0; i < steps; ++i) step();
  }

  std::uint64_t digest() const { return digest_; }
  std::size_t sends() const { return sends_; }
  std::size_t repeats() const { return repeats_; }

 private:
  struct Known {
    Endpoint told;
    double answer_time = 0.1, fails = 0;
  };
  struct Try {
    std::string id;
    int attempt = 0;
    double sent = 0, ends = 0;
    Outcome outcome = Outcome::kSuccess;
  };

  std::uint64_t next() {
    state_ = state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return state_ >> 33;
  }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(next() % n); }
  double unit() { return static_cast<double>(below(1 << 20)) / (1 << 20); }

  static Settings settings_of(std::uint64_t seed) {
    Settings s = basic_settings(class_of(Idempotency::kIdempotencyKey, DedupScope::kCell));
    s.classes.push_back(class_of(Idempotency::kIdempotent));
    s.classes.push_back(class_of(Idempotency::kIdempotencyKey, DedupScope::kZone));
    s.classes.push_back(class_of(Idempotency::kIdempotencyKey, DedupScope::kAll));
    s.classes.push_back(class_of(Idempotency::kNotIdempotent));
    s.replica_count = std::vector{1, 3, 8, 40, 300}[seed % 5];
    s.replica_index = static_cast<int>(seed * 7 % static_cast<std::uint64_t>(s.replica_count));
    s.tier = seed % 3 == 2 ? 1 : 0;
    s.zone = static_cast<int>(seed % 4);
    s.cross_zone_cost = seed % 2 == 0 ? 0.02 : 0;
    s.tenants = {{40.0}, {3.0}, {}};
    s.requires_watch = seed % 7 == 3;
    s.slow_start_capacity = 0.2;
    s.slow_start_duration = 8;
    return s;
  }

  void renew(Known& k) {
    k.told.address = "10.0." + std::to_string(below(4)) + "." + std::to_string(names_++) + ":8080";
    k.told.cell = static_cast<int>(below(6));
    k.told.zone = k.told.cell / 2;
    k.told.weight = 0.3 + unit();
    k.told.started_at = below(2) == 0 ? 0 : now_;
    k.told.state = below(4) > 0 ? EndpointState::kReady : EndpointState::kRemoved;
    k.answer_time = 0.05 + unit() / 4;
    k.fails = below(12) == 0 ? 0.7 : 0.01;
  }

  void step() {
    now_ += 0.02 * unit();
    while (!tries_.empty() && tries_.begin()->first <= now_) {
      const Try t = tries_.begin()->second;
      tries_.erase(tries_.begin());
      take(AttemptResult{t.id, t.attempt, t.outcome, now_ - t.sent, t.outcome == Outcome::kSuccess});
    }
    const std::size_t kind = below(200);
    if (kind < 150) {
      Request r;
      r.id = std::to_string(requests_++);
      r.tenant = below(3);
      r.request_class = below(5);
      r.time_left = 0.5 + 5 * unit();
      r.body_arriving = below(20) == 0;
      take(r);
      if (r.body_arriving) take(RequestBodySent{r.id, 0});
    } else if (kind < 155) {
      take(RequestAborted{std::to_string(requests_ - 1 - below(std::min<std::size_t>(requests_, 20)))});
    } else if (kind < 158) {
      for (Known& k : servers_) {  // an illness that many share, or its end
        if (below(3) == 0) k.answer_time = below(2) == 0 ? 30 : 0.1;
      }
    } else if (kind < 168) {
      list();
    }
    if (below(50) == 0) {
      const EndpointSetView seen = copy_.balancer.endpoints(now_);
      note(seen.listed);
      note(seen.unavailable);
    }
  }

  // Changes: drains, ends, restarts, moves of zones, new ones; at times as a whole list, or as no list.
  void list() {
    EndpointUpdate update;
    update.form = EndpointUpdate::Form::kIncremental;
    for (std::size_t left = below(30) == 0 ? 40 : 1 + below(3); left > 0; --left) {
      Known& k = servers_[below(most_)];
      const std::size_t what = below(8);
      if (what < 2) {
        k.told.state = EndpointState::kDraining;
      } else if (what < 4) {
        k.told.state = EndpointState::kRemoved;
      } else if (what < 6) {
        k.told.state = EndpointState::kReady;
        if (below(2) == 0) k.told.started_at = now_;
      } else if (what < 7) {
        k.told.weight = 0.3 + unit();
        k.told.zone = static_cast<int>(below(4));
      } else {
        const Endpoint old = k.told;
        renew(k);
        update.endpoints.push_back(old);
        update.endpoints.back().state = EndpointState::kRemoved;
      }
      update.endpoints.push_back(k.told);
      if (below(4) == 0) update.endpoints.push_back(k.told);
    }
    if (below(6) == 0) {
      update = EndpointUpdate();
      for (const Known& k : servers_) {
        if (k.told.state != EndpointState::kRemoved) update.endpoints.push_back(k.told);
      }
    } else if (below(20) == 0) {
      update = {EndpointUpdate::Form::kWatchFailed, {}};
    }
    take(update);
  }

  void take(const Event& event) {
    for (const Action& action : copy_.at(now_, event)) {
      note(action.index());
      std::visit([this](const auto& a) { done(a); }, action);
    }
  }

  void done(const SendAttempt& s) {
    note(s.id);
    note(s.endpoint);
    note(s.timeout);
    note(std::isfinite(s.write_within) ? s.write_within : -1);
    ++sends_;
    const auto k = std::find_if(servers_.begin(), servers_.end(),
                                [&](const Known& known) { return known.told.address == s.endpoint; });
    Try t;
    t.id = s.id;
    t.attempt = attempts_[s.id]++;
    if (t.attempt > 0) ++repeats_;
    t.sent = now_;
    double takes = k == servers_.end() ? 0.01 : k->answer_time * (0.5 + unit());
    if (k == servers_.end() || unit() < k->fails) {
      constexpr Outcome kEnds[] = {Outcome::kServerError,   Outcome::kRejected, Outcome::kConnectionReset,
                                   Outcome::kConnectFailed, Outcome::kNotSent,  Outcome::kUnknown};
      t.outcome = kEnds[below(6)];
      takes = 0.02;
    } else if (takes > s.timeout) {
      takes = s.timeout;
      t.outcome = Outcome::kTimedOut;
    }
    t.ends = now_ + takes;
    tries_.emplace(t.ends, t);
  }
  void done(const CancelAttempt& c) {
    note(c.id);
    for (auto& [ends, t] : tries_) {
      if (t.id == c.id && t.attempt == c.attempt) t.outcome = Outcome::kCancelled;
    }
  }
  void done(const SetTimer& t) {
    note(t.at);
    take(TimerFired{t.token});
  }
  void done(const RejectRequest& r) { note(r.id); }
  void done(const FailRequest& f) { note(f.id); }
  void done(const WatchEndpoints&) {}
  void done(const LogLine& l) { note(l.text); }

  void note(std::uint64_t value) {
    for (int i = 0; i < 8; ++i) digest_ = (digest_ ^ (value >> (8 * i) & 255)) * 0x100000001B3ULL;
  }
  void note(double value) {
#ifdef EVENT_STREAM_EXACT
    std::uint64_t bits = 0;
    std::memcpy(&bits, &value, sizeof bits);
    note(bits);
#else
    note(static_cast<std::uint64_t>(std::llround(value * 1e6)));  // other roundings of exp are let pass
#endif
  }
  void note(const std::string& text) {
    for (const char c : text) note(static_cast<std::uint64_t>(static_cast<unsigned char>(c)));
  }

  std::uint64_t state_;
  std::size_t most_;
  TestReplica copy_;
  double now_ = 0;
  std::size_t requests_ = 1, names_ = 0, sends_ = 0, repeats_ = 0;
  std::vector<Known> servers_;
  std::multimap<double, Try> tries_;
  std::map<std::string, int> attempts_;
  std::uint64_t digest_ = 0xCBF29CE484222325ULL;
};

}  // namespace asterdrift::balancer
