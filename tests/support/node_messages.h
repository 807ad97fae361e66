// Messages that tests exchange with the node: clients' requests, servers' responses, endpoint entries.
#pragma once

#include <string>

namespace asterdrift::node::testing {

// Request line and fields of a request, without its length and end. Class "mark" is idempotent with a key.
std::string request_head(const std::string& request_class, const std::string& id = "r1");

// A complete request; `fields` are further lines of its head.
std::string request(const std::string& request_class, const std::string& fields = "",
                    const std::string& body = "question", const std::string& id = "r1");

// A complete request with an id of its own.
std::string request_with_id(const std::string& request_class, const std::string& id);

// A complete response with status 200.
std::string ok_response(const std::string& body = "answer");

// The same, after which the server closes the connection.
std::string ok_response_with_close();

// A server's 503 which says that it has not begun the request, after which it closes the connection.
std::string not_started_response_with_close();

// An endpoint's entry of a list.
std::string endpoint(const std::string& name, int port, const std::string& health = "active",
                     int incarnation_ms = 0);

// First line of the node's request for a watch that begins with a snapshot.
inline const char* const kSnapshotRequestLine = "GET /v1/servers?stream=1 HTTP/1.1\r\n";

}  // namespace asterdrift::node::testing
