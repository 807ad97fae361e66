// Starts, stops and drives replicas.
#include "adapter/replica_host.h"

#include <exception>
#include <optional>
#include <string>

#include "json/settings_parser.h"

namespace asterdrift::adapter {

using json::Json;

const rapidjson::StringBuffer& ReplicaHost::handle_batch(const Json& batch) {
  const Seconds now = json::number(batch, "clock");
  reply_.begin(json::unsigned_integer(batch, "turn"));
  for (const Json& entry : json::array(batch, "nodes").GetArray()) handle_replica(now, entry);
  return reply_.finish();
}

// If an item fails, the replica still handles the remaining items, and the reply contains only the first
// error of the replica.
void ReplicaHost::handle_replica(Seconds now, const Json& entry) {
  const int number = json::integer(entry, "who");
  Replica& replica = replicas_[number];
  actions_.clear();
  std::optional<std::string> error_message;
  for (const Json& item : json::array(entry, "news").GetArray()) {
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

void ReplicaHost::handle_item(Seconds now, const Json& item, Replica& replica) {
  const std::string_view kind = json::string(item, "kind");
  if (kind == "TABLE") {
    tables_.add(item);
  } else if (kind == "OPEN_INSTANCE") {
    start_replica(now, item, replica);
  } else if (kind == "POWER_OFF") {
    stop_replica(replica);
  } else {
    const std::optional<balancer::Event> event = parse_event(kind, item, tables_);
    if (event && replica != nullptr) replica->handle(now, *event, actions_);
  }
}

void ReplicaHost::start_replica(Seconds now, const Json& item, Replica& replica) {
  replica.reset();
  const balancer::Settings settings = json::parse_settings(json::require(item, "config"));
  replica = std::make_unique<balancer::Balancer>(settings, json::unsigned_integer(item, "initSeed"));
  actions_.clear();  // discards the actions of the previous process in this batch
  replica->handle(now, balancer::ReplicaStarted{}, actions_);
}

void ReplicaHost::stop_replica(Replica& replica) {
  replica.reset();
  actions_.clear();
}

}  // namespace asterdrift::adapter
