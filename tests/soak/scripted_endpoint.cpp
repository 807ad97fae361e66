#include "soak/scripted_endpoint.h"

#include <array>
#include <chrono>
#include <memory>
#include <thread>
#include <utility>

#include "soak/message_fields.h"
#include "support/http_messages.h"
#include "support/wait_until.h"

namespace asterdrift::soak {
namespace {

using test_support::steady_seconds;
using test_support::with_content_length;

constexpr int kBacklog = 512;
constexpr std::uint64_t kEndpointStream = 1000;
constexpr std::chrono::milliseconds kPollInterval{5};
constexpr Seconds kHangTime = 3;
constexpr std::size_t kLargeBodyPieces = 8, kLargeBodyPieceBytes = 32768;
constexpr Seconds kLargeBodyPieceInterval = 0.03;

}  // namespace

ScriptedEndpoint::ScriptedEndpoint(std::string name, std::uint64_t seed, Observations& observations)
    : name_(std::move(name)), seed_(seed), observations_(observations), listener_(kBacklog) {
  threads_.start([this] { accept_connections(); });
}

void ScriptedEndpoint::accept_connections() {
  for (std::uint64_t connections = 0; !threads_.should_stop();) {
    if (listener_.is_idle(kPollInterval)) continue;
    const auto connection = std::make_shared<PeerConnection>(listener_.accept().release());
    const std::uint64_t stream = kEndpointStream + connections++;
    threads_.start([this, connection, stream] {
      ScriptRandom random(seed_ + std::hash<std::string>()(name_), stream);
      serve(*connection, random);
      connection->close();
    });
  }
}

void ScriptedEndpoint::serve(PeerConnection& connection, ScriptRandom& random) {
  while (serve_request(connection, random)) {
  }
}

// Reads a request and responds to it, or fails. Returns whether the connection can be used again.
bool ScriptedEndpoint::serve_request(PeerConnection& connection, ScriptRandom& random) {
  Request request;
  if (!read_head(connection, request)) return false;
  const Behaviour behaviour = draw_behaviour(random);
  const bool body_is_arriving = connection.received().size() < request.size();
  if (behaviour == Behaviour::kResetInsideBody && body_is_arriving) {
    observations_.add(request.attempt);
    connection.reset();
    return false;
  }
  request.attempt.is_complete = read_body(connection, request);
  request.attempt.is_rejected = behaviour == Behaviour::kReject;
  observations_.add(request.attempt);
  if (!request.attempt.is_complete) return false;
  connection.received().erase(0, request.size());
  return respond(connection, behaviour, random);
}

bool ScriptedEndpoint::read_head(PeerConnection& connection, Request& request) const {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  std::string& received = connection.received();
  if (!received.empty()) request.attempt.began_at = connection.received_at();
  while (received.find(kHeadEnd) == std::string::npos) {
    if (threads_.should_stop()) return false;
    const PeerConnection::Read read = connection.read_until(steady_seconds() + 0.05);
    if (read == PeerConnection::Read::kTimeout) continue;
    if (read != PeerConnection::Read::kBytes) return false;
    if (request.attempt.began_at == 0) request.attempt.began_at = connection.received_at();
  }
  request.head_size = received.find(kHeadEnd) + kHeadEnd.size();
  const std::string head = received.substr(0, request.head_size);
  request.body_size = numeric_header_field(head, "Content-Length");
  request.attempt.endpoint = name_;
  request.attempt.request_id = header_field(head, "Request-Id");
  request.attempt.timeout_ms = static_cast<std::int64_t>(numeric_header_field(head, "Request-Timeout-Ms"));
  request.attempt.head_at = connection.received_at();
  return true;
}

bool ScriptedEndpoint::read_body(PeerConnection& connection, const Request& request) const {
  while (connection.received().size() < request.size()) {
    if (threads_.should_stop()) return false;
    const PeerConnection::Read read = connection.read_until(steady_seconds() + 0.05);
    if (read == PeerConnection::Read::kClosed || read == PeerConnection::Read::kReset) return false;
  }
  return true;
}

// Responds as `behaviour` says. Returns whether the connection can be used again.
bool ScriptedEndpoint::respond(PeerConnection& connection, Behaviour behaviour, ScriptRandom& random) const {
  switch (behaviour) {
    case Behaviour::kRespond:
    case Behaviour::kResetInsideBody:  // the request had no body, or the body had arrived with the head
      return pause(connection, random.between(0, 0.01)) &&
             connection.send(with_content_length("HTTP/1.1 200 OK\r\n", "answer"));
    case Behaviour::kRespondLate:
      return pause(connection, random.between(0.05, 0.9)) &&
             connection.send(with_content_length("HTTP/1.1 200 OK\r\n", "late answer"));
    case Behaviour::kHang:
      pause(connection, kHangTime);
      return false;
    case Behaviour::kResetAfterRequest:
      connection.reset();
      return false;
    case Behaviour::kFail:
      return connection.send(with_content_length("HTTP/1.1 500 Error\r\n", ""));
    case Behaviour::kReject:
      return connection.send(with_content_length("HTTP/1.1 503 Busy\r\nNot-Started: 1\r\n", ""));
    case Behaviour::kRespondAndClose:
      connection.send(with_content_length("HTTP/1.1 200 OK\r\nConnection: close\r\n", "last answer"));
      return false;
    case Behaviour::kRespondWithSlowLargeBody:
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(kLargeBodyPieces * kLargeBodyPieceBytes) + "\r\n\r\n");
      for (std::size_t i = 0; i < kLargeBodyPieces; ++i) {
        if (!pause(connection, kLargeBodyPieceInterval)) return false;
        if (!connection.send(std::string(kLargeBodyPieceBytes, 'x'))) return false;
      }
      return true;
  }
  return false;
}

// Returns whether the connection is still open after the pause.
bool ScriptedEndpoint::pause(const PeerConnection& connection, Seconds duration) const {
  const Seconds end = steady_seconds() + duration;
  while (steady_seconds() < end) {
    if (threads_.should_stop() || connection.has_ended()) return false;
    std::this_thread::sleep_for(std::chrono::duration<double>(std::min(0.005, end - steady_seconds())));
  }
  return true;
}

ScriptedEndpoint::Behaviour ScriptedEndpoint::draw_behaviour(ScriptRandom& random) {
  struct BehaviourProbability {
    double probability;
    Behaviour behaviour;
  };
  constexpr std::array kBehaviourProbabilities = {
      BehaviourProbability{0.15, Behaviour::kRespondLate},
      BehaviourProbability{0.02, Behaviour::kHang},
      BehaviourProbability{0.03, Behaviour::kResetInsideBody},
      BehaviourProbability{0.03, Behaviour::kResetAfterRequest},
      BehaviourProbability{0.04, Behaviour::kFail},
      BehaviourProbability{0.05, Behaviour::kReject},
      BehaviourProbability{0.04, Behaviour::kRespondAndClose},
      BehaviourProbability{0.02, Behaviour::kRespondWithSlowLargeBody}};
  double draw = random.unit();
  for (const BehaviourProbability& candidate : kBehaviourProbabilities) {
    if (draw < candidate.probability) return candidate.behaviour;
    draw -= candidate.probability;
  }
  return Behaviour::kRespond;
}

}  // namespace asterdrift::soak
