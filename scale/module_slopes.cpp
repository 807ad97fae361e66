// Slopes of the module and of the list reader, without sockets. Costs are this thread's processor time, which
// leaves out what other processes of a busy machine take.
#include <time.h>

#include <algorithm>
#include <queue>
#include <set>
#include <unordered_map>

#include "scale/measurement/allocations.h"
#include "scale/measurement/report.h"
#include "scale/slopes.h"
#include "scale/stand_ins/endpoint_lists.h"
#include "scale/stand_ins/node_setup.h"
#include "scale/stand_ins/simulated_node.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {
const std::vector<std::string> kZones = {"a", "b", "c"};
constexpr int kDialPort = 10000;
constexpr double kCellLimit = 8;  // s of processor time for the calls of one row

double cpu_now() {
  timespec out{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &out);
  return static_cast<double>(out.tv_sec) + static_cast<double>(out.tv_nsec) * 1e-9;
}

// What looking at that clock twice costs.
double clock_cost() {
  std::vector<double> costs;
  for (int i = 0; i < 1001; ++i) {
    const double from = cpu_now();
    costs.push_back(cpu_now() - from);
  }
  return median(costs);
}

template <class Work>
double cost_of(const Work& work) {
  static const double kClock = clock_cost();
  const double from = cpu_now();
  work();
  return std::max(0.0, cpu_now() - from - kClock);
}

template <class Work>
std::vector<double> costs_of(int times, const Work& work) {
  std::vector<double> out;
  out.reserve(static_cast<std::size_t>(times));
  for (int i = 0; i < times; ++i) out.push_back(cost_of([&] { work(i); }));
  std::sort(out.begin(), out.end());
  return out;
}

balancer::Settings settings_for(std::size_t servers, const Options& options, int tier) {
  NodeSetup setup;
  setup.replicas = static_cast<std::size_t>(options.number("copies", static_cast<double>(servers)));
  setup.tier = tier;
  return node::config::read_config(config_text(setup)).settings;
}

balancer::EndpointUpdate full(std::size_t servers) {
  return to_endpoint_update(node::config::read_endpoint_list(snapshot_text(1, servers, kDialPort), kZones));
}

std::string us(double s) { return figure(s * 1e6, 2); }

}  // namespace

void change_slope(const Options& options) {
  Report report("cost of a change and of a whole list, microseconds of processor time",
                {"servers", "change median", "change worst", "first list", "same list again", "read change",
                 "read list", "list bytes"});
  for (const std::size_t servers : options.sizes("sizes", kSizes)) {
    const std::string text = snapshot_text(1, servers, kDialPort);
    const auto first = to_endpoint_update(node::config::read_endpoint_list(text, kZones));
    std::vector<balancer::Action> actions;
    double now = 100;
    const auto starts = costs_of(5, [&](int) {
      balancer::Balancer fresh(settings_for(servers, options, 1), 1);
      fresh.handle(now, first, actions);
    });
    balancer::Balancer module(settings_for(servers, options, 1), 1);
    module.handle(now, first, actions);
    const auto changes = costs_of(servers > 1000 ? 101 : 1001, [&](int i) {
      balancer::EndpointUpdate change;
      change.form = balancer::EndpointUpdate::Form::kIncremental;
      change.endpoints = {first.endpoints[static_cast<std::size_t>(i / 2) * 7919 % servers]};
      if (i % 2 == 0) change.endpoints[0].state = balancer::EndpointState::kDraining;
      module.handle(now += 0.1, change, actions);
    });
    const auto again = costs_of(11, [&](int) { module.handle(now += 0.1, first, actions); });
    const std::string one = change_text(2, servers / 2, kDialPort, "leaving");
    const auto read_one = costs_of(1001, [&](int) { node::config::read_endpoint_list(one, kZones); });
    const auto read_all = costs_of(11, [&](int) { node::config::read_endpoint_list(text, kZones); });
    report.row({std::to_string(servers), us(median(changes)), us(changes.back()), us(median(starts)),
                us(median(again)), us(median(read_one)), us(median(read_all)), std::to_string(text.size())});
  }
  report.note(
      "change: a server drains, or is well again. As many copies as servers unless --copies says else.");
  report.print(options.text("json", ""));
}

