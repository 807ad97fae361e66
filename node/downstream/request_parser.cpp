// Runs Beast's parser on a request, enforces the size limits, and rejects folded headers.
#include "node/downstream/request_parser.h"

#include <boost/asio/buffer.hpp>

#include "node/memory/body_stream.h"

namespace asterdrift::node::downstream {
namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned kHttp11 = 11;

// Whether a header is folded over two lines. Beast joins the lines; other implementations read two headers.
bool has_folded_header(std::string_view bytes) {
  const std::string_view head = bytes.substr(0, bytes.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

unsigned to_status(const error_code& error) {
  if (error == beast_http::error::body_limit) return kPayloadTooLarge;
  return error == beast_http::error::header_limit ? kHeaderFieldsTooLarge : kBadRequest;
}

}  // namespace

// The parser is not eager: an eager parser of Beast 1.74 goes on after a head that announces a body over the
// limit, and parses that body as another head.
RequestParser::RequestParser() { parser_.body_limit(memory::kMaxBodyBytes); }

RequestParser::Event RequestParser::parse(std::string_view& bytes) {
  const bool in_head = !parser_.is_header_done();
  if (in_head && has_folded_header(bytes)) throw RequestError(kBadRequest);
  if (in_head && head_limit_.has_too_many_fields(bytes)) throw RequestError(kHeaderFieldsTooLarge);
  error_code error;
  const std::size_t used = parser_.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
  if (in_head) head_limit_.add_parsed(bytes.substr(0, used));
  bytes.remove_prefix(used);
  if (head_limit_.is_too_long()) throw RequestError(kHeaderFieldsTooLarge);
  if (error == beast_http::error::need_more) return Event::kNeedsMore;
  if (error) throw RequestError(to_status(error));
  if (in_head && parser_.is_header_done()) return Event::kHeadComplete;
  if (used == 0) return Event::kNeedsMore;
  return in_head ? Event::kHeadProgress : Event::kBodyProgress;
}

bool RequestParser::client_reads_chunks() const { return parser_.get().version() >= kHttp11; }

std::optional<std::uint64_t> RequestParser::content_length() const {
  const auto length = parser_.content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::optional<std::uint64_t> RequestParser::remaining_body_bytes() const {
  const auto length = parser_.content_length_remaining();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

}  // namespace asterdrift::node::downstream
