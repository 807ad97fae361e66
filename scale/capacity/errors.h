// Errors of the capacity calculator. Each names the key, or the file and line, that it is about.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>

namespace asterdrift::scale::capacity {

// The arguments of the command line cannot be used.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A key that names no result or measurement.
class UnknownKeyError : public std::runtime_error {
 public:
  explicit UnknownKeyError(const std::string& key);
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

// A key that names two results.
class DuplicateKeyError : public std::runtime_error {
 public:
  explicit DuplicateKeyError(const std::string& key);
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

// A line of the file of measurements, or the table that it names, cannot be used.
class SlopeFileError : public std::runtime_error {
 public:
  SlopeFileError(const std::string& path, std::size_t line, const std::string& reason);
  const std::string& path() const { return path_; }
  std::size_t line() const { return line_; }

 private:
  std::string path_;
  std::size_t line_;
};

// The page has a result that is unknown or has no end.
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
