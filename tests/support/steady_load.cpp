#include "support/steady_load.h"

namespace asterdrift::balancer {

Settings settings_with_quota(double quota) {
  Settings settings = basic_settings();
  settings.tenants = {{quota}};
  return settings;
}

int send_steady_load(TestReplica& replica, Seconds start, Seconds duration, double rate,
                     const std::string& id_prefix, Outcome outcome) {
  int admitted = 0;
  const int requests = static_cast<int>(duration * rate);
  for (int i = 0; i < requests; ++i) {
    replica.now = start + i / rate;
    const std::string id = id_prefix + std::to_string(i);
    if (actions_of_type<SendAttempt>(replica.request(id)).empty()) continue;
    ++admitted;
    const auto actions = replica.end_attempt(id, outcome);
    for (const SendAttempt& retry : actions_of_type<SendAttempt>(actions))
      replica.end_attempt(retry.id, Outcome::kSuccess, 1);
  }
  return admitted;
}

}  // namespace asterdrift::balancer
