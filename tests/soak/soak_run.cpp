#include "soak/soak_run.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <limits>
#include <sstream>
#include <system_error>

#include "support/wait_until.h"

namespace asterdrift::soak {
namespace {

using node::testing::NodeProcess;
using node::testing::NodeTestConfig;
using test_support::steady_seconds;

constexpr std::chrono::microseconds kStepInterval{200};
constexpr Seconds kResourceCheckInterval = 0.05;
constexpr int kMemoryMb = 32;  // the least that the operators give a node
#ifndef __SANITIZE_ADDRESS__
constexpr long kMaxPeakMemoryKb = kMemoryMb * 1024L;
#else
constexpr long kMaxPeakMemoryKb = std::numeric_limits<long>::max();  // sanitizers use additional memory
#endif

// The number of sockets that a process has open.
std::size_t open_sockets(const NodeProcess& process) {
  std::size_t count = 0;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(process.descriptor_folder(), error)) {
    const std::filesystem::path target = std::filesystem::read_symlink(entry.path(), error);
    if (!error && target.string().starts_with("socket:")) ++count;
  }
  return count;
}

// The peak memory of a process; 0 if the process has ended.
long peak_memory_kb(const NodeProcess& process) {
  try {
    return process.peak_memory_kb();
  } catch (const std::system_error&) {
    return 0;
  }
}

}  // namespace

SoakRun::SoakRun(std::uint64_t seed) : script_(seed), discovery_(observations_) {
  config_.listen_port = port_.port();
  config_.discovery_port = discovery_.port();
  config_.admin_address = NodeTestConfig::kAnyPort;
  config_.max_sockets = script_.max_sockets;
  config_.max_memory_mb = kMemoryMb;
  config_.request_timeout = kMaxRequestTimeout;
  control_.port = port_.port();
}

std::vector<Violation> SoakRun::run() {
  const node::testing::NodeProcessOptions options{.environment = {{"TMPDIR", folder_.path()}}};
  for (std::size_t i = 0; i < script_.endpoints; ++i) add_endpoint();
  first_.process = std::make_unique<NodeProcess>(config_.to_json(), options);
  test_support::wait_until([&] { return first_.process->is_ready(); });
  started_at_ = steady_seconds();
  start_peers();
  while (steady_seconds() < started_at_ + script_.end_at + 1 && !(first_.has_ended && successor_.has_ended)) {
    const bool is_due = steady_seconds() >= started_at_ + script_.successor_starts_at;
    if (script_.has_successor && !successor_.process && is_due) {
      successor_.process = std::make_unique<NodeProcess>(config_.to_json(), options);
    }
    successor_.has_ended = successor_.has_ended || !script_.has_successor;
    advance();
    std::this_thread::sleep_for(kStepInterval);
  }
  control_.is_stopped = true;
  threads_.stop();
  std::vector<Violation> violations = check_rules(script_, observations_);
  violations.insert(violations.end(), process_violations_.begin(), process_violations_.end());
  return violations;
}

void SoakRun::start_peers() {
  for (std::size_t i = 0; i < script_.clients; ++i) {
    clients_.push_back(std::make_unique<ScriptedClient>(script_.seed, i, control_, observations_));
    threads_.start([client = clients_.back().get()] { client->run(); });
  }
  if (script_.has_connection_flood) threads_.start([this] { flood_connections(script_.seed, control_); });
}

void SoakRun::advance() {
  const Seconds elapsed = steady_seconds() - started_at_;
  send_signals(elapsed);
  change_discovery(elapsed);
  check_resources();
  kill_overdue_processes();
}

SoakRun::Process& SoakRun::target_process(SignalStep::Target target) {
  return target == SignalStep::Target::kFirst ? first_ : successor_;
}

void SoakRun::send_signals(Seconds elapsed) {
  for (; next_signal_ < script_.signals.size() && script_.signals[next_signal_].at <= elapsed;
       ++next_signal_) {
    const SignalStep& step = script_.signals[next_signal_];
    Process& target = target_process(step.target);
    if (!target.process || target.has_ended) continue;
    target.process->signal(step.signal_number);
    if (step.signal_number != SIGTERM || target.sigterm_at > 0) continue;
    target.sigterm_at = steady_seconds();
    const bool is_last = first_.sigterm_at > 0 && (!script_.has_successor || successor_.sigterm_at > 0);
    if (is_last) control_.connects_until = steady_seconds() + script_.connect_time_after_sigterm;
  }
}

