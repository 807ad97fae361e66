// A server whose connections come up late, and fixtures for what crosses that moment.
#pragma once

#include <string>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {

// A server whose connections do not come up before `open` has been called.
struct LateServer {
  LateServer() : peer(0), crowd(TestSocket::to(peer.port())) {}
  int port() const { return peer.port(); }
  TestSocket open() const {
    peer.accept();
    return peer.accept();
  }
  ScriptedPeer peer;
  TestSocket crowd;  // its queue has room for this one alone
};

// Nothing but the events of a test ends its requests.
struct PatientNodeFixture : NodeFixture {
  PatientNodeFixture() {
    connect_timeout = give_up = 600;
    more = R"("management":"127.0.0.1:0",)";
  }
};

inline void leave(TestSocket& client, bool reset) { reset ? client.reset() : client.close(); }

constexpr const char* kClosesOrResets[] = {"closes", "resets"};

// The chunks of an upload: as many as find room while nobody reads them.
inline std::size_t fill(TestSocket& caller) {
  const std::string piece = chunk(std::string(8000, 'u'));
  std::size_t rest = 0;
  for (std::size_t sent = piece.size(); sent == piece.size();) {
    sent = caller.push(piece);
    rest = piece.size() - sent;
  }
  return rest;
}

// Asks until an answer comes from the server that is meant.
inline void served_by(NodeFixture& w, TestSocket& caller, const ScriptedPeer& peer) {
  until([&] {
    caller.send(request("close"));
    until([&] { return !caller.quiet() || !w.servers[0].quiet() || !w.servers[1].quiet(); });
    if (!caller.quiet()) return caller.message().empty();  // refused: none is there
    TestSocket server = w.next();
    while (server.message().empty()) server = w.next();  // one that a change of the list has stopped
    server.send(with_length("HTTP/1.1 200 OK\r\nConnection: close\r\n", "answer"));
    caller.message();
    return server.local_port() == peer.port();
  });
}

}  // namespace asterdrift::node::testing