namespace {

// A module under calls, in a time of its own: each call is answered by an event.
class CallTrial {
 public:
  enum class Subset { kWell, kIll, kCold, kFull };

  CallTrial(std::size_t servers, const Options& options, Subset subset)
      : subset_(subset), period_(1 / options.number("calls-per-s", 330)) {
    balancer::Settings settings = settings_for(servers, options, subset == Subset::kFull ? 0 : 1);
    settings.slow_start_capacity = 0.1;
    settings.slow_start_duration = 3600;
    settings.tenants[0].quota = static_cast<double>(settings.replica_count) / period_;
    module_.emplace(settings, 1);
    list_ = full(servers);
    handle(list_);
  }

  // Costs of whole calls, sorted: each request and the ends of its attempts.
  std::vector<double> run(std::size_t calls) {
    for (std::size_t i = 0; i < 1000; ++i) call();  // all well: this tells the subset and the usual time
    while (!ends_.empty()) end_next();
    turn();
    for (std::size_t i = 0; i < 200; ++i) call();
    while (!ends_.empty()) end_next();
    costs_.clear();
    refused_ = 0;
    for (const double from = cpu_now(); made_ < calls && cpu_now() - from < kCellLimit; ++made_) call();
    while (!ends_.empty()) end_next();
    std::vector<double> out;
    for (const auto& [id, cost] : costs_) out.push_back(cost);
    std::sort(out.begin(), out.end());
    return out;
  }
  std::size_t refused() const { return refused_; }
  std::size_t made() const { return made_; }
  std::size_t subset() const { return members_.size(); }

 private:
  struct End {
    double at;
    balancer::AttemptResult result;
    bool operator>(const End& other) const { return at > other.at; }
  };

  void turn() {
    turned_ = true;
    if (subset_ != Subset::kCold) return;
    balancer::EndpointUpdate restarted;
    restarted.form = balancer::EndpointUpdate::Form::kIncremental;
    for (balancer::Endpoint server : list_.endpoints) {
      if (!members_.contains(server.address)) continue;
      server.started_at = now_;
      restarted.endpoints.push_back(server);
    }
    handle(restarted);
  }

  double handle(const balancer::Event& event) {
    actions_.clear();
    return cost_of([&] { module_->handle(now_, event, actions_); });
  }

  void call() {
    now_ += period_;
    for (const double upto = now_; !ends_.empty() && ends_.top().at <= upto;) end_next();
    balancer::Request request;
    request.id = std::to_string(++last_);
    request.time_left = 5;
    costs_[request.id] = handle(request);
    follow();
  }

  void end_next() {
    const End end = ends_.top();
    ends_.pop();
    const double later = std::exchange(now_, std::max(end.at, clock_));
    clock_ = now_;
    const double cost = handle(end.result);
    if (const auto it = costs_.find(end.result.id); it != costs_.end()) it->second += cost;
    follow();
    now_ = std::max(now_, later);
  }

  void follow() {
    clock_ = now_;
    for (const balancer::Action& action : actions_) {
      if (std::holds_alternative<balancer::RejectRequest>(action)) ++refused_;
      const auto* send = std::get_if<balancer::SendAttempt>(&action);
      if (send == nullptr) continue;
      if (!turned_) members_.insert(send->endpoint);
      const bool of_subset = turned_ && members_.contains(send->endpoint);
      double took = 0.02;
      balancer::Outcome outcome = balancer::Outcome::kSuccess;
      if (of_subset && subset_ == Subset::kFull) took = 0.034;
      if (of_subset && subset_ == Subset::kIll) {
        took = 0.001;
        outcome = balancer::Outcome::kConnectFailed;
      }
      const int attempt = attempts_[send->id]++;
      ends_.push({now_ + took, {send->id, attempt, outcome, took, outcome == balancer::Outcome::kSuccess}});
      if (outcome == balancer::Outcome::kSuccess) attempts_.erase(send->id);
    }
  }

