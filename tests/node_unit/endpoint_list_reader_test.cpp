// Endpoint lists that arrive in pieces.
#include "node/config/endpoint_list_reader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "node/config/node_config.h"
#include "support/balancer_fixture.h"

namespace asterdrift::node {

using namespace config;

namespace {

using asterdrift::balancer::EndpointState;
using Event = EndpointListReader::Event;

const std::vector<std::string> kZones = {"a", "b"};

std::string entry(int n, const std::string& health = "active") {
  return R"({"host":"s)" + std::to_string(n) + R"(","dial":"10.0.0.1:3000","site":"b","health":")" + health +
         "\"}";
}

std::string entries(int count) {
  std::string out = entry(0);
  for (int i = 1; i < count; ++i) out += "," + entry(i);
  return out;
}

std::string joined(std::initializer_list<std::string> parts) {
  std::string out;
  for (const std::string& part : parts) out += part;
  return out;
}

// The lists in a text that comes in pieces.
std::vector<EndpointList> read(std::string_view text, std::size_t piece, std::size_t most = 1000) {
  EndpointListReader reader(kZones, most);
  std::vector<EndpointList> out;
  while (!text.empty()) {
    std::string_view rest = text.substr(0, piece);
    text.remove_prefix(rest.size());
    while (!rest.empty()) {
      const auto [event, used] = reader.feed(rest);
      if (event == Event::kList) out.push_back(reader.take_list());
      rest.remove_prefix(used);
    }
  }
  return out;
}

TEST(EndpointListReader, AcceptsFieldsInAnyOrderAndSplitAnywhere) {
  const std::string unknown = R"("more":{"hosts":[{"host":"}]\\"},7],"seq":"]"},)";
  const std::string odd = R"({"note":[{"a":"]}"}],"health":"leaving","dial":"10.0.0.2:1","host":"s}]\""})";
  const std::string seq = R"("seq":18446744073709551615)",
                    hosts = R"("hosts":[)" + odd + "," + entry(1) + "]";
  for (const std::string& list : {joined({"{", seq, R"(,"whole":true,)", unknown, hosts, "}"}),
                                  joined({"{", hosts, ",", unknown, R"("whole" : true, )", seq, "}"}),
                                  joined({"{", unknown, R"("ho\u0073ts" :)", hosts.substr(8),
                                          R"(,"hosts":[7],"whole":true,)", seq, " }"}),
                                  joined({"{\r\n  ", hosts.substr(0, 9), "\n\t", odd, "\n  ,\n  ", entry(1),
                                          "\n ]\n,\n\"whole\"\n:\ntrue,", seq, "}"})}) {
    const std::string text = joined({"\n", list, "\n\n", list, list});
    for (const std::size_t piece : {std::size_t{1}, std::size_t{2}, std::size_t{7}, text.size()}) {
      const auto lists = read(text, piece);
      ASSERT_EQ(lists.size(), 3U) << list;
      for (const EndpointList& l : lists) {
        EXPECT_EQ(l.version, 18446744073709551615U);
        EXPECT_TRUE(l.is_snapshot);
        ASSERT_EQ(l.endpoints.size(), 2U) << list;
        EXPECT_EQ(l.endpoints[0].endpoint.address, "s}]\"");
        EXPECT_EQ(l.endpoints[0].endpoint.state, EndpointState::kDraining);
        EXPECT_EQ(l.endpoints[1].endpoint.address, "s1");
        EXPECT_EQ(l.endpoints[1].endpoint.zone, 1);
      }
    }
    EXPECT_EQ(read_endpoint_list(list + "\n", kZones).endpoints.size(), 2U);
    EXPECT_THROW(read_endpoint_list(list + list, kZones), std::exception);
    EXPECT_THROW(read_endpoint_list(list.substr(0, list.size() - 1), kZones), std::exception);
  }
}

