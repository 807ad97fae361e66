// simulator-adapter: hosts balancer replicas on the simulator's wire (one JSON line in, one out). It parses,
// translates, writes and flushes; every decision is the balancer's.
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "json/fields.h"
#include "json/settings_reader.h"
#include "rapidjson/document.h"
#include "rapidjson/error/en.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace asterdrift::adapter {
namespace {

using namespace json;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

balancer::Outcome read_outcome(std::string_view name) {
  if (name == "delivered") return balancer::Outcome::kSuccess;
  if (name == "app_error") return balancer::Outcome::kServerError;
  if (name == "shed") return balancer::Outcome::kRejected;
  if (name == "expired") return balancer::Outcome::kTimedOut;
  if (name == "dial_failed") return balancer::Outcome::kConnectFailed;
  if (name == "dropped") return balancer::Outcome::kConnectionReset;
  if (name == "revoked") return balancer::Outcome::kCancelled;
  if (name == "unused") return balancer::Outcome::kNotSent;
  return balancer::Outcome::kUnknown;
}

balancer::Endpoint read_endpoint(const Json& in) {
  balancer::Endpoint out;
  out.address = string(in, "server");
  out.zone = integer_or(in, "rackZone", 0);
  out.cell = integer_or(in, "pack", 0);
  out.weight = number_or(in, "units", 1);
  out.started_at = number_or(in, "since", 0);
  const std::string_view mode = string(in, "mode");
  if (mode == "Ready") {
    out.state = balancer::EndpointState::kReady;
  } else if (mode == "Terminating") {
    out.state = balancer::EndpointState::kDraining;
  } else if (mode == "Gone") {
    out.state = balancer::EndpointState::kRemoved;
  } else {
    throw_unexpected("mode", "Ready, Terminating or Gone");
  }
  return out;
}

balancer::Request read_request(const Json& in) {
  constexpr int kHintValid = 1;
  constexpr int kClientRepeats = 2;
  balancer::Request out;
  out.id = string(in, "txn");
  out.tenant = index_or_zero(in, "account");
  out.request_class = index_or_zero(in, "profile");
  out.time_left = number(in, "timeLeft");
  const int opts = integer_or(in, "opts", 0);
  if ((opts & kHintValid) != 0 && find(in, "cost") != nullptr) out.announced_work = number(in, "cost");
  out.is_client_retry = (opts & kClientRepeats) != 0;
  return out;
}

// Writes one action as a JSON object.
struct WriteAction {
  Writer& out;

  void start(const char* kind) const {
    out.StartObject();
    out.Key("kind");
    out.String(kind);
  }
  void field(const char* name, const std::string& value) const {
    out.Key(name);
    out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void field(const char* name, double value) const {
    out.Key(name);
    out.Double(value);
  }
  void operator()(const balancer::SendAttempt& a) const {
    start("CALL_OUT");
    field("txn", a.id);
    field("server", a.endpoint);
    field("patience", a.timeout);
    out.EndObject();
  }
  void operator()(const balancer::RejectRequest& a) const {
    start("SAY_NO");
    field("txn", a.id);
    if (a.retry_after > 0) field("notBeforeFor", a.retry_after);
    out.EndObject();
  }
  void operator()(const balancer::FailRequest& a) const {
    start("ERROR");
    field("txn", a.id);
    out.EndObject();
  }
  void operator()(const balancer::CancelAttempt& a) const {
    start("ABANDON");
    field("txn", a.id);
    out.Key("try");
    out.Int(a.attempt);
    out.EndObject();
  }
  void operator()(const balancer::SetTimer& a) const {
    start("TIMER");
    field("dueAt", a.at);
    out.Key("keyBack");
    out.Uint64(a.token);
    out.EndObject();
  }
  void operator()(const balancer::WatchEndpoints&) const {
    start("TAIL");
    out.Key("want");
    out.Bool(true);
    out.EndObject();
  }
  void operator()(const balancer::LogLine& a) const {
    start("JOURNAL_LINE");
    field("noteText", a.text);
    out.EndObject();
  }
};

// Hosts the replicas of all simulated processes.
class ReplicaHost {
 public:
  // Handles one batch of events; returns the reply line.
  const rapidjson::StringBuffer& handle_batch(const Json& batch) {
    const double now = number(batch, "clock");
    buffer_.Clear();
    writer_.Reset(buffer_);
    writer_.StartObject();
    writer_.Key("turn");
    writer_.Uint64(unsigned_integer(batch, "turn"));
    writer_.Key("nodes");
    writer_.StartArray();
    for (const Json& node : array(batch, "nodes").GetArray()) handle_replica(now, node);
    writer_.EndArray();
    writer_.EndObject();
    return buffer_;
  }

