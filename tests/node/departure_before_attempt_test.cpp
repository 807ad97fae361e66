// No attempt begins for a client that has left.
#include <filesystem>
#include <vector>

#include "support/calm_node_fixture.h"
#include "support/late_server.h"
#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

using Leave = void (*)(TestSocket&);
constexpr std::pair<const char*, Leave> kWaysToLeave[] = {
    {"closes", [](TestSocket& client) { client.close(); }},
    {"resets", [](TestSocket& client) { client.reset(); }},
    {"ends its sending", [](TestSocket& client) { client.finish(); }},
};

// What lets the further attempt begin is heard of first, the client's end behind it.
TEST(DepartureBeforeAttempt, NoFurtherAttemptBegins) {
  for (const auto& [way, leave] : kWaysToLeave) {
    for (const std::string failure : {"HTTP/1.1 503 Full\r\nNot-Started: 1\r\n", ""}) {
      CalmNodeFixture w;
      w.serve(host("s0", w.servers[0].port()) + "," + host("s1", w.servers[1].port()));
      auto server = w.kept();
      const long before = w.metric("upstream_requests");
      TestSocket caller = w.client();
      caller.send(request(failure.empty() ? "mark" : "close"));
      until([&] { return !server[0].quiet() || !server[1].quiet(); });
      const std::size_t first = server[0].quiet() ? 1 : 0;
      EXPECT_TRUE(has(server[first].message(), "Request-Id: r1\r\n"));
      w.node->stop();
      failure.empty() ? server[first].reset() : server[first].send(with_length(failure, ""));
      leave(caller);
      w.node->go_on();
      until([&] { return w.metric("pending") == 0; });
      EXPECT_EQ(w.metric("upstream_requests"), before + 1) << way << ", failed by " << failure;
      EXPECT_TRUE(server[1 - first].quiet()) << way;
    }
  }
}

TEST(DepartureBeforeAttempt, NoAttemptBeginsOnAConnectionThatComesUpLate) {
  for (const auto& [way, leave] : kWaysToLeave) {
    const ScriptedPeer late(0);
    const TestSocket crowd = TestSocket::to(late.port());  // its queue has room for this one alone
    CalmNodeFixture w;
    w.serve(host("s0", late.port()));
    TestSocket caller = w.client();
    caller.send(request("close"));
    until([&] { return connecting_to(late.port()); });
    w.node->stop();
    late.accept();
    TestSocket server = late.accept();
    leave(caller);
    w.node->go_on();
    EXPECT_TRUE(server.ended()) << way;
    until([&] { return w.metric("pending") == 0; });
    EXPECT_EQ(w.metric("upstream_requests"), 0) << way;
  }
}
}  // namespace
}  // namespace asterdrift::node::testing
