// Timeouts of a poll of discovery, and the wait between two polls.
//
// The node must know a change kNotifiedAfter seconds after discovery has it and can be reached, and stop
// requests to a draining server 0.3 s later. Therefore the current poll and one more, if both hang, have to
// end within that time, with the waits after them. The table has the longest times in seconds where lists are
// polled; where they are pushed, kAgentResponseTimeout replaces kConnectTimeout, kResponseTimeout and
// kConnectAndResponseTimeout, and kMaxAgentPollDelay replaces kMaxPollDelay:
//
//   current phase               it ends    next poll   which hangs   and the one after
//   a silent watch              2.7        3.0         5.7           6.0
//   a hanging connect           1.5        1.8         4.5           4.8
//   a hanging response          2.5        2.8         5.5           5.8
//   a truncated, silent list    2.7        3.0         5.7           6.0
//   refused, 503, truncated     at once    0.3         3.0           3.3
//   a wait                      0.3        0.3         3.0           3.3
//
// After a silent watch, polls that are refused, rejected with 503 or truncated at once follow at 3.0, 3.3
// .. 6.0 at the latest. After a change of address (SIGHUP) the limit is kNotifiedAfterAddressChange: a poll
// that hangs at the new address ends by 2.7, the next follows by 3.0. The time of a poll that discovery
// queues, for 2 s at most, counts from the end of the queue; its watch has kFirstLineTimeout from there on.
// The transfer time of a long list is not included.
#pragma once

#include <algorithm>

namespace asterdrift::node::discovery::poll_timeouts {

constexpr double kNotifiedAfter = 6, kNotifiedAfterAddressChange = 4;  // s
constexpr double kConnectTimeout = 1.5;                                // s
constexpr double kResponseTimeout = 2.2;  // s from the connection; polls wait 2 s in discovery's queue
constexpr double kConnectAndResponseTimeout = 2.5;  // s from the start of the poll, for both
constexpr double kAgentResponseTimeout = 1.0;       // s; the same, for the local agent
constexpr double kSilenceTimeout = 2.7;             // s; a watch's empty lines come every 2 s
constexpr double kFirstLineTimeout = 2.2;           // s from a late response head to its first line
constexpr double kMaxPollDelay = 0.3;               // s; the longest wait between two polls of one address
// Where lists are pushed, a change counts as notified as soon as the agent is back, and polling the agent is
// cheap: the wait stays far below the time in which requests to a draining server must stop.
constexpr double kMaxAgentPollDelay = 0.1;  // s

constexpr double max_poll_delay(bool is_pushed) { return is_pushed ? kMaxAgentPollDelay : kMaxPollDelay; }

// By when a poll that began at `began` must be connected.
constexpr double connect_deadline(bool is_pushed, double began) {
  return began + (is_pushed ? kAgentResponseTimeout : kConnectTimeout);
}

// By when it must have the head of its response.
constexpr double response_deadline(bool is_pushed, double began, double connected) {
  return is_pushed ? began + kAgentResponseTimeout
                   : std::min(connected + kResponseTimeout, began + kConnectAndResponseTimeout);
}

// By when it must have its first complete line or list. A poll that was queued still has the time between two
// empty lines.
constexpr double first_line_deadline(double began, double answered) {
  return std::max(began + kSilenceTimeout, answered + kFirstLineTimeout);
}

}  // namespace asterdrift::node::discovery::poll_timeouts
