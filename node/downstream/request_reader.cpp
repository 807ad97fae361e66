// Validates requests, reserves memory for their bodies, and buffers, streams or discards the bodies.
#include "node/downstream/request_reader.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <limits>
#include <utility>

#include "node/timing/clock.h"

namespace asterdrift::node::downstream {
namespace {

namespace beast_http = boost::beast::http;

// Half of the budget is reserved for responses.
std::size_t headroom_for_responses(const memory::MemoryBudget& budget) { return budget.size() / 2; }

// Removes all but the last `unparsed` bytes, and frees their memory.
void remove_parsed_bytes(std::string& input, std::size_t unparsed) {
  if (unparsed == input.size()) return;
  std::string(input, input.size() - unparsed).swap(input);
}

}  // namespace

void RequestReader::begin(Seconds now) { receive_rate_.begin(now); }

RequestReader::Result RequestReader::read(std::string& input) {
  if (!parser_) parser_.emplace();
  std::string_view bytes = input;
  bool begins_upload = false;
  while (!bytes.empty() && !parser_->is_done() && !begins_upload) {
    const RequestParser::Event event = parser_->parse(bytes);
    if (event == RequestParser::Event::kHeadComplete) handle_head();
    if (event == RequestParser::Event::kBodyProgress) begins_upload = handle_body();
    if (event == RequestParser::Event::kNeedsMore) break;
  }
  remove_parsed_bytes(input, bytes.size());
  if (begins_upload) return Result::kUploadStarted;
  if (parser_->is_done()) return Result::kComplete;
  if (input.size() > RequestParser::kMaxHeadBytes) throw RequestError(kHeaderFieldsTooLarge);
  if (!is_upload_full()) return Result::kNeedsMore;
  receive_rate_.pause(timing::now());
  return Result::kPaused;
}

void RequestReader::handle_head() {
  const RequestParser::Head& head = parser_->head();
  receive_rate_.on_head_received(timing::now());
  client_reads_chunks_ = parser_->client_reads_chunks();
  is_keep_alive_ = parser_->is_keep_alive();
  body_reservation_ = memory::MemoryReservation(server_.body_budget);
  RequestValidator::check_framing(head);
  if (RequestValidator::parse_path(head) == "/api") {
    request_.emplace(server_.validator.parse_api_request(head));
    request_class_ = request_->balancer_request.request_class;
    server_.check_is_new(*request_);
  }
  const std::uint64_t length =
      std::min<std::uint64_t>(parser_->content_length().value_or(0), memory::kMaxBufferedBodyBytes);
  if (!body_reservation_.grow_to(length, headroom_for_responses(server_.body_budget))) {
    throw RequestError(kServiceUnavailable, "no memory to spare");
  }
  // Without spare capacity, the body takes no more memory than is reserved for it.
  parser_->body().reserve(length);
  if (boost::beast::iequals(head[beast_http::field::expect], "100-continue")) callbacks_.send_continue();
  parser_->release_fields();
}

// Handles bytes of the body that have been parsed. Returns whether an upload begins.
bool RequestReader::handle_body() {
  std::string& body = parser_->body();
  // Without request_, the path is not /api, and the body is discarded: the response is 404, or that of
  // /healthz.
  if (upload_ || !request_) {
    receive_rate_.add_body_bytes(body.size());
    if (upload_) upload_->write(std::exchange(body, {}));
    body.clear();
    return false;
  }
  receive_rate_.set_body_bytes(body.size());
  const std::size_t buffered = std::min(body.size(), memory::kMaxBufferedBodyBytes);
  if (!body_reservation_.grow_to(buffered, headroom_for_responses(server_.body_budget))) {
    throw RequestError(kServiceUnavailable);
  }
  if (body.size() < memory::kMaxBufferedBodyBytes || parser_->is_done()) return false;
  begin_upload();
  return true;
}

void RequestReader::begin_upload() {
  upload_ = std::make_shared<memory::BodyStream>(server_.io, server_.body_budget,
                                                 memory::MemoryReservation(server_.body_budget));
  upload_->on_writable(callbacks_.on_upload_resumed);
  parser_->body().shrink_to_fit();
}

dispatch::DownstreamRequest RequestReader::take_api_request() {
  set_upstream_body(*request_->upstream_request);
  dispatch::DownstreamRequest request = std::move(*request_);
  request_.reset();
  return request;
}

void RequestReader::set_upstream_body(upstream::UpstreamRequest& upstream_request) {
  std::string& body = parser_->body();
  const auto length = parser_->content_length();
  if (upload_ && !length) {
    upstream_request.head += "Transfer-Encoding: chunked\r\n";
    upstream_request.is_chunked = true;
  } else if (parser_->method() == beast_http::verb::post) {
    upstream_request.head += "Content-Length: " + std::to_string(upload_ ? *length : body.size()) + "\r\n";
  }
  upstream_request.buffered_body = std::move(body);
  body.clear();
  upstream_request.body_reservation = std::exchange(body_reservation_, {});
  upstream_request.body_stream = upload_;
}

bool RequestReader::is_upload_within(std::size_t unread_bytes) const {
  const std::optional<std::uint64_t> remaining = parser_->remaining_body_bytes();
  return remaining && *remaining <= unread_bytes;
}

std::uint64_t RequestReader::min_body_bytes(std::size_t unread_bytes) const {
  return parser_->content_length().value_or(read_body_bytes() + unread_bytes);
}

void RequestReader::finish_upload() {
  upload_->finish(true);
  upload_.reset();
  parser_.reset();
}

void RequestReader::release() {
  if (upload_) upload_->finish(false);
  upload_.reset();
  parser_.reset();
  request_.reset();
  body_reservation_ = {};
}

std::size_t RequestReader::max_read_bytes() const {
  return upload_ ? upload_->room() : std::numeric_limits<std::size_t>::max();
}

Seconds RequestReader::receive_deadline() const {
  const bool waits_for_server = !receive_rate_.is_in_head() && is_upload_full();
  return waits_for_server ? std::numeric_limits<Seconds>::infinity() : receive_rate_.receive_deadline();
}

}  // namespace asterdrift::node::downstream
