// Parses responses, and derives the outcomes of attempts from them.
#include "node/upstream/response_parser.h"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "node/http/status.h"
#include "node/memory/body_stream.h"

namespace asterdrift::node::upstream {
namespace {

namespace beast_http = boost::beast::http;
using balancer::Outcome;
using boost::system::error_code;

// The limit for the head of a response, and for the size line of a chunk with its extensions.
constexpr std::size_t kMaxHeadBytes = 16UL * 1024;
constexpr int kMaxInterimResponses = 8;

}  // namespace

ResponseParser::ResponseParser() : head_limit_(kMaxHeadBytes) { begin_message(); }

// The parser is not eager: an eager parser of Beast 1.74 continues after a head that announces a body over
// the limit.
void ResponseParser::begin_message() {
  parser_.emplace();
  parser_->body_limit(memory::kMaxBodyBytes);
  head_limit_ = http::HeadLimit(kMaxHeadBytes);
}

// Only bytes that cannot be parsed yet are kept: a connection that streams a long response holds no buffer
// for its input.
ResponseParser::Result ResponseParser::parse(std::string_view bytes, const std::function<void()>& on_body) {
  std::string joined;
  if (!unparsed_.empty()) {
    joined = std::exchange(unparsed_, {}).append(bytes);
    bytes = joined;
  }
  const Result result = parse_prefix(bytes, on_body);
  unparsed_ = bytes;
  if (result != Result::kIncomplete) return result;
  return unparsed_.size() > kMaxHeadBytes ? Result::kInvalid : Result::kIncomplete;
}

// Removes the bytes that have been parsed from `bytes`.
ResponseParser::Result ResponseParser::parse_prefix(std::string_view& bytes,
                                                    const std::function<void()>& on_body) {
  while (!bytes.empty() && !parser_->is_done()) {
    const bool in_head = !parser_->is_header_done();
    if (in_head && head_limit_.has_too_many_fields(bytes)) return Result::kInvalid;
    error_code error;
    const std::size_t used = parser_->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    if (in_head) head_limit_.add_parsed(bytes.substr(0, used));
    bytes.remove_prefix(used);
    if (error && error != beast_http::error::need_more) return Result::kInvalid;
    if (head_limit_.is_too_long()) return Result::kInvalid;
    if (in_head && parser_->is_header_done() && !has_unambiguous_length()) return Result::kInvalid;
    if (parser_->is_header_done() && !is_interim()) on_body();
    if (error == beast_http::error::need_more) break;
    if (parser_->is_done() && is_interim()) {
      if (++interim_responses_ > kMaxInterimResponses) return Result::kInvalid;
      begin_message();
    } else if (used == 0) {
      break;
    }
  }
  return parser_->is_done() ? Result::kComplete : Result::kIncomplete;
}

bool ResponseParser::finish_at_close() {
  if (!parser_->is_header_done() || !parser_->need_eof() || is_interim()) return false;
  error_code error;
  parser_->put_eof(error);
  return !error && parser_->is_done();
}

std::string ResponseParser::content_type() const {
  return std::string(parser_->get()[beast_http::field::content_type]);
}

std::optional<std::uint64_t> ResponseParser::content_length() const {
  const auto length = parser_->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

bool ResponseParser::is_interim() const {
  const unsigned status = parser_->get().result_int();
  return status >= http::kContinue && status < http::kOk && status != http::kSwitchingProtocols;
}

// Whether the head defines the length of the response unambiguously.
bool ResponseParser::has_unambiguous_length() const {
  const auto& head = parser_->get();
  const std::size_t encodings = head.count(beast_http::field::transfer_encoding);
  if (head.count(beast_http::field::content_length) + encodings > 1) return false;
  return encodings == 0 || boost::beast::iequals(head[beast_http::field::transfer_encoding], "chunked");
}

// Only the statuses 503 and 504 together with the server's Not-Started header prove that a request never ran.
Outcome ResponseParser::outcome() const {
  const auto& response = parser_->get();
  const unsigned status = response.result_int();
  if (status == http::kOk) return Outcome::kSuccess;
  const bool may_be_not_started = status == http::kServiceUnavailable || status == http::kGatewayTimeout;
  if (may_be_not_started && response["Not-Started"] == "1") return Outcome::kRejected;
  return status >= http::kInternalServerError ? Outcome::kServerError : Outcome::kUnknown;
}

}  // namespace asterdrift::node::upstream
