// How long a call to discovery may take, and when the next one comes.
//
// "A change counts as told 6 s after discovery had it and could be reached, whatever else is allowed after a
// failed, refused or given-up call", and sends to a server that drains must stop 0.3 s after that. So from
// any moment on, whatever hangs then and one more call that hangs have to be over, with both waits, before 6
// s. Reckoned in s, each limit and wait at its longest, where lists are asked for; where they are pushed,
// kAgent stands in for kConnect, kAnswer and kHead, and kAgentWait for the wait:
//
//   what the node is in       it ends    next call   which hangs   and the one after
//   a silent watch            2.7        3.0         5.7           6.0
//   a hanging connect         1.5        1.8         4.5           4.8
//   a hanging answer          2.5        2.8         5.5           5.8
//   a list cut, then silent   2.7        3.0         5.7           6.0
//   refused, 503, list cut    at once    0.3         3.0           3.3
//   a wait                    0.3        0.3         3.0           3.3
//
// After a silent watch, calls that are refused, answered 503 or cut at once come at 3.0, 3.3 .. 6.0 at the
// latest. After a move (SIGHUP) a change counts 4 s later: a call that hangs at the new address ends by 2.7,
// the next comes by 3.0. A call that discovery keeps in its queue, 2 s at most, counts from the end of that
// wait; its watch gets kFirstNews from there on. Not reckoned: the time that the bytes of a long list take.
#pragma once

#include <algorithm>

namespace asterdrift::node::ask_limits {

constexpr double kToldAfter = 6, kToldAfterMove = 4;  // s
constexpr double kConnect = 1.5;                      // s
constexpr double kAnswer = 2.2;                       // s from the connection; calls wait 2 s in its queue
constexpr double kHead = 2.5;                         // s from the call's begin, for both
constexpr double kAgent = 1.0;                        // s; the same, where it answers at once
constexpr double kSilence = 2.7;                      // s; its empty lines come every 2 s
constexpr double kFirstNews = 2.2;                    // s from an answer that came late to its first line
constexpr double kWait = 0.3;                         // s; the longest wait between two calls at one address
// Where lists are pushed, what the agent gets at its return counts as told at once, and it is asked at no
// cost: the wait stays well under the time in which sends to a server that drains must stop.
constexpr double kAgentWait = 0.1;  // s

constexpr double wait(bool pushed) { return pushed ? kAgentWait : kWait; }

// By when a call that began at `began` must have a connection.
constexpr double connected_by(bool pushed, double began) { return began + (pushed ? kAgent : kConnect); }

// And the head of its answer.
constexpr double answered_by(bool pushed, double began, double connected) {
  return pushed ? began + kAgent : std::min(connected + kAnswer, began + kHead);
}

// And its first whole line or list. A call that has waited in the queue still gets the time in which an empty
// line comes.
constexpr double first_news_by(double began, double answered) {
  return std::max(began + kSilence, answered + kFirstNews);
}

}  // namespace asterdrift::node::ask_limits
