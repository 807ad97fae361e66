// Functions on strings.
#pragma once

#include <string>

namespace asterdrift::test_support {

inline bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

inline std::string repeated(const std::string& text, int times) {
  std::string result;
  for (int i = 0; i < times; ++i) result += text;
  return result;
}

}  // namespace asterdrift::test_support
