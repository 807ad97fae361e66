// Clients of a soak run: clients that send requests, and a flood of connections without requests.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "asterdrift/seconds.h"
#include "soak/observations.h"
#include "soak/peer_connection.h"
#include "soak/script_random.h"

namespace asterdrift::soak {

// State that all clients of a run share.
struct ClientControl {
  bool should_stop() const { return is_stopped; }
  bool may_connect() const;

  int port = 0;
  std::atomic<bool> is_stopped = false;
  // Time on the steady clock until which clients may connect.
  std::atomic<Seconds> connects_until = 1e300;
};

// Sends one request after the other, on keep-alive connections and on new ones. Connections that are open
// when no new connection may be opened stay in use.
class ScriptedClient {
 public:
  // control and observations have to outlive the client.
  ScriptedClient(std::uint64_t seed, std::size_t number, ClientControl& control, Observations& observations);

  // Returns when the run has ended, or when the client needs a new connection and may not open one.
  void run();

 private:
  // What the client does with a request.
  enum class Kind {
    kPlain,
    kUpload,                 // a request with a large body
    kPipelined,              // two requests at once
    kDepartsBeforeResponse,  // the client closes the connection after the request
    kDepartsInsideRequest    // the client closes the connection within the request
  };

  bool connect();
  void use_connection();
  bool exchange(Kind kind);
  RequestRecord next_request();
  std::string to_text(const RequestRecord& request, const std::string& body) const;
  bool send(RequestRecord& request, const std::string& text, Kind kind);
  void depart(RequestRecord& request);
  bool await_response(RequestRecord& request);
  void pause(Seconds duration) const;
  Kind draw_kind();

  const std::string name_;
  ScriptRandom random_;
  ClientControl& control_;
  Observations& observations_;
  PeerConnection connection_;
  bool is_unused_ = false;  // nothing has been sent on connection_
  int requests_ = 0;
};

// Repeatedly opens many connections at the same time. One third of them send nothing, one third send an
// incomplete request, and one third are idle after a complete request.
void flood_connections(std::uint64_t seed, ClientControl& control);

}  // namespace asterdrift::soak
