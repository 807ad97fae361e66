// The configuration file: reload on SIGHUP, and invalid configurations.
#include <string>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

TEST(Configuration, InvalidReloadChangesNothing) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  const ListeningSocket other_discovery;
  const std::string valid_config = fixture.config_with_discovery(other_discovery);
  NodeProcess& node = *fixture.node;
  node.reload_without_file();
  EXPECT_TRUE(contains(node.read_log_until("configuration unchanged: cannot read the configuration file"),
                       "configuration unchanged: cannot read the configuration file"));
  node.reload(valid_config.substr(0, valid_config.size() / 2));
  EXPECT_TRUE(contains(node.read_log_until("configuration unchanged: not valid"),
                       "configuration unchanged: not valid"));
  node.reload(R"({"discovery":"nowhere"})");
  EXPECT_TRUE(
      contains(node.read_log_until("configuration unchanged: field"), "configuration unchanged: field"));
  EXPECT_TRUE(fixture.watch.is_idle());
  EXPECT_TRUE(other_discovery.is_idle());
  node.reload(valid_config);
  EXPECT_TRUE(contains(other_discovery.accept().read_message(), kSnapshotRequestLine));
}

TEST(Configuration, InvalidConfigurationEndsProcessWithOneLogLine) {
  const NodeFixture fixture;
  const std::string valid_config = fixture.config.to_json();
  std::string invalid_seed = valid_config;
  invalid_seed.replace(invalid_seed.find("8c1f"), 4, "xyz!");
  std::string invalid_settings = valid_config;
  invalid_settings.replace(invalid_settings.find("\"peersTotal\":1"), 14, "\"peersTotal\":0");
  for (const std::string& config : {std::string(), std::string("{"), invalid_seed, invalid_settings}) {
    NodeProcess node(config);
    EXPECT_EQ(node.wait_for_exit(), 2);
    const std::string& log = node.read_log_until("");
    EXPECT_EQ(log.find('\n'), log.size() - 1) << log;
    EXPECT_TRUE(contains(log, "load-balancer-node: ")) << log;
  }
  std::string occupied_port = valid_config;
  occupied_port.replace(occupied_port.find("127.0.0.1:0"), 11,
                        "127.0.0.1:" + std::to_string(fixture.servers[0].port()));
  EXPECT_EQ(NodeProcess(occupied_port).wait_for_exit(), 1);
}

}  // namespace
}  // namespace asterdrift::node::testing
