// Messages that tests exchange with the node: clients' requests, servers' responses, endpoint entries.
#include "support/node_messages.h"

#include "support/discovery_messages.h"
#include "support/http_messages.h"

namespace asterdrift::node::testing {

std::string request_head(const std::string& request_class, const std::string& id) {
  return "POST /api?x=1 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: " + id +
         "\r\nRequest-Class: " + request_class + "\r\nTenant: acme\r\n" +
         (request_class == "mark" ? "Idempotency-Key: k1\r\n" : "");
}

std::string request(const std::string& request_class, const std::string& fields, const std::string& body,
                    const std::string& id) {
  return test_support::with_content_length(request_head(request_class, id) + fields, body);
}

std::string request_with_id(const std::string& request_class, const std::string& id) {
  return request(request_class, "", "question", id);
}

std::string ok_response(const std::string& body) {
  return test_support::with_content_length("HTTP/1.1 200 OK\r\n", body);
}

std::string ok_response_with_close() {
  return test_support::with_content_length("HTTP/1.1 200 OK\r\nConnection: close\r\n", "answer");
}

std::string not_started_response_with_close() {
  return test_support::with_content_length("HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nConnection: close\r\n",
                                           "");
}

std::string endpoint(const std::string& name, int port, const std::string& health, int incarnation_ms) {
  return test_support::endpoint_json(
      {.name = name, .port = port, .health = health, .incarnation_ms = incarnation_ms});
}

}  // namespace asterdrift::node::testing
