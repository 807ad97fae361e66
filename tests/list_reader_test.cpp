// Reading lists as they come, what asking for them may cost, and how long it may take: pure code of the node.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "harness.h"
#include "node/config/endpoint_list_reader.h"
#include "node/config/node_config.h"
#include "node/discovery/poll_budget.h"
#include "node/discovery/poll_timeouts.h"

namespace asterdrift::node {

using namespace config;
using namespace discovery;

namespace {

using asterdrift::balancer::EndpointState;
using Event = EndpointListReader::Event;

const std::vector<std::string> kZones = {"a", "b"};

std::string entry(int n, const std::string& health = "active") {
  return R"({"host":"s)" + std::to_string(n) + R"(","dial":"10.0.0.1:3000","site":"b","health":")" + health +
         "\"}";
}

std::string entries(int count) {
  std::string out = entry(0);
  for (int i = 1; i < count; ++i) out += "," + entry(i);
  return out;
}

// The lists in a text that comes in pieces.
std::vector<EndpointList> read(std::string_view text, std::size_t piece, std::size_t most = 1000) {
  EndpointListReader reader(kZones, most);
  std::vector<EndpointList> out;
  while (!text.empty()) {
    std::string_view rest = text.substr(0, piece);
    text.remove_prefix(rest.size());
    while (!rest.empty()) {
      const auto [event, used] = reader.feed(rest);
      if (event == Event::kList) out.push_back(reader.take_list());
      rest.remove_prefix(used);
    }
  }
  return out;
}

TEST(EndpointListReader, TakesFieldsInAnyOrderAndListsCutAnywhere) {
  const std::string unknown = R"("more":{"hosts":[{"host":"}]\\"},7],"seq":"]"},)";
  const std::string odd = R"({"note":[{"a":"]}"}],"health":"leaving","dial":"10.0.0.2:1","host":"s}]\""})";
  const std::string seq = R"("seq":18446744073709551615)",
                    hosts = R"("hosts":[)" + odd + "," + entry(1) + "]";
  for (const std::string& list :
       {"{" + seq + R"(,"whole":true,)" + unknown + hosts + "}",
        "{" + hosts + "," + unknown + R"("whole" : true, )" + seq + "}",
        "{" + unknown + R"("ho\u0073ts" :)" + hosts.substr(8) + R"(,"hosts":[7],"whole":true,)" + seq + " }",
        "{\r\n  " + hosts.substr(0, 9) + "\n\t" + odd + "\n  ,\n  " + entry(1) +
            "\n ]\n,\n\"whole\"\n:\ntrue," + seq + "}"}) {
    const std::string text = "\n" + list + "\n\n" + list + list;
    for (const std::size_t piece : {std::size_t{1}, std::size_t{2}, std::size_t{7}, text.size()}) {
      const auto lists = read(text, piece);
      ASSERT_EQ(lists.size(), 3U) << list;
      for (const EndpointList& l : lists) {
        EXPECT_EQ(l.version, 18446744073709551615U);
        EXPECT_TRUE(l.is_snapshot);
        ASSERT_EQ(l.endpoints.size(), 2U) << list;
        EXPECT_EQ(l.endpoints[0].endpoint.address, "s}]\"");
        EXPECT_EQ(l.endpoints[0].endpoint.state, EndpointState::kDraining);
        EXPECT_EQ(l.endpoints[1].endpoint.address, "s1");
        EXPECT_EQ(l.endpoints[1].endpoint.zone, 1);
      }
    }
    EXPECT_EQ(read_endpoint_list(list + "\n", kZones).endpoints.size(), 2U);
    EXPECT_THROW(read_endpoint_list(list + list, kZones), std::exception);
    EXPECT_THROW(read_endpoint_list(list.substr(0, list.size() - 1), kZones), std::exception);
  }
}

