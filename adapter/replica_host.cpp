// Starts, stops and drives replicas.
#include "adapter/replica_host.h"

#include <exception>
#include <optional>
#include <string>

#include "json/settings_parser.h"

namespace asterdrift::adapter {

using json::Json;

const rapidjson::StringBuffer& ReplicaHost::handle_batch(const Json& batch) {
  const double now = json::number(batch, "clock");
  reply_.begin(json::unsigned_integer(batch, "turn"));
  for (const Json& node : json::array(batch, "nodes").GetArray()) handle_replica(now, node);
  return reply_.finish();
}

// A replica handles the items after one that has failed too. Its reply has the first error only.
void ReplicaHost::handle_replica(double now, const Json& node) {
  const int number = json::integer(node, "who");
  Replica& replica = replicas_[number];
  actions_.clear();
  std::optional<std::string> error_message;
  for (const Json& item : json::array(node, "news").GetArray()) {
    try {
      handle_item(now, item, replica);
    } catch (const json::FormatError&) {
      throw;
    } catch (const std::exception& error) {
      if (!error_message) error_message = error.what();
    }
  }
  if (!actions_.empty() || error_message) reply_.add_replica(number, actions_, error_message);
}

void ReplicaHost::handle_item(double now, const Json& item, Replica& replica) {
  const std::string_view kind = json::string(item, "kind");
  if (kind == "TABLE") {
    tables_.read(item);
  } else if (kind == "OPEN_INSTANCE") {
    start(now, item, replica);
  } else if (kind == "POWER_OFF") {
    stop(replica);
  } else {
    const std::optional<balancer::Event> event = read_event(kind, item, tables_);
    if (event && replica != nullptr) replica->handle(now, *event, actions_);
  }
}

void ReplicaHost::start(double now, const Json& item, Replica& replica) {
  replica.reset();
  const balancer::Settings settings = json::parse_settings(json::require(item, "config"));
  replica = std::make_unique<balancer::Balancer>(settings, json::unsigned_integer(item, "initSeed"));
  actions_.clear();  // those of the previous process in this batch
  replica->handle(now, balancer::ReplicaStarted{}, actions_);
}

void ReplicaHost::stop(Replica& replica) {
  replica.reset();
  actions_.clear();
}

}  // namespace asterdrift::adapter
