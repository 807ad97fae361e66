// Parses a server's response as it arrives. Does no I/O.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "asterdrift/balancer/events.h"
#include "node/http/body.h"
#include "node/http/head_limit.h"

namespace asterdrift::node::upstream {

// Skips interim responses (1xx except 101). A response is invalid if it is malformed, if its head is too
// long, if its length is ambiguous or too large, or if too many interim responses precede it. The request of
// an invalid response may have run, and the connection cannot be reused.
class ResponseParser {
 public:
  enum class Result { kIncomplete, kComplete, kInvalid };

  ResponseParser();

  // on_body is called when the head of the final response, or bytes of its body, have been parsed.
  Result parse(std::string_view bytes, const std::function<void()>& on_body);

  // The server has shut down its side of the connection, which ends a response that has neither a length nor
  // chunks. Returns whether the response is complete.
  bool finish_at_close();

  // The following functions describe the final response, once its head has been parsed.
  unsigned status() const { return parser_->get().result_int(); }
  std::string content_type() const;
  std::optional<std::uint64_t> content_length() const;
  balancer::Outcome outcome() const;
  // The parsed bytes of the body. The caller may remove them.
  std::string& body() { return parser_->get().body(); }
  bool is_done() const { return parser_->is_done(); }
  // Whether the connection may carry another request after the complete response.
  bool is_keep_alive() const { return parser_->get().keep_alive() && unparsed_.empty(); }

 private:
  void begin_message();
  bool is_interim() const;
  bool has_unambiguous_length() const;
  Result parse_prefix(std::string_view& bytes, const std::function<void()>& on_body);

  std::string unparsed_;  // received bytes that cannot be parsed yet
  std::optional<boost::beast::http::response_parser<http::IncrementalBody>> parser_;
  http::HeadLimit head_limit_;
  int interim_responses_ = 0;
};

}  // namespace asterdrift::node::upstream
