// How long a call to discovery may take, and when the next one follows.
//
// A change counts as notified 6 s after discovery had it and could be reached, whatever else is allowed after
// a failed, refused or timed-out call, and requests to a draining server must stop 0.3 s after that. So from
// any moment on, whatever hangs then and one more call that hangs have to be over, with both waits, before 6
// s. In seconds, each timeout and wait at its longest, where lists are polled; where they are pushed, kAgent
// stands in for kConnect, kResponse and kHead, and kAgentWait for the wait:
//
//   the client is in            it ends    next call   which hangs   and the one after
//   a silent watch              2.7        3.0         5.7           6.0
//   a hanging connect           1.5        1.8         4.5           4.8
//   a hanging response          2.5        2.8         5.5           5.8
//   a truncated, silent list    2.7        3.0         5.7           6.0
//   refused, 503, truncated     at once    0.3         3.0           3.3
//   a wait                      0.3        0.3         3.0           3.3
//
// After a silent watch, calls that are refused, answered 503 or truncated at once follow at 3.0, 3.3 .. 6.0
// at the latest. After a move (SIGHUP) a change counts 4 s later: a call that hangs at the new address ends
// by 2.7, the next follows by 3.0. A call that discovery keeps in its queue, 2 s at most, counts from the end
// of that wait; its watch gets kFirstLine from there on. Not included: the time that the bytes of a long list
// take.
#pragma once

#include <algorithm>

namespace asterdrift::node::discovery::poll_timeouts {

constexpr double kNotifiedAfter = 6, kNotifiedAfterMove = 4;  // s
constexpr double kConnect = 1.5;                              // s
constexpr double kResponse = 2.2;   // s from the connection; calls wait 2 s in discovery's queue
constexpr double kHead = 2.5;       // s from the call's begin, for both
constexpr double kAgent = 1.0;      // s; the same, where the local agent answers at once
constexpr double kSilence = 2.7;    // s; a watch's empty lines come every 2 s
constexpr double kFirstLine = 2.2;  // s from a response that came late to its first line
constexpr double kWait = 0.3;       // s; the longest wait between two calls to one address
// Where lists are pushed, what the agent gets at its return counts as notified at once, and calling it costs
// nothing: the wait stays well under the time in which requests to a draining server must stop.
constexpr double kAgentWait = 0.1;  // s

constexpr double wait(bool is_pushed) { return is_pushed ? kAgentWait : kWait; }

// By when a call that began at `began` must have a connection.
constexpr double connected_by(bool is_pushed, double began) {
  return began + (is_pushed ? kAgent : kConnect);
}

// And the head of its response.
constexpr double answered_by(bool is_pushed, double began, double connected) {
  return is_pushed ? began + kAgent : std::min(connected + kResponse, began + kHead);
}

// And its first complete line or list. A call that waited in the queue still gets the time in which an empty
// line comes.
constexpr double first_line_by(double began, double answered) {
  return std::max(began + kSilence, answered + kFirstLine);
}

}  // namespace asterdrift::node::discovery::poll_timeouts
