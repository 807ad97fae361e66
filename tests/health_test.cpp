// Health, time-outs and further attempts.
#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "harness.h"

namespace asterdrift::balancer {
namespace {

// An allowance that no test here reaches: admission stays out of the way.
Settings roomy_settings() {
  Settings s = basic_settings();
  s.tenants = {{1000.0}};
  return s;
}

// Plays calls of which those to `sick` end with `outcome`; counts the first sends to each server.
std::map<std::string, int> play(Copy& copy, const std::string& sick, Outcome outcome, double from,
                                double seconds, double rate, const std::string& prefix) {
  std::map<std::string, int> firsts;
  for (int i = 0; i < static_cast<int>(seconds * rate); ++i) {
    copy.now = from + i / rate;
    const std::string id = prefix + std::to_string(i);
    auto sends = all<SendAttempt>(copy.request(id));
    if (!sends.empty()) ++firsts[sends[0].endpoint];
    for (int attempt = 0; !sends.empty(); ++attempt) {
      sends =
          all<SendAttempt>(copy.end(id, sends[0].endpoint == sick ? outcome : Outcome::kSuccess, attempt));
    }
  }
  return firsts;
}

// Danger: a server that fails at once has nothing in flight and looks the least busy of all.
TEST(Health, AFastFailingServerIsShunnedAndComesBack) {
  Copy copy(roomy_settings());
  copy.at(0, members(6));
  const auto ill = play(copy, "s2", Outcome::kServerError, 0, 10, 50, "a");
  EXPECT_LT(ill.at("s2"), 25);
  const auto back = play(copy, "", Outcome::kSuccess, 10, 30, 50, "b");
  EXPECT_GT(back.at("s2"), 100);
}

// Danger: a server that crowding has slowed keeps its share, and stays crowded.
TEST(Health, ASlowServerGetsFewerCalls) {
  Copy copy(roomy_settings());
  copy.at(0, members(4));
  std::map<std::string, int> used;
  for (int i = 0; i < 400; ++i) {
    copy.now = i * 0.5;
    const std::string id = std::to_string(i);
    const auto sends = all<SendAttempt>(copy.request(id));
    if (sends.empty()) continue;
    ++used[sends[0].endpoint];
    copy.end(id, Outcome::kSuccess, 0, sends[0].endpoint == "s1" ? 0.4 : 0.1);
  }
  EXPECT_GT(used["s0"], 80);
  EXPECT_LT(used["s1"], 50);
  EXPECT_GT(used["s1"], 3) << "it must be tried now and then, or it never comes back";
}

// Danger: a silent server was judged only when its calls ended, for unsafe classes at the end of their time.
TEST(Health, ASilentServerIsSparedBeforeItsCallsEnd) {
  Copy copy(basic_settings(class_of(Idempotency::kNotIdempotent)));
  copy.at(0, members(4));
  int silent = 0;
  for (int i = 0; i < 160; ++i) {
    copy.now = i * 0.25;
    const std::string id = std::to_string(i);
    const auto sends = all<SendAttempt>(copy.request(id));
    if (sends.empty()) continue;
    if (sends[0].endpoint != "s1") {
      copy.end(id, Outcome::kSuccess, 0, 0.1);
    } else if (i >= 80) {
      ++silent;
    } else {
      copy.end(id, Outcome::kSuccess, 0, 0.1);
    }
  }
  EXPECT_LE(silent, 4);
}

// Danger: judging each server alone would leave nobody to send to when the cause is shared.
TEST(Health, WhenAllFailTheFleetIsNotEmptied) {
  Copy copy(roomy_settings());
  copy.at(0, members(4));
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    copy.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sends = all<SendAttempt>(copy.request(id));
    sent += static_cast<int>(sends.size());
    for (int attempt = 0; !sends.empty(); ++attempt)
      sends = all<SendAttempt>(copy.end(id, Outcome::kServerError, attempt));
  }
  EXPECT_EQ(sent, 200);
}

TEST(Health, ItsViewNamesWhatItAvoids) {
  Copy copy(basic_settings());
  EndpointUpdate list = members(5);
  list.endpoints[4].state = EndpointState::kDraining;
  copy.at(0, list);
  EXPECT_EQ(copy.balancer.endpoints(0).listed, 5U);
  EXPECT_EQ(copy.balancer.endpoints(0).unavailable, 1U) << "the one that drains";
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    copy.now += 0.02;
    const std::vector<SendAttempt> sent = all<SendAttempt>(copy.request(id));
    ASSERT_FALSE(sent.empty());
    const std::vector<SendAttempt> again =
        all<SendAttempt>(copy.end(id, sent[0].endpoint == "s2" ? Outcome::kServerError : Outcome::kSuccess));
    if (!again.empty()) copy.end(id, Outcome::kSuccess, 1);
  }
  EXPECT_EQ(copy.balancer.endpoints(copy.now).unavailable, 2U) << "and the one that fails";
  EXPECT_EQ(copy.balancer.endpoints(copy.now + 60).unavailable, 1U) << "which is tried again some day";
  EndpointUpdate gone;
  gone.form = EndpointUpdate::Form::kIncremental;
  gone.endpoints = {server(4)};
  gone.endpoints[0].state = EndpointState::kRemoved;
  copy.at(copy.now, gone);
  EXPECT_EQ(copy.balancer.endpoints(copy.now).listed, 4U);
}

