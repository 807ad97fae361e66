#include "soak/rules.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace asterdrift::soak {
namespace {

// The operators' rules allow these delays and this excess:
// A response may arrive this long after the request's timeout.
constexpr Seconds kMaxResponseLateness = 0.5;
// An attempt may begin this long after the client has closed its connection.
constexpr Seconds kMaxAttemptLateness = 0.1;
// The timeout that the node forwards to an endpoint may exceed the client's remaining time by this much.
constexpr Seconds kMaxTimeoutExcess = 0.15;
// An attempt may begin this long after the node has been notified that the endpoint drains.
constexpr Seconds kMaxDrainLateness = 0.35;
// Responses of this size or more are streamed, and have no time limit.
constexpr std::size_t kMinStreamedBytes = 65536;
// The node must not close a new connection on which nothing has been sent before the connection has this age.
// The lower age applies if the node is at its connection limit, when it may have no other connection to
// close.
constexpr Seconds kMinUnusedTime = 0.25, kMinUnusedTimeAtLimit = 0.05;

using AttemptsById = std::unordered_multimap<std::string, const AttemptRecord*>;

std::string format_seconds(Seconds seconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4f s", seconds);
  return text;
}

class RuleCheck {
 public:
  RuleCheck(const Script& script, const Observations& observations)
      : script_(script), observations_(observations) {
    for (const AttemptRecord& attempt : observations.attempts)
      attempts_.emplace(attempt.request_id, &attempt);
  }

  std::vector<Violation> run() {
    for (const RequestRecord& request : observations_.requests) {
      check_response(request);
      check_attempts(request);
    }
    check_drains();
    check_unused_connections();
    return std::move(violations_);
  }

 private:
  void report(const char* rule, const std::string& request_id, const std::string& details) {
    violations_.push_back({rule, request_id, details});
  }

  void check_response(const RequestRecord& request) {
    if (request.sent_at == 0) return;
    switch (request.outcome) {
      case RequestOutcome::kClosedWithoutResponse:
        return report("lost request", request.id,
                      "the node read the request, and closed the connection without a response");
      case RequestOutcome::kTimedOut:
        return report("lost request", request.id, "no response until the client gave up");
      case RequestOutcome::kTruncated:
        return report("lost request", request.id, "the response was truncated");
      case RequestOutcome::kReset:
        if (request.is_on_new_connection && !script_.has_connection_flood) {
          report("lost request", request.id, "the node reset a new connection");
        }
        return;
      case RequestOutcome::kResponse:
        check_response_time(request);
        return;
      case RequestOutcome::kClientDeparted:
      case RequestOutcome::kUnprocessed:
        return;
    }
  }

  void check_response_time(const RequestRecord& request) {
    const Seconds lateness = request.ended_at - request.sent_at - request.timeout;
    if (request.response_bytes < kMinStreamedBytes && lateness > kMaxResponseLateness) {
      report("late response", request.id, format_seconds(lateness) + " after the request's timeout");
    }
  }

  void check_attempts(const RequestRecord& request) {
    const auto [begin, end] = attempts_.equal_range(request.id);
    int executions = 0;
    for (auto it = begin; it != end; ++it) {
      const AttemptRecord& attempt = *it->second;
      if (attempt.is_complete && !attempt.is_rejected) ++executions;
      if (request.outcome == RequestOutcome::kClientDeparted &&
          attempt.began_at > request.ended_at + kMaxAttemptLateness) {
        report(
            "attempt for a departed client", request.id,
            format_seconds(attempt.began_at - request.ended_at) + " after the client closed the connection");
      }
      check_forwarded_timeout(request, attempt);
    }
    if (request.request_class == "close" && executions > 1) {
      report("unsafe request run twice", request.id,
             std::to_string(executions) + " endpoints may have run the request");
    }
    if (request.outcome == RequestOutcome::kUnprocessed && executions > 0) {
      report("lost request", request.id,
             "an endpoint received the request, and the connection ended without a response");
    }
  }

  void check_forwarded_timeout(const RequestRecord& request, const AttemptRecord& attempt) {
    if (request.sent_at == 0) return;
    const Seconds remaining = request.sent_at + request.timeout - attempt.head_at;
    const Seconds excess = static_cast<double>(attempt.timeout_ms) / 1000 - remaining;
    if (excess > kMaxTimeoutExcess) {
      report("forwarded timeout too long", request.id,
             format_seconds(excess) + " more than the client's remaining time");
    }
  }

