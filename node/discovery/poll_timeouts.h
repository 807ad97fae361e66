// Timeouts of a poll of discovery, and the delay between two polls.
//
// The node must apply a change at most kNotifiedAfter seconds after discovery has the change and can be
// reached, and must stop sending requests to a draining server 0.3 s later. Therefore the current poll and
// one more poll, if both hang, have to end within that time, including the delays after them. The table shows
// the longest times in seconds for lists that are polled. For lists that are pushed by a local agent,
// kAgentResponseTimeout replaces kConnectTimeout, kResponseTimeout and kConnectAndResponseTimeout, and
// kMaxAgentPollDelay replaces kMaxPollDelay.
//
//   current phase               ends by    next poll   which hangs   following poll
//                                          starts by   until         starts by
//   a silent watch              2.7        3.0         5.7           6.0
//   a hanging connect           1.5        1.8         4.5           4.8
//   a hanging response          2.5        2.8         5.5           5.8
//   a truncated, silent list    2.7        3.0         5.7           6.0
//   refused, 503, truncated     at once    0.3         3.0           3.3
//   a delay                     0.3        0.3         3.0           3.3
//
// After a silent watch, polls that are refused, rejected with 503 or truncated at once follow at 3.0, 3.3
// .. 6.0 at the latest. After a change of discovery's address (SIGHUP) the limit is
// kNotifiedAfterAddressChange: a poll that hangs at the new address ends by 2.7, and the next poll follows by
// 3.0. If discovery queues a poll, for 2 s at most, the poll's time counts from the end of the queue, and its
// watch has kFirstLineTimeout from there on. The transfer time of a long list is not included.
#pragma once

#include <algorithm>

#include "asterdrift/seconds.h"

namespace asterdrift::node::discovery::poll_timeouts {

constexpr Seconds kNotifiedAfter = 6, kNotifiedAfterAddressChange = 4;
constexpr Seconds kConnectTimeout = 1.5;
// Limits the time from the connection to the response head. Polls wait up to 2 s in discovery's queue.
constexpr Seconds kResponseTimeout = 2.2;
// Limits the time from the start of the poll to the response head.
constexpr Seconds kConnectAndResponseTimeout = 2.5;
// From the start of a poll of the local agent to the response head.
constexpr Seconds kAgentResponseTimeout = 1.0;
constexpr Seconds kSilenceTimeout = 2.7;    // discovery sends an empty line on a watch every 2 s
constexpr Seconds kFirstLineTimeout = 2.2;  // limits the time from a late response head to the first line
constexpr Seconds kMaxPollDelay = 0.3;      // between two polls of one address
// When an agent pushes the lists, a change counts as notified as soon as the agent is back, and polling the
// agent is cheap: this delay stays far below the time within which requests to a draining server must stop.
constexpr Seconds kMaxAgentPollDelay = 0.1;

constexpr Seconds max_poll_delay(bool lists_are_pushed) {
  return lists_are_pushed ? kMaxAgentPollDelay : kMaxPollDelay;
}

// The time by which a poll must be connected.
constexpr Seconds connect_deadline(bool lists_are_pushed, Seconds started_at) {
  return started_at + (lists_are_pushed ? kAgentResponseTimeout : kConnectTimeout);
}

// The time by which a poll must have received the head of its response.
constexpr Seconds response_deadline(bool lists_are_pushed, Seconds started_at, Seconds connected_at) {
  return lists_are_pushed
             ? started_at + kAgentResponseTimeout
             : std::min(connected_at + kResponseTimeout, started_at + kConnectAndResponseTimeout);
}

// The time by which a poll must have received its first complete line or list. A poll that discovery queued
// still has the time between two empty lines.
constexpr Seconds first_line_deadline(Seconds started_at, Seconds response_head_at) {
  return std::max(started_at + kSilenceTimeout, response_head_at + kFirstLineTimeout);
}

}  // namespace asterdrift::node::discovery::poll_timeouts
