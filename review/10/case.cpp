// A release in a large fleet: six in ten servers begin to drain within 7 s and end 1 s later, and each watch on discovery
// ends instead of telling that. Does the node stop sending to the draining servers in time?
#include <sys/epoll.h>
#include <sys/resource.h>

#include <random>
#include <set>

#include "../support-2/standins.h"

using namespace review;

namespace {

constexpr int kServers = 3200;
constexpr int kSteps = 28;
constexpr double kStepTime = 0.25;
constexpr int kLeavingPerStep = kServers * 6 / 10 / kSteps;
constexpr int kClients = 30;
constexpr double kWarmUp = 3, kAfter = 4;
constexpr double kWorkTime = 0.15;
constexpr int kStepsToEnd = 4;    // a server that drains ends so many steps later, when its earlier work is done
constexpr int kStepsToLeft = 20;  // and the agent has it, seconds late, that the server is gone
// drainGrace of the settings, and 50 ms that the protocol page adds to every time limit on sockets.
constexpr double kGrace = 0.3 + 0.05;

std::vector<std::atomic<double>> told_at(kServers);  // when the agent had it that the server drains; 0: not
std::atomic<int> sent = 0, sent_late = 0, served = 0, refused = 0, failed = 0;
std::atomic<double> latest = 0;
std::atomic<int> broken_off = 0;
std::mutex servers_mutex;
std::vector<std::set<int>> connections(kServers);
std::vector<int> listening;

// The server's process ends: its connections end, and new ones are refused.
void end_server(std::size_t server) {
  const std::lock_guard lock(servers_mutex);
  ::close(listening[server]);
  for (const int fd : connections[server]) ::shutdown(fd, SHUT_RDWR);
}

// Answers one request after another, until its process ends.
void serve(Case& run, Conn& conn, int server) {
  for (;;) {
    if (conn.buffer().empty() && !conn.fill(now() + 60)) return;
    const double first_byte_at = now();
    const std::optional<Message> request = conn.read_message(now() + 60);
    if (!request) return;
    ++sent;
    const double told = told_at[static_cast<std::size_t>(server)];
    const bool is_late = told > 0 && first_byte_at > told + kGrace;
    if (told > 0 && first_byte_at > told + kGrace) {
      ++sent_late;
      const double late = first_byte_at - told;
      if (late > latest) latest = late;
      run.record.line("server s%d: request %s begins %.3f s after the agent had it that the server drains", server,
                      request->header("Request-Id").c_str(), late);
    }
    sleep_for(kWorkTime);
    if (conn.write(ok_response("answer to " + request->header("Request-Id")))) continue;
    broken_off += is_late;
    run.record.line("server s%d: has ended while %s was in work", server, request->header("Request-Id").c_str());
    return;
  }
}

void serve_connection(Case& run, int fd, int server) {
  std::set<int>& open = connections[static_cast<std::size_t>(server)];
  {
    const std::lock_guard lock(servers_mutex);
    open.insert(fd);
  }
  Conn conn(fd);
  serve(run, conn, server);
  const std::lock_guard lock(servers_mutex);
  open.erase(fd);
  conn.close();
}

void accept_connections(Case& run) {
  const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
  for (std::size_t i = 0; i < listening.size(); ++i) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = i;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, listening[i], &event);
  }
  std::thread([&run, epoll] {
    for (;;) {
      epoll_event events[64];
      const int count = ::epoll_wait(epoll, events, 64, -1);
      for (int i = 0; i < count; ++i) {
        const auto server = static_cast<int>(events[i].data.u64);
        const int fd = ::accept4(listening[events[i].data.u64], nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([&run, fd, server] { serve_connection(run, fd, server); }).detach();
      }
    }
  }).detach();
}

