// A node whose processes share one listening port and one folder for their lock file.
#include "support/fixed_address_fixture.h"

#include <unistd.h>

#include <filesystem>
#include <system_error>

namespace asterdrift::node::testing {

TemporaryFolder::TemporaryFolder() {
  static int count = 0;
  path_ = ::testing::TempDir() + "/node_folder_" + std::to_string(getpid()) + "_" + std::to_string(count++);
  std::filesystem::create_directory(path_);
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

FixedAddressFixture::FixedAddressFixture() {
  config.listen_port = reserved_port.port();
  enable_admin_server();
}

std::unique_ptr<NodeProcess> FixedAddressFixture::start_process() const {
  return std::make_unique<NodeProcess>(config.to_json(), NodeProcessOptions{.environment = environment()});
}

}  // namespace asterdrift::node::testing
