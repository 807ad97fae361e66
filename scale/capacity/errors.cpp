// Errors of the capacity calculator.
#include "scale/capacity/errors.h"

namespace asterdrift::scale::capacity {
namespace {

std::string with_location(const std::string& path, std::size_t line, const std::string& reason) {
  return path + ":" + std::to_string(line) + ": " + reason;
}

}  // namespace

UnknownKeyError::UnknownKeyError(const std::string& key)
    : std::runtime_error("no result or measurement '" + key + "'"), key_(key) {}

DuplicateKeyError::DuplicateKeyError(const std::string& key)
    : std::runtime_error("two results '" + key + "'"), key_(key) {}

MeasurementsFileError::MeasurementsFileError(const std::string& path, std::size_t line,
                                             const std::string& reason)
    : std::runtime_error(with_location(path, line, reason)), path_(path), line_(line) {}

PageError::PageError(const std::string& path, std::size_t line, const std::string& reason)
    : std::runtime_error(with_location(path, line, reason)), path_(path), line_(line) {}

}  // namespace asterdrift::scale::capacity
