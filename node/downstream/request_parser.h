// A client's request as it arrives. No I/O.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "node/downstream/request_error.h"
#include "node/http/body.h"

namespace asterdrift::node::downstream {

// Parses one request, in any number of pieces. The caller moves its body out as it is parsed.
class RequestParser {
 public:
  using Head = boost::beast::http::header<true, boost::beast::http::fields>;

  enum class Event {
    kNeedsMore,  // these bytes complete nothing
    kProgress,   // bytes of the head
    kHead,       // the head is complete
    kBody        // bytes of the body
  };

  static constexpr std::size_t kMaxHeadBytes = 8UL * 1024;  // of a request's head and of a chunk's

  RequestParser();

  // Parses up to the next event, and removes from `bytes` what it has parsed. Throws RequestError.
  Event parse(std::string_view& bytes);

  bool is_done() const { return parser_.is_done(); }
  const Head& head() const { return parser_.get().base(); }
  boost::beast::http::verb method() const { return parser_.get().method(); }
  bool is_keep_alive() const { return parser_.get().keep_alive(); }
  bool client_reads_chunks() const;  // HTTP/1.1
  std::optional<std::uint64_t> content_length() const;
  // The bytes of the body that have been parsed; the caller may move them.
  std::string& body() { return parser_.get().body(); }

 private:
  boost::beast::http::request_parser<http::IncrementalBody> parser_;
  std::size_t head_bytes_ = 0;
};

}  // namespace asterdrift::node::downstream
