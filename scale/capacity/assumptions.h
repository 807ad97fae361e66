// What is assumed of the planned fleet. Each assumption is a result of its own, under "given." and its key.
#pragma once

#include <array>

namespace asterdrift::scale::capacity {

struct Assumption {
  const char* key;
  double value;
  const char* unit;
  const char* source;  // where the value comes from, and what it means
};

namespace assumption {

inline constexpr Assumption kServers{"servers", 27000, "servers",
                                     "plan; each on a machine of its own, with its node and an agent"};
inline constexpr Assumption kServices{"services", 4000, "services", "plan"};
inline constexpr Assumption kRequestRate{"calls", 8.9e6, "calls/s",
                                         "plan; spread over the services as the servers are"};
inline constexpr Assumption kChainDepth{"depth", 28, "calls", "plan; the deepest chain"};
inline constexpr Assumption kAddedLatency{"added", 1.1, "ms", "plan; added to a call for 99 in 100"};
inline constexpr Assumption kRegions{"regions", 11, "regions", "plan; alike in size"};
inline constexpr Assumption kZones{"zones", 29, "zones", "plan; alike in size, each server in one at random"};
inline constexpr Assumption kChangesPerDay{"changes_day", 98000, "changes/day",
                                           "plan; each concerns one entry of the list"};
inline constexpr Assumption kPropagationLimit{"in_force", 11, "s",
                                              "plan; from a change to its being in force everywhere"};
inline constexpr Assumption kNotifiedAfter{"told", 6, "s",
                                           "protocol; a change that discovery had counts as told"};
inline constexpr Assumption kProcessorLimit{"cpu_limit", 1.8, "% of a core", "plan; for control, each node"};
inline constexpr Assumption kMemoryLimit{"memory_limit", 32, "MB", "plan; for control, each node"};
inline constexpr Assumption kBandwidthLimit{"bytes_limit", 29, "KB/s",
                                            "plan; for control, each node; KB = 1000 bytes"};
inline constexpr Assumption kControlMachines{"control_machines", 39, "machines", "plan"};
inline constexpr Assumption kFailuresPerDay{"failures_day", 160, "machines/day", "plan"};
inline constexpr Assumption kRestartsPerDay{"restarts_day", 5900, "machines/day",
                                            "plan; restarted or replaced"};
inline constexpr Assumption kZipfExponent{"zipf", 1, "exponent",
                                          "ours; the one with which the largest of 4,000 holds some 3,000"};
inline constexpr Assumption kServicesPerNode{"called", 12, "services", "ours; that one node calls"};
inline constexpr Assumption kFanOut{"fan", 28, "calls", "ours; a request at the front causes so many in all"};
inline constexpr Assumption kBusiestMinuteFactor{"busy", 20, "x the mean",
                                                 "ours; changes in the busiest minute of a day"};
inline constexpr Assumption kChangesPerRestart{"entries_restart", 3, "changes",
                                               "ours; leaving, left, active"};
inline constexpr Assumption kChangesPerFailure{"entries_failure", 2, "changes", "ours; left, active"};
inline constexpr Assumption kReleaseFraction{"release", 0.1, "of a service",
                                             "ours; servers of the largest that change within one second"};
inline constexpr Assumption kPartitionTime{"cut", 600, "s", "ours; how long regions lose each other"};
inline constexpr Assumption kControlLinkRate{"link", 1.25e9, "bytes/s",
                                             "ours; what a control machine can send (10 Gbit/s)"};
inline constexpr Assumption kMessageOverhead{
    "frame", 73, "bytes", "ours; a message's headers on the wire (TCP/IP with options) and chunk framing"};
inline constexpr Assumption kHeartbeatPeriod{"empty_period", 2, "s", "protocol; the empty lines of a watch"};
inline constexpr Assumption kBatchPeriod{
    "batch", 0.1, "s", "ours; the changes of so long travel as one message, where they are batched"};

// All of them, in the order in which they are printed.
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
