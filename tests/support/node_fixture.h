// The node's surroundings, scripted: its callers' messages, two servers and discovery.
#pragma once

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "support/scripted_peers.h"

namespace asterdrift::node::testing {

inline bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

inline std::string with_length(const std::string& head, const std::string& body) {
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string head(const std::string& request_class, const std::string& id = "r1") {
  return "POST /api?x=1 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: " + id +
         "\r\nRequest-Class: " + request_class + "\r\nTenant: acme\r\n" +
         (request_class == "mark" ? "Idempotency-Key: k1\r\n" : "");
}

inline std::string request(const std::string& request_class, const std::string& more = "",
                           const std::string& body = "question", const std::string& id = "r1") {
  return with_length(head(request_class, id) + more, body);
}

inline std::string ok(const std::string& body = "answer") { return with_length("HTTP/1.1 200 OK\r\n", body); }

inline std::string host(const std::string& name, int port, const std::string& health = "active",
                        int born = 0) {
  return R"({"host":")" + name + R"(","dial":"127.0.0.1:)" + std::to_string(port) +
         R"(","site":"a","class":"m","block":0,"health":")" + health + R"(","share":1.0,"born_ms":)" +
         std::to_string(born) + "}";
}

inline std::string list(int seq, bool whole, const std::string& hosts) {
  return R"({"seq":)" + std::to_string(seq) + R"(,"whole":)" + (whole ? "true" : "false") + R"(,"hosts":[)" +
         hosts + "]}\n";
}

inline const char* yes(bool allowed) { return allowed ? "true" : "false"; }

inline std::string chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

inline const char* const kWatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string repeated(const std::string& text, int times) {
  std::string out;
  for (int i = 0; i < times; ++i) out += text;
  return out;
}

// A line of the system's table of connections: two ports, a state, and bytes that wait to be sent or read.
struct TableLine {
  unsigned local = 0, remote = 0, state = 0, unsent = 0, unread = 0;
};

inline std::vector<TableLine> connection_table() {
  std::vector<TableLine> out;
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    TableLine l;
    if (std::sscanf(line.c_str(), "%*s %*x:%x %*x:%x %x %x:%x", &l.local, &l.remote, &l.state, &l.unsent,
                    &l.unread) == 5) {
      out.push_back(l);
    }
  }
  return out;
}

// Whether a connection to this port is being opened.
inline bool connecting_to(int port) {
  const auto opening = [=](const TableLine& l) { return l.remote == unsigned(port) && l.state == 2; };
  const auto table = connection_table();
  return std::any_of(table.begin(), table.end(), opening);
}

// Whether all that has been sent from this port has been read.
inline bool all_read_from(int port) {
  const auto waits = [=](const TableLine& l) {
    return (l.local == unsigned(port) && l.unsent > 0) || (l.remote == unsigned(port) && l.unread > 0);
  };
  const auto table = connection_table();
  return std::none_of(table.begin(), table.end(), waits);
}

// Keeps a port from all but a node's processes: bound, shared and never listening.
class ReservedPort {
 public:
  ReservedPort() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int yes = 1;
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) != 0 ||
        setsockopt(fd_, SOL_SOCKET, SO_REUSEPORT, &yes, sizeof yes) != 0 ||
        bind(fd_, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
      throw std::runtime_error("no port");
    }
    port = ntohs(at.sin_port);
  }
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;
  ~ReservedPort() { close(fd_); }
  int port = 0;

 private:
  int fd_;
};

// A node past tier 0, so that each request is sent on, with what the tests need to script its surroundings.
struct NodeFixture {
  ScriptedPeer discovery;
  std::array<ScriptedPeer, 2> servers;
  double connect_timeout = 0.25, idle_close = 5;
  int sockets = 1024, memory_mb = 64, port = 0;
  std::string known, more;  // further fields of the configuration
  bool may_cancel = true, may_advise = true, asks = true;
  double give_up = 5, dedup_window = 4;
  std::unique_ptr<NodeProcess> node;
  TestSocket watch;

  std::string config() const {
    std::ostringstream out;
    out << R"({"name":"n1","listen":"127.0.0.1:)" << port << R"(","discovery":"127.0.0.1:)"
        << discovery.port() << R"(","seed":"8c1f30d27a5be964","limits":{"sockets":)" << sockets
        << R"(,"memory_mb":)" << memory_mb << "}," << known << more
        << R"("settings":{"position":0,"peersTotal":1,"stage":1,"registryMode":")"
        << (asks ? "subscribe" : "automatic") << R"(","azs":["a"],"bounds":{"cancel":)" << yes(may_cancel)
        << R"(,"maxAttempts":4,"retryAfter":)" << yes(may_advise) << R"(,"maxRetryAfter":2.0,"dialTimeout":)"
        << connect_timeout << R"(,"idleClose":)" << idle_close << "},"
        << R"("realms":[{"name":"acme","allowancePerS":1000}],"rules":{"askWithin":0.4},"categories":[)"
        << R"({"name":"mark","aim":2,"giveUp":)" << give_up
        << R"(,"lateWorth":0.5,"effect":"keyed","group":"cell","dedupWindow":)" << dedup_window << R"(},)"
        << R"({"name":"close","aim":2,"giveUp":)" << give_up << R"(,"lateWorth":0.5,"effect":"unsafe"}]}})";
    return out.str();
  }
  void start() { node = std::make_unique<NodeProcess>(config()); }
  std::string take_watch() {
    watch = discovery.accept();
    std::string asked = watch.message();
    watch.send(kWatchHead);
    return asked;
  }
  void tell(const std::string& line) { watch.send(chunk(line)); }
  std::string both() const { return host("s0", servers[0].port()) + "," + host("s1", servers[1].port()); }
  // Starts with the given servers, and waits until they have been taken over.
  void serve(const std::string& hosts) {
    start();
    take_watch();
    tell(list(7, true, hosts));
    await_ready();
  }
  void await_ready() const {
    until([&] { return has(health(), " 200 "); });
  }
  std::string health() const {
    TestSocket caller = client();
    caller.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    return caller.message();
  }
  // One call to the operators' address.
  std::string admin_call(const std::string& path) const {
    TestSocket caller = TestSocket::to(node->admin_port());
    caller.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    return caller.message();
  }
  // A figure of the operators'; -1 where there is none of this name.
  long metric(const std::string& name) const {
    const std::string all = admin_call("/metrics");
    const std::size_t at = all.find("\napp." + name + ":");
    return at == std::string::npos ? -1 : std::stol(all.substr(at + name.size() + 6));
  }
  // A request of this client goes to the first server and is answered.
  void expect_served(TestSocket& caller) const {
    caller.send(request("close"));
    TestSocket server = servers[0].accept();
    server.message();
    server.send(ok());
    EXPECT_TRUE(has(caller.message(), " 200 "));
  }
  TestSocket client() const { return TestSocket::to(node->port()); }
  // The connection on which the next request comes, whichever server it goes to.
  TestSocket next() const { return ScriptedPeer::accept_either(servers[0], servers[1]); }
};

// The configuration with discovery at another address.
inline std::string moved(const NodeFixture& w, const ScriptedPeer& discovery) {
  std::string out = w.config();
  const std::string old = "\"discovery\":\"127.0.0.1:" + std::to_string(w.discovery.port());
  return out.replace(out.find(old), old.size(),
                     "\"discovery\":\"127.0.0.1:" + std::to_string(discovery.port()));
}

}  // namespace asterdrift::node::testing