TEST(Health, FurtherAttemptsHaveABudget) {
  Copy copy(basic_settings());
  copy.at(0, members(4));
  int firsts = 0;
  int others = 0;
  for (int i = 0; i < 300; ++i) {
    copy.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sends = all<SendAttempt>(copy.request(id));
    firsts += static_cast<int>(sends.size());
    for (int attempt = 0; !sends.empty(); ++attempt) {
      sends = all<SendAttempt>(copy.end(id, Outcome::kServerError, attempt));
      others += static_cast<int>(sends.size());
    }
  }
  EXPECT_GT(others, 0);
  EXPECT_LT(others, firsts / 4 + 10);
}

TEST(Health, AFurtherAttemptGoesElsewhere) {
  Copy copy(basic_settings());
  copy.at(0, members(3));
  const auto first = all<SendAttempt>(copy.request("r"));
  const auto second = all<SendAttempt>(copy.end("r", Outcome::kConnectionReset));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(first[0].endpoint, second[0].endpoint);
}

// Danger: calls to a server that has stopped answering wait for nothing, and behind each other.
TEST(Room, CallsInFlightAreBoundByWhatAServerAnswers) {
  Copy copy(roomy_settings());
  copy.at(0, members(3));
  int sent = 0;
  int refused = 0;
  for (int i = 0; i < 300; ++i) {
    copy.now = i * 0.01;
    const auto actions = copy.request(std::to_string(i));
    sent += static_cast<int>(all<SendAttempt>(actions).size());
    refused += static_cast<int>(all<RejectRequest>(actions).size());
  }
  EXPECT_EQ(sent + refused, 300);
  EXPECT_GT(sent, 3);
  EXPECT_LT(sent, 40);
}

// Danger: what each of many copies takes for a small start is a crowd when all of them start together.
// A call whose body is still coming, and the server it went to; empty where it was refused.
std::string arriving(Copy& copy, const std::string& id) {
  Request r;
  r.id = id;
  r.time_left = 6;
  r.body_arriving = true;
  const std::vector<SendAttempt> sent = all<SendAttempt>(copy.at(copy.now, r));
  return sent.empty() ? "" : sent[0].endpoint;
}

