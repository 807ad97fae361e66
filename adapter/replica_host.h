// Hosts the balancer replicas of all simulated processes.
#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "adapter/wire_reader.h"
#include "adapter/wire_writer.h"
#include "asterdrift/balancer/balancer.h"
#include "asterdrift/seconds.h"
#include "json/fields.h"

namespace asterdrift::adapter {

// Passes the items of a batch to the replicas to which they are addressed, and collects the replicas'
// actions.
class ReplicaHost {
 public:
  // Handles one batch, and returns the reply, which is valid until the next batch. Throws json::FormatError
  // if the batch does not have the required form. Exceptions of a balancer become part of the reply.
  const rapidjson::StringBuffer& handle_batch(const json::Json& batch);

 private:
  using Replica = std::unique_ptr<balancer::Balancer>;  // null while the simulated process is stopped

  void handle_replica(Seconds now, const json::Json& entry);
  void handle_item(Seconds now, const json::Json& item, Replica& replica);
  void start_replica(Seconds now, const json::Json& item, Replica& replica);
  void stop_replica(Replica& replica);

  std::map<int, Replica> replicas_;
  EndpointTables tables_;
  std::vector<balancer::Action> actions_;  // the actions of the replica that is being handled
  ReplyWriter reply_;
};

}  // namespace asterdrift::adapter