// None of these is a list, wherever it is spoilt, nor is any beginning of a good one.
TEST(EndpointListReader, RejectsInvalidLists) {
  const std::string one = entry(1);
  const std::vector<std::string> spoilt = {
      std::string("seq"),
      std::string("[]"),
      std::string("{]"),
      std::string("{}"),
      std::string(R"({"seq":8,"ho)") + "\n",
      std::string(R"({"seq":8})"),
      std::string(R"({"seq":8,"hosts":null})"),
      std::string(R"({"seq":8,"hosts":{}})"),
      std::string(R"({"hosts":[]})"),
      std::string(R"({"seq":-1,"hosts":[]})"),
      std::string(R"({"seq":1 2,"hosts":[]})"),
      std::string(R"({"seq":8,"whole":1,"hosts":[]})"),
      std::string(R"({"seq":8,"hosts":5[]})"),
      std::string(R"({"seq":8,"hosts":[][]})"),
      std::string(R"({"seq":8 "hosts":[]})"),
      std::string(R"({"seq":8,"hosts":[],})"),
      R"({"seq":8,"hosts":[)" + one + ",]}",
      R"({"seq":8,"hosts":[,)" + one + "]}",
      R"({"seq":8,"hosts":[)" + one + one + "]}",
      R"({"seq":8,"hosts":[)" + one + ",," + one + "]}",
      R"({"seq":8,"hosts":[)" + one + ",7]}",
      R"({"seq":8,"hosts":[)" + one + ",null]}",
      R"({"seq":8,"hosts":[)" + one + ",[]]}",
      R"({"seq":8,"hosts":[)" + one + ",\"x\"]}",
      R"({"seq":8,"hosts":[)" + one + "}",
      R"({"seq":8,"hosts":[)" + one + R"(,{"host":7}]})",
      R"({"seq":8,"hosts":[)" + entry(1, "odd") + "]}",
      R"({"seq":8,"hosts":[{"host" "s1"}]})",
  };
  for (const std::string& text : spoilt) {
    for (const std::size_t piece : {std::size_t{1}, text.size()}) {
      EXPECT_THROW(read(text, piece), std::exception) << text;
    }
    EXPECT_THROW(read_endpoint_list(text, kZones), std::exception) << text;
  }
  const std::string good = R"({"seq":8,"hosts":[)" + one + "]}";
  for (std::size_t cut = 0; cut < good.size(); ++cut) EXPECT_TRUE(read(good.substr(0, cut), 3).empty());
  EXPECT_EQ(read(good, 3).size(), 1U);
}

// However long a list is, it is read; the node's memory alone sets how many servers it may name.
TEST(EndpointListReader, RejectsOnlyListsBeyondMemoryLimit) {
  const std::string long_list = R"({"hosts":[)" + entries(27000) + R"(],"whole":true,"seq":3})";
  EXPECT_EQ(read(long_list, 4096, 27000).at(0).endpoints.size(), 27000U);
  EXPECT_THROW(read(long_list, 4096, 26999), std::exception);
  EXPECT_GE(max_endpoints(32), 27000U);
  EXPECT_LT(max_endpoints(16), 27000U);
  const std::string spaces(1000000, ' ');
  EXPECT_EQ(read("{" + spaces + R"("seq":3,"hosts":[)" + spaces + entry(1) + spaces + "]}", 4096).size(), 1U);
  const std::string much(1000000, 'x');  // text that is no entry, or one endless entry, is held whole
  EXPECT_THROW(read("{\"" + much + R"(":1,"seq":3,"hosts":[]})", 4096), std::exception);
  EXPECT_THROW(read(R"({"seq":3,"hosts":[{"host":")" + much, 4096), std::exception);
  EXPECT_THROW(read(std::string(1000000, '{'), 4096), std::exception);
}

std::string configuration(const std::string& more) {
  return R"({"name":"known","listen":"127.0.0.1:1","discovery":"127.0.0.1:2",)" + more +
         R"("seed":"1","limits":{"memory_mb":32},"settings":{)"
         R"("position":0,"peersTotal":1,"azs":["a","b"],"bounds":{},)"
         R"("categories":[{"name":"c","aim":1,"giveUp":2,"effect":"safe"}]}})";
}

TEST(NodeConfig, KnownEndpointListIsRead) {
  const auto known = [](const std::string& value) {
    return read_config(configuration("\"known\" : " + value + ",")).known_endpoints;
  };
  const std::string list = R"({"hosts":[)" + entries(20) + R"(],"known":{"seq":1},"seq":41})";
  ASSERT_TRUE(known(list));
  EXPECT_EQ(known(list)->version, 41U);
  EXPECT_EQ(known(list)->endpoints.size(), 20U);
  EXPECT_EQ(known(list)->endpoints[7].endpoint.zone, 1);
  EXPECT_FALSE(known("null"));
  EXPECT_FALSE(read_config(configuration(R"("other":{"known":{"seq":1}},)")).known_endpoints);
  for (const std::string bad : {"7", "[]", "{}", R"({"seq":1,"hosts":[{}]})", R"({"seq":1,"hosts":[],})"}) {
    EXPECT_THROW(known(bad), std::exception) << bad;
  }
}

// The worst that discovery can do, for a day: each call brings a whole list that is of no use.

}  // namespace
}  // namespace asterdrift::node
