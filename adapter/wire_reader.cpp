// Maps the names of the simulator's protocol to the balancer's events.
#include "adapter/wire_reader.h"

#include <string>
#include <utility>

namespace asterdrift::adapter {
namespace {

using json::Json;

// Bits of the field "opts" of a request.
constexpr int kWorkIsAnnouncedBit = 1;
constexpr int kIsClientRetryBit = 2;

std::string parse_request_id(const Json& item) { return std::string(json::string(item, "txn")); }

balancer::Outcome parse_outcome(const Json& item) {
  const std::string_view name = json::string(item, "outcome");
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

balancer::EndpointState parse_endpoint_state(const Json& entry) {
  const std::string_view name = json::string(entry, "mode");
  if (name == "Ready") return balancer::EndpointState::kReady;
  if (name == "Terminating") return balancer::EndpointState::kDraining;
  if (name == "Gone") return balancer::EndpointState::kRemoved;
  json::throw_unexpected("mode", json::require(entry, "mode"), "Ready, Terminating or Gone");
}

balancer::Endpoint parse_endpoint(const Json& entry) {
  balancer::Endpoint endpoint;
  endpoint.address = json::string(entry, "server");
  endpoint.zone = json::integer_or(entry, "rackZone", 0);
  endpoint.cell = json::integer_or(entry, "pack", 0);
  endpoint.weight = json::number_or(entry, "units", 1);
  endpoint.started_at = json::number_or(entry, "since", 0);
  endpoint.state = parse_endpoint_state(entry);
  return endpoint;
}

balancer::Request parse_request(const Json& item) {
  balancer::Request request;
  request.id = parse_request_id(item);
  request.tenant = json::index_or_zero(item, "account");
  request.request_class = json::index_or_zero(item, "profile");
  request.time_left = json::number(item, "timeLeft");
  const int options = json::integer_or(item, "opts", 0);
  const bool work_is_announced = (options & kWorkIsAnnouncedBit) != 0;
  if (work_is_announced && json::find(item, "cost") != nullptr) {
    request.announced_work = json::number(item, "cost");
  }
  request.is_client_retry = (options & kIsClientRetryBit) != 0;
  return request;
}

balancer::AttemptResult parse_attempt_result(const Json& item) {
  balancer::AttemptResult result;
  result.id = parse_request_id(item);
  result.attempt = json::integer_or(item, "try", 0);
  result.outcome = parse_outcome(item);
  result.elapsed = json::number_or(item, "lag", 0);
  result.request_done = json::flag(item, "doneFlag");
  return result;
}

balancer::ResponseStarted parse_response_started(const Json& item) {
  balancer::ResponseStarted started;
  started.id = parse_request_id(item);
  started.attempt = json::integer_or(item, "try", 0);
  started.elapsed = json::number_or(item, "lag", 0);
  return started;
}

balancer::EndpointUpdate::Form parse_update_form(const Json& item) {
  const std::string_view name = json::string(item, "form");
  if (name == "D") return balancer::EndpointUpdate::Form::kIncremental;
  if (name == "F" || name == "C") return balancer::EndpointUpdate::Form::kSnapshot;
  if (name == "X") return balancer::EndpointUpdate::Form::kWatchFailed;
  json::throw_unexpected("form", json::require(item, "form"), "D, F, C or X");
}

balancer::EndpointUpdate parse_update(const Json& item, const EndpointTables& tables) {
  balancer::EndpointUpdate update;
  update.form = parse_update_form(item);
  if (update.form != balancer::EndpointUpdate::Form::kWatchFailed) {
    update.endpoints = tables.referenced_by(item);
  }
  return update;
}

}  // namespace

void EndpointTables::add(const Json& item) {
  std::vector<balancer::Endpoint> endpoints;
  for (const Json& entry : json::array(item, "nodesList").GetArray())
    endpoints.push_back(parse_endpoint(entry));
  tables_[json::integer(item, "sheet")] = std::move(endpoints);
}

const std::vector<balancer::Endpoint>& EndpointTables::referenced_by(const Json& update) const {
  const auto table = tables_.find(json::integer(update, "sheet"));
  if (table == tables_.end()) {
    json::throw_unexpected("sheet", json::require(update, "sheet"),
                           "the number of a list that was sent before");
  }
  return table->second;
}

std::optional<balancer::Event> parse_event(std::string_view kind, const Json& item,
                                           const EndpointTables& tables) {
  if (kind == "QUERY") return parse_request(item);
  if (kind == "DONE") return parse_attempt_result(item);
  if (kind == "ACK_FIRST") return parse_response_started(item);
  if (kind == "GONE") return balancer::RequestAborted{parse_request_id(item)};
  if (kind == "DIRECTORY_UPDATE") return parse_update(item, tables);
  if (kind == "FIRED") return balancer::TimerFired{json::unsigned_integer(item, "keyBack")};
  return std::nullopt;
}

}  // namespace asterdrift::adapter
