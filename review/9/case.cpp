// Clients read long answers, first quickly and then slowly but steadily. Do they get what the server gives?
#include "../support-2/standins.h"

using namespace review;

namespace {

constexpr std::size_t kAnswerBytes = 32'000'000;
constexpr double kBytesPerSecond = 64'000;  // of a slow client
constexpr double kReadInterval = 0.1;
constexpr double kSlowTime = 75;
constexpr double kQuickBytes[] = {2e6, 4e6, 6e6, 8e6, 10e6, 12e6, 16e6};

std::atomic<int> cut = 0, not_run = 0;

// A sound server: gives the whole answer, as fast as it is taken.
void serve(Case& run, Conn& conn) {
  for (;;) {
    const std::optional<Message> request = conn.read_message(now() + 100);
    if (!request) return;
    const std::string id = request->header("Request-Id");
    if (!conn.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kAnswerBytes) + "\r\n\r\n")) return;
    const std::string piece(64'000, 'a');
    for (std::size_t given = 0; given < kAnswerBytes; given += piece.size()) {
      if (conn.write(piece)) continue;
      run.record.line("server: the node has ended the connection after %zu bytes of the answer to %s", given, id.c_str());
      return;
    }
    run.record.line("server: has given the whole answer to %s", id.c_str());
  }
}

// Reads an answer. A slow client pauses never longer than kReadInterval, and takes kBytesPerSecond.
void read_answer(Case& run, int port, int client) {
  const std::string id = "r" + std::to_string(client);
  const int fd = connect_to(port);
  if (fd < 0) {
    ++not_run;
    return;
  }
  Conn conn(fd);
  conn.write(request_head(id, "work-order", 4700, 5) + "order");
  const std::optional<Message> head = conn.read_head(now() + 5.2);
  if (!head || head->status() != 200) {
    run.record.line("client: %s is answered '%s'", id.c_str(), head ? head->start_line.c_str() : "");
    ++not_run;
    return;
  }
  run.record.line("client: %s: the answer has begun", id.c_str());
  std::size_t taken = conn.buffer().size();
  conn.buffer().clear();
  const double quick = run.trouble ? kQuickBytes[client] : static_cast<double>(kAnswerBytes);
  const auto ended = [&] {
    run.record.line("client: %s: the connection ends after %zu of %zu bytes, %s", id.c_str(), taken, kAnswerBytes,
                    conn.end() == Conn::End::kEof ? "end of the stream" : "reset");
    ++cut;
  };
  const auto take = [&](double deadline) {
    if (!conn.fill(deadline)) return false;
    taken += conn.buffer().size();
    conn.buffer().clear();
    return true;
  };
  while (static_cast<double>(taken) < quick && taken < kAnswerBytes) {
    if (!take(now() + 5)) return ended();
  }
  run.record.line("client: %s: %zu bytes taken quickly", id.c_str(), taken);
  const double slow_until = now() + kSlowTime;
  std::string bytes(static_cast<std::size_t>(kBytesPerSecond * kReadInterval), 0);
  while (taken < kAnswerBytes && now() < slow_until) {
    sleep_for(kReadInterval);
    const ssize_t size = ::recv(fd, bytes.data(), bytes.size(), 0);
    if (size <= 0) return ended();
    taken += static_cast<std::size_t>(size);
  }
  run.record.line("client: %s: %zu bytes taken; from now on quickly again", id.c_str(), taken);
  while (taken < kAnswerBytes) {
    if (!take(now() + 5)) return ended();
  }
  run.record.line("client: %s: the whole answer has arrived", id.c_str());
}

}  // namespace

int main() {
  Case run;
  Discovery discovery(run.record);
  std::vector<Entry> entries;
  for (int i = 0; i < 3; ++i) {
    const int listening = listen_on();
    if (listening < 0) run.finish(kCouldNotRun, "no port");
    accept_all(listening, [&run](Conn& conn) { serve(run, conn); });
    entries.push_back({"s" + std::to_string(i), "127.0.0.1:" + std::to_string(port_of(listening))});
  }
  discovery.set_initial(entries);
  Config config;
  config.listen_port = free_port();
  config.discovery = discovery.address();
  Node node(config, run.folder, "node");
  if (!node.wait_ready()) run.finish(kCouldNotRun, "the node did not become ready");
  constexpr int kClients = static_cast<int>(std::size(kQuickBytes));
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] { read_answer(run, config.listen_port, i); });
    sleep_for(0.2);
  }
  for (std::thread& client : clients) client.join();
  const std::string totals = std::to_string(cut) + " of " + std::to_string(kClients) + " answers are cut off, " +
                             std::to_string(not_run) + " not begun";
  if (!node.is_running()) run.finish(kBroken, "the node has ended; " + totals);
  if (not_run > 0) run.finish(kCouldNotRun, totals);
  run.finish(cut > 0 ? kBroken : kHeld, totals);
}