  Subset subset_;
  double period_, now_ = 100, clock_ = 100;
  std::optional<balancer::Balancer> module_;
  balancer::EndpointUpdate list_;
  std::set<std::string> members_;  // of the subset
  bool turned_ = false;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
  std::unordered_map<std::string, double> costs_;
  std::unordered_map<std::string, int> attempts_;
  std::vector<balancer::Action> actions_;
  std::uint64_t last_ = 0;
  std::size_t refused_ = 0, made_ = 0;
};

}  // namespace

void call_slope(const Options& options) {
  Report report(
      "cost of a call in the module, microseconds of processor time",
      {"servers", "subset is", "servers in use", "mean", "99 in 100", "99.9 in 100", "worst", "refused of"});
  const auto calls = static_cast<std::size_t>(options.number("calls", 20000));
  using Subset = CallTrial::Subset;
  const std::vector<std::pair<Subset, std::string>> kinds = {
      {Subset::kWell, "well"}, {Subset::kIll, "ill"}, {Subset::kCold, "cold"}, {Subset::kFull, "full"}};
  for (const std::size_t servers : options.sizes("sizes", kSizes)) {
    for (const auto& [kind, name] : kinds) {
      CallTrial trial(servers, options, kind);
      const auto costs = trial.run(calls);
      double sum = 0;
      for (const double cost : costs) sum += cost;
      report.row({std::to_string(servers), name, std::to_string(trial.subset()),
                  us(sum / static_cast<double>(costs.size())), us(quantile(costs, 0.99)),
                  us(quantile(costs, 0.999)), us(costs.back()),
                  std::to_string(trial.refused()) + " of " + std::to_string(trial.made())});
    }
  }
  report.note(
      "a call: its request and the ends of its attempts. ill: the subset's servers refuse connections;");
  report.note("cold: they have just started; full: tier 0, they answer 1.7 times as slowly as before.");
  report.print(options.text("json", ""));
}

void memory_slope(const Options& options) {
  Report report("allocated bytes, without the process itself",
                {"servers", "module", "module a server", "most amid a list", "list read", "most amid reading",
                 "after a change", "a change allocates", "in so many calls"});
  for (const std::size_t servers : options.sizes("sizes", kSizes)) {
    const std::string text = snapshot_text(1, servers, kDialPort);
    const std::size_t before_read = allocations().live_bytes;
    reset_peak();
    std::size_t read = 0, read_peak = 0;
    balancer::EndpointUpdate first;
    {
      const auto list = node::config::read_endpoint_list(text, kZones);
      read = allocations().live_bytes - before_read;
      read_peak = allocations().peak_bytes - before_read;
      first = to_endpoint_update(list);
    }
    std::vector<balancer::Action> actions;
    const balancer::Settings settings = settings_for(servers, options, 1);
    const std::size_t before = allocations().live_bytes;
    balancer::Balancer module(settings, 1);
    const std::size_t empty = allocations().live_bytes - before;
    reset_peak();
    module.handle(100, first, actions);
    const std::size_t held = allocations().live_bytes - before, peak = allocations().peak_bytes - before;
    balancer::EndpointUpdate change;
    change.form = balancer::EndpointUpdate::Form::kIncremental;
    change.endpoints = {first.endpoints[servers / 2]};
    change.endpoints[0].state = balancer::EndpointState::kDraining;
    module.handle(101, change, actions);
    change.endpoints[0].state = balancer::EndpointState::kReady;
    const Allocations from = allocations();
    module.handle(102, change, actions);
    const Allocations to = allocations();
    report.row({std::to_string(servers), std::to_string(held),
                figure(static_cast<double>(held - empty) / static_cast<double>(servers)),
                std::to_string(peak), std::to_string(read), std::to_string(read_peak),
                std::to_string(to.live_bytes - before), std::to_string(to.bytes - from.bytes),
                std::to_string(to.count - from.count)});
  }
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
