// Parses a client's request while it arrives. Does no I/O.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "node/downstream/request_error.h"
#include "node/http/body.h"
#include "node/http/head_limit.h"

namespace asterdrift::node::downstream {

// Parses one request, which may arrive in any number of pieces. The caller moves the parsed bytes of the body
// out of the parser.
class RequestParser {
 public:
  using Head = boost::beast::http::header<true, boost::beast::http::fields>;

  enum class Event {
    kNeedsMore,     // nothing can be parsed until more bytes arrive
    kHeadProgress,  // a part of the head has been parsed
    kHeadComplete,  // the head has been parsed completely
    kBodyProgress   // a part of the body has been parsed
  };

  // The limit for the head of a request, and for the header of a chunk.
  static constexpr std::size_t kMaxHeadBytes = 8UL * 1024;

  RequestParser();

  // Parses up to the next event, and removes the parsed bytes from `bytes`. Throws RequestError.
  Event parse(std::string_view& bytes);

  bool is_done() const { return parser_.is_done(); }
  const Head& head() const { return parser_.get().base(); }
  // Frees the header fields of a complete head. The method, the target and the framing stay known.
  void release_fields() { parser_.get().base().clear(); }
  boost::beast::http::verb method() const { return parser_.get().method(); }
  bool is_keep_alive() const { return parser_.get().keep_alive(); }
  // Whether the client can read a chunked response, as every HTTP/1.1 client can.
  bool client_reads_chunks() const;
  std::optional<std::uint64_t> content_length() const;
  // How many bytes of the body have not been parsed yet; empty if the body is chunked.
  std::optional<std::uint64_t> remaining_body_bytes() const;
  // The parsed bytes of the body, except those that the caller has moved out.
  std::string& body() { return parser_.get().body(); }

 private:
  boost::beast::http::request_parser<http::IncrementalBody> parser_;
  http::HeadLimit head_limit_{kMaxHeadBytes};
};

}  // namespace asterdrift::node::downstream
