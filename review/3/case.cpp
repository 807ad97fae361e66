// A server hangs while requests with long bodies are on their way to it: do these requests get their final
// answer?
#include "../support/harness.h"

namespace {

using namespace review;

constexpr int kServers = 10;  // one of them hangs
constexpr double kHangsFrom = 1, kHangsFor = 12;
constexpr double kUploadsFrom = 2, kUploadsUntil = 8;
constexpr int kClients = 10;
constexpr double kPause = 0.4;      // between a client's requests
constexpr double kTimeout = 2.2;    // the client's
constexpr double kLostAfter = 0.5;  // "Up to half a second after its time it only earns nothing"
constexpr double kSlack = 0.15;     // for this program's own clock readings
constexpr double kPatience = 28;    // how long this client goes on listening, to see what comes

void serve(Connection& connection, const std::string& name, Record& record) {
  Message request;
  while (read_message(connection, now() + 100, request) == Result::kMessage) {
    const std::string id = request.header("request-id");
    record.line("%s runs %s, %zu bytes", name.c_str(), id.c_str(), request.body.size());
    sleep_for(0.02);
    const std::string body = "result for " + id;
    if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

struct Outcomes {
  std::atomic<int> sent{0}, served{0}, refused{0}, failed{0}, lost{0}, lost_acknowledged{0}, not_taken{0};
};

void send_request(const Node& node, const std::string& id, std::size_t bytes, Outcomes& outcomes,
                  Record& record) {
  Connection connection;
  if (!connection.connect(node.host(), node.port())) {
    record.line("%s: cannot connect", id.c_str());
    return;
  }
  ++outcomes.sent;
  const bool sent = connection.send("POST /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: " + id +
                                    "\r\nRequest-Class: field-report\r\nTenant: okanagan-growers\r\n"
                                    "Request-Timeout-Ms: 2200\r\nIdempotency-Key: k-" +
                                    id + "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" +
                                    std::string(bytes, 'x'));
  if (!sent) {
    ++outcomes.not_taken;
    record.line("%s: the node has not taken all of %zu bytes", id.c_str(), bytes);
    return;
  }
  // "Once the last byte of a request is written to a connection that the node's machine accepted, the node
  // has taken it."
  const double taken_at = now();
  sleep_for(0.3);
  const int unacknowledged = connection.unacknowledged();
  record.line(
      "%s: all of its %zu bytes are written; after 0.3 s the node's machine has acknowledged all but %d",
      id.c_str(), bytes, unacknowledged);
  Message answer;
  const Result result = read_message(connection, now() + kPatience, answer);
  const double waited = now() - taken_at;
  if (result != Result::kMessage) {
    ++outcomes.lost;
    if (unacknowledged == 0) ++outcomes.lost_acknowledged;
    record.line("BROKEN: %s: %s after %.3f s", id.c_str(),
                result == Result::kTimeout ? "no answer" : "connection ended with no whole answer", waited);
    return;
  }
  record.line("%s: %d after %.3f s", id.c_str(), answer.status(), waited);
  if (waited > kTimeout + kLostAfter + kSlack) {
    ++outcomes.lost;
    if (unacknowledged == 0) ++outcomes.lost_acknowledged;
    record.line("BROKEN: %s got its answer (%d) %.3f s after its time; %d bytes unacknowledged at first",
                id.c_str(), answer.status(), waited - kTimeout, unacknowledged);
  } else {
    ++(answer.status() == 200   ? outcomes.served
       : answer.status() == 503 ? outcomes.refused
                                : outcomes.failed);
  }
}

}  // namespace

int main(int argc, char** argv) try {
  const Setup run = setup(argc, argv);
  Record record(run.folder + "/record.txt");
  ServerProcess hanging("127.0.0.1", [&record](Connection& connection) { serve(connection, "s-0", record); });
  std::vector<std::string> entries{host_entry(0, "127.0.0.1:" + std::to_string(hanging.port()), 0, "active")};
  for (int i = 1; i < kServers; ++i) {
    const std::string name = "s-" + std::to_string(i);
    const int port = start_acceptor(
        "127.0.0.1", [name, &record](Connection& connection) { serve(connection, name, record); });
    entries.push_back(host_entry(i, "127.0.0.1:" + std::to_string(port), i / 5, "active"));
  }
  Discovery discovery("127.0.0.1");
  discovery.set_list(whole_list(1, entries));
  Node node(run.root, run.temporary + "/n1", "127.0.0.1");
  node.start(discovery.address(),
             R"("limits":{"cores":1.0,"memory_mb":192,"sockets":1024},)" + tractor_settings());
  if (!node.wait_ready(10)) {
    record.line("the node is not ready: %s", node.log().c_str());
    hanging.end();
    std::_Exit(kCannotRun);
  }
  Outcomes outcomes;
  const double start = now();
  std::thread platform([&] {
    if (!run.trouble) return;
    sleep_for(start + kHangsFrom - now());
    record.line("s-0 hangs from now on");
    hanging.stop();
    sleep_for(start + kHangsFrom + kHangsFor - now());
    record.line("s-0 goes on");
    hanging.resume();
  });
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      std::vector<std::thread> requests;
      sleep_for(start + kUploadsFrom + c * kPause / kClients - now());
      for (int n = 0; now() < start + kUploadsUntil; ++n) {
        const std::string id = "c" + std::to_string(c) + "-" + std::to_string(n);
        const std::size_t bytes = 4400000 + static_cast<std::size_t>((c + n) % 4) * 800000;
        requests.emplace_back([&, id, bytes] { send_request(node, id, bytes, outcomes, record); });
        sleep_for(kPause);
      }
      for (std::thread& request : requests) request.join();
    });
  }
  for (std::thread& client : clients) client.join();
  platform.join();
  const bool running = node.is_running();
  char summary[256];
  std::snprintf(summary, sizeof summary,
                "sent %d, served %d, refused %d, failed %d, answered too late or never %d "
                "(%d of them acknowledged to the last byte at once), not taken %d",
                outcomes.sent.load(), outcomes.served.load(), outcomes.refused.load(), outcomes.failed.load(),
                outcomes.lost.load(), outcomes.lost_acknowledged.load(), outcomes.not_taken.load());
  record.line("%s", summary);
  std::puts(summary);
  std::fflush(stdout);
  node.kill();
  hanging.end();
  if (!running || outcomes.served == 0) std::_Exit(kCannotRun);
  std::_Exit(outcomes.lost > 0 ? kBroken : kHeld);
} catch (const std::exception& error) {
  std::fprintf(stderr, "cannot run: %s\n", error.what());
  std::_Exit(review::kCannotRun);
}
