// Reads text files that other processes write.
#pragma once

#include <string>

namespace asterdrift::test_support {

// Returns the current text of a file, or an empty text if the file cannot be read.
std::string read_text_file(const std::string& path);

}  // namespace asterdrift::test_support
