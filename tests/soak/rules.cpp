#include "soak/rules.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace asterdrift::soak {
namespace {

// The operators' slack, in seconds.
constexpr double kLateResponse = 0.5, kLateAttempt = 0.1, kTimePassedOn = 0.15;
constexpr double kDrainGrace = 0.35;
constexpr std::size_t kStreamedBytes = 65536;  // larger responses are streamed, and have no time limit
// s in which a new connection is spared: without other ones to close, and at the connection limit.
constexpr double kSparedTime = 0.25, kSparedTimeAtLimit = 0.05;

using AttemptsById = std::unordered_multimap<std::string, const AttemptRecord*>;

std::string seconds_text(double seconds) {
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
    switch (request.end) {
      case RequestEnd::kClosed:
        return report("lost", request.id, "read, and its connection closed without a response");
      case RequestEnd::kUnanswered:
        return report("lost", request.id, "no response");
      case RequestEnd::kTruncated:
        return report("lost", request.id, "a response broke off");
      case RequestEnd::kReset:
        if (request.is_on_new_connection && !script_.has_crowd) {
          report("lost", request.id, "a new connection was reset");
        }
        return;
      case RequestEnd::kResponse:
        check_response_time(request);
        return;
      case RequestEnd::kLeft:
      case RequestEnd::kUnprocessed:
        return;
    }
  }

  void check_response_time(const RequestRecord& request) {
    const double late = request.ended_at - request.sent_at - request.timeout;
    if (request.response_bytes < kStreamedBytes && late > kLateResponse) {
      report("late response", request.id, seconds_text(late) + " after its time");
    }
  }

  void check_attempts(const RequestRecord& request) {
    const auto [begin, end] = attempts_.equal_range(request.id);
    int runs = 0;
    for (auto it = begin; it != end; ++it) {
      const AttemptRecord& attempt = *it->second;
      if (attempt.is_complete && !attempt.is_rejected) ++runs;
      if (request.end == RequestEnd::kLeft && attempt.began_at > request.ended_at + kLateAttempt) {
        report("attempt for a departed client", request.id,
               seconds_text(attempt.began_at - request.ended_at) + " after its client had closed");
      }
      check_time_passed_on(request, attempt);
    }
    if (request.request_class == "close" && runs > 1) {
      report("run twice", request.id, std::to_string(runs) + " endpoints may have run an unsafe request");
    }
    if (request.end == RequestEnd::kUnprocessed && runs > 0) {
      report("lost", request.id, "it ran, and its connection ended without a response");
    }
  }

  void check_time_passed_on(const RequestRecord& request, const AttemptRecord& attempt) {
    if (request.sent_at == 0) return;
    const double left = request.sent_at + request.timeout - attempt.head_at;
    const double excess = static_cast<double>(attempt.timeout_ms) / 1000 - left;
    if (excess > kTimePassedOn) {
      report("time passed on", request.id, seconds_text(excess) + " more than its client has left");
    }
  }

  // When every process has been notified of a drain.
  std::optional<double> notified_at(const std::string& endpoint) const {
    std::vector<double> times;
    for (const DrainRecord& drain : observations_.drains) {
      if (drain.endpoint == endpoint) times.push_back(drain.notified_at);
    }
    std::ranges::sort(times);
    const std::size_t processes = script_.has_successor ? 2 : 1;
    if (times.empty()) return std::nullopt;
    return times[std::min(processes, times.size()) - 1];
  }

  void check_drains() {
    std::map<std::string, std::optional<double>> notified;
    for (const AttemptRecord& attempt : observations_.attempts) {
      const auto [it, is_new] = notified.try_emplace(attempt.endpoint);
      if (is_new) it->second = notified_at(attempt.endpoint);
      if (it->second && attempt.began_at > *it->second + kDrainGrace) {
        report("sent to a draining endpoint", attempt.request_id,
               seconds_text(attempt.began_at - *it->second) + " after the news of " + attempt.endpoint);
      }
    }
  }

  void check_unused_connections() {
    const double spared = script_.has_crowd ? kSparedTimeAtLimit : kSparedTime;
    for (const UnusedConnectionRecord& connection : observations_.unused_connections) {
      const double age = connection.closed_at - connection.connected_at;
      if (age < spared) report("new connection closed", "", "at an age of " + seconds_text(age));
    }
  }

  const Script& script_;
  const Observations& observations_;
  AttemptsById attempts_;
  std::vector<Violation> violations_;
};

const char* name_of(RequestEnd end) {
  switch (end) {
    case RequestEnd::kResponse:
      return "response";
    case RequestEnd::kClosed:
      return "connection closed";
    case RequestEnd::kReset:
      return "connection reset";
    case RequestEnd::kTruncated:
      return "response truncated";
    case RequestEnd::kUnprocessed:
      return "not processed: the response before it ended the connection";
    case RequestEnd::kLeft:
      return "client closed";
    case RequestEnd::kUnanswered:
      return "given up without a response";
  }
  return "";
}

}  // namespace

std::vector<Violation> check_rules(const Script& script, const Observations& observations) {
  return RuleCheck(script, observations).run();
}

std::string history_of(const std::string& request_id, const Observations& observations, double started_at) {
  std::multimap<double, std::string> events;
  const auto add = [&](double time, const std::string& text) {
    events.emplace(time, seconds_text(time - started_at) + "  " + text + "\n");
  };
  for (const RequestRecord& request : observations.requests) {
    if (request.id != request_id) continue;
    add(request.connected_at, std::string("client connected") +
                                  (request.is_on_new_connection ? ", this is its first request" : ""));
    if (request.sent_at > 0) {
      add(request.sent_at,
          "sent, class " + request.request_class + ", timeout " + seconds_text(request.timeout));
    }
    if (request.ended_at > 0) {
      add(request.ended_at,
          name_of(request.end) + (request.status > 0 ? " " + std::to_string(request.status) : std::string()));
    }
  }
  for (const AttemptRecord& attempt : observations.attempts) {
    if (attempt.request_id != request_id) continue;
    add(attempt.began_at, "first byte at endpoint " + attempt.endpoint);
    add(attempt.head_at,
        "head at endpoint " + attempt.endpoint + ", timeout " + std::to_string(attempt.timeout_ms) + " ms" +
            (attempt.is_complete ? "" : ", never complete") + (attempt.is_rejected ? ", rejected" : ""));
  }
  std::string text;
  for (const auto& [time, line] : events) text += "    " + line;
  return text;
}

std::size_t count_crossings(const Observations& observations) {
  return static_cast<std::size_t>(
      std::ranges::count_if(observations.requests, [](const RequestRecord& request) {
        return request.end == RequestEnd::kReset && !request.is_on_new_connection;
      }));
}

}  // namespace asterdrift::soak
