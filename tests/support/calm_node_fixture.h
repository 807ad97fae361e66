// A node whose requests end by a test's own events alone.
#pragma once

#include <array>
#include <string>
#include <utility>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {

// Nothing but a test's own events ends its requests.
struct CalmNodeFixture : NodeFixture {
  CalmNodeFixture() {
    connect_timeout = give_up = idle_close = 600;
    may_cancel = false;
    more = R"("management":"127.0.0.1:0",)";
  }
  // A kept connection to each server.
  std::array<TestSocket, 2> kept() {
    std::array<TestSocket, 2> out;
    std::array<bool, 2> have{};
    for (int i = 0; !have[0] || !have[1]; ++i) {
      TestSocket caller = client();
      caller.send(request("close", "", "question", "warm" + std::to_string(i)));
      std::size_t to = 2;
      until([&] {
        for (std::size_t s = 0; s < 2; ++s) {
          if (have[s] ? !out[s].quiet() : !servers[s].quiet()) to = s;
        }
        return to < 2;
      });
      if (!std::exchange(have[to], true)) out[to] = servers[to].accept();
      out[to].message();
      out[to].send(ok());
      EXPECT_TRUE(has(caller.message(), " 200 "));
    }
    return out;
  }
};

}  // namespace asterdrift::node::testing
