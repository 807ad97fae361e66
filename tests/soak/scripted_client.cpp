#include "soak/scripted_client.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <thread>
#include <vector>

#include "soak/message_fields.h"
#include "soak/script.h"
#include "support/http_messages.h"
#include "support/node_messages.h"
#include "support/wait_until.h"

namespace asterdrift::soak {
namespace {

using test_support::steady_seconds;

constexpr std::uint64_t kClientStream = 2000, kFloodStream = 3000;
constexpr std::size_t kUploadBytes = 100000;
// How long after the timeout of its request a client still waits for a response.
constexpr Seconds kMaxResponseDelay = 1.5;
constexpr std::size_t kFloodConnections = 150;
// The longest sleep before the next check whether the run has ended.
constexpr Seconds kMaxSleep = 0.02;

void sleep_for(Seconds duration) { std::this_thread::sleep_for(std::chrono::duration<double>(duration)); }

// Sleeps until the given time, or until the run ends.
void sleep_until(Seconds time, const ClientControl& control) {
  while (!control.should_stop() && steady_seconds() < time) {
    sleep_for(std::clamp(time - steady_seconds(), 0.0, kMaxSleep));
  }
}

}  // namespace

bool ClientControl::may_connect() const { return !is_stopped && steady_seconds() < connects_until; }

ScriptedClient::ScriptedClient(std::uint64_t seed, std::size_t number, ClientControl& control,
                               Observations& observations)
    : name_("c" + std::to_string(number) + "-"),
      random_(seed, kClientStream + number),
      control_(control),
      observations_(observations) {}

void ScriptedClient::run() {
  while (!control_.should_stop()) {
    if (!connection_.is_open() && !connect()) {
      if (!control_.may_connect()) return;
      pause(kMaxSleep);
      continue;
    }
    use_connection();
  }
}

bool ScriptedClient::connect() {
  if (!control_.may_connect()) return false;
  connection_ = PeerConnection::connect_to(control_.port);
  is_unused_ = true;
  if (connection_.is_open() && random_.chance(0.3)) pause(random_.between(0, 0.03));
  return connection_.is_open();
}

// Sends one request or two pipelined requests, and then pauses.
void ScriptedClient::use_connection() {
  if (connection_.has_ended()) {
    if (is_unused_) observations_.add(UnusedConnectionRecord{connection_.connected_at(), steady_seconds()});
    return connection_.close();
  }
  if (!exchange(draw_kind()) || random_.chance(0.15)) connection_.close();
  pause(random_.chance(0.04) ? random_.between(0.1, 0.6) : random_.between(0, 0.02));
}

// Sends a request of this kind and awaits the response. Returns whether the connection can be used again.
bool ScriptedClient::exchange(Kind kind) {
  RequestRecord first = next_request();
  const std::string first_text =
      to_text(first, kind == Kind::kUpload ? std::string(kUploadBytes, 'u') : std::string("question"));
  if (kind != Kind::kPipelined) {
    if (!send(first, first_text, kind)) return false;
    if (kind != Kind::kDepartsBeforeResponse) return await_response(first);
    depart(first);
    return false;
  }
  RequestRecord second = next_request();
  second.timeout = first.timeout;
  if (!send(first, first_text + to_text(second, "question"), kind)) return false;
  second.sent_at = first.sent_at;
  second.is_on_new_connection = false;
  if (!await_response(first)) {
    second.outcome = RequestOutcome::kUnprocessed;
    observations_.add(second);
    return false;
  }
  return await_response(second);
}

RequestRecord ScriptedClient::next_request() {
  RequestRecord request;
  request.id = name_ + std::to_string(++requests_);
  request.request_class = random_.chance(0.5) ? "close" : "mark";
  request.timeout = std::round(random_.between(0.3, kMaxRequestTimeout) * 1000) / 1000;
  request.connected_at = connection_.connected_at();
  request.is_on_new_connection = is_unused_;
  return request;
}

std::string ScriptedClient::to_text(const RequestRecord& request, const std::string& body) const {
  const std::string fields =
      "Request-Timeout-Ms: " + std::to_string(std::lround(request.timeout * 1000)) + "\r\n";
  return node::testing::request(request.request_class, fields, body, request.id);
}

// Sends the text of a request, in two parts for some kinds. Returns whether all of the text has been sent.
bool ScriptedClient::send(RequestRecord& request, const std::string& text, Kind kind) {
  is_unused_ = false;
  const std::size_t first_size =
      kind == Kind::kPlain || kind == Kind::kPipelined || kind == Kind::kDepartsBeforeResponse
          ? 0
          : random_.below(text.size());
  bool is_sent = connection_.send(text.substr(0, first_size));
  if (first_size > 0) pause(random_.between(0, 0.03));
  if (kind == Kind::kDepartsInsideRequest) {
    request.ended_at = steady_seconds();
    observations_.add(request);
    return false;
  }
  const Seconds sent_at = steady_seconds();
  is_sent = is_sent && connection_.send(text.substr(first_size));
  if (is_sent) request.sent_at = sent_at;
  if (!is_sent) {
    request.outcome = RequestOutcome::kReset;
    observations_.add(request);
  }
  return is_sent;
}

// Closes the connection after a short wait, without reading a response.
void ScriptedClient::depart(RequestRecord& request) {
  sleep_until(steady_seconds() + random_.between(0, 0.2), control_);
  connection_.close();
  request.ended_at = steady_seconds();
  observations_.add(request);
}

// Returns whether the connection can be used again.
bool ScriptedClient::await_response(RequestRecord& request) {
  using Read = PeerConnection::Read;
  std::string& received = connection_.received();
  const Seconds response_deadline = request.sent_at + request.timeout + kMaxResponseDelay;
  Read read = Read::kBytes;
  std::size_t size = test_support::complete_message_size(received);
  while (size == 0 && read == Read::kBytes) {
    read = connection_.read_until(response_deadline);
    size = test_support::complete_message_size(received);
  }
  request.ended_at = connection_.received_at();
  if (size > 0) {
    const std::string response = received.substr(0, size);
    received.erase(0, size);
    request.outcome = RequestOutcome::kResponse;
    request.status = parse_status(response);
    request.response_bytes = size;
    observations_.add(request);
    return header_field(response, "Connection") != "close";
  }
  request.ended_at = steady_seconds();
  request.response_bytes = received.size();
  request.outcome = read == Read::kTimeout  ? RequestOutcome::kTimedOut
                    : !received.empty()     ? RequestOutcome::kTruncated
                    : read == Read::kClosed ? RequestOutcome::kClosedWithoutResponse
                                            : RequestOutcome::kReset;
  observations_.add(request);
  return false;
}

void ScriptedClient::pause(Seconds duration) const { sleep_until(steady_seconds() + duration, control_); }

ScriptedClient::Kind ScriptedClient::draw_kind() {
  const double draw = random_.unit();
  if (draw < 0.06) return Kind::kUpload;
  if (draw < 0.14) return Kind::kPipelined;
  if (draw < 0.20) return Kind::kDepartsBeforeResponse;
  if (draw < 0.23) return Kind::kDepartsInsideRequest;
  return Kind::kPlain;
}

void flood_connections(std::uint64_t seed, ClientControl& control) {
  ScriptRandom random(seed, kFloodStream);
  sleep_until(steady_seconds() + random.between(0.1, 0.5), control);
  while (control.may_connect()) {
    std::vector<PeerConnection> connections;
    for (std::size_t i = 0; i < kFloodConnections && control.may_connect(); ++i) {
      connections.push_back(PeerConnection::connect_to(control.port));
      if (!connections.back().is_open()) continue;
      if (i % 3 == 1) connections.back().send("POST /api HTTP/1.1\r\nRequest-");
      if (i % 3 == 2) connections.back().send("GET /healthz HTTP/1.1\r\n\r\n");
    }
    sleep_until(steady_seconds() + random.between(0.3, 1), control);
  }
}

}  // namespace asterdrift::soak
