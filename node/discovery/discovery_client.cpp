#include "node/discovery/discovery_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "node/discovery/poll_timeouts.h"
#include "node/net/address.h"
#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::discovery {

using boost::system::error_code;
using telemetry::log_line;
using timing::now;

DiscoveryClient::DiscoveryClient(boost::asio::io_context& io, const config::NodeConfig& config,
                                 Callbacks callbacks)
    : io_(io),
      config_(config),
      callbacks_(std::move(callbacks)),
      address_(config.discovery_address),
      random_(static_cast<std::minstd_rand::result_type>(config.seed)),
      retry_timer_(io) {
  if (config.known_endpoints) version_ = config.known_endpoints->version;
}

DiscoveryClient::~DiscoveryClient() = default;

void DiscoveryClient::ensure_watch() {
  if (current_ || is_changing_address_) return;
  const double wait = budget_.poll_delay(now());
  if (wait > 0) return schedule(wait, [this] { start_watch(); });
  start_watch();
}

std::shared_ptr<EndpointWatch> DiscoveryClient::new_watch() {
  const EndpointWatch::Options options = {address_, needs_snapshot() ? std::nullopt : version_, is_pushed(),
                                          config_.zones, config::max_endpoints(config_.memory_mb)};
  EndpointWatch::Callbacks callbacks;
  callbacks.on_list = [this](EndpointWatch* watch, config::EndpointList&& list, std::size_t first_bytes) {
    handle_list(watch, list, first_bytes);
  };
  callbacks.on_error = [this](EndpointWatch* watch, const WatchError& error) { handle_error(watch, error); };
  return std::make_shared<EndpointWatch>(io_, options, std::move(callbacks));
}

void DiscoveryClient::start_watch() {
  if (current_ || is_changing_address_) return;
  current_ = new_watch();
  current_->start();
}

// The new address is polled at once, and for a snapshot, since its versions may differ from those of the old
// one. The current endpoints stay in use until then.
void DiscoveryClient::change_address(const boost::asio::ip::tcp::endpoint& address) {
  if (address == address_) return;
  log_line("discovery address changed: " + net::to_text(address_) + " -> " + net::to_text(address));
  address_ = address;
  version_.reset();
  snapshot_next_ = had_snapshot_ = false;
  is_changing_address_ = true;
  budget_.allow_immediate_poll();
  retry_timer_.cancel();
  if (successor_) successor_->close();
  start_successor();
}

void DiscoveryClient::start_successor() {
  successor_ = new_watch();
  successor_->start();
}

void DiscoveryClient::schedule(double wait, std::function<void()> call) {
  retry_timer_.expires_after(timing::to_duration(wait));
  retry_timer_.async_wait([call = std::move(call)](const error_code& error) {
    if (!error) call();
  });
}

// With jitter, since all nodes lose discovery at once and must not poll it again at once.
double DiscoveryClient::retry_wait() {
  const double wait = poll_timeouts::max_poll_delay(is_pushed()) * (0.5 + jitter() / 2);
  return std::max(wait, budget_.poll_delay(now()));
}

// The first snapshot of an address is needed. Each further snapshot that begins a watch is charged to the
// poll budget, since invalid changes and broken watches may have it repeated without end. Later lists of a
// watch are not charged.
void DiscoveryClient::handle_list(const EndpointWatch* watch, const config::EndpointList& list,
                                  std::size_t first_bytes) {
  if (watch == successor_.get()) {
    if (current_) current_->close();  // its later lists would be outdated
    current_ = std::exchange(successor_, nullptr);
    is_changing_address_ = false;
  }
  if (!is_changing_address_) version_.reset();  // until the list has been applied
  callbacks_.on_list(list);
  if (!is_connected_) log_line("discovery connected: " + net::to_text(watch->address()));
  is_connected_ = true;
  last_invalid_.clear();
  budget_.record_valid_list();
  if (list.is_snapshot && had_snapshot_) {
    budget_.charge(now(), first_bytes, jitter(), PollBudget::ChargeReason::kRepeated);
  }
  if (is_changing_address_) return;
  had_snapshot_ = had_snapshot_ || list.is_snapshot;
  snapshot_next_ = false;
  version_ = list.version;
}

void DiscoveryClient::handle_error(const EndpointWatch* watch, const WatchError& error) {
  if (watch != current_.get() && watch != successor_.get()) return;
  log_error(watch->address(), error);
  record_error(error);
  if (watch == successor_.get()) {  // the balancer has not requested this one, and does not retry it
    successor_.reset();
    return schedule(retry_wait(), [this] { start_successor(); });
  }
  current_.reset();
  if (is_changing_address_) return;
  if (is_pushed()) schedule(retry_wait(), [this] { start_watch(); });
  callbacks_.on_watch_failed();
}

// Logs the first error after a list, and each new reason to reject a list.
void DiscoveryClient::log_error(const boost::asio::ip::tcp::endpoint& address, const WatchError& error) {
  const bool is_invalid = error.kind == WatchError::Kind::kInvalidList;
  const bool is_new_reason = is_invalid && error.message != last_invalid_;
  if (is_connected_ || is_new_reason) {
    const std::string event = is_invalid ? "endpoint list rejected: " : "discovery watch failed: ";
    log_line(event + net::to_text(address) + ": " + error.message + "; keeping the last endpoint list");
  }
  is_connected_ = false;
}

void DiscoveryClient::record_error(const WatchError& error) {
  const bool is_invalid = error.kind == WatchError::Kind::kInvalidList;
  budget_.charge(now(), error.wasted_bytes, jitter(),
                 is_invalid ? PollBudget::ChargeReason::kInvalid : PollBudget::ChargeReason::kTruncated);
  if (is_invalid) {
    last_invalid_ = error.message;
    // Invalid changes would be repeated, so that a snapshot is needed next. Where the snapshot is invalid,
    // the changes since the last valid list may not be.
    snapshot_next_ = !error.is_first_snapshot;
    budget_.record_invalid_list(now(), jitter());
  }
  const double wait = budget_.poll_delay(now());
  if (!budget_.is_exhausted() || wait <= 0) return;
  log_line("discovery poll delayed: " + net::to_text(address_) + ": next poll in " +
           std::to_string(static_cast<int>(std::ceil(wait))) + " s, byte budget of failed polls exhausted");
}

}  // namespace asterdrift::node::discovery
