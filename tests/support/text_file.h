// Text files that other processes write.
#pragma once

#include <string>

namespace asterdrift::test_support {

// The text of a file as it is now; empty where the file cannot be read.
std::string read_text_file(const std::string& path);

}  // namespace asterdrift::test_support
