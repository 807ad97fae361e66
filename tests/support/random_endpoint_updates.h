// Many endpoints, random updates of them, and a plain list that shows what the updates amount to.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "support/balancer_fixture.h"
#include "support/random.h"

namespace asterdrift::balancer {

inline Endpoint numbered(int n) {
  Endpoint s = make_endpoint(n, n % 3, n % 500);
  s.address += ".fleet.internal:8080";
  return s;
}

inline EndpointUpdate fleet(int count) {
  EndpointUpdate m;
  for (int i = 0; i < count; ++i) m.endpoints.push_back(numbered(i));
  return m;
}

inline EndpointUpdate change(Endpoint s, EndpointState state = EndpointState::kReady) {
  s.state = state;
  return {EndpointUpdate::Form::kIncremental, {s}};
}

inline Settings many_replicas(RequestClass c = make_request_class(Idempotency::kIdempotent),
                              int replicas = 2000) {
  Settings s = basic_settings(c);
  s.replica_count = replicas;
  s.tier = 1;
  return s;
}

struct PlainList {
  std::map<std::string, Endpoint> known;

  void learn(const EndpointUpdate& update) {
    if (update.form == EndpointUpdate::Form::kSnapshot) known.clear();
    for (const Endpoint& s : update.endpoints) {
      known[s.address] = s;
      if (s.state == EndpointState::kRemoved) known.erase(s.address);
    }
  }

  template <class Fits>
  std::vector<std::string> ready(const Fits& fits) const {
    std::vector<std::pair<std::uint64_t, std::string>> order;
    for (const auto& [address, s] : known) {
      if (s.state == EndpointState::kReady && fits(s))
        order.emplace_back(support::hash_text(address), address);
    }
    std::sort(order.begin(), order.end());
    std::vector<std::string> out;
    out.reserve(order.size());
    for (const auto& [hash, address] : order) out.push_back(address);
    return out;
  }
};

class Changes {
 public:
  explicit Changes(std::uint64_t seed) : random_(seed) {}

  // A few, sometimes many, sometimes all. Two names have the same upper half of their hash.
  EndpointUpdate next(const PlainList& list) {
    EndpointUpdate update;
    update.form = EndpointUpdate::Form::kIncremental;
    const std::size_t kind = random_.below(40);
    const std::size_t count = kind == 0 ? 400 : kind < 3 ? 90 : 1 + random_.below(4);
    for (std::size_t i = 0; i < count; ++i) {
      static const int kAlike[] = {59298, 69998};
      Endpoint s = make_endpoint(random_.below(50) == 0 ? kAlike[random_.below(2)]
                                                        : static_cast<int>(random_.below(900)));
      s.zone = static_cast<int>(random_.below(3));
      s.cell = static_cast<int>(random_.below(12)) - 1;
      s.weight = random_.below(3) == 0 ? 0 : 0.5 + random_.unit();
      s.started_at = static_cast<double>(random_.below(2));
      const std::size_t state = random_.below(grow_ ? 8 : 3);
      s.state = state == 0   ? EndpointState::kRemoved
                : state == 1 ? EndpointState::kDraining
                             : EndpointState::kReady;
      update.endpoints.push_back(s);
    }
    if (random_.below(60) == 0) grow_ = !grow_;
    if (random_.below(30) == 0) {
      update.form = EndpointUpdate::Form::kSnapshot;
      for (const auto& [address, s] : list.known) {
        if (random_.below(20) > 0) update.endpoints.push_back(s);
      }
    }
    return update;
  }

 private:
  support::Random random_;
  bool grow_ = true;
};

}  // namespace asterdrift::balancer