 private:
  void handle_replica(double now, const Json& node) {
    const int who = integer(node, "who");
    std::unique_ptr<balancer::Balancer>& replica = replicas_[who];
    actions_.clear();
    std::optional<std::string> fault;
    for (const Json& item : array(node, "news").GetArray()) {
      try {
        handle_item(now, item, replica);
      } catch (const FormatError&) {
        throw;
      } catch (const std::exception& error) {  // the balancer's own: the simulator reports it
        if (!fault) fault = error.what();
      }
    }
    if (actions_.empty() && !fault) return;
    writer_.StartObject();
    writer_.Key("who");
    writer_.Int(who);
    writer_.Key("steps");
    writer_.StartArray();
    for (const balancer::Action& action : actions_) std::visit(WriteAction{writer_}, action);
    if (fault) {
      writer_.StartObject();
      writer_.Key("kind");
      writer_.String("PANIC");
      writer_.Key("noteText");
      writer_.String(fault->c_str());
      writer_.EndObject();
    }
    writer_.EndArray();
    writer_.EndObject();
  }

  void handle_item(double now, const Json& item, std::unique_ptr<balancer::Balancer>& replica) {
    const std::string_view kind = string(item, "kind");
    if (kind == "TABLE") {
      read_table(item);
      return;
    }
    if (kind == "OPEN_INSTANCE") {
      replica.reset();
      replica = std::make_unique<balancer::Balancer>(read_settings(require(item, "config")),
                                                     unsigned_integer(item, "initSeed"));
      actions_.clear();  // actions from before a stop in this batch are void
      replica->handle(now, balancer::Started{}, actions_);
    } else if (kind == "POWER_OFF") {
      replica.reset();
      actions_.clear();
    } else if (const std::optional<balancer::Event> event = read_event(kind, item);
               event && replica != nullptr) {
      replica->handle(now, *event, actions_);
    }
  }

  void read_table(const Json& item) {
    std::vector<balancer::Endpoint> servers;
    for (const Json& entry : array(item, "nodesList").GetArray()) servers.push_back(read_endpoint(entry));
    tables_[integer(item, "sheet")] = std::move(servers);
  }

  std::optional<balancer::Event> read_event(std::string_view kind, const Json& item) const {
    if (kind == "QUERY") return read_request(item);
    if (kind == "DONE") {
      return balancer::AttemptResult{std::string(string(item, "txn")), integer_or(item, "try", 0),
                                     read_outcome(string(item, "outcome")), number_or(item, "lag", 0),
                                     flag(item, "doneFlag")};
    }
    if (kind == "FIRED") return balancer::TimerFired{unsigned_integer(item, "keyBack")};
    if (kind == "GONE") return balancer::RequestAborted{std::string(string(item, "txn"))};
    if (kind == "DIRECTORY_UPDATE") return read_update(item);
    if (kind == "ACK_FIRST") {
      return balancer::ResponseStarted{std::string(string(item, "txn")), integer_or(item, "try", 0),
                                       number_or(item, "lag", 0)};
    }
    return std::nullopt;  // STATUS_BACK, MEMO and unknown kinds: nothing here asks for them
  }

  balancer::EndpointUpdate read_update(const Json& item) const {
    const std::string_view form = string(item, "form");
    balancer::EndpointUpdate out;
    if (form == "X") {
      out.form = balancer::EndpointUpdate::Form::kWatchFailed;
      return out;
    }
    if (form == "D") {
      out.form = balancer::EndpointUpdate::Form::kIncremental;
    } else if (form != "F" && form != "C") {
      throw_unexpected("form", "D, F, C or X");
    }
    const auto table = tables_.find(integer(item, "sheet"));
    if (table == tables_.end()) throw_unexpected("sheet", "the number of a list that was sent");
    out.endpoints = table->second;
    return out;
  }

  std::map<int, std::unique_ptr<balancer::Balancer>> replicas_;
  std::map<int, std::vector<balancer::Endpoint>>
      tables_;  // the numbered endpoint lists, shared by all replicas
  std::vector<balancer::Action> actions_;
  rapidjson::StringBuffer buffer_;
  Writer writer_;
};

// Reads batches from standard input up to its end; returns the exit code.
int run() {
  std::ios::sync_with_stdio(false);
  ReplicaHost host;
  std::string line;
  std::uint64_t lines = 0;
  while (std::getline(std::cin, line)) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    ++lines;
    std::string turn = "unknown";
    try {
      rapidjson::Document batch;
      batch.ParseInsitu(line.data());
      if (batch.HasParseError()) {
        throw FormatError(std::string("not valid JSON: ") +
                          rapidjson::GetParseError_En(batch.GetParseError()) + " at byte " +
                          std::to_string(batch.GetErrorOffset()));
      }
      turn = std::to_string(unsigned_integer(batch, "turn"));
      const rapidjson::StringBuffer& reply = host.handle_batch(batch);
      std::fwrite(reply.GetString(), 1, reply.GetSize(), stdout);
      std::fputc('\n', stdout);
      if (std::fflush(stdout) != 0) return 1;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "simulator-adapter: line %llu, turn %s: %s\n",
                   static_cast<unsigned long long>(lines), turn.c_str(), error.what());
      return 2;
    }
  }
  return 0;
}

}  // namespace
}  // namespace asterdrift::adapter

int main() { return asterdrift::adapter::run(); }
