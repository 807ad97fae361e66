// Counts events, and formats the report of the metrics.
#include "node/telemetry/metrics.h"

#include <algorithm>

#include "node/http/status.h"

namespace asterdrift::node::telemetry {
namespace {

// The names of the states in the report, in the order of Eviction::ConnectionState.
constexpr std::array kEvictionStateNames = {"new", "idle", "partial_request", "closing"};

using http::kOk;
using http::kServiceUnavailable;
using http::kTooManyRequests;

std::string metric_line(const std::string& name, std::uint64_t value, char kind) {
  return "app." + name + ":" + std::to_string(value) + "|" + kind + "\n";
}

// Replaces the characters that separate parts of the report, and control characters.
std::string to_metric_name(std::string name) {
  const auto is_reserved = [](unsigned char c) { return c <= ' ' || c == ':' || c == '|' || c == 0x7f; };
  std::replace_if(name.begin(), name.end(), is_reserved, '_');
  return name;
}

}  // namespace

Metrics::Metrics(const std::vector<std::string>& request_classes) {
  for (const std::string& name : request_classes) classes_.push_back({to_metric_name(name)});
}

void Metrics::count_response(std::size_t request_class, unsigned status) {
  ClassCounters& counters = classes_.at(request_class);
  if (status == kOk) {
    ++counters.completed;
  } else if (status == kTooManyRequests || status == kServiceUnavailable) {
    ++counters.rejected;
  } else {
    ++counters.failed;
  }
}

void Metrics::count_eviction(const Eviction& eviction) {
  EvictionCounters& counters = evictions_.at(static_cast<std::size_t>(eviction.connection_state));
  ++(eviction.is_recent ? counters.recent : counters.older);
  if (!eviction.client_is_waiting) ++evictions_without_waiting_client_;
}

std::string Metrics::report(const Gauges& gauges) const {
  std::string out;
  for (const ClassCounters& counters : classes_) {
    const std::string prefix = "downstream_requests." + counters.name + ".";
    out += metric_line(prefix + "completed", counters.completed, 'c');
    out += metric_line(prefix + "rejected", counters.rejected, 'c');
    out += metric_line(prefix + "failed", counters.failed, 'c');
  }
  out += metric_line("upstream_requests", attempts_, 'c');
  out += metric_line("pending", gauges.pending_requests, 'g');
  out += metric_line("members", gauges.listed_endpoints, 'g');
  out += metric_line("members_unavailable", gauges.unavailable_endpoints, 'g');
  static_assert(kEvictionStateNames.size() == kEvictionStates);
  for (std::size_t state = 0; state < kEvictionStates; ++state) {
    const std::string prefix = std::string("downstream_evictions.") + kEvictionStateNames.at(state) + ".";
    out += metric_line(prefix + "recent", evictions_.at(state).recent, 'c');
    out += metric_line(prefix + "older", evictions_.at(state).older, 'c');
  }
  out += metric_line("downstream_evictions.without_waiting_client", evictions_without_waiting_client_, 'c');
  out += metric_line("downstream_responses_stalled", stalled_responses_, 'c');
  out += metric_line("body_memory.reserved", gauges.reserved_body_bytes, 'g');
  out += metric_line("body_memory.streamed", gauges.streamed_body_bytes, 'g');
  out += metric_line("uploads_blocked", gauges.blocked_uploads, 'g');
  return out;
}

}  // namespace asterdrift::node::telemetry
