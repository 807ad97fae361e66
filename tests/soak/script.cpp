#include "soak/script.h"

#include <algorithm>
#include <csignal>
#include <sstream>

#include "soak/script_random.h"

namespace asterdrift::soak {
namespace {

constexpr std::uint64_t kScriptSubject = 1;
constexpr int kManySockets = 600, kFewSockets = 100;
constexpr double kServingTime = 2.2;  // s of service before the first SIGTERM

const char* name_of(DiscoveryStep::Kind kind) {
  switch (kind) {
    case DiscoveryStep::Kind::kDrain:
      return "drains endpoint";
    case DiscoveryStep::Kind::kRemove:
      return "removes endpoint";
    case DiscoveryStep::Kind::kStartEndpoint:
      return "adds an endpoint";
    case DiscoveryStep::Kind::kSilence:
      return "falls silent";
    case DiscoveryStep::Kind::kTruncate:
      return "is cut off inside a line";
    case DiscoveryStep::Kind::kStop:
      return "stops";
    case DiscoveryStep::Kind::kReturn:
      return "returns";
  }
  return "";
}

void add_discovery_steps(Script& script, ScriptRandom& random) {
  using Kind = DiscoveryStep::Kind;
  const double drain_at = random.between(0.5, script.end_at - 2);
  const std::size_t drained = random.below(script.endpoints);
  script.discovery_steps.push_back({drain_at, Kind::kDrain, drained});
  script.discovery_steps.push_back({drain_at + random.between(0.7, 1.5), Kind::kRemove, drained});
  script.discovery_steps.push_back({random.between(0.3, script.end_at - 1), Kind::kStartEndpoint, 0});
  if (random.chance(0.3)) script.discovery_steps.push_back({random.between(0.3, 2), Kind::kSilence, 0});
  if (random.chance(0.3)) script.discovery_steps.push_back({random.between(0.3, 3), Kind::kTruncate, 0});
  if (random.chance(0.3)) {
    const double stop_at = random.between(0.5, 2);
    script.discovery_steps.push_back({stop_at, Kind::kStop, 0});
    script.discovery_steps.push_back({stop_at + random.between(0.3, 2), Kind::kReturn, 0});
  }
  std::ranges::stable_sort(script.discovery_steps, {}, &DiscoveryStep::at);
}

// SIGHUP at any time; SIGTERM once or twice, within a millisecond or a while.
void add_signals(Script& script, ScriptRandom& random, SignalStep::Target target, double terminate_at) {
  for (std::size_t count = random.below(4); count > 0; --count) {
    script.signals.push_back({random.between(0.2, terminate_at + 1), SIGHUP, target});
  }
  script.signals.push_back({terminate_at, SIGTERM, target});
  if (random.chance(0.5)) {
    const double pause = random.chance(0.5) ? random.between(0, 0.001) : random.between(0.001, 0.2);
    script.signals.push_back({terminate_at + pause, SIGTERM, target});
  }
}

}  // namespace

Script::Script(std::uint64_t script_seed) : seed(script_seed) {
  ScriptRandom random(seed, kScriptSubject);
  has_crowd = seed % 3 == 1;
  has_successor = seed % 3 == 2;
  clients = 12 + random.below(21);
  endpoints = 3 + random.below(3);
  max_sockets = has_crowd ? kFewSockets : kManySockets;
  new_connections_for = random.between(0.2, 0.4);
  terminate_at = kServingTime + random.between(0, 1);
  double last_termination = terminate_at;
  add_signals(*this, random, SignalStep::Target::kFirst, terminate_at);
  if (has_successor) {
    // The successor gets its SIGTERM before it is ready, while the first process drains, or after that.
    successor_at = random.between(0.3, 1);
    const double successor_terminates_at = terminate_at + random.between(-1, 3);
    last_termination = std::max(terminate_at, successor_terminates_at);
    add_signals(*this, random, SignalStep::Target::kSuccessor, successor_terminates_at);
  }
  end_at = last_termination + kKillDelay;
  std::ranges::stable_sort(signals, {}, &SignalStep::at);
  add_discovery_steps(*this, random);
}

std::string to_text(const Script& script) {
  std::ostringstream out;
  out.precision(4);
  out << "seed " << script.seed << ": " << script.clients << " clients, " << script.endpoints
      << " endpoints, " << script.max_sockets << " sockets" << (script.has_crowd ? ", a crowd" : "");
  if (script.has_successor) out << ", a successor at " << script.successor_at << " s";
  out << "\n";
  for (const SignalStep& step : script.signals) {
    out << "  " << step.at << " s: " << (step.signal_number == SIGHUP ? "SIGHUP" : "SIGTERM") << " to the "
        << (step.target == SignalStep::Target::kFirst ? "first process" : "successor") << "\n";
  }
  for (const DiscoveryStep& step : script.discovery_steps) {
    out << "  " << step.at << " s: discovery " << name_of(step.kind) << " " << step.endpoint << "\n";
  }
  return out.str();
}

}  // namespace asterdrift::soak
