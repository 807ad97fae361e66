// Typed access to the fields of JSON objects.
//
// All functions throw FormatError if the text or a field does not have the required form.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "rapidjson/document.h"

namespace asterdrift::json {

using Json = rapidjson::Value;

// Reports text that is not valid JSON, or a field that is missing, null or of another type than required. The
// message names the field.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses a complete JSON text.
rapidjson::Document parse(std::string_view text);
// Parses a complete JSON text into a document, which may have an allocator of its own.
void parse(std::string_view text, rapidjson::Document& document);
// Throws a FormatError if the text from which the document was parsed is not valid JSON.
void require_valid(const rapidjson::Document& document);

// Throws a FormatError that names the field and what was expected.
[[noreturn]] void throw_unexpected(const char* field, const char* expected);
// Throws a FormatError that names the field, its value and what was expected.
[[noreturn]] void throw_unexpected(const char* field, const Json& value, const char* expected);

// The field of an object; a null pointer if the field is absent or null.
const Json* find(const Json& object, const char* field);
// The field of an object, which must not be absent or null.
const Json& require(const Json& object, const char* field);

// The number in a field; `fallback` if the field is absent or null, in the functions that end in `_or`.
double number(const Json& object, const char* field);
double number_or(const Json& object, const char* field, double fallback);
// The integer in a field, which has to be in the range of int.
int integer(const Json& object, const char* field);
int integer_or(const Json& object, const char* field, int fallback);
// The integer in a field, which has to be in the range of std::uint64_t.
std::uint64_t unsigned_integer(const Json& object, const char* field);
// The integer in a field, which has to be in the range of int and not negative; 0 if the field is absent or
// null.
std::size_t index_or_zero(const Json& object, const char* field);
// The boolean in a field; false if the field is absent or null.
bool flag(const Json& object, const char* field);
// The string in a field. The result is valid as long as the object.
std::string_view string(const Json& object, const char* field);
// The array in a field.
const Json& array(const Json& object, const char* field);

}  // namespace asterdrift::json