  // When as many watches as the node has processes have been notified that an endpoint drains. If fewer
  // watches have been notified, the time of the last notification; none if no watch has been notified.
  std::optional<Seconds> notified_at(const std::string& endpoint) const {
    std::vector<Seconds> times;
    for (const DrainRecord& drain : observations_.drains) {
      if (drain.endpoint == endpoint) times.push_back(drain.notified_at);
    }
    std::ranges::sort(times);
    const std::size_t processes = script_.has_successor ? 2 : 1;
    if (times.empty()) return std::nullopt;
    return times[std::min(processes, times.size()) - 1];
  }

  void check_drains() {
    std::map<std::string, std::optional<Seconds>> notified;
    for (const AttemptRecord& attempt : observations_.attempts) {
      const auto [it, is_new] = notified.try_emplace(attempt.endpoint);
      if (is_new) it->second = notified_at(attempt.endpoint);
      if (it->second && attempt.began_at > *it->second + kMaxDrainLateness) {
        report("sent to a draining endpoint", attempt.request_id,
               format_seconds(attempt.began_at - *it->second) + " after the notification that " +
                   attempt.endpoint + " drains");
      }
    }
  }

  void check_unused_connections() {
    const Seconds min_age = script_.has_connection_flood ? kMinUnusedTimeAtLimit : kMinUnusedTime;
    for (const UnusedConnectionRecord& connection : observations_.unused_connections) {
      const Seconds age = connection.closed_at - connection.connected_at;
      if (age < min_age) report("new connection closed", "", "at an age of " + format_seconds(age));
    }
  }

  const Script& script_;
  const Observations& observations_;
  AttemptsById attempts_;
  std::vector<Violation> violations_;
};

const char* description(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kResponse:
      return "response";
    case RequestOutcome::kClosedWithoutResponse:
      return "connection closed";
    case RequestOutcome::kReset:
      return "connection reset";
    case RequestOutcome::kTruncated:
      return "response truncated";
    case RequestOutcome::kUnprocessed:
      return "not processed, since the preceding response ended the connection";
    case RequestOutcome::kClientDeparted:
      return "client closed the connection";
    case RequestOutcome::kTimedOut:
      return "client gave up without a response";
  }
  return "";
}

}  // namespace

std::vector<Violation> check_rules(const Script& script, const Observations& observations) {
  return RuleCheck(script, observations).run();
}

std::string request_history(const std::string& request_id, const Observations& observations,
                            Seconds started_at) {
  std::multimap<Seconds, std::string> events;
  const auto add = [&](Seconds time, const std::string& text) {
    events.emplace(time, format_seconds(time - started_at) + "  " + text + "\n");
  };
  for (const RequestRecord& request : observations.requests) {
    if (request.id != request_id) continue;
    add(request.connected_at, std::string("client connected") +
                                  (request.is_on_new_connection ? ", first request on the connection" : ""));
    if (request.sent_at > 0) {
      add(request.sent_at,
          "request sent, class " + request.request_class + ", timeout " + format_seconds(request.timeout));
    }
    if (request.ended_at > 0) {
      add(request.ended_at, description(request.outcome) +
                                (request.status > 0 ? " " + std::to_string(request.status) : std::string()));
    }
  }
  for (const AttemptRecord& attempt : observations.attempts) {
    if (attempt.request_id != request_id) continue;
    add(attempt.began_at, "first byte at endpoint " + attempt.endpoint);
    add(attempt.head_at, "request head at endpoint " + attempt.endpoint + ", timeout " +
                             std::to_string(attempt.timeout_ms) + " ms" +
                             (attempt.is_complete ? "" : ", request not complete") +
                             (attempt.is_rejected ? ", rejected" : ""));
  }
  std::string text;
  for (const auto& [time, line] : events) text += "    " + line;
  return text;
}

std::size_t count_requests_not_read_at_close(const Observations& observations) {
  return static_cast<std::size_t>(
      std::ranges::count_if(observations.requests, [](const RequestRecord& request) {
        return request.outcome == RequestOutcome::kReset && !request.is_on_new_connection;
      }));
}

}  // namespace asterdrift::soak
