#include "node/config/node_config.h"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string_view>

#include "json/fields.h"
#include "json/settings_parser.h"

namespace asterdrift::node::config {
namespace {

using json::Json;

constexpr int kMinSockets = 64;
constexpr double kMinMemoryMb = 16, kMaxMemoryMb = 1e6;
constexpr int kHexadecimal = 16;

// The endpoint list under `known`, and the configuration without it. A long list is read separately, since in
// one JSON document it would take ten times its size. Where the text is not well nested nothing is cut out;
// parsing then reports the error.
struct ConfigText {
  std::string_view known;
  std::string rest;
};

ConfigText split_known(std::string_view text) {
  constexpr std::string_view kKey = "\"known\"";
  std::size_t depth = 0, begin = 0;
  bool in_string = false, is_next = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char c = text[at];
    if (in_string) {
      if (c == '\\') ++at;
      in_string = c != '"';
      continue;
    }
    in_string = c == '"';
    if (c == '"' && depth == 1) is_next = text.substr(at).starts_with(kKey);
    if (c == ',') is_next = false;
    if (c == '{' && depth == 1 && is_next && begin == 0) begin = at;
    if (c == '{' || c == '[') ++depth;
    if ((c == '}' || c == ']') && depth > 0 && --depth == 1 && begin > 0) {
      const std::size_t end = at + 1;
      std::string rest(text.substr(0, begin));
      return {text.substr(begin, end - begin), rest.append("null").append(text.substr(end))};
    }
  }
  return {{}, std::string(text)};
}

std::vector<std::string> read_names(const Json& array) {
  std::vector<std::string> names;
  for (const Json& item : array.GetArray()) names.emplace_back(json::string(item, "name"));
  return names;
}

std::vector<std::string> read_zones(const Json& array) {
  std::vector<std::string> zones;
  for (const Json& zone : array.GetArray()) {
    if (!zone.IsString()) json::throw_unexpected("azs", "an array of names");
    zones.emplace_back(zone.GetString(), zone.GetStringLength());
  }
  return zones;
}

std::uint64_t read_seed(std::string_view text) {
  std::uint64_t seed = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, seed, kHexadecimal);
  if (error != std::errc() || end != text_end) json::throw_unexpected("seed", "a hexadecimal number");
  return seed;
}

void read_limits(const Json& limits, NodeConfig& out) {
  const int sockets = json::integer_or(limits, "sockets", static_cast<int>(out.max_sockets));
  if (sockets < kMinSockets) json::throw_unexpected("sockets", "64 or more");
  out.max_sockets = static_cast<std::size_t>(sockets);
  const double memory = json::number_or(limits, "memory_mb", static_cast<double>(out.memory_mb));
  if (!(memory >= kMinMemoryMb && memory < kMaxMemoryMb)) json::throw_unexpected("memory_mb", "16 or more");
  out.memory_mb = static_cast<std::size_t>(memory);
}

void read_settings(const Json& settings, NodeConfig& out) {
  out.settings = json::parse_settings(settings);
  out.classes = read_names(json::array(settings, "categories"));
  if (json::find(settings, "realms") != nullptr) out.tenants = read_names(json::array(settings, "realms"));
  if (json::find(settings, "azs") != nullptr) out.zones = read_zones(json::array(settings, "azs"));
  const Json& bounds = json::require(settings, "bounds");
  out.connect_timeout = json::number_or(bounds, "dialTimeout", out.connect_timeout);
  out.server_idle_timeout = json::number_or(bounds, "idleClose", out.server_idle_timeout);
  if (!(out.connect_timeout > 0)) json::throw_unexpected("dialTimeout", "above 0");
  if (!(out.server_idle_timeout > 0)) json::throw_unexpected("idleClose", "above 0");
}

NodeConfig read_fields(const std::string& text) {
  const ConfigText parts = split_known(text);
  const rapidjson::Document in = json::parse(parts.rest);
  NodeConfig out;
  out.name = json::string(in, "name");
  out.listen_address = parse_socket_address(json::string(in, "listen"));
  out.discovery_address = parse_socket_address(json::string(in, "discovery"));
  if (json::find(in, "management") != nullptr) {
    out.admin_address = parse_socket_address(json::string(in, "management"));
  }
  out.seed = read_seed(json::string(in, "seed"));
  if (const Json* limits = json::find(in, "limits")) read_limits(*limits, out);
  read_settings(json::require(in, "settings"), out);
  if (json::find(in, "known") != nullptr) json::throw_unexpected("known", "an object");
  if (!parts.known.empty()) {
    out.known_endpoints = parse_endpoint_list(parts.known, out.zones, max_endpoints(out.memory_mb));
    out.known_endpoints->is_snapshot = true;
  }
  return out;
}

}  // namespace

std::size_t max_endpoints(std::size_t memory_mb) { return memory_mb * 1024 * 1024 / 2 / kBytesPerEndpoint; }

NodeConfig parse_config(const std::string& text) {
  try {
    return read_fields(text);
  } catch (const json::FormatError& error) {
    throw ConfigurationError(error.what());
  } catch (const EndpointListError& error) {
    throw ConfigurationError(error.what());
  } catch (const std::invalid_argument& error) {  // a name that the settings do not know
    throw ConfigurationError(error.what());
  }
}

NodeConfig load_config() {
  const char* path = std::getenv("GW_CONFIG");
  if (path == nullptr) throw ConfigurationError("GW_CONFIG is not set");
  std::ifstream file(path);
  if (!file) throw ConfigurationError(std::string("cannot read ") + path);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  NodeConfig config = parse_config(text);
  const char* admin_address = std::getenv("GW_MANAGEMENT");
  if (config.admin_address || admin_address == nullptr) return config;
  try {
    config.admin_address = parse_socket_address(admin_address);
  } catch (const json::FormatError& error) {
    throw ConfigurationError(std::string("GW_MANAGEMENT: ") + error.what());
  }
  return config;
}

}  // namespace asterdrift::node::config