TEST(Room, WhatIsStillArrivingIsNoWorkYet) {
  Copy copy(basic_settings());
  copy.at(0, members(4));
  int sent = 0;
  for (int i = 0; i < 500; ++i) sent += arriving(copy, std::to_string(i)).empty() ? 0 : 1;
  EXPECT_EQ(sent, 500) << "slow clients shut nobody out";
  for (int i = 0; i < 500; ++i) copy.at(1, RequestBodySent{std::to_string(i), 0});
  EXPECT_TRUE(all<SendAttempt>(copy.request("next")).empty()) << "from there on the servers have them";
  for (int i = 0; i < 500; ++i) copy.end(std::to_string(i), Outcome::kCancelled);
  EXPECT_FALSE(all<SendAttempt>(copy.request("after")).empty());
}

TEST(Room, ASlotThatHasGoneToAnotherServerIsNotCharged) {
  Copy copy(basic_settings());
  copy.at(0, members(1));
  ASSERT_EQ(arriving(copy, "a"), "s0");
  EndpointUpdate next;
  next.endpoints = {server(1)};
  copy.at(0, next);
  copy.at(1, RequestBodySent{"a", 0});
  copy.end("a", Outcome::kServerError);
  for (int i = 0; i < 3; ++i) EXPECT_FALSE(all<SendAttempt>(copy.request("b" + std::to_string(i))).empty());
}

TEST(Room, ALargeAnswerCountsFromItsFirstByte) {
  Copy copy(basic_settings());
  copy.at(0, members(4));
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    copy.now += 0.05;
    ASSERT_FALSE(all<SendAttempt>(copy.request(id)).empty()) << i;
    copy.at(copy.now, ResponseStarted{id, 0, 0.1});
    if (i >= 100) copy.end(std::to_string(i - 100), Outcome::kSuccess, 0, 5);  // it took long to pass
  }
  EXPECT_EQ(copy.balancer.endpoints(copy.now).unavailable, 0U);
}

TEST(Timeouts, WhatHasGoneOutAndIsNotKeptIsNotSentAgain) {
  for (const bool gone : {false, true}) {
    Copy copy(basic_settings());
    copy.at(0, members(4));
    copy.request("a");
    if (gone) copy.at(0, RequestBodyConsumed{"a"});
    const std::vector<Action> actions = copy.end("a", Outcome::kConnectFailed);
    EXPECT_EQ(all<SendAttempt>(actions).empty(), gone);
    EXPECT_EQ(all<RejectRequest>(actions).size(), gone ? 1U : 0U) << "no server has begun it";
  }
}

TEST(Room, TheStartIsSharedOutOverTheCopies) {
  std::map<std::string, int> held;
  for (int index = 0; index < 8; ++index) {
    Settings s = roomy_settings();
    s.replica_index = index;
    s.replica_count = 8;
    Copy copy(s, static_cast<std::uint64_t>(index) + 1);
    copy.at(0, members(10));
    for (int i = 0; i < 100; ++i) {
      for (const SendAttempt& send : all<SendAttempt>(copy.request(std::to_string(i)))) ++held[send.endpoint];
    }
  }
  EXPECT_EQ(held.size(), 10U);
  for (const auto& [address, calls] : held) EXPECT_LE(calls, 16) << address;
}

// Danger: a refusal past the first tier throws away the work that was done above it.
TEST(Room, PastTheFirstTierNothingIsRefusedForIt) {
  Settings s = roomy_settings();
  s.tier = 1;
  Copy copy(s);
  copy.at(0, members(3));
  for (int i = 0; i < 300; ++i) EXPECT_EQ(all<SendAttempt>(copy.request(std::to_string(i))).size(), 1U);
}

// A copy of many, with its part of the fleet's calls. They come at uneven times, answered late or never.
struct FleetDay {
  int sent = 0;
  int refused = 0;
};

