// Requests and attempts, and the names of the statistics that the decisions use.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "support/decaying_statistics.h"
#include "support/ordered_index.h"
#include "support/random.h"
#include "support/sliding_window.h"

namespace asterdrift::balancer {

using support::OrderedIndex;
using support::Random;
using support::SlidingWindow;

// Throws std::invalid_argument, naming the field, when the settings cannot be used.
void validate(const Settings& settings);

// Which outcomes prove that an attempt never ran. Danger: taking an unknown end for harmless repeats effects.
inline bool never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

struct Attempt {
  std::size_t endpoint = 0;  // its slot; another's once the attempt has ended
  std::uint64_t order = 0;   // tells the server for good
  int zone = 0, cell = 0;    // of the server, when it was sent to
  double sent = 0;
  bool open = true, may_have_run = true;
  bool in_flight = false;  // counted as such: the server has it, and does not give its answer yet
  bool learned = false;    // what it tells of its server has been taken in
  bool dial_failed = false;

  void end(Outcome outcome) {
    open = false;
    may_have_run = !never_ran(outcome);
    dial_failed = outcome == Outcome::kConnectFailed;
  }
};

// A request that still owes an answer, or has attempts out.
struct Pending {
  std::size_t tenant = 0, request_class = 0;
  double useful_until = 0;  // when the answer becomes worthless
  std::vector<Attempt> attempts;
  bool finished = false, streaming = false;
  bool body_arriving = false;  // its body is still coming
  bool once = false;           // no further attempt is possible

  bool any_open() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.open; });
  }
  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
  // What a further attempt takes out of the budget for retries. That budget keeps failures from multiplying
  // the servers' work; a dial that failed has brought them none, so what follows it is still the first call.
  double retry_cost() const { return !attempts.empty() && attempts.back().dial_failed ? 0 : 1; }
  bool tried(std::uint64_t order) const {
    return std::any_of(attempts.begin(), attempts.end(), [=](const Attempt& a) { return a.order == order; });
  }
};

// How long the last attempt may still come to a server that drops repeats of those before it.
inline double window_left(const Pending& p, const std::vector<RequestClass>& classes, double now) {
  const RequestClass& c = classes[p.request_class];
  double left = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; c.idempotency == Idempotency::kIdempotencyKey && i + 1 < p.attempts.size(); ++i) {
    if (p.attempts[i].may_have_run) left = std::min(left, p.attempts[i].sent + c.dedup_window - now);
  }
  return left;
}

}  // namespace asterdrift::balancer