void ask(int port, int client, const std::atomic<bool>& ends) {
  std::mt19937 random(static_cast<unsigned>(client));
  std::optional<Conn> conn;
  for (int i = 0; !ends; ++i) {
    if (!conn || !conn->is_open()) {
      const int fd = connect_to(port);
      if (fd < 0) return;
      conn.emplace(fd);
    }
    const std::string id = "c" + std::to_string(client) + "-" + std::to_string(i);
    conn->write(request_head(id, "work-order", 4700, 5) + "order");
    const std::optional<Message> answer = conn->read_message(now() + 5.2);
    const int status = answer ? answer->status() : 0;
    ++(status == 200 ? served : status == 503 ? refused : failed);
    if (!answer || lower(answer->header("Connection")) == "close") conn->close();
    sleep_for(std::uniform_real_distribution<>(0.05, 0.25)(random));
  }
}

bool allow_descriptors(rlim_t count) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur >= count) return true;
  if (limit.rlim_max < count) return false;
  limit.rlim_cur = count;
  return ::setrlimit(RLIMIT_NOFILE, &limit) == 0;
}

}  // namespace

int main() {
  Case run;
  if (!allow_descriptors(kServers + 2000)) run.finish(kCouldNotRun, "too few descriptors");
  Discovery discovery(run.record);
  std::vector<Entry> entries;
  for (int i = 0; i < kServers; ++i) {
    listening.push_back(listen_on());
    if (listening.back() < 0) run.finish(kCouldNotRun, "no port");
    char host[32];
    std::snprintf(host, sizeof host, "s-%08x", 0x5be20000u + static_cast<unsigned>(i) * 7919u);
    entries.push_back({host, "127.0.0.1:" + std::to_string(port_of(listening.back())), i / 8});
  }
  accept_connections(run);
  discovery.set_initial(entries);
  Config config;
  config.listen_port = free_port();
  config.discovery = discovery.address();
  Node node(config, run.folder, "node");
  if (!node.wait_ready()) run.finish(kCouldNotRun, "the node did not become ready");
  std::atomic<bool> ends = false;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) clients.emplace_back([&, i] { ask(config.listen_port, i, ends); });
  sleep_for(kWarmUp);
  std::vector<std::size_t> order(kServers);
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::shuffle(order.begin(), order.end(), std::mt19937(1));
  std::size_t next = 0;
  for (int step = 0; step < kSteps; ++step) {
    std::vector<Entry> leaving;
    std::vector<std::size_t> servers;
    for (int i = 0; i < kLeavingPerStep; ++i) {
      servers.push_back(order[next++]);
      leaving.push_back(entries[servers.back()]);
      leaving.back().health = "leaving";
    }
    for (int i = 0; step >= kStepsToLeft && i < kLeavingPerStep; ++i) {
      leaving.push_back(entries[order[static_cast<std::size_t>((step - kStepsToLeft) * kLeavingPerStep + i)]]);
      leaving.back().health = "left";
    }
    discovery.change(leaving, run.trouble);
    for (const std::size_t server : servers) told_at[server] = now();
    run.record.line("the agent has it that %d more servers drain (%zu in all)%s", kLeavingPerStep, next,
                    run.trouble ? "; the open watch ends" : "");
    for (int i = 0; step >= kStepsToEnd && i < kLeavingPerStep; ++i) {
      end_server(order[static_cast<std::size_t>((step - kStepsToEnd) * kLeavingPerStep + i)]);
    }
    sleep_for(kStepTime);
  }
  sleep_for(kAfter);
  ends = true;
  for (std::thread& client : clients) client.join();
  char text[400];
  std::snprintf(text, sizeof text, "%d requests sent to servers, %d of them too late to draining ones (up to %.2f s); %d "
                "served, %d refused, %d failed, %d of these broken off by the end of the server; %d calls to discovery",
                sent.load(), sent_late.load(), latest.load(), served.load(), refused.load(), failed.load(), broken_off.load(),
                discovery.polls());
  if (!node.is_running()) run.finish(kBroken, std::string("the node has ended; ") + text);
  if (served == 0) run.finish(kCouldNotRun, text);
  run.finish(sent_late > 0 ? kBroken : kHeld, text);
}
