// Rejects heads that are ambiguous or invalid, and builds the upstream request from a valid head.
#include "node/downstream/request_validator.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "asterdrift/seconds.h"

namespace asterdrift::node::downstream {
namespace {

namespace beast_http = boost::beast::http;
using Head = RequestParser::Head;

constexpr Seconds kMaxTimeout = 600;
// Limits the value of each interpreted header except Request-Info.
constexpr std::size_t kMaxHeaderValueBytes = 128;
constexpr std::size_t kMaxTargetBytes = 2048;
constexpr std::size_t kMaxContentLengthDigits = 18;

// Headers that the node interprets. A request may have each of them at most once. All of them except
// Request-Timeout-Ms are forwarded to the server.
constexpr std::array kInterpretedHeaders = {"Request-Id",         "Request-Class",   "Tenant",
                                            "Request-Timeout-Ms", "Idempotency-Key", "Client-Retry",
                                            "Work-Hint",          "Request-Info"};
// Other headers that are forwarded. All remaining headers have no meaning to servers, or apply to the
// client's connection only.
constexpr std::array kForwardedHeaders = {"Host", "Cookie", "Content-Type"};

std::string_view to_string_view(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::optional<std::uint64_t> parse_integer(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::shared_ptr<upstream::UpstreamRequest> to_upstream_request(const Head& head) {
  auto request = std::make_shared<upstream::UpstreamRequest>();
  std::string& upstream_head = request->head;
  upstream_head.append(to_string_view(head.method_string()))
      .append(" ")
      .append(to_string_view(head.target()))
      .append(" HTTP/1.1\r\n");
  const auto forward = [&](const char* name) {
    for (auto [it, end] = head.equal_range(name); it != end; ++it) {
      upstream_head.append(name).append(": ").append(to_string_view(it->value())).append("\r\n");
    }
  };
  for (const char* name : kForwardedHeaders) forward(name);
  for (const char* name : kInterpretedHeaders) {
    if (std::string_view(name) != "Request-Timeout-Ms") forward(name);
  }
  return request;
}

// Rejects requests with headers that this node and a server might interpret differently.
void check_interpreted_headers(const Head& head) {
  for (const char* name : kInterpretedHeaders) {
    if (head.count(name) > 1) throw RequestError(kBadRequest, "a header twice");
    if (head[name].size() > kMaxHeaderValueBytes && std::string_view(name) != "Request-Info") {
      throw RequestError(kBadRequest, "a header too long");
    }
  }
  if (head.target().size() > kMaxTargetBytes) throw RequestError(kUriTooLong, "target too long");
}

Seconds parse_timeout(const Head& head, Seconds class_timeout) {
  if (head.count("Request-Timeout-Ms") == 0) return class_timeout;
  const auto ms = parse_integer(to_string_view(head["Request-Timeout-Ms"]));
  if (!ms || *ms == 0) throw RequestError(kBadRequest, "bad Request-Timeout-Ms");
  return std::min(static_cast<double>(*ms) / 1000, kMaxTimeout);
}

std::optional<Seconds> parse_announced_work(const Head& head) {
  if (head.count("Work-Hint") == 0) return std::nullopt;
  const auto us = parse_integer(to_string_view(head["Work-Hint"]));
  return us ? std::optional(static_cast<double>(*us) / 1e6) : std::nullopt;
}

std::unordered_map<std::string, std::size_t> to_indexes(const std::vector<std::string>& names) {
  std::unordered_map<std::string, std::size_t> indexes;
  for (const std::string& name : names) indexes.emplace(name, indexes.size());
  return indexes;
}

}  // namespace

std::string_view RequestValidator::parse_path(const Head& head) {
  const std::string_view target = to_string_view(head.target());
  return target.substr(0, target.find('?'));
}

RequestValidator::RequestValidator(const config::NodeConfig& config)
    : class_indexes_(to_indexes(config.classes)),
      tenant_indexes_(to_indexes(config.tenants)),
      classes_(config.settings.classes) {}

// Prevents request smuggling, in which a body hides a second request. Beast 1.74 rejects a Content-Length
// together with the Transfer-Encoding "chunked", but it accepts a Content-Length together with any other
// encoding, a list of encodings that ends in "chunked", and two equal Content-Length headers.
void RequestValidator::check_framing(const Head& head) {
  const std::size_t lengths = head.count(beast_http::field::content_length);
  const std::size_t encodings = head.count(beast_http::field::transfer_encoding);
  if (lengths + encodings > 1) throw RequestError(kBadRequest, "more than one length");
  if (lengths == 1) {
    const std::string_view length = to_string_view(head[beast_http::field::content_length]);
    if (length.empty() || length.size() > kMaxContentLengthDigits || !parse_integer(length)) {
      throw RequestError(kBadRequest, "bad Content-Length");
    }
  }
  if (encodings == 1 && !boost::beast::iequals(head[beast_http::field::transfer_encoding], "chunked")) {
    throw RequestError(kBadRequest, "unknown Transfer-Encoding");
  }
}

dispatch::DownstreamRequest RequestValidator::parse_api_request(const Head& head) const {
  check_interpreted_headers(head);
  dispatch::DownstreamRequest request;
  request.client_request_id = std::string(to_string_view(head["Request-Id"]));
  if (request.client_request_id.empty()) throw RequestError(kBadRequest, "no Request-Id");
  request.balancer_request.request_class = parse_class(head);
  request.balancer_request.tenant = parse_tenant(head);
  const balancer::RequestClass& request_class = classes_[request.balancer_request.request_class];
  check_matches_class(head, request_class);
  request.timeout = parse_timeout(head, request_class.timeout);
  request.balancer_request.announced_work = parse_announced_work(head);
  request.balancer_request.is_client_retry = head["Client-Retry"] == "1";
  request.upstream_request = to_upstream_request(head);
  return request;
}

std::size_t RequestValidator::parse_class(const Head& head) const {
  const auto it = class_indexes_.find(std::string(to_string_view(head["Request-Class"])));
  if (it == class_indexes_.end()) throw RequestError(kBadRequest, "unknown Request-Class");
  return it->second;
}

std::size_t RequestValidator::parse_tenant(const Head& head) const {
  if (tenant_indexes_.empty()) return 0;
  const auto it = tenant_indexes_.find(std::string(to_string_view(head["Tenant"])));
  if (it == tenant_indexes_.end()) throw RequestError(kBadRequest, "unknown Tenant");
  return it->second;
}

// Rejects a request whose method or idempotency key does not match its class, because a server could execute
// such a request twice.
void RequestValidator::check_matches_class(const Head& head,
                                           const balancer::RequestClass& request_class) const {
  const bool is_idempotent = request_class.idempotency == balancer::Idempotency::kIdempotent;
  const bool needs_key = request_class.idempotency == balancer::Idempotency::kIdempotencyKey;
  if (head.method() != (is_idempotent ? beast_http::verb::get : beast_http::verb::post)) {
    throw RequestError(kBadRequest, "the method does not belong to the class");
  }
  if (needs_key == head["Idempotency-Key"].empty()) {
    throw RequestError(kBadRequest, "Idempotency-Key does not belong to the class");
  }
  const std::string_view length = to_string_view(head[beast_http::field::content_length]);
  const bool has_body =
      head.count(beast_http::field::transfer_encoding) > 0 || (!length.empty() && length != "0");
  if (is_idempotent && has_body) throw RequestError(kBadRequest, "a body where none belongs");
}

}  // namespace asterdrift::node::downstream
