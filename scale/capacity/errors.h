// Errors of the capacity calculator. Errors about a key or a line of a file contain that key, or path and
// line.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>

namespace asterdrift::scale::capacity {

// The command-line arguments are invalid.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// No result or measurement has this key.
class UnknownKeyError : public std::runtime_error {
 public:
  explicit UnknownKeyError(const std::string& key);
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

// Two results have the same key.
class DuplicateKeyError : public std::runtime_error {
 public:
  explicit DuplicateKeyError(const std::string& key);
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

// A line of the measurements file is invalid, or names a column that its report table does not have.
class MeasurementsFileError : public std::runtime_error {
 public:
  MeasurementsFileError(const std::string& path, std::size_t line, const std::string& reason);
  const std::string& path() const { return path_; }
  std::size_t line() const { return line_; }

 private:
  std::string path_;
  std::size_t line_;
};

// The page has a result with an unknown key or without an end mark.
class PageError : public std::runtime_error {
 public:
  PageError(const std::string& path, std::size_t line, const std::string& reason);
  const std::string& path() const { return path_; }
  std::size_t line() const { return line_; }

 private:
  std::string path_;
  std::size_t line_;
};

}  // namespace asterdrift::scale::capacity
