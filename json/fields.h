// Typed access to the fields of JSON objects.
//
// All functions throw FormatError where the text or a field does not have the required form.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "rapidjson/document.h"

namespace asterdrift::json {

using Json = rapidjson::Value;

// Text that is not valid JSON, or a field that is missing or has another type than required. The message
// names the field.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses a complete text.
rapidjson::Document parse(std::string_view text);
// Parses a complete text into a document, which may have its own allocator.
void parse(std::string_view text, rapidjson::Document& document);
// Throws a FormatError where the text that a document was parsed from is not valid JSON.
void require_valid(const rapidjson::Document& document);

// Throws a FormatError that names the field and what was expected.
[[noreturn]] void throw_unexpected(const char* field, const char* expected);

// The field of an object; null where it is absent or null.
const Json* find(const Json& object, const char* field);
// The field of an object, which must not be absent or null.
const Json& require(const Json& object, const char* field);

// A number.
double number(const Json& object, const char* field);
double number_or(const Json& object, const char* field, double fallback);
// An integer in the range of int.
int integer(const Json& object, const char* field);
int integer_or(const Json& object, const char* field, int fallback);
// An integer from 0.
std::uint64_t unsigned_integer(const Json& object, const char* field);
// An integer from 0; 0 where the field is absent.
std::size_t index_or_zero(const Json& object, const char* field);
// A truth value; false where the field is absent.
bool flag(const Json& object, const char* field);
// A string; valid while the object is.
std::string_view string(const Json& object, const char* field);
// An array.
const Json& array(const Json& object, const char* field);

}  // namespace asterdrift::json