// None of these is a list, wherever it is spoilt, nor is any beginning of a good one.
TEST(EndpointListReader, RefusesWhatIsNoList) {
  const std::string one = entry(1);
  const std::vector<std::string> spoilt = {
      std::string("seq"),
      std::string("[]"),
      std::string("{]"),
      std::string("{}"),
      std::string(R"({"seq":8,"ho)") + "\n",
      std::string(R"({"seq":8})"),
      std::string(R"({"seq":8,"hosts":null})"),
      std::string(R"({"seq":8,"hosts":{}})"),
      std::string(R"({"hosts":[]})"),
      std::string(R"({"seq":-1,"hosts":[]})"),
      std::string(R"({"seq":1 2,"hosts":[]})"),
      std::string(R"({"seq":8,"whole":1,"hosts":[]})"),
      std::string(R"({"seq":8,"hosts":5[]})"),
      std::string(R"({"seq":8,"hosts":[][]})"),
      std::string(R"({"seq":8 "hosts":[]})"),
      std::string(R"({"seq":8,"hosts":[],})"),
      R"({"seq":8,"hosts":[)" + one + ",]}",
      R"({"seq":8,"hosts":[,)" + one + "]}",
      R"({"seq":8,"hosts":[)" + one + one + "]}",
      R"({"seq":8,"hosts":[)" + one + ",," + one + "]}",
      R"({"seq":8,"hosts":[)" + one + ",7]}",
      R"({"seq":8,"hosts":[)" + one + ",null]}",
      R"({"seq":8,"hosts":[)" + one + ",[]]}",
      R"({"seq":8,"hosts":[)" + one + ",\"x\"]}",
      R"({"seq":8,"hosts":[)" + one + "}",
      R"({"seq":8,"hosts":[)" + one + R"(,{"host":7}]})",
      R"({"seq":8,"hosts":[)" + entry(1, "odd") + "]}",
      R"({"seq":8,"hosts":[{"host" "s1"}]})",
  };
  for (const std::string& text : spoilt) {
    for (const std::size_t piece : {std::size_t{1}, text.size()}) {
      EXPECT_THROW(read(text, piece), std::exception) << text;
    }
    EXPECT_THROW(read_endpoint_list(text, kZones), std::exception) << text;
  }
  const std::string good = R"({"seq":8,"hosts":[)" + one + "]}";
  for (std::size_t cut = 0; cut < good.size(); ++cut) EXPECT_TRUE(read(good.substr(0, cut), 3).empty());
  EXPECT_EQ(read(good, 3).size(), 1U);
}

// However long a list is, it is read; the node's memory alone sets how many servers it may name.
TEST(EndpointListReader, RefusesOnlyWhatTheMemoryCannotHold) {
  const std::string long_list = R"({"hosts":[)" + entries(27000) + R"(],"whole":true,"seq":3})";
  EXPECT_EQ(read(long_list, 4096, 27000).at(0).endpoints.size(), 27000U);
  EXPECT_THROW(read(long_list, 4096, 26999), std::exception);
  EXPECT_GE(most_endpoints(32), 27000U);
  EXPECT_LT(most_endpoints(16), 27000U);
  const std::string spaces(1000000, ' ');
  EXPECT_EQ(read("{" + spaces + R"("seq":3,"hosts":[)" + spaces + entry(1) + spaces + "]}", 4096).size(), 1U);
  const std::string much(1000000, 'x');  // text that is no entry, or one endless entry, is held whole
  EXPECT_THROW(read("{\"" + much + R"(":1,"seq":3,"hosts":[]})", 4096), std::exception);
  EXPECT_THROW(read(R"({"seq":3,"hosts":[{"host":")" + much, 4096), std::exception);
  EXPECT_THROW(read(std::string(1000000, '{'), 4096), std::exception);
}

std::string configuration(const std::string& more) {
  return R"({"name":"known","listen":"127.0.0.1:1","discovery":"127.0.0.1:2",)" + more +
         R"("seed":"1","limits":{"memory_mb":32},"settings":{)"
         R"("position":0,"peersTotal":1,"azs":["a","b"],"bounds":{},)"
         R"("categories":[{"name":"c","aim":1,"giveUp":2,"effect":"safe"}]}})";
}

TEST(Configuration, HasItsKnownListReadByEntries) {
  const auto known = [](const std::string& value) {
    return read_config(configuration("\"known\" : " + value + ",")).known_endpoints;
  };
  const std::string list = R"({"hosts":[)" + entries(20) + R"(],"known":{"seq":1},"seq":41})";
  ASSERT_TRUE(known(list));
  EXPECT_EQ(known(list)->version, 41U);
  EXPECT_EQ(known(list)->endpoints.size(), 20U);
  EXPECT_EQ(known(list)->endpoints[7].endpoint.zone, 1);
  EXPECT_FALSE(known("null"));
  EXPECT_FALSE(read_config(configuration(R"("other":{"known":{"seq":1}},)")).known_endpoints);
  for (const std::string bad : {"7", "[]", "{}", R"({"seq":1,"hosts":[{}]})", R"({"seq":1,"hosts":[],})"}) {
    EXPECT_THROW(known(bad), std::exception) << bad;
  }
}

// The worst that discovery can do, for a day: each call brings a whole list that is of no use.
// What a node gets in a day on which every call brings so many bytes for nothing, and its longest wait.
std::pair<double, double> useless_day(std::size_t bytes, PollBudget::Waste why) {
  constexpr double kDay = 86400;
  PollBudget budget;
  double got = 0, longest = 0, now = 1e6;
  for (const double end = now + kDay; now < end; now += budget.wait(now) + poll_timeouts::kWait / 2) {
    got += static_cast<double>(bytes);
    budget.record_waste(now, bytes, 1, why);
    if (why == PollBudget::Waste::kInvalid) budget.record_invalid_list(now, 1);
    longest = std::max(longest, budget.wait(now));
  }
  return {got / kDay, longest};
}

TEST(PollBudget, HoldsInTheLongRunForWhatCanNotBeTaken) {
  for (const std::size_t bytes : {std::size_t{300}, std::size_t{30000}, std::size_t{4000000}}) {
    const auto [rate, longest] = useless_day(bytes, PollBudget::Waste::kInvalid);
    EXPECT_LE(rate, 29000 + (PollBudget::kBurst + static_cast<double>(bytes)) / 86400) << bytes;
  }
  PollBudget start;
  start.record_waste(100, 4'300'000, 1, PollBudget::Waste::kInvalid);
  EXPECT_EQ(start.wait(100), 0) << "one more whole list may be asked for at once";
}

// Discovery that tells sound lists may tell a drain in the next one: however many bytes calls have cost that
// were cut, or were told a whole list again, a wait and a call that hangs fit into the 6 s.
TEST(PollBudget, NeverCostsTheTimeInWhichAChangeIsHeard) {
  for (const PollBudget::Waste why : {PollBudget::Waste::kTruncated, PollBudget::Waste::kRepeated}) {
    for (const std::size_t bytes : {std::size_t{300}, std::size_t{30000}, std::size_t{4000000}}) {
      const auto [rate, longest] = useless_day(bytes, why);
      EXPECT_LE(longest + poll_timeouts::kSilence, poll_timeouts::kNotifiedAfter) << bytes;
      EXPECT_LE(rate, std::max(29000.0, static_cast<double>(bytes) / PollBudget::kMostBackoff) + 200)
          << bytes;
    }
  }
}

TEST(PollBudget, LetsWhatCanNotBeTakenWaitLongerEachTimeAndCallsThatBringNothingNever) {
  PollBudget budget, jittered;
  double last = 0;
  for (int i = 0; i < 4; ++i) {
    budget.record_invalid_list(100 * i, 1);
    jittered.record_invalid_list(100 * i, 0);
    EXPECT_GT(budget.wait(100 * i), last);
    EXPECT_EQ(jittered.wait(100 * i), budget.wait(100 * i) / 2);
    last = budget.wait(100 * i);
  }
  for (int i = 4; i < 40; ++i) budget.record_invalid_list(100 * i, 1);
  EXPECT_LE(budget.wait(3900) + poll_timeouts::kSilence, poll_timeouts::kNotifiedAfter);
  budget.record_valid_list();
  budget.record_invalid_list(5000, 1);
  EXPECT_EQ(budget.wait(5000), PollBudget::kFirstBackoff);
  PollBudget refused;
  for (int i = 0; i < 100000; ++i) refused.record_waste(i * 0.05, 0, 1, PollBudget::Waste::kTruncated);
  EXPECT_EQ(refused.wait(5000), 0);
}

// The longest time that the module waits, however often calls have failed, on a clock of its own.
double longest_wait(double poll_within) {
  asterdrift::balancer::Settings s = asterdrift::balancer::basic_settings();
  s.requires_watch = true;
  s.poll_within = poll_within;
  double longest = 0, shortest = 1000;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    asterdrift::balancer::Copy copy(s, seed);
    copy.at(0, asterdrift::balancer::Started{});
    asterdrift::balancer::EndpointUpdate failed;
    failed.form = asterdrift::balancer::EndpointUpdate::Form::kWatchFailed;
    for (double now = 0; now < 20;) {
      const auto timers = asterdrift::balancer::all<asterdrift::balancer::SetTimer>(copy.at(now, failed));
      EXPECT_EQ(timers.size(), 1U);
      longest = std::max(longest, timers.at(0).at - now);
      shortest = std::min(shortest, timers.at(0).at - now);
      now = timers.at(0).at;
    }
  }
  EXPECT_GT(longest, shortest * 1.5) << "jitter";
  return longest;
}

