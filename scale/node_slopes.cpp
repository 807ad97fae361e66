// Slopes of the node's program before the stand-in discovery and servers.
#include <unistd.h>

#include <algorithm>

#include "scale/measurement/load_generator.h"
#include "scale/measurement/process_usage.h"
#include "scale/measurement/report.h"
#include "scale/slopes.h"
#include "scale/stand_ins/discovery_process.h"
#include "scale/stand_ins/measured_node.h"
#include "scale/stand_ins/node_setup.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

constexpr double kReadyLimit = 10;  // s

std::string ms(double s) { return figure(s * 1000, 3); }

void sleep_s(double s) { usleep(static_cast<useconds_t>(s * 1e6)); }

}  // namespace

void idle_slope(const Options& options) {
  const double time = options.number("seconds", 10);
  const std::string program = options.text("node", NODE);
  Report report("a real node without calls", {"servers", "changes/s", "ready after s", "resident MB",
                                              "peak MB", "% of a core", "from discovery KB/s", "asks/s"});
  for (const std::size_t servers : options.sizes("sizes", kSizes)) {
    for (const double rate : options.numbers("rates", {0, 5, 50})) {
      DiscoveryProcess discovery(servers, 10000);
      NodeSetup setup;
      setup.discovery_port = discovery.port();
      setup.replicas = servers;
      setup.list_delivery = options.flag("asked") ? ListDelivery::kSubscribed : ListDelivery::kPushed;
      const double began = test_support::steady_seconds();
      const MeasuredNode node(program, setup);
      const bool ready = node.wait_ready(kReadyLimit);
      const double ready_after = test_support::steady_seconds() - began;
      discovery.set_change_rate(rate);
      sleep_s(0.5);
      const ProcessUsage before = usage_of(node.pid());
      const auto asked_before = discovery.counts();
      const double from = test_support::steady_seconds();
      sleep_s(time);
      const double spent = test_support::steady_seconds() - from;
      const ProcessUsage after = usage_of(node.pid());
      const auto asked = discovery.counts();
      report.row({std::to_string(servers), figure(rate, 0), ready ? figure(ready_after, 3) : "no",
                  figure(after.resident_mb, 2), figure(after.peak_mb, 2),
                  figure((after.processor_time_s - before.processor_time_s) / spent * 100, 3),
                  figure(static_cast<double>(asked.bytes - asked_before.bytes) / spent / 1024, 2),
                  figure(static_cast<double>(asked.requests - asked_before.requests) / spent, 2)});
    }
  }
  report.note("over " + figure(time, 0) + " s each, after the node was ready or " + figure(kReadyLimit, 0) +
              " s had passed; lists are " + (options.flag("asked") ? "asked for" : "pushed") +
              ". Its management address is not open.");
  report.print(options.text("json", ""));
}

void useless_slope(const Options& options) {
  using Mode = DiscoveryMode;
  const double time = options.number("seconds", 20);
  const std::string program = options.text("node", NODE);
  struct Kind {
    std::string name;
    Mode mode;
  };
  const std::vector<Kind> kinds = {{"whole list", Mode::kHealthy}, {"one entry spoilt", Mode::kCorrupt},
                                   {"list cut", Mode::kTruncate},  {"503", Mode::kUnavailable},
                                   {"silent", Mode::kHang},        {"refused", Mode::kRefuse}};
  Report report("what a node asks of discovery from its start on, while discovery answers so",
                {"servers", "lists are", "discovery answers", "asks/s", "KB/s", "% of a core of the node",
                 "resident MB", "ready", "ready after it is mended s"});
  for (const std::size_t servers : options.sizes("servers", {700, 27000})) {
    for (const bool pushed : {true, false}) {
      for (const Kind& kind : kinds) {
        DiscoveryProcess discovery(servers, 10000);
        discovery.set_mode(kind.mode);
        NodeSetup setup;
        setup.discovery_port = discovery.port();
        setup.replicas = servers;
        setup.list_delivery = pushed ? ListDelivery::kPushed : ListDelivery::kSubscribed;
        const MeasuredNode node(program, setup);
        const double from = test_support::steady_seconds();
        sleep_s(time);
        const double spent = test_support::steady_seconds() - from;
        const ProcessUsage used = usage_of(node.pid());
        const auto counts = discovery.counts();
        const bool ready = node.is_ready();
        std::string mended = "-";
        if (kind.mode != Mode::kHealthy) {
          const double at = test_support::steady_seconds();
          discovery.set_mode(Mode::kHealthy);
          mended = node.wait_ready(kReadyLimit) ? figure(test_support::steady_seconds() - at, 3) : "no";
        }
        report.row(
            {std::to_string(servers), pushed ? "pushed" : "asked for", kind.name,
             kind.mode == Mode::kRefuse ? "-" : figure(static_cast<double>(counts.requests) / spent, 2),
             figure(static_cast<double>(counts.bytes) / spent / 1024),
             figure(used.processor_time_s / spent * 100, 2), figure(used.resident_mb), ready ? "yes" : "no",
             mended});
      }
    }
  }
  report.note("over " + figure(time, 0) +
              " s each, the start among them. Bytes are those that discovery has sent.");
  report.print(options.text("json", ""));
}

