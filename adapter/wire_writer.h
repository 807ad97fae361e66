// Writes the simulator's wire: one reply line for each batch.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "asterdrift/balancer/actions.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace asterdrift::adapter {

// The reply to one batch at a time, in a buffer that is reused.
class ReplyWriter {
 public:
  // Starts the reply to the batch with this number.
  void begin(std::uint64_t turn);

  // Adds the actions of one replica, and the message of an exception of its balancer.
  void add_replica(int replica, const std::vector<balancer::Action>& actions,
                   const std::optional<std::string>& error);

  // Completes the reply. It is valid until the next begin().
  const rapidjson::StringBuffer& finish();

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_;
};

}  // namespace asterdrift::adapter
