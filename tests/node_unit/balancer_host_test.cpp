// The host of the balancer: what an action that throws leaves undone.
#include "node/dispatch/balancer_host.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "node/config/node_config.h"

namespace asterdrift::node::dispatch {
namespace {

constexpr const char* kConfiguration =
    R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{"memory_mb":32},)"
    R"("settings":{"position":0,"peersTotal":1,"stage":1,"azs":["a"],"bounds":{},)"
    R"("categories":[{"name":"c","aim":1,"giveUp":2,"effect":"unsafe"}]}})";

// Records the actions, and throws from those that fail a request.
class ThrowingActions : public BalancerActionHandler {
 public:
  void run(const balancer::SendAttempt& action) override { sent.push_back(action.id); }
  void run(const balancer::RejectRequest&) override {}
  void run(const balancer::FailRequest&) override { throw std::runtime_error("no memory"); }
  void run(const balancer::CancelAttempt&) override {}
  void run(const balancer::WatchEndpoints&) override {}
  void on_action_failed(const std::string& id) override { failed.push_back(id); }
  void on_attempt_result_handled(const balancer::AttemptResult& result) override {
    handled.push_back(result.id);
  }

  std::vector<std::string> sent, failed, handled;
};

balancer::Request request(const std::string& id) {
  balancer::Request request;
  request.id = id;
  request.time_left = 2;
  return request;
}

// The request of the action that throws is reported, its event is handled to the end, and so is the next.
TEST(BalancerHost, ActionThatThrowsEndsItsRequestAlone) {
  boost::asio::io_context io;
  const config::NodeConfig config = config::parse_config(kConfiguration);
  ThrowingActions actions;
  BalancerHost host(io, config, actions);
  host.post(balancer::ReplicaStarted{});
  balancer::EndpointUpdate update;
  update.endpoints = {{.address = "s0"}};
  host.post(update);
  host.post(request("1"));
  ASSERT_EQ(actions.sent, std::vector<std::string>{"1"});
  EXPECT_NO_THROW(host.post(
      balancer::AttemptResult{.id = "1", .outcome = balancer::Outcome::kConnectionReset, .elapsed = 0.1}));
  EXPECT_EQ(actions.failed, std::vector<std::string>{"1"});
  EXPECT_EQ(actions.handled, std::vector<std::string>{"1"});
  host.post(request("2"));
  EXPECT_EQ(actions.sent.back(), "2");
}

}  // namespace
}  // namespace asterdrift::node::dispatch
