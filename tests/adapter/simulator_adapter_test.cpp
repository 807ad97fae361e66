// Runs the simulator adapter as a program: an exchange of batches and replies, invalid lines, and a
// comparison of one process that hosts three replicas with three processes.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace {

struct AdapterResult {
  std::vector<std::string> lines;  // lines of the adapter's standard output
  std::string errors;              // text on the adapter's standard error
  int exit_code = 0;
};

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<std::string> split_lines(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> lines;
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

// Runs the adapter with the given lines as its standard input.
AdapterResult run_adapter(const std::vector<std::string>& lines) {
  const std::string path = testing::TempDir() + "/simulator_adapter_" + std::to_string(getpid());
  {
    std::ofstream input(path + ".in");
    for (const std::string& line : lines) input << line << '\n';
  }
  const std::string command =
      std::string(SIMULATOR_ADAPTER) + " <" + path + ".in >" + path + ".out 2>" + path + ".err";
  AdapterResult result;
  result.exit_code = WEXITSTATUS(std::system(command.c_str()));
  result.lines = split_lines(read_file(path + ".out"));
  result.errors = read_file(path + ".err");
  for (const char* suffix : {".in", ".out", ".err"}) std::remove((path + suffix).c_str());
  return result;
}

std::string make_configuration() {
  return R"({"peersTotal":1,"position":0,"stage":0,"zone":0,"granularity":0.005,"registryMode":"subscribe",)"
         R"("bounds":{"cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,)"
         R"("retryAfter":true,"secondCopies":false},)"
         R"("categories":[{"aim":1.0,"effect":"unsafe","giveUp":2.0,"name":"x","new":1}],)"
         R"("rules":{"askWithin":10.0,"startCapacity":0.2,"rampTime":9.0}})";
}

// A line with the events of some replicas. `nodes` contains one JSON object for each replica.
std::string make_batch(int turn, double clock, const std::string& nodes) {
  return R"({"clock":)" + std::to_string(clock) + R"(,"turn":)" + std::to_string(turn) + R"(,"nodes":[)" +
         nodes + "]}";
}

// The events of one replica: first the replica starts and is notified of two servers, then further events
// follow.
std::string make_startup_events(int replica, const std::string& further_events = "",
                                const std::string& config = make_configuration()) {
  return R"({"who":)" + std::to_string(replica) + R"(,"news":[{"kind":"OPEN_INSTANCE","initSeed":)" +
         std::to_string(replica + 5) + R"(,"config":)" + config + R"(},)" +
         R"({"kind":"TABLE","sheet":3,"nodesList":[{"server":"10.0.0.1:80","mode":"Ready"},)"
         R"({"server":"10.0.0.2:80","mode":"Ready","pack":1,"units":2}]},)"
         R"({"kind":"DIRECTORY_UPDATE","rev":1,"sheet":3,"form":"C"})" +
         further_events + "]}";
}

bool contains(const std::string& line, const std::string& part) {
  return line.find(part) != std::string::npos;
}

