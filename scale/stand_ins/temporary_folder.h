// A temporary folder that is removed, with its contents, when the object is destroyed.
#pragma once

#include <string>

namespace asterdrift::scale {

class TemporaryFolder {
 public:
  // Creates a folder whose name begins with `prefix` in the system's folder for temporary files. Throws
  // std::system_error if that fails.
  explicit TemporaryFolder(const std::string& prefix);
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder();

  // The path of a file or folder inside this folder.
  std::string path_to(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

}  // namespace asterdrift::scale
