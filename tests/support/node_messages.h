// Messages that tests exchange with the node: clients' requests, servers' responses, endpoint entries.
#pragma once

#include <string>

namespace asterdrift::node::testing {

// Returns the request line and header fields of a request, without Content-Length and the end of the header
// section. A request of the class "mark" has an idempotency key.
std::string request_head(const std::string& request_class, const std::string& id = "r1");

// Returns a complete request. `fields` holds additional lines of the header section.
std::string request(const std::string& request_class, const std::string& fields = "",
                    const std::string& body = "question", const std::string& id = "r1");

// Returns a complete request with the given id.
std::string request_with_id(const std::string& request_class, const std::string& id);

// Returns a complete response with status 200.
std::string ok_response(const std::string& body = "answer");

// Returns a complete response with status 200, which announces that the server closes the connection.
std::string ok_response_with_close();

// Returns a response with status 503, which says that the server has not begun the request and closes the
// connection.
std::string not_started_response_with_close();

// Returns an endpoint's entry in an endpoint list.
std::string endpoint(const std::string& name, int port, const std::string& health = "active",
                     int incarnation_ms = 0);

// First line of the node's request for a watch that begins with a snapshot.
inline const char* const kSnapshotRequestLine = "GET /v1/servers?stream=1 HTTP/1.1\r\n";

}  // namespace asterdrift::node::testing
