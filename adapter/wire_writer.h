// Writes the simulator's protocol: one line of reply for each batch.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "asterdrift/balancer/actions.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace asterdrift::adapter {

// Writes the reply to one batch at a time, into a buffer that is reused.
class ReplyWriter {
 public:
  // Begins the reply to the batch with this number.
  void begin(std::uint64_t turn);

  // Adds the actions of one replica and, if its balancer has thrown an exception, the message of the
  // exception.
  void add_replica(int replica, const std::vector<balancer::Action>& actions,
                   const std::optional<std::string>& error);

  // Completes the reply, which is valid until the next call of begin().
  const rapidjson::StringBuffer& finish();

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_;
};

}  // namespace asterdrift::adapter
