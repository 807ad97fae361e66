// A folder of this process, removed with all that is in it at the end of the object's lifetime.
#pragma once

#include <string>

namespace asterdrift::scale {

class TemporaryFolder {
 public:
  // `prefix` begins the folder's name. Throws std::system_error.
  explicit TemporaryFolder(const std::string& prefix);
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder();

  std::string path_of(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

}  // namespace asterdrift::scale