FleetDay fleet_day(int copies, int servers, double rate, double answer_time, double seconds) {
  Settings s = basic_settings();
  s.replica_count = copies;
  s.tenants = {{rate * copies}};
  Copy copy(s);
  copy.at(0, members(servers));
  FleetDay day;
  struct End {
    std::string id;
    int attempt;
    double took;
    Outcome outcome;
  };
  std::multimap<double, End> due;
  std::uint64_t draw = 7;
  const auto sends = [&](const std::vector<Action>& actions, int number, int attempt) {
    for (const SendAttempt& send : all<SendAttempt>(actions)) {
      const double took = answer_time * (number % 4 == 0 ? 2.5 : 0.5);  // one in four is a long one
      const bool late = took >= send.timeout;
      const double ends = std::min(took, send.timeout);
      due.emplace(copy.now + ends,
                  End{send.id, attempt, ends, late ? Outcome::kTimedOut : Outcome::kSuccess});
    }
    return static_cast<int>(all<SendAttempt>(actions).size());
  };
  double now = 0;
  for (int i = 0; now < seconds; ++i) {
    draw = draw * 6364136223846793005ULL + 1442695040888963407ULL;
    now += -std::log((static_cast<double>(draw >> 11) + 1) * 0x1.0p-53) / rate;
    while (!due.empty() && due.begin()->first <= now) {
      copy.now = due.begin()->first;
      const End end = due.begin()->second;
      due.erase(due.begin());
      sends(copy.end(end.id, end.outcome, end.attempt, end.took), std::stoi(end.id), end.attempt + 1);
    }
    copy.now = now;
    const auto actions = copy.request(std::to_string(i));
    day.refused += static_cast<int>(all<RejectRequest>(actions).size());
    day.sent += sends(actions, i, 0);
  }
  return day;
}

// Danger: a sparse copy took two calls out at once for a queue and refused a tenth of a calm day.
TEST(Room, ASparseCopyDoesNotRefuseForChance) {
  const FleetDay calm = fleet_day(400, 60, 2.5, 0.3, 60);
  EXPECT_GT(calm.sent, 120);
  EXPECT_LE(calm.refused, calm.sent / 50);
}

// Danger: with bounds of a call or so, none of many sparse copies ever holds back and a jam never runs off.
TEST(Room, ASparseCopyHoldsBackWhenAnswersTakeTooLong) {
  const FleetDay jammed = fleet_day(400, 60, 2.5, 5, 60);
  EXPECT_GT(jammed.refused, 2 * jammed.sent);
}

// Danger: a server's room is less than one call at each of many copies. Counted in whole calls it shut most
// servers to most copies, and a copy with a few calls out refused the next before servers that stood idle.
TEST(Room, ManyCopiesDoNotShutServersToEachOther) {
  const FleetDay calm = fleet_day(48, 16, 12, 0.3, 60);
  EXPECT_GT(calm.sent, 500);
  EXPECT_LE(calm.refused, calm.sent / 30);
}

// Danger: with few calls a copy learns its tier's usual answer time late, and what was assumed instead had
// each of many copies refuse calls from the first second on where an idle tier is slower.
TEST(Room, BeforeTheUsualAnswerTimeIsLearnedACalmStartIsServed) {
  for (const double rate : {6.0, 10.0}) {
    const FleetDay start = fleet_day(48, 16, rate, 0.7, 4);
    EXPECT_GT(start.sent, 20) << rate;
    EXPECT_LE(start.refused, 3) << rate;
  }
}

// And the room of all servers together is a limit all the same.
TEST(Room, ManyCopiesHoldBackWhenAnswersTakeTooLong) {
  const FleetDay jammed = fleet_day(48, 16, 12, 5, 60);
  EXPECT_GT(jammed.refused, jammed.sent);
}

TEST(Timeouts, FollowTheObservedLatency) {
  Copy copy(basic_settings());
  copy.at(0, members(4));
  const double before = all<SendAttempt>(copy.request("first"))[0].timeout;
  for (int i = 0; i < 100; ++i) {
    copy.now = i * 0.1;
    copy.request(std::to_string(i));
    copy.end(std::to_string(i), Outcome::kSuccess, 0, 0.05);
  }
  const double after = all<SendAttempt>(copy.request("last"))[0].timeout;
  EXPECT_LT(after, before / 2);
  EXPECT_GT(after, 0.05);
}

}  // namespace
}  // namespace asterdrift::balancer
