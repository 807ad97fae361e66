#include "soak/scripted_discovery.h"

#include <chrono>
#include <thread>

#include "support/discovery_messages.h"
#include "support/http_messages.h"
#include "support/wait_until.h"

namespace asterdrift::soak {
namespace {

using test_support::chunk;
using test_support::steady_seconds;

constexpr std::chrono::milliseconds kPollInterval{5};
constexpr Seconds kEmptyLineInterval = 1;

}  // namespace

ScriptedDiscovery::ScriptedDiscovery(Observations& observations) : observations_(observations) {
  threads_.start([this] { accept_watches(); });
}

void ScriptedDiscovery::add_endpoint(const std::string& name, int port) {
  const std::lock_guard lock(mutex_);
  endpoints_[name] = {.port = port};
  ++version_;
}

void ScriptedDiscovery::drain_endpoint(const std::string& name) { change(name, true); }

void ScriptedDiscovery::remove_endpoint(const std::string& name) { change(name, false); }

void ScriptedDiscovery::change(const std::string& name, bool is_draining) {
  const std::lock_guard lock(mutex_);
  if (is_draining) {
    endpoints_.at(name).is_draining = true;
  } else {
    endpoints_.erase(name);
  }
  unavailable_.insert(name);
  ++version_;
}

void ScriptedDiscovery::silence_watches() {
  const std::lock_guard lock(mutex_);
  silenced_at_ = steady_seconds();
}

void ScriptedDiscovery::truncate_watches() {
  const std::lock_guard lock(mutex_);
  truncated_at_ = steady_seconds();
}

void ScriptedDiscovery::stop_listening() {
  const std::lock_guard lock(mutex_);
  stopped_at_ = steady_seconds();
  is_listening_ = false;
  listener_.stop_listening();
}

void ScriptedDiscovery::resume_listening() {
  const std::lock_guard lock(mutex_);
  listener_.resume_listening();
  is_listening_ = true;
}

void ScriptedDiscovery::accept_watches() {
  while (!threads_.should_stop()) {
    std::this_thread::sleep_for(kPollInterval);
    const std::lock_guard lock(mutex_);
    if (!is_listening_ || listener_.is_idle()) continue;
    const auto watch = std::make_shared<Watch>();
    watch->connection = PeerConnection(listener_.accept().release());
    watch->opened_at = steady_seconds();
    threads_.start([this, watch] { serve(*watch); });
  }
}

void ScriptedDiscovery::serve(Watch& watch) {
  if (!read_request(watch) || !watch.connection.send(test_support::kChunkedResponseHead)) return;
  while (!threads_.should_stop() && advance(watch)) std::this_thread::sleep_for(kPollInterval);
  watch.connection.close();
}

bool ScriptedDiscovery::read_request(Watch& watch) const {
  while (watch.connection.received().find("\r\n\r\n") == std::string::npos) {
    if (watch.connection.read_until(steady_seconds() + 1) != PeerConnection::Read::kBytes) return false;
  }
  return true;
}

// Sends the next list or empty line if one is due. Returns whether the watch stays open.
bool ScriptedDiscovery::advance(Watch& watch) {
  const std::lock_guard lock(mutex_);
  if (watch.connection.has_ended() || stopped_at_ > watch.opened_at) return false;
  if (silenced_at_ > watch.opened_at) return true;
  if (truncated_at_ > watch.opened_at) {
    watch.connection.send(chunk(R"({"seq":)"));
    return false;
  }
  if (watch.sent_version < version_) {
    send_list(watch);
  } else if (steady_seconds() - watch.sent_at > kEmptyLineInterval) {
    watch.connection.send(chunk("\n"));
    watch.sent_at = steady_seconds();
  }
  return true;
}

void ScriptedDiscovery::send_list(Watch& watch) {
  std::string entries;
  for (const auto& [name, endpoint] : endpoints_) {
    if (!entries.empty()) entries += ",";
    entries += test_support::endpoint_json(
        {.name = name, .port = endpoint.port, .health = endpoint.is_draining ? "leaving" : "active"});
  }
  watch.connection.send(chunk(test_support::snapshot_event(version_, entries)));
  watch.sent_version = version_;
  watch.sent_at = steady_seconds();
  for (const std::string& name : unavailable_) {
    if (watch.notified.insert(name).second) observations_.add(DrainRecord{name, watch.sent_at});
  }
}

}  // namespace asterdrift::soak
