// A minimal program that uses the installed library: one endpoint, one request, one attempt.
#include <iostream>
#include <variant>
#include <vector>

#include "asterdrift/balancer/balancer.h"

int main() {
  asterdrift::balancer::Settings settings;
  asterdrift::balancer::RequestClass lookup;
  lookup.latency_objective = 0.5;
  lookup.timeout = 2;
  lookup.idempotency = asterdrift::balancer::Idempotency::kIdempotent;
  settings.classes = {lookup};
  settings.max_attempts = 3;

  asterdrift::balancer::Balancer balancer(settings, 42);
  std::vector<asterdrift::balancer::Action> actions;
  asterdrift::balancer::EndpointUpdate update;
  update.endpoints.push_back({.address = "10.0.0.1:80"});
  balancer.handle(0.0, update, actions);
  balancer.handle(0.1, asterdrift::balancer::Request{.id = "r1", .time_left = 2}, actions);
  for (const asterdrift::balancer::Action& action : actions) {
    if (const auto* attempt = std::get_if<asterdrift::balancer::SendAttempt>(&action)) {
      std::cout << attempt->id << " -> " << attempt->endpoint << ", timeout " << attempt->timeout << " s\n";
      return 0;
    }
  }
  std::cerr << "expected a SendAttempt action for request r1, but there is none\n";
  return 1;
}
