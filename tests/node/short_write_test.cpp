// Writes that take fewer bytes than they are given, though the socket has room.
#include <string>

#include "support/long_timeout_fixture.h"

namespace asterdrift::node::testing {
namespace {

struct ShortWriteFixture : LongTimeoutFixture {
  ShortWriteFixture() {
    // The sanitizers' runtime need not be the first library.
    const Environment environment = {{"LD_PRELOAD", SHORT_WRITE_LIBRARY},
                                     {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
    node = std::make_unique<NodeProcess>(config.to_json(), NodeProcessOptions{.environment = environment});
    accept_watch();
    announce_snapshot(7, server_entry(0));
    wait_until_ready();
  }
};

// Guards against responses and requests whose rest is never written.
TEST(ShortWrite, RequestsAndResponsesAreWrittenCompletely) {
  constexpr int kRequests = 100;
  ShortWriteFixture fixture;
  TestSocket client = fixture.connect_client(), server;
  for (int i = 0; i < kRequests; ++i) {
    const std::string body(1 + static_cast<std::size_t>(i) * 700, 'b');
    client.send(request("close", "", body, "r" + std::to_string(i)));
    if (!server.is_open()) server = fixture.servers[0].accept();
    EXPECT_TRUE(server.read_message().ends_with("\r\n\r\n" + body));
    server.send(ok_response(body));
    ASSERT_TRUE(client.read_message().ends_with("\r\n\r\n" + body)) << "request " << i;
  }
}

}  // namespace
}  // namespace asterdrift::node::testing
