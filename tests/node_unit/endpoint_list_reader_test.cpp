// The incremental parser of endpoint lists.
#include "node/config/endpoint_list_reader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include "node/config/node_config.h"
#include "node_unit/endpoint_list_text.h"

namespace asterdrift::node {

using namespace config;

namespace {

using asterdrift::balancer::EndpointState;
using Event = EndpointListReader::Event;

const std::vector<std::string> kZones = {"a", "b"};

std::string join(std::initializer_list<std::string> parts) {
  std::string joined;
  for (const std::string& part : parts) joined += part;
  return joined;
}

// Parses a text that arrives in pieces of this size. Returns its lists.
std::vector<EndpointList> parse_in_pieces(std::string_view text, std::size_t piece_size,
                                          std::size_t max_endpoints = 1000) {
  EndpointListReader reader(kZones, max_endpoints);
  std::vector<EndpointList> lists;
  while (!text.empty()) {
    std::string_view piece = text.substr(0, piece_size);
    text.remove_prefix(piece.size());
    while (!piece.empty()) {
      const auto [event, read_bytes] = reader.feed(piece);
      if (event == Event::kList) lists.push_back(reader.take_list());
      piece.remove_prefix(read_bytes);
    }
  }
  return lists;
}

// Texts of the same list, with its fields in several orders and with several kinds of white space.
std::vector<std::string> list_variants() {
  const std::string unknown = R"("more":{"hosts":[{"host":"}]\\"},7],"seq":"]"},)";
  const std::string unusual_entry =
      R"({"note":[{"a":"]}"}],"health":"leaving","dial":"10.0.0.2:1","host":"s}]\""})";
  const std::string sequence = R"("seq":18446744073709551615)";
  const std::string hosts = R"("hosts":[)" + unusual_entry + "," + endpoint_entry(1) + "]";
  const std::string hosts_array = hosts.substr(8);         // without the key
  const std::string hosts_beginning = hosts.substr(0, 9);  // up to the opening bracket
  return {
      join({"{", sequence, R"(,"whole":true,)", unknown, hosts, "}"}),
      join({"{", hosts, ",", unknown, R"("whole" : true, )", sequence, "}"}),
      join({"{", unknown, R"("ho\u0073ts" :)", hosts_array, R"(,"hosts":[7],"whole":true,)", sequence, " }"}),
      join({"{\r\n  ", hosts_beginning, "\n\t", unusual_entry, "\n  ,\n  ", endpoint_entry(1),
            "\n ]\n,\n\"whole\"\n:\ntrue,", sequence, "}"})};
}

TEST(EndpointListReader, AcceptsFieldsInAnyOrderAndSplitAnywhere) {
  for (const std::string& list : list_variants()) {
    const std::string text = join({"\n", list, "\n\n", list, list});
    for (const std::size_t piece_size : {std::size_t{1}, std::size_t{2}, std::size_t{7}, text.size()}) {
      const auto lists = parse_in_pieces(text, piece_size);
      ASSERT_EQ(lists.size(), 3U) << list;
      for (const EndpointList& result : lists) {
        EXPECT_EQ(result.version, 18446744073709551615U);
        EXPECT_TRUE(result.is_snapshot);
        ASSERT_EQ(result.endpoints.size(), 2U) << list;
        EXPECT_EQ(result.endpoints[0].endpoint.address, "s}]\"");
        EXPECT_EQ(result.endpoints[0].endpoint.state, EndpointState::kDraining);
        EXPECT_EQ(result.endpoints[1].endpoint.address, "s1");
        EXPECT_EQ(result.endpoints[1].endpoint.zone, 1);
      }
    }
    EXPECT_EQ(parse_endpoint_list(list + "\n", kZones).endpoints.size(), 2U);
    EXPECT_THROW(parse_endpoint_list(list + list, kZones), std::exception);
    EXPECT_THROW(parse_endpoint_list(list.substr(0, list.size() - 1), kZones), std::exception);
  }
}

// Rejects a list that is invalid in any part. A proper prefix of a valid list is neither invalid nor a list.
TEST(EndpointListReader, RejectsInvalidLists) {
  const std::string entry = endpoint_entry(1);
  const std::vector<std::string> invalid_lists = {
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
      R"({"seq":8,"hosts":[)" + entry + ",]}",
      R"({"seq":8,"hosts":[,)" + entry + "]}",
      R"({"seq":8,"hosts":[)" + entry + entry + "]}",
      R"({"seq":8,"hosts":[)" + entry + ",," + entry + "]}",
      R"({"seq":8,"hosts":[)" + entry + ",7]}",
      R"({"seq":8,"hosts":[)" + entry + ",null]}",
      R"({"seq":8,"hosts":[)" + entry + ",[]]}",
      R"({"seq":8,"hosts":[)" + entry + ",\"x\"]}",
      R"({"seq":8,"hosts":[)" + entry + "}",
      R"({"seq":8,"hosts":[)" + entry + R"(,{"host":7}]})",
      R"({"seq":8,"hosts":[)" + endpoint_entry(1, "odd") + "]}",
      R"({"seq":8,"hosts":[{"host" "s1"}]})",
  };
  for (const std::string& text : invalid_lists) {
    for (const std::size_t piece_size : {std::size_t{1}, text.size()}) {
      EXPECT_THROW(parse_in_pieces(text, piece_size), std::exception) << text;
    }
    EXPECT_THROW(parse_endpoint_list(text, kZones), std::exception) << text;
  }
  const std::string valid = R"({"seq":8,"hosts":[)" + entry + "]}";
  for (std::size_t length = 0; length < valid.size(); ++length)
    EXPECT_TRUE(parse_in_pieces(valid.substr(0, length), 3).empty());
  EXPECT_EQ(parse_in_pieces(valid, 3).size(), 1U);
}

// The length of a list's text is not limited, but the node's memory limits the number of endpoints in a list.
TEST(EndpointListReader, RejectsOnlyListsBeyondMemoryLimit) {
  const std::string long_list = R"({"hosts":[)" + endpoint_entries(27000) + R"(],"whole":true,"seq":3})";
  EXPECT_EQ(parse_in_pieces(long_list, 4096, 27000).at(0).endpoints.size(), 27000U);
  EXPECT_THROW(parse_in_pieces(long_list, 4096, 26999), std::exception);
  EXPECT_GE(max_endpoints(32), 27000U);
  EXPECT_LT(max_endpoints(16), 27000U);
  const std::string spaces(1000000, ' ');
  EXPECT_EQ(parse_in_pieces(
                "{" + spaces + R"("seq":3,"hosts":[)" + spaces + endpoint_entry(1) + spaces + "]}", 4096)
                .size(),
            1U);
  const std::string filler(1000000, 'x');  // names, and each entry, are buffered completely
  EXPECT_THROW(parse_in_pieces("{\"" + filler + R"(":1,"seq":3,"hosts":[]})", 4096), std::exception);
  EXPECT_THROW(parse_in_pieces(R"({"seq":3,"hosts":[{"host":")" + filler, 4096), std::exception);
  EXPECT_THROW(parse_in_pieces(std::string(1000000, '{'), 4096), std::exception);
}

}  // namespace
}  // namespace asterdrift::node
