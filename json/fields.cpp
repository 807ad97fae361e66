// Checks of the presence and the type of fields.
#include "json/fields.h"

#include "rapidjson/error/en.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace asterdrift::json {
namespace {

constexpr std::size_t kMaxQuotedBytes = 64;  // messages quote strings only up to this length

// A short description of a value, for messages. Strings are escaped as in JSON, so that the text is one line.
std::string describe(const Json& value) {
  if (value.IsObject()) return "an object";
  if (value.IsArray()) return "an array";
  if (value.IsString() && value.GetStringLength() > kMaxQuotedBytes) {
    return "a string of " + std::to_string(value.GetStringLength()) + " bytes";
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

// Parses iteratively, so that the nesting of untrusted text does not determine the depth of the call stack.
void parse(std::string_view text, rapidjson::Document& document) {
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  require_valid(document);
}

rapidjson::Document parse(std::string_view text) {
  rapidjson::Document document;
  parse(text, document);
  return document;
}

void require_valid(const rapidjson::Document& document) {
  if (!document.HasParseError()) return;
  throw FormatError(std::string("not valid JSON: ") + rapidjson::GetParseError_En(document.GetParseError()) +
                    " at byte " + std::to_string(document.GetErrorOffset()));
}

void throw_unexpected(const char* field, const char* expected) {
  throw FormatError(std::string("field '") + field + "' is not " + expected);
}

void throw_unexpected(const char* field, const Json& value, const char* expected) {
  throw FormatError(std::string("field '") + field + "' is " + describe(value) + "; expected " + expected);
}

const Json* find(const Json& object, const char* field) {
  if (!object.IsObject()) {
    throw FormatError("not an object: found " + describe(object) + " instead of an object with field '" +
                      field + "'");
  }
  const auto member = object.FindMember(field);
  return member == object.MemberEnd() || member->value.IsNull() ? nullptr : &member->value;
}

const Json& require(const Json& object, const char* field) {
  const Json* value = find(object, field);
  if (value == nullptr) throw FormatError(std::string("field '") + field + "' is missing or null");
  return *value;
}

double number(const Json& object, const char* field) {
  const Json& value = require(object, field);
  if (!value.IsNumber()) throw_unexpected(field, value, "a number");
  return value.GetDouble();
}

double number_or(const Json& object, const char* field, double fallback) {
  return find(object, field) == nullptr ? fallback : number(object, field);
}

int integer(const Json& object, const char* field) {
  const Json& value = require(object, field);
  if (!value.IsInt()) throw_unexpected(field, value, "a whole number from -2147483648 to 2147483647");
  return value.GetInt();
}

int integer_or(const Json& object, const char* field, int fallback) {
  return find(object, field) == nullptr ? fallback : integer(object, field);
}

std::size_t index_or_zero(const Json& object, const char* field) {
  const int value = integer_or(object, field, 0);
  if (value < 0) throw_unexpected(field, require(object, field), "a whole number from 0 to 2147483647");
  return static_cast<std::size_t>(value);
}

bool flag(const Json& object, const char* field) {
  const Json* value = find(object, field);
  if (value == nullptr) return false;
  if (!value->IsBool()) throw_unexpected(field, *value, "true or false");
  return value->GetBool();
}

std::string_view string(const Json& object, const char* field) {
  const Json& value = require(object, field);
  if (!value.IsString()) throw_unexpected(field, value, "a string");
  return {value.GetString(), value.GetStringLength()};
}

std::uint64_t unsigned_integer(const Json& object, const char* field) {
  const Json& value = require(object, field);
  if (!value.IsUint64()) throw_unexpected(field, value, "a whole number from 0 to 18446744073709551615");
  return value.GetUint64();
}

const Json& array(const Json& object, const char* field) {
  const Json& value = require(object, field);
  if (!value.IsArray()) throw_unexpected(field, value, "an array");
  return value;
}

}  // namespace asterdrift::json
