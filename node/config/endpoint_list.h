// Endpoint lists in the JSON format of discovery.
//
// The operators' protocol defines the names of the JSON fields. Only endpoint_list.cpp and
// endpoint_list_reader.cpp use these names.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "asterdrift/balancer/events.h"
#include "json/fields.h"

namespace asterdrift::node::config {

// An endpoint list that is not valid, or too large for this node's memory.
class EndpointListError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One entry of an endpoint list.
struct ListedEndpoint {
  // The endpoint's address is a name that is the same at every node.
  balancer::Endpoint endpoint;
  boost::asio::ip::tcp::endpoint socket_address;  // unspecified if the endpoint has been removed
};

// All endpoints, or those that have changed since an earlier version.
struct EndpointList {
  std::uint64_t version = 0;
  bool is_snapshot = false;  // false: incremental, with only the endpoints that have changed
  std::vector<ListedEndpoint> endpoints;
};

constexpr std::size_t kNoEndpointLimit = std::numeric_limits<std::size_t>::max();

// zones: the names of the zones in the order of the settings. max_endpoints: a longer list is rejected.
// Throws EndpointListError.
EndpointList parse_endpoint_list(std::string_view text, const std::vector<std::string>& zones,
                                 std::size_t max_endpoints = kNoEndpointLimit);

// Parses one entry of an endpoint list. Throws json::FormatError.
ListedEndpoint parse_listed_endpoint(const json::Json& entry, const std::vector<std::string>& zones);

// Parses an IP address and a port, such as 127.0.0.1:3000 or [::1]:3000. source: the field or variable that
// holds the text, for the error message. Throws json::FormatError.
boost::asio::ip::tcp::endpoint parse_socket_address(std::string_view text, const char* source);

}  // namespace asterdrift::node::config
