// The endpoint list in the configuration of a node.
#include "node/config/node_config.h"

#include <gtest/gtest.h>

#include <exception>
#include <string>

#include "node_unit/endpoint_list_text.h"

namespace asterdrift::node {

using namespace config;

namespace {

// A valid configuration with additional fields, each of which ends with a comma.
std::string configuration_with(const std::string& fields) {
  return R"({"name":"known","listen":"127.0.0.1:1","discovery":"127.0.0.1:2",)" + fields +
         R"("seed":"1","limits":{"memory_mb":32},"settings":{)"
         R"("position":0,"peersTotal":1,"azs":["a","b"],"bounds":{},)"
         R"("categories":[{"name":"c","aim":1,"giveUp":2,"effect":"safe"}]}})";
}

TEST(NodeConfig, KnownEndpointListIsParsed) {
  const auto known_endpoints = [](const std::string& value) {
    return parse_config(configuration_with("\"known\" : " + value + ",")).known_endpoints;
  };
  const std::string list = R"({"hosts":[)" + endpoint_entries(20) + R"(],"known":{"seq":1},"seq":41})";
  ASSERT_TRUE(known_endpoints(list));
  EXPECT_EQ(known_endpoints(list)->version, 41U);
  EXPECT_EQ(known_endpoints(list)->endpoints.size(), 20U);
  EXPECT_EQ(known_endpoints(list)->endpoints[7].endpoint.zone, 1);
  EXPECT_FALSE(known_endpoints("null"));
  EXPECT_FALSE(parse_config(configuration_with(R"("other":{"known":{"seq":1}},)")).known_endpoints);
  for (const std::string invalid :
       {"7", "[]", "{}", R"({"seq":1,"hosts":[{}]})", R"({"seq":1,"hosts":[],})"}) {
    EXPECT_THROW(known_endpoints(invalid), std::exception) << invalid;
  }
}

}  // namespace
}  // namespace asterdrift::node
