// A long random stream of valid events for one Balancer, and a digest of its decisions. The digest shows
// whether a change of how endpoints are stored has changed any decision.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "asterdrift/seconds.h"
#include "support/balancer_fixture.h"
#include "support/event_digest.h"
#include "support/linear_congruential_random.h"

namespace asterdrift::balancer {

class RandomEventStream {
 public:
  // `seed` determines the settings, the balancer's own seed and the events.
  RandomEventStream(std::uint64_t seed, std::size_t endpoints);

  void run(int steps);

  // Digest of all actions so far, and of the endpoint metrics at random times.
  std::uint64_t digest() const { return digest_.value(); }
  std::size_t attempts() const { return attempts_; }
  std::size_t retries() const { return retries_; }

 private:
  struct SimulatedEndpoint {
    Endpoint advertised;
    Seconds mean_latency = 0.1;
    double failure_probability = 0;
  };
  struct OpenAttempt {
    std::string request_id;
    int number = 0;
    Seconds sent_at = 0;
    Outcome outcome = Outcome::kSuccess;
  };

  void run_step();
  void end_due_attempts();
  void send_request();
  void change_random_latencies();
  void record_endpoint_metrics();

  void replace_endpoint(SimulatedEndpoint& endpoint);
  void update_endpoints();
  void apply_random_change(SimulatedEndpoint& endpoint, EndpointUpdate& update);
  EndpointUpdate snapshot_matching(bool (*matches)(EndpointState)) const;

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
  Seconds now_ = 0;
  std::size_t next_request_id_ = 1;
  std::size_t next_address_number_ = 0;
  std::size_t attempts_ = 0;
  std::size_t retries_ = 0;
  std::vector<SimulatedEndpoint> endpoints_;
  std::multimap<Seconds, OpenAttempt> open_attempts_;  // open attempts by end time
  std::map<std::string, int> attempt_counts_;          // number of attempts by request id
  EventDigest digest_;
};

}  // namespace asterdrift::balancer
