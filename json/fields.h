// Typed access to the fields of JSON objects.
//
// All functions throw FormatError where the text or a field has not the form that they ask for.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "rapidjson/document.h"

namespace asterdrift::json {

using Json = rapidjson::Value;

// Text that is not valid JSON, or a field that is missing or has another type than it should. The message
// names the field.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses a complete text.
rapidjson::Document parse(std::string_view text);
// The same into a document of the caller's, which may have an allocator of its own.
void parse(std::string_view text, rapidjson::Document& document);

// Throws a FormatError that names the field and what was expected.
[[noreturn]] void throw_unexpected(const char* field, const char* expected);

// The field of an object; null where it is absent or null.
const Json* find(const Json& object, const char* field);
const Json& require(const Json& object, const char* field);

double number(const Json& object, const char* field);
double number_or(const Json& object, const char* field, double fallback);
int integer(const Json& object, const char* field);
int integer_or(const Json& object, const char* field, int fallback);
std::uint64_t unsigned_integer(const Json& object, const char* field);
// An integer from 0; 0 where the field is absent.
std::size_t index_or_zero(const Json& object, const char* field);
// False where the field is absent.
bool flag(const Json& object, const char* field);
std::string_view string(const Json& object, const char* field);
const Json& array(const Json& object, const char* field);

}  // namespace asterdrift::json