void latency_slope(const Options& options) {
  const auto rounds = static_cast<unsigned>(options.number("rounds", 5));
  const double time = options.number("seconds", 2);
  const auto servers = static_cast<std::size_t>(options.number("servers", 7));
  Report report("latency of calls in an open loop, ms, from the moment at which each was to be sent",
                {"calls/s", "way", "answered", "failed", "50 in 100", "99 in 100", "99.9 in 100", "worst",
                 "added 50", "added 99", "added 99.9", "ratio 50", "ratio 99", "ratio 99.9", "node us/call"});
  raise_descriptor_limit();
  const ServerProcess server = start_stand_in_server(options.number("delay-ms", 0) / 1000);
  const ServerProcess bare = start_forwarding_proxy(server.port());
  DiscoveryProcess discovery(servers, server.port());
  NodeSetup setup;
  setup.discovery_port = discovery.port();
  setup.replicas = servers;
  setup.list_delivery = ListDelivery::kPushed;
  const MeasuredNode node(options.text("node", NODE), setup);
  if (!node.wait_ready(kReadyLimit)) throw std::runtime_error("the node does not get ready");
  const int ways[] = {server.port(), bare.port(), node.port()};
  const char* const names[] = {"direct", "pass-through", "node"};
  for (const int way : ways) send_load({way, 200, 200, 1, 1});
  for (const double rate : options.numbers("rates", {330, 1300, 3000})) {
    std::vector<double> times[3];
    std::size_t failed[3] = {};
    double cpu = 0;
    for (unsigned round = 0; round < rounds; ++round) {  // in turn, so that all see the machine alike
      for (std::size_t i = 0; i < 3; ++i) {
        const double before = usage_of(node.pid()).processor_time_s;
        const LoadResult got =
            send_load({ways[i], rate, static_cast<std::size_t>(rate * time), round + 1, 3});
        if (i == 2) cpu += usage_of(node.pid()).processor_time_s - before;
        times[i].insert(times[i].end(), got.latencies.begin(), got.latencies.end());
        failed[i] += got.failed;
      }
    }
    for (auto& all : times) std::sort(all.begin(), all.end());
    for (std::size_t i = 0; i < 3; ++i) {
      std::vector<std::string> row = {figure(rate, 0), names[i], std::to_string(times[i].size()),
                                      std::to_string(failed[i])};
      for (const double part : {0.5, 0.99, 0.999, 1.0}) row.push_back(ms(quantile(times[i], part)));
      for (const double part : {0.5, 0.99, 0.999})
        row.push_back(i == 0 ? "-" : ms(quantile(times[i], part) - quantile(times[0], part)));
      for (const double part : {0.5, 0.99, 0.999})
        row.push_back(i < 2 ? "-" : figure(quantile(times[2], part) / quantile(times[1], part), 2));
      row.push_back(i < 2 ? "-" : figure(cpu / static_cast<double>(times[2].size()) * 1e6));
      report.row(row);
    }
  }
  report.note("added: less the same part of the calls sent directly. ratio: node over pass-through.");
  report.note(std::to_string(rounds) + " rounds of " + figure(time, 0) + " s for each way, in turn; " +
              std::to_string(servers) + " servers on the list, all one process here.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
