// An endpoint of a soak run. Serves most requests, and fails some requests, each in one of several ways.
#pragma once

#include <cstdint>
#include <string>

#include "asterdrift/seconds.h"
#include "soak/observations.h"
#include "soak/peer_connection.h"
#include "soak/peer_threads.h"
#include "soak/script_random.h"
#include "support/loopback_socket.h"

namespace asterdrift::soak {

class ScriptedEndpoint {
 public:
  // observations has to outlive the endpoint.
  ScriptedEndpoint(std::string name, std::uint64_t seed, Observations& observations);

  const std::string& name() const { return name_; }
  int port() const { return listener_.port(); }
  void stop() { threads_.stop(); }

 private:
  // What the endpoint does with one request.
  enum class Behaviour {
    kRespond,
    kRespondLate,
    kHang,
    kResetInsideBody,
    kResetAfterRequest,
    kFail,                     // response with status 500
    kReject,                   // response with status 503 and Not-Started
    kRespondAndClose,          // response with "Connection: close"
    kRespondWithSlowLargeBody  // response in pieces, with pauses
  };
  struct Request {
    AttemptRecord attempt;
    std::size_t head_size = 0, body_size = 0;
    std::size_t size() const { return head_size + body_size; }
  };

  void accept_connections();
  void serve(PeerConnection& connection, ScriptRandom& random);
  bool serve_request(PeerConnection& connection, ScriptRandom& random);
  bool read_head(PeerConnection& connection, Request& request) const;
  bool read_body(PeerConnection& connection, const Request& request) const;
  bool respond(PeerConnection& connection, Behaviour behaviour, ScriptRandom& random) const;
  bool pause(const PeerConnection& connection, Seconds duration) const;
  static Behaviour draw_behaviour(ScriptRandom& random);

  const std::string name_;
  const std::uint64_t seed_;
  Observations& observations_;
  test_support::ListeningSocket listener_;
  PeerThreads threads_;
};

}  // namespace asterdrift::soak
