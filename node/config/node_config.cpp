#include "node/config/node_config.h"

#include <cerrno>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string_view>
#include <system_error>
#include <utility>

#include "json/fields.h"
#include "json/settings_parser.h"

namespace asterdrift::node::config {
namespace {

using json::Json;

constexpr int kMinSockets = 64;
constexpr double kMinMemoryMb = 16, kMaxMemoryMb = 1e6;  // the maximum itself is too large
constexpr int kHexadecimalBase = 16;

// A configuration text, separated into the object in the field "known" and all other fields.
struct ConfigText {
  std::string_view known_endpoints;  // the JSON object, a part of the text; empty if there is none
  std::string other_fields;          // the configuration with null as the value of "known"
};

// Separates the endpoint list from the configuration. The list is parsed by EndpointListReader, since a long
// list in one JSON document would take ten times its size. If the text is not well nested, it is not
// separated: the JSON parser then reports the error in the whole text.
ConfigText separate_known_endpoints(std::string_view text) {
  constexpr std::string_view kKey = "\"known\"";
  std::size_t depth = 0;         // number of open brackets
  std::size_t object_begin = 0;  // position of the object's opening bracket; 0: none yet
  bool in_string = false;
  bool value_is_next = false;  // the last string between the configuration's fields is the key
  for (std::size_t position = 0; position < text.size(); ++position) {
    const char c = text[position];
    if (in_string) {
      if (c == '\\') ++position;  // skips the escaped character
      in_string = c != '"';
      continue;
    }
    in_string = c == '"';
    if (c == '"' && depth == 1) value_is_next = text.substr(position).starts_with(kKey);
    if (c == ',') value_is_next = false;
    if (c == '{' && depth == 1 && value_is_next && object_begin == 0) object_begin = position;
    if (c == '{' || c == '[') ++depth;
    if ((c == '}' || c == ']') && depth > 0 && --depth == 1 && object_begin > 0) {
      const std::size_t object_end = position + 1;
      std::string other_fields(text.substr(0, object_begin));
      other_fields.append("null").append(text.substr(object_end));
      return {text.substr(object_begin, object_end - object_begin), std::move(other_fields)};
    }
  }
  return {{}, std::string(text)};
}

std::vector<std::string> parse_names(const Json& array) {
  std::vector<std::string> names;
  for (const Json& item : array.GetArray()) names.emplace_back(json::string(item, "name"));
  return names;
}

std::vector<std::string> parse_zones(const Json& array) {
  std::vector<std::string> zones;
  for (const Json& zone : array.GetArray()) {
    if (!zone.IsString()) json::throw_unexpected("azs", "an array of strings");
    zones.emplace_back(zone.GetString(), zone.GetStringLength());
  }
  return zones;
}

std::uint64_t parse_seed(std::string_view text) {
  std::uint64_t seed = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, seed, kHexadecimalBase);
  if (error != std::errc() || end != text_end)
    json::throw_unexpected("seed", "a hexadecimal number of at most 64 bits");
  return seed;
}

void parse_limits(const Json& limits, NodeConfig& config) {
  const int sockets = json::integer_or(limits, "sockets", static_cast<int>(config.max_sockets));
  if (sockets < kMinSockets) json::throw_unexpected("sockets", "64 or more");
  config.max_sockets = static_cast<std::size_t>(sockets);
  const double memory_mb = json::number_or(limits, "memory_mb", static_cast<double>(config.memory_mb));
  if (!(memory_mb >= kMinMemoryMb && memory_mb < kMaxMemoryMb)) {
    json::throw_unexpected("memory_mb", "at least 16 and below 1000000");
  }
  config.memory_mb = static_cast<std::size_t>(memory_mb);
}

void parse_settings(const Json& settings, NodeConfig& config) {
  config.settings = json::parse_settings(settings);
  config.classes = parse_names(json::array(settings, "categories"));
  if (json::find(settings, "realms") != nullptr) {
    config.tenants = parse_names(json::array(settings, "realms"));
  }
  if (json::find(settings, "azs") != nullptr) config.zones = parse_zones(json::array(settings, "azs"));
  const Json& bounds = json::require(settings, "bounds");
  config.connect_timeout = json::number_or(bounds, "dialTimeout", config.connect_timeout);
  config.server_idle_timeout = json::number_or(bounds, "idleClose", config.server_idle_timeout);
  if (!(config.connect_timeout > 0)) json::throw_unexpected("dialTimeout", "a number of seconds above 0");
  if (!(config.server_idle_timeout > 0)) json::throw_unexpected("idleClose", "a number of seconds above 0");
}

NodeConfig parse_fields(const std::string& text) {
  const ConfigText parts = separate_known_endpoints(text);
  const rapidjson::Document fields = json::parse(parts.other_fields);
  NodeConfig config;
  config.name = json::string(fields, "name");
  config.listen_address = parse_socket_address(json::string(fields, "listen"), "field 'listen'");
  config.discovery_address = parse_socket_address(json::string(fields, "discovery"), "field 'discovery'");
  if (json::find(fields, "management") != nullptr) {
    config.admin_address = parse_socket_address(json::string(fields, "management"), "field 'management'");
  }
  config.seed = parse_seed(json::string(fields, "seed"));
  if (const Json* limits = json::find(fields, "limits")) parse_limits(*limits, config);
  parse_settings(json::require(fields, "settings"), config);
  if (json::find(fields, "known") != nullptr) json::throw_unexpected("known", "an endpoint list (an object)");
  if (!parts.known_endpoints.empty()) {
    config.known_endpoints =
        parse_endpoint_list(parts.known_endpoints, config.zones, max_endpoints(config.memory_mb));
    config.known_endpoints->is_snapshot = true;
  }
  return config;
}

}  // namespace

std::size_t max_endpoints(std::size_t memory_mb) { return memory_mb * 1024 * 1024 / 2 / kBytesPerEndpoint; }

NodeConfig parse_config(const std::string& text) {
  try {
    return parse_fields(text);
  } catch (const json::FormatError& error) {
    throw ConfigurationError(error.what());
  } catch (const EndpointListError& error) {
    throw ConfigurationError(std::string("field 'known': ") + error.what());
  } catch (const std::invalid_argument& error) {  // a name that the settings do not define
    throw ConfigurationError(error.what());
  }
}

NodeConfig load_config() {
  const char* path = std::getenv("GW_CONFIG");
  if (path == nullptr) {
    throw ConfigurationError("GW_CONFIG is not set, expected the path of the configuration file");
  }
  std::ifstream file(path);
  if (!file) {
    const int reason = errno;
    throw ConfigurationError(std::string("cannot read the configuration file ") + path +
                             " (from GW_CONFIG): " + std::generic_category().message(reason));
  }
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  NodeConfig config = parse_config(text);
  const char* admin_address = std::getenv("GW_MANAGEMENT");
  if (config.admin_address || admin_address == nullptr) return config;
  try {
    config.admin_address = parse_socket_address(admin_address, "GW_MANAGEMENT");
  } catch (const json::FormatError& error) {
    throw ConfigurationError(error.what());
  }
  return config;
}

}  // namespace asterdrift::node::config
