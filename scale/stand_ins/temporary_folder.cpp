// A temporary folder that is removed, with its contents, when the object is destroyed.
#include "scale/stand_ins/temporary_folder.h"

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <system_error>

namespace asterdrift::scale {

TemporaryFolder::TemporaryFolder(const std::string& prefix)
    : path_((std::filesystem::temp_directory_path() / (prefix + "XXXXXX")).string()) {
  if (mkdtemp(path_.data()) == nullptr) {
    throw std::system_error(errno, std::generic_category(), "create folder " + path_);
  }
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace asterdrift::scale