// Whatever hangs at a moment from which discovery could be reached, one more call that hangs, and both waits
// are over before a change counts as told. See the table in node/poll_timeouts.h.
TEST(AskLimits, AChangeIsHeardBeforeItCountsAsTold) {
  using namespace poll_timeouts;
  for (const bool pushed : {false, true}) {
    const double waits = pushed ? wait(true) : std::max(wait(false), longest_wait(10));
    std::vector<double> calls = {0};  // how long each kind of call can take: refused, 503 or cut at once
    for (double connected = 0; connected <= connected_by(pushed, 0); connected += 0.1) {
      calls.push_back(connected);
      calls.push_back(answered_by(pushed, 0, connected));
    }
    calls.push_back(first_line_by(0, 0.5));  // an answer soon, then silence or half a list
    calls.push_back(connected_by(pushed, 0));
    calls.push_back(kSilence);
    for (const double hangs : calls) {
      for (const double again : calls) {
        EXPECT_LE(hangs + waits + again + waits, kNotifiedAfter) << hangs << ", then " << again;
      }
      EXPECT_LE(hangs + waits, kNotifiedAfterMove - 0.5) << "after a move";
    }
    EXPECT_GE((kNotifiedAfter - kSilence) / waits, 5) << "calls refused at once, after a silence";
  }
  EXPECT_GE(answered_by(false, 0, 0.1), 2.1) << "calls wait 2 s in discovery's queue";
  EXPECT_GE(first_line_by(0, 2) - 2, 2) << "and then for an empty line";
}

}  // namespace
}  // namespace asterdrift::node
