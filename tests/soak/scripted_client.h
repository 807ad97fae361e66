// Clients of a soak run: those that send requests, and a crowd that takes up connections.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "soak/observations.h"
#include "soak/peer_connection.h"
#include "soak/script_random.h"

namespace asterdrift::soak {

// What all clients of a run share.
struct ClientControl {
  bool should_stop() const { return is_stopped; }
  bool may_connect() const;

  int port = 0;
  std::atomic<bool> is_stopped = false;
  std::atomic<double> connects_until = 1e300;  // on the steady clock
};

// Sends one request after the other, on keep-alive and on new connections, and uses an open connection for as
// long as it stays open.
class ScriptedClient {
 public:
  // control and observations have to outlive the client.
  ScriptedClient(std::uint64_t seed, std::size_t number, ClientControl& control, Observations& observations);

  // Returns once the run has stopped, or no connection may be opened any more.
  void run();

 private:
  enum class Kind { kPlain, kUpload, kPipelined, kLeaves, kLeavesInsideRequest };

  bool connect();
  void use_connection();
  bool exchange(Kind kind);
  RequestRecord next_request();
  std::string text_of(const RequestRecord& request, const std::string& body) const;
  bool send(RequestRecord& request, const std::string& text, Kind kind);
  void leave(RequestRecord& request);
  bool await_response(RequestRecord& request);
  void pause(double seconds) const;
  Kind draw_kind();

  const std::string name_;
  ScriptRandom random_;
  ClientControl& control_;
  Observations& observations_;
  PeerConnection connection_;
  bool is_new_ = false;  // nothing has been sent on the connection
  int requests_ = 0;
};

// Opens many connections at once, again and again, that are silent, stay inside a request, or idle.
void run_crowd(std::uint64_t seed, ClientControl& control);

}  // namespace asterdrift::soak
