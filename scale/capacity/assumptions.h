// Assumptions about the planned fleet. Each is also printed as a result, with the key "given." followed by
// its own key.
#pragma once

#include <array>

namespace asterdrift::scale::capacity {

// One assumed value with its unit.
struct Assumption {
  const char* key;
  double value;
  const char* unit;
  const char* source;  // origin of the value, then its meaning
};

namespace assumption {

inline constexpr Assumption kServers{"servers", 27000, "servers",
                                     "plan; each on a machine of its own, with its node and an agent"};
inline constexpr Assumption kServices{"services", 4000, "services", "plan"};
inline constexpr Assumption kRequestRate{"requests", 8.9e6, "requests/s",
                                         "plan; distributed over the services like the servers"};
inline constexpr Assumption kChainDepth{"chain_depth", 28, "requests", "plan; the deepest chain"};
inline constexpr Assumption kAddedLatency{"added_latency", 1.1, "ms", "plan; added to a request, p99"};
inline constexpr Assumption kRegions{"regions", 11, "regions", "plan; of equal size"};
inline constexpr Assumption kZones{"zones", 29, "zones", "plan; of equal size, each server in one at random"};
inline constexpr Assumption kChangesPerDay{"changes_per_day", 98000, "changes/day",
                                           "plan; each concerns one entry of the list"};
inline constexpr Assumption kPropagationLimit{"propagation_limit", 11, "s",
                                              "plan; from a change to its effect everywhere"};
inline constexpr Assumption kNotifiedAfter{"notified_after", 6, "s",
                                           "protocol; a change that discovery had counts as notified then"};
inline constexpr Assumption kProcessorLimit{"cpu_limit", 1.8, "% of a core", "plan; for control, each node"};
inline constexpr Assumption kMemoryLimit{"memory_limit", 32, "MB", "plan; for control, each node"};
inline constexpr Assumption kBandwidthLimit{"bandwidth_limit", 29, "KB/s",
                                            "plan; for control, each node; KB = 1000 bytes"};
inline constexpr Assumption kControlMachines{"control_machines", 39, "machines", "plan"};
inline constexpr Assumption kFailuresPerDay{"failures_per_day", 160, "machines/day", "plan"};
inline constexpr Assumption kRestartsPerDay{"restarts_per_day", 5900, "machines/day",
                                            "plan; restarted or replaced"};
inline constexpr Assumption kZipfExponent{"zipf", 1, "exponent",
                                          "ours; the one with which the largest of 4,000 holds some 3,000"};
inline constexpr Assumption kServicesPerNode{"services_per_node", 12, "services",
                                             "ours; that one node calls"};
inline constexpr Assumption kFanOut{"fan_out", 28, "requests",
                                    "ours; a request at the front causes so many requests in all"};
inline constexpr Assumption kBusiestMinuteFactor{"busiest_minute", 20, "x the mean",
                                                 "ours; changes in the busiest minute of a day"};
inline constexpr Assumption kChangesPerRestart{"changes_per_restart", 3, "changes",
                                               "ours; leaving, left, active"};
inline constexpr Assumption kChangesPerFailure{"changes_per_failure", 2, "changes", "ours; left, active"};
inline constexpr Assumption kReleaseFraction{"release_fraction", 0.1, "of a service",
                                             "ours; servers of the largest that change within one second"};
inline constexpr Assumption kPartitionTime{"partition_time", 600, "s",
                                           "ours; how long regions lose each other"};
inline constexpr Assumption kControlLinkRate{"control_link", 1.25e9, "bytes/s",
                                             "ours; what a control machine can send (10 Gbit/s)"};
inline constexpr Assumption kMessageOverhead{
    "message_overhead", 73, "bytes",
    "ours; a message's headers on the wire (TCP/IP with options) and chunk framing"};
inline constexpr Assumption kHeartbeatPeriod{"heartbeat_period", 2, "s",
                                             "protocol; the heartbeats of a watch: empty lines"};
inline constexpr Assumption kBatchPeriod{
    "batch_period", 0.1, "s", "ours; the changes of so long travel as one message, where they are batched"};

// All assumptions, in the order in which they are printed.
inline constexpr std::array kAll = {
    kServers,           kServices,          kRequestRate,     kChainDepth,
    kAddedLatency,      kRegions,           kZones,           kChangesPerDay,
    kPropagationLimit,  kNotifiedAfter,     kProcessorLimit,  kMemoryLimit,
    kBandwidthLimit,    kControlMachines,   kFailuresPerDay,  kRestartsPerDay,
    kZipfExponent,      kServicesPerNode,   kFanOut,          kBusiestMinuteFactor,
    kChangesPerRestart, kChangesPerFailure, kReleaseFraction, kPartitionTime,
    kControlLinkRate,   kMessageOverhead,   kHeartbeatPeriod, kBatchPeriod};

}  // namespace assumption
}  // namespace asterdrift::scale::capacity