TEST(SimulatorAdapter, RepliesToEachBatch) {
  const AdapterResult result = run_adapter({
      make_batch(1, 1, ""),
      make_batch(2, 1.5, make_startup_events(4)),
      make_batch(3, 2,
                 R"({"who":4,"news":[{"kind":"QUERY","txn":"a","profile":0,"timeLeft":2,"later":[1]}]})"),
      make_batch(4, 2.1,
                 R"({"who":4,"news":[{"kind":"DONE","txn":"a","server":"10.0.0.1:80",)"
                 R"("outcome":"app_error","lag":0.1}]})"),
      make_batch(
          5, 2.2,
          R"({"who":4,"news":[{"kind":"GONE","txn":"a"},{"kind":"FIRED","keyBack":77},{"kind":"NEW"}]})"),
  });
  EXPECT_EQ(result.exit_code, 0) << result.errors;
  ASSERT_EQ(result.lines.size(), 5U);
  EXPECT_EQ(result.lines[0], R"({"turn":1,"nodes":[]})");
  EXPECT_EQ(result.lines[1], R"({"turn":2,"nodes":[{"who":4,"steps":[{"kind":"TAIL","want":true}]}]})");
  EXPECT_TRUE(contains(result.lines[2], R"("kind":"CALL_OUT","txn":"a","server":"10.0.0.)"));
  EXPECT_EQ(result.lines[3], R"({"turn":4,"nodes":[{"who":4,"steps":[{"kind":"ERROR","txn":"a"}]}]})");
  EXPECT_EQ(result.lines[4], R"({"turn":5,"nodes":[]})");
}

TEST(SimulatorAdapter, RestartWithinBatchDiscardsEarlierEvents) {
  const std::string request_event = R"(,{"kind":"QUERY","txn":"a","profile":0,"timeLeft":2})";
  std::string events = make_startup_events(1, request_event);
  events.insert(events.find("{\"kind\":\"OPEN"),
                R"({"kind":"QUERY","txn":"old","timeLeft":2},{"kind":"POWER_OFF"},)");
  const AdapterResult result =
      run_adapter({make_batch(1, 1, make_startup_events(1)), make_batch(2, 2, events)});
  EXPECT_EQ(result.exit_code, 0) << result.errors;
  ASSERT_EQ(result.lines.size(), 2U);
  EXPECT_FALSE(contains(result.lines[1], "\"old\"")) << "events before the stop have no effect";
  EXPECT_TRUE(contains(result.lines[1], R"("txn":"a")"));
}

TEST(SimulatorAdapter, UpdateRefersToLatestListWithItsNumber) {
  const AdapterResult result = run_adapter(
      {make_batch(1, 1, make_startup_events(1)),
       make_batch(
           2, 2,
           R"({"who":1,"news":[{"kind":"TABLE","sheet":3,"nodesList":[{"server":"b:1","mode":"Ready"}]},)"
           R"({"kind":"DIRECTORY_UPDATE","sheet":3,"form":"F"},)"
           R"({"kind":"TABLE","sheet":3,"nodesList":[{"server":"c:1","mode":"Ready"}]},)"
           R"({"kind":"DIRECTORY_UPDATE","sheet":3,"form":"F"},{"kind":"QUERY","txn":"a","timeLeft":2}]})")});
  ASSERT_EQ(result.lines.size(), 2U) << result.errors;
  EXPECT_TRUE(contains(result.lines[1], R"("server":"c:1")"));
}

void expect_reported(const std::string& line, const std::string& turn, const std::string& reason) {
  const AdapterResult result = run_adapter({line});
  EXPECT_NE(result.exit_code, 0);
  EXPECT_TRUE(result.lines.empty());
  EXPECT_TRUE(contains(result.errors, "turn " + turn)) << result.errors;
  EXPECT_TRUE(contains(result.errors, reason)) << result.errors;
}

// Expects an error for an event of turn 7 that follows the events that start a replica.
void expect_event_reported(const std::string& event, const std::string& reason) {
  expect_reported(make_batch(7, 1, make_startup_events(1, "," + event)), "7", reason);
}

TEST(SimulatorAdapter, InvalidLineIsReported) {
  expect_reported("{\"turn\":", "unknown", "not valid JSON");
  expect_reported("[1]", "unknown", "not an object");
  expect_reported(R"({"turn":7,"nodes":[]})", "7", "'clock'");
  expect_reported(R"({"turn":7,"clock":1})", "7", "'nodes'");
  expect_reported(make_batch(7, 1, R"({"news":[]})"), "7", "'who'");
  expect_reported(make_batch(7, 1, R"({"who":1,"news":[{"txn":"a"}]})"), "7", "'kind'");
  expect_reported(make_batch(7, 1, R"({"who":1,"news":[{"kind":"OPEN_INSTANCE","initSeed":1}]})"), "7",
                  "'config'");
  expect_event_reported(R"({"kind":"QUERY","timeLeft":1})", "'txn'");
  expect_event_reported(R"({"kind":"QUERY","txn":"a"})", "'timeLeft'");
  expect_event_reported(R"({"kind":"QUERY","txn":"a","timeLeft":1,"account":-1})", "'account'");
  expect_event_reported(R"({"kind":"DONE","txn":"a","try":"x","outcome":"delivered"})", "'try'");
  expect_event_reported(R"({"kind":"DIRECTORY_UPDATE","form":"F","sheet":9})", "'sheet'");
}

// Expects an error after a part of a valid configuration was replaced.
void expect_settings_error(const std::string& part, const std::string& replacement,
                           const std::string& reason) {
  std::string config = make_configuration();
  config.replace(config.find(part), part.size(), replacement);
  const AdapterResult result = run_adapter({make_batch(1, 1, make_startup_events(2, "", config))});
  EXPECT_EQ(result.exit_code, 0);
  ASSERT_EQ(result.lines.size(), 1U);
  EXPECT_TRUE(contains(result.lines[0], R"("kind":"PANIC")")) << result.lines[0];
  EXPECT_TRUE(contains(result.lines[0], reason)) << result.lines[0];
}

TEST(SimulatorAdapter, InvalidSettingsAreReportedInReply) {
  expect_settings_error(R"("peersTotal":1)", R"("peersTotal":0)", "replica_count");
  expect_settings_error(R"("position":0)", R"("position":1)", "replica_index");
  expect_settings_error(R"("aim":1.0)", R"("aim":-1.0)", "latency_objective");
  expect_settings_error(R"("effect":"unsafe")", R"("effect":"odd")", "effect");
}

// Accepts outcomes and report values of later versions of the protocol, lists without entries, requests
// without time left, and many restarts.
TEST(SimulatorAdapter, AcceptsUnusualButValidLines) {
  const std::string restart = make_startup_events(4).substr(make_startup_events(4).find("{\"kind\":\"OPEN"));
  std::string restarts;
  for (int i = 0; i < 20; ++i) restarts += restart.substr(0, restart.size() - 2) + ",";
  const AdapterResult result = run_adapter({
      make_batch(1, 1, R"({"who":4,"news":[)" + restarts + R"({"kind":"POWER_OFF"}]})"),
      make_batch(2, 2, make_startup_events(4)),
      make_batch(3, 3,
                 R"({"who":4,"news":[{"kind":"QUERY","txn":"a","timeLeft":2,"profile":99,"account":77},)"
                 R"({"kind":"QUERY","txn":"b","timeLeft":0},{"kind":"QUERY","txn":"c","timeLeft":-1}]})"),
      make_batch(
          4, 4,
          R"({"who":4,"news":[{"kind":"DONE","txn":"a","outcome":"melted","serverStats":[1,null,"x"]},)"
          R"({"kind":"DONE","txn":"a","outcome":"delivered"},{"kind":"DONE","txn":"z","outcome":"expired"},)"
          R"({"kind":"STATUS_BACK","server":"x","outcome":"delivered"},{"kind":"MEMO","src":1,"body":""}]})"),
      make_batch(
          5, 5,
          R"({"who":4,"news":[{"kind":"TABLE","sheet":1,"nodesList":[]},)"
          R"({"kind":"DIRECTORY_UPDATE","sheet":1,"form":"F"},{"kind":"QUERY","txn":"d","timeLeft":2}]})"),
  });
  EXPECT_EQ(result.exit_code, 0) << result.errors;
  ASSERT_EQ(result.lines.size(), 5U);
  EXPECT_EQ(result.lines[0], R"({"turn":1,"nodes":[]})");
  EXPECT_TRUE(contains(result.lines[2], R"({"kind":"CALL_OUT","txn":"a")"));
  EXPECT_TRUE(contains(result.lines[2], R"({"kind":"SAY_NO","txn":"b")"));
  EXPECT_TRUE(contains(result.lines[2], R"({"kind":"SAY_NO","txn":"c")"));
  EXPECT_TRUE(contains(result.lines[3], R"({"kind":"ERROR","txn":"a")"))
      << "an attempt with an unknown outcome may have run";
  EXPECT_TRUE(contains(result.lines[4], R"({"kind":"SAY_NO","txn":"d")"));
}

// Batches for the given replicas. Each replica receives a request in each turn, and the result of the
// request of two turns before.
std::vector<std::string> make_batches(const std::vector<int>& replicas) {
  std::vector<std::string> lines;
  std::string nodes;
  for (const int replica : replicas)
    nodes.append(nodes.empty() ? "" : ",").append(make_startup_events(replica));
  lines.push_back(make_batch(1, 1, nodes));
  for (int turn = 2; turn < 60; ++turn) {
    nodes.clear();
    for (const int replica : replicas) {
      const std::string prefix = std::to_string(replica).append("-");
      const std::string request = prefix + std::to_string(turn);
      const std::string earlier_request = prefix + std::to_string(turn - 2);
      nodes.append(nodes.empty() ? "" : ",");
      nodes.append(R"({"who":)").append(std::to_string(replica));
      nodes.append(R"(,"news":[{"kind":"QUERY","txn":")").append(request);
      nodes.append(R"(","timeLeft":2},{"kind":"DONE","txn":")").append(earlier_request);
      nodes.append(R"(","outcome":")").append(turn % 3 == 0 ? "shed" : "app_error");
      nodes.append(R"(","lag":0.2}]})");
    }
    lines.push_back(make_batch(turn, 1 + turn * 0.1, nodes));
  }
  return lines;
}

// The text between the brackets of "nodes" in a line of output.
std::string nodes_text(const std::string& line) {
  const std::size_t begin = line.find('[') + 1;
  return line.substr(begin, line.rfind(']') - begin);
}

TEST(SimulatorAdapter, ReplicasInOneProcessAreIndependent) {
  const AdapterResult together = run_adapter(make_batches({0, 1, 2}));
  ASSERT_EQ(together.exit_code, 0) << together.errors;
  std::vector<AdapterResult> separate;
  for (const int replica : {0, 1, 2}) separate.push_back(run_adapter(make_batches({replica})));
  for (std::size_t i = 0; i < together.lines.size(); ++i) {
    std::string joined;
    for (const AdapterResult& result : separate) {
      const std::string nodes = nodes_text(result.lines.at(i));
      if (!nodes.empty()) joined += (joined.empty() ? "" : ",") + nodes;
    }
    EXPECT_EQ(nodes_text(together.lines[i]), joined);
  }
}

}  // namespace
