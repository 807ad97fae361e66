#include "node/config/endpoint_list.h"

#include <boost/asio/error.hpp>
#include <charconv>
#include <optional>

#include "node/config/endpoint_list_reader.h"
#include "node/timing/clock.h"

namespace asterdrift::node::config {
namespace {

// The index of a zone among the zones of the settings. An unknown zone gets an index of its own, so that it
// is never taken for this node's zone.
int zone_index(std::string_view name, const std::vector<std::string>& zones) {
  for (std::size_t i = 0; i < zones.size(); ++i) {
    if (zones[i] == name) return static_cast<int>(i);
  }
  return static_cast<int>(zones.size());
}

balancer::EndpointState parse_state(const json::Json& entry) {
  const std::string_view health = json::string(entry, "health");
  if (health == "active") return balancer::EndpointState::kReady;
  if (health == "leaving") return balancer::EndpointState::kDraining;
  if (health == "left") return balancer::EndpointState::kRemoved;
  json::throw_unexpected("health", "active, leaving or left");
}

}  // namespace

boost::asio::ip::tcp::endpoint parse_socket_address(std::string_view text, const char* source) {
  const std::size_t colon = text.rfind(':');
  unsigned short port = 0;
  boost::system::error_code error = boost::asio::error::invalid_argument;
  boost::asio::ip::address address;
  if (colon != std::string_view::npos) {
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    address = boost::asio::ip::make_address(host, error);
    const char* text_end = text.data() + text.size();
    const auto [parse_end, port_error] = std::from_chars(text.data() + colon + 1, text_end, port);
    if (port_error != std::errc() || parse_end != text_end) error = boost::asio::error::invalid_argument;
  }
  if (error) {
    throw json::FormatError(std::string(source) + " is '" + std::string(text) +
                            "', expected an IP address and a port such as 127.0.0.1:3000 or [::1]:3000");
  }
  return {address, port};
}

ListedEndpoint parse_listed_endpoint(const json::Json& entry, const std::vector<std::string>& zones) {
  ListedEndpoint listed;
  balancer::Endpoint& endpoint = listed.endpoint;
  endpoint.address = json::string(entry, "host");
  if (endpoint.address.empty()) json::throw_unexpected("host", "a name of at least one character");
  endpoint.state = parse_state(entry);
  if (endpoint.state != balancer::EndpointState::kRemoved) {
    listed.socket_address = parse_socket_address(json::string(entry, "dial"), "field 'dial'");
  }
  if (json::find(entry, "site") != nullptr) endpoint.zone = zone_index(json::string(entry, "site"), zones);
  endpoint.cell = json::integer_or(entry, "block", 0);
  endpoint.weight = json::number_or(entry, "share", 1);
  endpoint.started_at = timing::to_steady_time(json::number_or(entry, "born_ms", 0));
  return listed;
}

EndpointList parse_endpoint_list(std::string_view text, const std::vector<std::string>& zones,
                                 std::size_t max_endpoints) {
  EndpointListReader reader(zones, max_endpoints);
  std::optional<EndpointList> list;
  while (!text.empty()) {
    const EndpointListReader::Progress progress = reader.feed(text);
    const bool has_list = progress.event == EndpointListReader::Event::kList;
    if (list && (has_list || reader.is_inside_list())) {
      throw EndpointListError("more than one endpoint list, expected one");
    }
    if (has_list) list = reader.take_list();
    text.remove_prefix(progress.bytes);
  }
  if (!list) throw EndpointListError("not valid JSON: the endpoint list has no end");
  return std::move(*list);
}

}  // namespace asterdrift::node::config