void SoakRun::change_discovery(Seconds elapsed) {
  using Kind = DiscoveryStep::Kind;
  const std::vector<DiscoveryStep>& steps = script_.discovery_steps;
  for (; next_discovery_step_ < steps.size() && steps[next_discovery_step_].at <= elapsed;
       ++next_discovery_step_) {
    const DiscoveryStep& step = steps[next_discovery_step_];
    switch (step.kind) {
      case Kind::kDrain:
        discovery_.drain_endpoint(endpoints_[step.endpoint]->name());
        break;
      case Kind::kRemove:
        discovery_.remove_endpoint(endpoints_[step.endpoint]->name());
        break;
      case Kind::kAddEndpoint:
        add_endpoint();
        break;
      case Kind::kSilenceWatches:
        discovery_.silence_watches();
        break;
      case Kind::kTruncateWatches:
        discovery_.truncate_watches();
        break;
      case Kind::kStopListening:
        discovery_.stop_listening();
        break;
      case Kind::kResumeListening:
        discovery_.resume_listening();
        break;
    }
  }
}

void SoakRun::add_endpoint() {
  endpoints_.push_back(std::make_unique<ScriptedEndpoint>("s" + std::to_string(endpoints_.size()),
                                                          script_.seed, observations_));
  discovery_.add_endpoint(endpoints_.back()->name(), endpoints_.back()->port());
}

void SoakRun::kill_overdue_processes() {
  for (Process* process : {&first_, &successor_}) {
    const bool is_due = process->sigterm_at > 0 && steady_seconds() >= process->sigterm_at + kSigkillDelay;
    if (process->has_ended || !is_due) continue;
    kill_and_check(*process);
  }
}

// Sends SIGKILL, which has no effect on a process that has drained and exited, and checks the exit code and
// the peak memory.
void SoakRun::kill_and_check(Process& process) {
  const long peak_kb = process.peak_memory_kb;
  process.process->signal(SIGKILL);
  const int exit_code = process.process->wait_for_exit();
  process.has_ended = true;
  const std::string name = &process == &first_ ? "first process" : "successor";
  if (exit_code != 0)
    process_violations_.push_back({"exit code", "", name + ": " + std::to_string(exit_code)});
  if (peak_kb > kMaxPeakMemoryKb) {
    process_violations_.push_back({"peak memory", "", name + ": " + std::to_string(peak_kb) + " KB"});
  }
}

void SoakRun::check_resources() {
  if (steady_seconds() - resources_checked_at_ < kResourceCheckInterval) return;
  resources_checked_at_ = steady_seconds();
  std::size_t sockets = 0;
  for (Process* process : {&first_, &successor_}) {
    if (!process->process || process->has_ended) continue;
    sockets += open_sockets(*process->process);
    process->peak_memory_kb = std::max(process->peak_memory_kb, peak_memory_kb(*process->process));
  }
  if (sockets > static_cast<std::size_t>(script_.max_sockets)) {
    process_violations_.push_back(
        {"open sockets", "", std::to_string(sockets) + " of at most " + std::to_string(script_.max_sockets)});
  }
}

std::string SoakRun::report(const std::vector<Violation>& violations) const {
  std::ostringstream out;
  out << to_text(script_);
  for (const Violation& violation : violations) {
    out << "  " << violation.rule << ": " << violation.request_id << " " << violation.details << "\n";
    if (!violation.request_id.empty())
      out << request_history(violation.request_id, observations_, started_at_);
  }
  return out.str();
}

std::string SoakRun::summary() const {
  std::size_t completed = 0, rejected = 0, failed = 0;
  for (const RequestRecord& request : observations_.requests) {
    if (request.status == 200) ++completed;
    if (request.status == 503 || request.status == 429) ++rejected;
    if (request.status != 200 && request.status != 503 && request.status != 429) ++failed;
  }
  std::ostringstream out;
  out << "seed " << script_.seed << ": " << observations_.requests.size() << " requests, " << completed
      << " completed, " << rejected << " rejected, " << failed << " ended otherwise, "
      << observations_.attempts.size() << " attempts, " << count_requests_not_read_at_close(observations_)
      << " requests not read before the node closed the connection, "
      << observations_.unused_connections.size() << " connections closed before their first request";
  return out.str();
}

}  // namespace asterdrift::soak
