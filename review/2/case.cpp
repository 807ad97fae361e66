// Long answers, read slowly by many clients at once: does the node stay within its memory limit?
#include "../support/harness.h"

namespace {

using namespace review;

constexpr int kServers = 10;
constexpr int kClients = 320;  // under a third of the descriptors
constexpr int kDescriptors = 1024;
constexpr long kMemoryMb = 48;
constexpr double kDuration = 30;
constexpr double kStartInterval = 0.015;           // between two clients
constexpr std::size_t kLongAnswer = 4UL << 20;     // bytes
constexpr std::size_t kShortAnswer = 32UL * 1024;  // without trouble
constexpr std::size_t kReadBytes = 16UL * 1024;    // a client reads this much ...
constexpr double kReadInterval = 0.25;             // ... this often: 64 kB a second

void serve(Connection& connection, std::size_t answer_bytes, Record& record) {
  const int buffer = 64 * 1024;
  setsockopt(connection.fd(), SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
  Message request;
  while (read_message(connection, now() + 100, request) == Result::kMessage) {
    record.line("a server runs %s and answers %zu bytes", request.header("request-id").c_str(), answer_bytes);
    if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " +
                         std::to_string(answer_bytes) + "\r\n\r\n")) {
      return;
    }
    static const std::string piece(32UL * 1024, 'x');
    for (std::size_t sent = 0; sent < answer_bytes; sent += piece.size()) {
      if (!connection.send(piece)) return;
    }
  }
}

struct Outcomes {
  std::atomic<int> begun{0}, complete{0}, refused{0}, failed{0}, cut{0};
};

void run_client(int number, const Node& node, double end, Outcomes& outcomes, Record& record) {
  const std::string id = "c" + std::to_string(number);
  Connection connection;
  if (!connection.connect(node.host(), node.port(), 32 * 1024)) {
    record.line("%s cannot connect", id.c_str());
    return;
  }
  connection.send(
      "POST /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: " + id +
      "\r\nRequest-Class: field-report\r\nTenant: okanagan-growers\r\nRequest-Timeout-Ms: 2200\r\n"
      "Idempotency-Key: k-" +
      id + "\r\nContent-Length: 0\r\n\r\n");
  record.line("%s sent", id.c_str());
  std::size_t expected = 0, received = 0;
  while (now() < end) {
    const auto read = connection.read_more(end, kReadBytes);
    if (read == Connection::Read::kTimeout) break;
    if (read != Connection::Read::kBytes) {
      ++outcomes.cut;
      record.line("%s: connection ended after %zu of %zu bytes", id.c_str(), received, expected);
      return;
    }
    std::string& input = connection.input();
    if (expected == 0) {
      const std::size_t head_end = input.find("\r\n\r\n");
      if (head_end == std::string::npos) continue;
      Message head;
      head.first_line = input.substr(0, input.find("\r\n"));
      head.head = input.substr(0, head_end + 2);
      input.erase(0, head_end + 4);
      record.line("%s gets %d", id.c_str(), head.status());
      if (head.status() != 200) {
        ++(head.status() == 503 ? outcomes.refused : outcomes.failed);
        return;
      }
      ++outcomes.begun;
      expected = std::strtoul(head.header("content-length").c_str(), nullptr, 10);
    }
    received += input.size();
    input.clear();
    if (received >= expected) {
      ++outcomes.complete;
      record.line("%s has its complete answer, %zu bytes", id.c_str(), received);
      return;
    }
    sleep_for(kReadInterval);
  }
  record.line("%s still reads at the end of the run: %zu of %zu bytes", id.c_str(), received, expected);
}

}  // namespace

int main(int argc, char** argv) try {
  const Setup run = setup(argc, argv);
  Record record(run.folder + "/record.txt");
  const std::size_t answer_bytes = run.trouble ? kLongAnswer : kShortAnswer;
  std::vector<std::string> entries;
  for (int i = 0; i < kServers; ++i) {
    const int port = start_acceptor("127.0.0.1", [&record, answer_bytes](Connection& connection) {
      serve(connection, answer_bytes, record);
    });
    entries.push_back(host_entry(i, "127.0.0.1:" + std::to_string(port), i / 5, "active"));
  }
  Discovery discovery("127.0.0.1");
  discovery.set_list(whole_list(1, entries));
  Node node(run.root, run.temporary + "/n1", "127.0.0.1");
  node.start(discovery.address(), R"("limits":{"cores":1.0,"memory_mb":)" + std::to_string(kMemoryMb) +
                                      R"(,"sockets":)" + std::to_string(kDescriptors) + "}," +
                                      tractor_settings());
  if (!node.wait_ready(10)) {
    record.line("the node is not ready: %s", node.log().c_str());
    std::_Exit(kCannotRun);
  }
  Outcomes outcomes;
  const double start = now(), end = start + kDuration;
  for (int c = 0; c < kClients; ++c) {
    std::thread([c, start, end, &node, &outcomes, &record] {
      sleep_for(start + c * kStartInterval - now());
      run_client(c, node, end, outcomes, record);
    }).detach();
  }
  // The platform: over the limit, the node is killed. Only the process's own memory counts (heap and stacks),
  // not pages of its program file and libraries, and not the system's buffers of its sockets.
  bool killed = false, crashed = false;
  long peak_kb = 0, last_line_at = -1;
  while (now() < end && !killed && !crashed) {
    sleep_for(0.02);
    const long memory_kb = node.memory_kb("RssAnon");
    peak_kb = std::max(peak_kb, memory_kb);
    if (static_cast<long>(now()) != last_line_at) {
      last_line_at = static_cast<long>(now());
      record.line(
          "the node holds %ld kB (all resident pages: %ld kB) of %ld kB; %d answers begun, %d complete",
          memory_kb, node.memory_kb("VmRSS"), kMemoryMb * 1024, outcomes.begun.load(),
          outcomes.complete.load());
    }
    if (memory_kb > kMemoryMb * 1024) {
      killed = true;
      record.line(
          "BROKEN: the node holds %ld kB, over its limit of %ld MB, with %d answers begun; the platform "
          "kills it",
          memory_kb, kMemoryMb, outcomes.begun.load());
      node.kill();
      sleep_for(5);  // the clients read what the system still holds, and then notice it
    } else if (!node.is_running()) {
      crashed = true;
      record.line("BROKEN: the node has ended by itself: %s", node.log().c_str());
    }
  }
  char summary[256];
  std::snprintf(summary, sizeof summary,
                "peak %ld kB of %ld kB; begun %d, complete %d, refused %d, failed %d, cut %d; node %s",
                peak_kb, kMemoryMb * 1024, outcomes.begun.load(), outcomes.complete.load(),
                outcomes.refused.load(), outcomes.failed.load(), outcomes.cut.load(),
                killed    ? "killed"
                : crashed ? "crashed"
                          : "alive");
  record.line("%s", summary);
  std::puts(summary);
  std::fflush(stdout);
  node.kill();
  if (killed || crashed) std::_Exit(kBroken);
  std::_Exit(outcomes.begun + outcomes.refused < kClients / 2 ? kCannotRun : kHeld);
} catch (const std::exception& error) {
  std::fprintf(stderr, "cannot run: %s\n", error.what());
  std::_Exit(review::kCannotRun);
}
