// The host of the balancer: the effect of an action that throws an exception.
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

// Records the calls, and throws an exception from each FailRequest action.
class ThrowingActionHandler : public BalancerActionHandler {
 public:
  void execute(const balancer::SendAttempt& action) override { sent.push_back(action.id); }
  void execute(const balancer::RejectRequest&) override {}
  void execute(const balancer::FailRequest&) override { throw std::runtime_error("no memory"); }
  void execute(const balancer::CancelAttempt&) override {}
  void execute(const balancer::WatchEndpoints&) override {}
  void on_action_failed(const std::string& id) override { failed.push_back(id); }
  void on_attempt_result_handled(const balancer::AttemptResult& result) override {
    handled.push_back(result.id);
  }

  std::vector<std::string> sent, failed, handled;
};

balancer::Request make_request(const std::string& id) {
  balancer::Request request;
  request.id = id;
  request.time_left = 2;
  return request;
}

// If an action throws, its request is reported as failed. The event that caused the action is handled to its
// end, and later events are handled, too.
TEST(BalancerHost, ThrowingActionEndsOnlyItsRequest) {
  boost::asio::io_context io;
  const config::NodeConfig config = config::parse_config(kConfiguration);
  ThrowingActionHandler handler;
  BalancerHost host(io, config, handler);
  host.handle_event(balancer::ReplicaStarted{});
  balancer::EndpointUpdate update;
  update.endpoints = {{.address = "s0"}};
  host.handle_event(update);
  host.handle_event(make_request("1"));
  ASSERT_EQ(handler.sent, std::vector<std::string>{"1"});
  EXPECT_NO_THROW(host.handle_event(
      balancer::AttemptResult{.id = "1", .outcome = balancer::Outcome::kConnectionReset, .elapsed = 0.1}));
  EXPECT_EQ(handler.failed, std::vector<std::string>{"1"});
  EXPECT_EQ(handler.handled, std::vector<std::string>{"1"});
  host.handle_event(make_request("2"));
  EXPECT_EQ(handler.sent.back(), "2");
}

}  // namespace
}  // namespace asterdrift::node::dispatch
