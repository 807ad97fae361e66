// Validates the framing and the headers of requests, and parses requests to /api.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "asterdrift/balancer/settings.h"
#include "node/config/node_config.h"
#include "node/dispatch/messages.h"
#include "node/downstream/request_parser.h"

namespace asterdrift::node::downstream {

// Checks requests against the classes and tenants of the configuration.
class RequestValidator {
 public:
  explicit RequestValidator(const config::NodeConfig& config);

  // Throws RequestError if the head does not define the end of its message unambiguously.
  static void check_framing(const RequestParser::Head& head);

  // Parses the head of a request to /api. The result has no body and no received_at. Throws RequestError.
  dispatch::DownstreamRequest parse_api_request(const RequestParser::Head& head) const;

  // The target of the request without its query.
  static std::string_view parse_path(const RequestParser::Head& head);

 private:
  using Indexes = std::unordered_map<std::string, std::size_t>;

  std::size_t parse_class(const RequestParser::Head& head) const;
  std::size_t parse_tenant(const RequestParser::Head& head) const;
  void check_matches_class(const RequestParser::Head& head,
                           const balancer::RequestClass& request_class) const;

  // The index of each class and of each tenant, by its name.
  Indexes class_indexes_, tenant_indexes_;
  std::vector<balancer::RequestClass> classes_;
};

}  // namespace asterdrift::node::downstream
