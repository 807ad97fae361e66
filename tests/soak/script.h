// What happens in one run of the soak test, drawn from its seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace asterdrift::soak {

// s that a request may take at most: the longest deadline of the settings.
constexpr double kMaxRequestTimeout = 2;
// s after the first SIGTERM at which the operators send SIGKILL at the earliest.
constexpr double kKillDelay = kMaxRequestTimeout + 0.7;

// A signal to one of the processes of the node.
struct SignalStep {
  enum class Target { kFirst, kSuccessor };

  double at = 0;  // s from the start of the run
  int signal_number = 0;
  Target target = Target::kFirst;
};

// A change of the endpoint list, or a fault of discovery.
struct DiscoveryStep {
  enum class Kind { kDrain, kRemove, kStartEndpoint, kSilence, kTruncate, kStop, kReturn };

  double at = 0;  // s from the start of the run
  Kind kind = Kind::kSilence;
  std::size_t endpoint = 0;
};

struct Script {
  explicit Script(std::uint64_t seed);

  std::uint64_t seed;
  bool has_crowd = false;
  bool has_successor = false;
  std::size_t clients = 0;
  std::size_t endpoints = 0;  // at the start
  int max_sockets = 0;
  double successor_at = 0;         // s from the start of the run
  double terminate_at = 0;         // the first SIGTERM to the first process
  double new_connections_for = 0;  // s after the last process had its first SIGTERM
  double end_at = 0;               // the last SIGKILL
  std::vector<SignalStep> signals;
  std::vector<DiscoveryStep> discovery_steps;
};

// The script as text, for the report of a failing seed.
std::string to_text(const Script& script);

}  // namespace asterdrift::soak
