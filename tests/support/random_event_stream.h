// A long random stream of valid events for one Balancer, and a digest of its decisions: it shows whether a
// change of how endpoints are stored has changed any decision.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "support/balancer_fixture.h"
#include "support/event_digest.h"
#include "support/linear_congruential_random.h"

namespace asterdrift::balancer {

class RandomEventStream {
 public:
  // The seed sets the settings, the balancer's own seed and the events.
  RandomEventStream(std::uint64_t seed, std::size_t endpoints);

  void run(int steps);

  std::uint64_t digest() const { return digest_.value(); }  // of all actions so far
  std::size_t attempts() const { return attempts_; }
  std::size_t retries() const { return retries_; }

 private:
  struct SimulatedEndpoint {
    Endpoint advertised;
    double mean_latency = 0.1;  // s
    double failure_probability = 0;
  };
  struct OpenAttempt {
    std::string request_id;
    int number = 0;
    double sent_at = 0;
    Outcome outcome = Outcome::kSuccess;
  };

  void step();
  void end_due_attempts();
  void send_request();
  void change_latencies();
  void observe_endpoints();

  void replace_endpoint(SimulatedEndpoint& endpoint);
  void update_endpoints();
  void change_endpoint(SimulatedEndpoint& endpoint, EndpointUpdate& update);
  EndpointUpdate snapshot_of(bool (*is_listed)(EndpointState)) const;

  void handle(const Event& event);
  void record(const SendAttempt& send);
  void record(const CancelAttempt& cancel);
  void record(const SetTimer& timer);
  void record(const RejectRequest& reject) { digest_.add(reject.id); }
  void record(const FailRequest& fail) { digest_.add(fail.id); }
  void record(const WatchEndpoints&) {}
  void record(const LogLine& line) { digest_.add(line.text); }

  LinearCongruentialRandom random_;
  TestReplica replica_;
  double now_ = 0;
  std::size_t requests_ = 1;
  std::size_t addresses_ = 0;
  std::size_t attempts_ = 0;
  std::size_t retries_ = 0;
  std::vector<SimulatedEndpoint> endpoints_;
  std::multimap<double, OpenAttempt> open_attempts_;  // by their end
  std::map<std::string, int> attempts_of_request_;
  EventDigest digest_;
};

}  // namespace asterdrift::balancer
