// Validates the framing and the headers of requests.
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

// Knows the names of classes and tenants in the configuration.
class RequestValidator {
 public:
  explicit RequestValidator(const config::NodeConfig& config);

  // Throws RequestError for a head that does not define the end of its message unambiguously.
  static void check_framing(const RequestParser::Head& head);

  // A request to /api, without its body and received_at. Throws RequestError.
  dispatch::DownstreamRequest read(const RequestParser::Head& head) const;

  static std::string_view path_of(const RequestParser::Head& head);

 private:
  using Indexes = std::unordered_map<std::string, std::size_t>;

  std::size_t read_class(const RequestParser::Head& head) const;
  std::size_t read_tenant(const RequestParser::Head& head) const;
  void check_class(const RequestParser::Head& head, const balancer::RequestClass& request_class) const;

  Indexes class_indexes_, tenant_indexes_;  // by name
  std::vector<balancer::RequestClass> classes_;
};

}  // namespace asterdrift::node::downstream
