// Maps the balancer's actions to the names of the simulator's protocol.
#include "adapter/wire_writer.h"

#include <variant>

namespace asterdrift::adapter {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// Writes one step of a replica, an action or an error, as a JSON object.
class StepWriter {
 public:
  explicit StepWriter(Writer& writer) : writer_(writer) {}

  void operator()(const balancer::SendAttempt& action) const {
    begin("CALL_OUT");
    field("txn", action.id);
    field("server", action.endpoint);
    field("patience", action.timeout);
    writer_.EndObject();
  }

  void operator()(const balancer::RejectRequest& action) const {
    begin("SAY_NO");
    field("txn", action.id);
    if (action.retry_after > 0) field("notBeforeFor", action.retry_after);
    writer_.EndObject();
  }

  void operator()(const balancer::FailRequest& action) const {
    begin("ERROR");
    field("txn", action.id);
    writer_.EndObject();
  }

  void operator()(const balancer::CancelAttempt& action) const {
    begin("ABANDON");
    field("txn", action.id);
    writer_.Key("try");
    writer_.Int(action.attempt);
    writer_.EndObject();
  }

  void operator()(const balancer::SetTimer& action) const {
    begin("TIMER");
    field("dueAt", action.at);
    writer_.Key("keyBack");
    writer_.Uint64(action.token);
    writer_.EndObject();
  }

  void operator()(const balancer::WatchEndpoints&) const {
    begin("TAIL");
    writer_.Key("want");
    writer_.Bool(true);
    writer_.EndObject();
  }

  void operator()(const balancer::LogLine& action) const {
    begin("JOURNAL_LINE");
    field("noteText", action.text);
    writer_.EndObject();
  }

  // Writes the message up to its first null character.
  void error(const std::string& message) const {
    begin("PANIC");
    writer_.Key("noteText");
    writer_.String(message.c_str());
    writer_.EndObject();
  }

 private:
  void begin(const char* kind) const {
    writer_.StartObject();
    writer_.Key("kind");
    writer_.String(kind);
  }

  void field(const char* name, const std::string& value) const {
    writer_.Key(name);
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }

  void field(const char* name, double value) const {
    writer_.Key(name);
    writer_.Double(value);
  }

  Writer& writer_;
};

}  // namespace

void ReplyWriter::begin(std::uint64_t turn) {
  buffer_.Clear();
  writer_.Reset(buffer_);
  writer_.StartObject();
  writer_.Key("turn");
  writer_.Uint64(turn);
  writer_.Key("nodes");
  writer_.StartArray();
}

void ReplyWriter::add_replica(int replica, const std::vector<balancer::Action>& actions,
                              const std::optional<std::string>& error) {
  const StepWriter write_step(writer_);
  writer_.StartObject();
  writer_.Key("who");
  writer_.Int(replica);
  writer_.Key("steps");
  writer_.StartArray();
  for (const balancer::Action& action : actions) std::visit(write_step, action);
  if (error) write_step.error(*error);
  writer_.EndArray();
  writer_.EndObject();
}

const rapidjson::StringBuffer& ReplyWriter::finish() {
  writer_.EndArray();
  writer_.EndObject();
  return buffer_;
}

}  // namespace asterdrift::adapter
