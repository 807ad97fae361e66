// A node whose processes share one listening port and one folder for their lock file.
#pragma once

#include <memory>
#include <string>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {

// A folder for temporary files. The destructor removes the folder with all files in it.
class TemporaryFolder {
 public:
  TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder();

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Starts several processes of one node, at the same time or one after the other.
struct FixedAddressFixture : NodeFixture {
  FixedAddressFixture();

  Environment environment() const { return {{"TMPDIR", folder.path()}}; }
  // Starts another process of the node. Does not accept the watch that the process opens.
  std::unique_ptr<NodeProcess> start_process() const;
  TestSocket connect_to_node() const { return TestSocket::connect_to(config.listen_port); }
  void set_admin_port(int port) { config.admin_address = "127.0.0.1:" + std::to_string(port); }

  ReservedPort reserved_port;
  TemporaryFolder folder;
};

}  // namespace asterdrift::node::testing
