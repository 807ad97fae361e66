#include "soak/script.h"

#include <algorithm>
#include <csignal>
#include <sstream>

#include "soak/script_random.h"

namespace asterdrift::soak {
namespace {

constexpr std::uint64_t kScriptStream = 1;
constexpr int kMaxSockets = 600, kMaxSocketsWithFlood = 100;
constexpr int kMaxFurtherSigterms = 5;
constexpr Seconds kMinTimeBeforeSigterm = 2.2;  // shortest time from the start to the first SIGTERM

const char* description(DiscoveryStep::Kind kind) {
  switch (kind) {
    case DiscoveryStep::Kind::kDrain:
      return "drains endpoint";
    case DiscoveryStep::Kind::kRemove:
      return "removes endpoint";
    case DiscoveryStep::Kind::kAddEndpoint:
      return "adds an endpoint";
    case DiscoveryStep::Kind::kSilenceWatches:
      return "sends nothing more on its watches";
    case DiscoveryStep::Kind::kTruncateWatches:
      return "truncates its watches within a list";
    case DiscoveryStep::Kind::kStopListening:
      return "stops listening";
    case DiscoveryStep::Kind::kResumeListening:
      return "listens again";
  }
  return "";
}

void add_discovery_steps(Script& script, ScriptRandom& random) {
  using Kind = DiscoveryStep::Kind;
  const Seconds drain_at = random.between(0.5, script.end_at - 2);
  const std::size_t drained = random.below(script.endpoints);
  script.discovery_steps.push_back({drain_at, Kind::kDrain, drained});
  script.discovery_steps.push_back({drain_at + random.between(0.7, 1.5), Kind::kRemove, drained});
  script.discovery_steps.push_back({random.between(0.3, script.end_at - 1), Kind::kAddEndpoint, 0});
  if (random.chance(0.3))
    script.discovery_steps.push_back({random.between(0.3, 2), Kind::kSilenceWatches, 0});
  if (random.chance(0.3))
    script.discovery_steps.push_back({random.between(0.3, 3), Kind::kTruncateWatches, 0});
  if (random.chance(0.3)) {
    const Seconds stop_at = random.between(0.5, 2);
    script.discovery_steps.push_back({stop_at, Kind::kStopListening, 0});
    script.discovery_steps.push_back({stop_at + random.between(0.3, 2), Kind::kResumeListening, 0});
  }
  std::ranges::stable_sort(script.discovery_steps, {}, &DiscoveryStep::at);
}

// Adds up to three SIGHUPs at any time, and one to six SIGTERMs. Each further SIGTERM follows within 1 ms or
// within 0.2 s.
void add_signals(Script& script, ScriptRandom& random, SignalStep::Target target, Seconds sigterm_at) {
  for (std::size_t count = random.below(4); count > 0; --count) {
    script.signals.push_back({random.between(0.2, sigterm_at + 1), SIGHUP, target});
  }
  script.signals.push_back({sigterm_at, SIGTERM, target});
  Seconds next_at = sigterm_at;
  for (int further = 0; further < kMaxFurtherSigterms && random.chance(0.5); ++further) {
    next_at += random.chance(0.5) ? random.between(0, 0.001) : random.between(0.001, 0.2);
    script.signals.push_back({next_at, SIGTERM, target});
  }
}

}  // namespace

Script::Script(std::uint64_t script_seed) : seed(script_seed) {
  ScriptRandom random(seed, kScriptStream);
  has_connection_flood = seed % 3 == 1;
  has_successor = seed % 3 == 2;
  clients = 12 + random.below(21);
  endpoints = 3 + random.below(3);
  max_sockets = has_connection_flood ? kMaxSocketsWithFlood : kMaxSockets;
  connect_time_after_sigterm = random.between(0.2, 0.4);
  sigterm_at = kMinTimeBeforeSigterm + random.between(0, 1);
  Seconds last_sigterm_at = sigterm_at;
  add_signals(*this, random, SignalStep::Target::kFirst, sigterm_at);
  if (has_successor) {
    // The successor gets its SIGTERM before it is ready, while the first process drains, or after the drain.
    successor_starts_at = random.between(0.3, 1);
    const Seconds successor_sigterm_at = sigterm_at + random.between(-1, 3);
    last_sigterm_at = std::max(sigterm_at, successor_sigterm_at);
    add_signals(*this, random, SignalStep::Target::kSuccessor, successor_sigterm_at);
  }
  end_at = last_sigterm_at + kSigkillDelay;
  std::ranges::stable_sort(signals, {}, &SignalStep::at);
  add_discovery_steps(*this, random);
}

std::string to_text(const Script& script) {
  std::ostringstream out;
  out.precision(4);
  out << "seed " << script.seed << ": " << script.clients << " clients, " << script.endpoints
      << " endpoints, " << script.max_sockets << " sockets"
      << (script.has_connection_flood ? ", a connection flood" : "");
  if (script.has_successor) out << ", a successor at " << script.successor_starts_at << " s";
  out << "\n";
  for (const SignalStep& step : script.signals) {
    out << "  " << step.at << " s: " << (step.signal_number == SIGHUP ? "SIGHUP" : "SIGTERM") << " to the "
        << (step.target == SignalStep::Target::kFirst ? "first process" : "successor") << "\n";
  }
  for (const DiscoveryStep& step : script.discovery_steps) {
    out << "  " << step.at << " s: discovery " << description(step.kind) << " " << step.endpoint << "\n";
  }
  return out.str();
}

}  // namespace asterdrift::soak
