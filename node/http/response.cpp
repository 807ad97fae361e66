// Formats the status line of a response.
#include "node/http/response.h"

#include <boost/beast/http/message.hpp>

namespace asterdrift::node::http {

std::string status_line(unsigned status) {
  const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
  return line.append(reason.data(), reason.size()).append("\r\n");
}

}  // namespace asterdrift::node::http
