// Lists of endpoints in discovery's form.
//
// The fields of the JSON text have the names that the operators' protocol gives them; they are read here and
// in endpoint_list_reader.cpp alone.
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

// A list that is not valid, or too large for this node's memory.
class EndpointListError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One entry of a list.
struct ListedEndpoint {
  balancer::Endpoint endpoint;                    // its address is a name that is the same at every node
  boost::asio::ip::tcp::endpoint socket_address;  // none for one that has been removed
};

// All endpoints, or those that have changed since an earlier version.
struct EndpointList {
  std::uint64_t version = 0;
  bool is_snapshot = false;  // else only the endpoints that have changed
  std::vector<ListedEndpoint> endpoints;
};

constexpr std::size_t kNoEndpointLimit = std::numeric_limits<std::size_t>::max();

// zones: their names in the order of the settings. max_endpoints: a longer list is rejected.
// Throws EndpointListError.
EndpointList parse_endpoint_list(std::string_view text, const std::vector<std::string>& zones,
                                 std::size_t max_endpoints = kNoEndpointLimit);

// One entry of a list. Throws json::FormatError.
ListedEndpoint parse_listed_endpoint(const json::Json& entry, const std::vector<std::string>& zones);

// An address and a port, such as 127.0.0.1:3000 or [::1]:3000. Throws json::FormatError.
boost::asio::ip::tcp::endpoint parse_socket_address(std::string_view text);

}  // namespace asterdrift::node::config
