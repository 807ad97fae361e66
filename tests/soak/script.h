// The script of a soak run: the processes, peers, signals and faults, drawn at random from a seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "asterdrift/seconds.h"

namespace asterdrift::soak {

// The longest timeout of a request, which is also the longest deadline in the node's settings.
constexpr Seconds kMaxRequestTimeout = 2;
// The shortest time after the first SIGTERM after which the operators send SIGKILL.
constexpr Seconds kSigkillDelay = kMaxRequestTimeout + 0.7;

// A signal to one of the processes of the node.
struct SignalStep {
  enum class Target { kFirst, kSuccessor };

  Seconds at = 0;  // time after the start of the run
  int signal_number = 0;
  Target target = Target::kFirst;
};

// A change of the endpoint list, or a fault of discovery.
struct DiscoveryStep {
  enum class Kind {
    kDrain,
    kRemove,
    kAddEndpoint,
    kSilenceWatches,
    kTruncateWatches,
    kStopListening,
    kResumeListening
  };

  Seconds at = 0;  // time after the start of the run
  Kind kind = Kind::kSilenceWatches;
  std::size_t endpoint = 0;  // index of the endpoint for kDrain and kRemove
};

// All times are relative to the start of the run, except connect_time_after_sigterm.
struct Script {
  explicit Script(std::uint64_t seed);

  std::uint64_t seed;
  bool has_connection_flood = false;  // additional clients open more connections than the node accepts
  bool has_successor = false;         // a second process replaces the first one
  std::size_t clients = 0;
  std::size_t endpoints = 0;  // number of endpoints at the start
  int max_sockets = 0;
  Seconds successor_starts_at = 0;
  Seconds sigterm_at = 0;                  // the first SIGTERM to the first process
  Seconds connect_time_after_sigterm = 0;  // how long clients connect after each process has had a SIGTERM
  Seconds end_at = 0;                      // the last SIGKILL
  std::vector<SignalStep> signals;
  std::vector<DiscoveryStep> discovery_steps;
};

// The script as text, for the report of a failing seed.
std::string to_text(const Script& script);

}  // namespace asterdrift::soak
