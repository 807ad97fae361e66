// Reads text files that other processes write.
#include "support/text_file.h"

#include <fstream>
#include <sstream>

namespace asterdrift::test_support {

std::string read_text_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace asterdrift::test_support
