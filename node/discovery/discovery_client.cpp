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
      budget_(lists_are_pushed()),
      random_(static_cast<std::minstd_rand::result_type>(config.seed)),
      retry_timer_(io) {
  if (config.known_endpoints) version_ = config.known_endpoints->version;
}

DiscoveryClient::~DiscoveryClient() = default;

void DiscoveryClient::ensure_watch() {
  if (current_ || is_changing_address_) return;
  const Seconds delay = budget_.poll_delay(now());
  if (delay > 0) return schedule(delay, [this] { start_watch(); });
  start_watch();
}

std::shared_ptr<EndpointWatch> DiscoveryClient::create_watch() {
  const EndpointWatch::Options options = {address_, needs_snapshot() ? std::nullopt : version_,
                                          lists_are_pushed(), config_.zones,
                                          config::max_endpoints(config_.memory_mb)};
  EndpointWatch::Callbacks callbacks;
  callbacks.on_list = [this](EndpointWatch* watch, config::EndpointList&& list,
                             std::size_t first_list_bytes) { handle_list(watch, list, first_list_bytes); };
  callbacks.on_error = [this](EndpointWatch* watch, const WatchError& error) { handle_error(watch, error); };
  return std::make_shared<EndpointWatch>(io_, options, std::move(callbacks));
}

void DiscoveryClient::start_watch() {
  if (current_ || is_changing_address_) return;
  current_ = create_watch();
  current_->start();
}

// Polls the new address at once, and requests a snapshot, since versions at the new address may differ from
// those at the old one. The current endpoints stay in use until the snapshot arrives.
void DiscoveryClient::change_address(const boost::asio::ip::tcp::endpoint& address) {
  if (address == address_) return;
  log_line("discovery address changed: " + net::to_text(address_) + " -> " + net::to_text(address));
  address_ = address;
  version_.reset();
  next_is_snapshot_ = had_snapshot_ = false;
  is_changing_address_ = true;
  budget_.allow_immediate_poll();
  retry_timer_.cancel();
  if (successor_) successor_->close();
  start_successor();
}

void DiscoveryClient::start_successor() {
  successor_ = create_watch();
  successor_->start();
}

void DiscoveryClient::schedule(Seconds delay, std::function<void()> call) {
  retry_timer_.expires_after(timing::to_duration(delay));
  retry_timer_.async_wait([call = std::move(call)](const error_code& error) {
    if (!error) call();
  });
}

// The delay has jitter, since all nodes lose discovery at the same moment and must not poll it again at the
// same moment.
Seconds DiscoveryClient::retry_delay() {
  const Seconds delay = poll_timeouts::max_poll_delay(lists_are_pushed()) * (0.5 + jitter() / 2);
  return std::max(delay, budget_.poll_delay(now()));
}

// The first snapshot from an address is needed, and is not charged. Each further snapshot that begins a watch
// is charged to the poll budget, since invalid changes and broken watches may cause discovery to send it
// again and again without end. Later lists on the same watch are not charged.
void DiscoveryClient::handle_list(const EndpointWatch* watch, const config::EndpointList& list,
                                  std::size_t first_list_bytes) {
  if (watch == successor_.get()) {
    if (current_) current_->close();  // further lists from the old address would be outdated
    current_ = std::exchange(successor_, nullptr);
    is_changing_address_ = false;
  }
  // There is no version until the list has been applied: if the list cannot be applied, the next poll
  // requests a snapshot.
  if (!is_changing_address_) version_.reset();
  callbacks_.on_list(list);
  if (!is_connected_) log_line("discovery connected: " + net::to_text(watch->address()));
  is_connected_ = true;
  last_invalid_list_message_.clear();
  budget_.record_valid_list();
  if (list.is_snapshot && had_snapshot_) {
    budget_.charge(now(), first_list_bytes, jitter(), PollBudget::ChargeReason::kRepeated);
  }
  if (is_changing_address_) return;
  had_snapshot_ = had_snapshot_ || list.is_snapshot;
  next_is_snapshot_ = false;
  version_ = list.version;
}

void DiscoveryClient::handle_error(const EndpointWatch* watch, const WatchError& error) {
  if (watch != current_.get() && watch != successor_.get()) return;
  log_error(watch->address(), error);
  charge_error(error);
  if (watch == successor_.get()) {  // the balancer did not request the successor, and does not retry it
    successor_.reset();
    return schedule(retry_delay(), [this] { start_successor(); });
  }
  current_.reset();
  if (is_changing_address_) return;
  if (lists_are_pushed()) schedule(retry_delay(), [this] { start_watch(); });
  callbacks_.on_watch_failed();
}

// Logs the first error after a list, and each new reason to reject a list.
void DiscoveryClient::log_error(const boost::asio::ip::tcp::endpoint& address, const WatchError& error) {
  const bool is_invalid_list = error.kind == WatchError::Kind::kInvalidList;
  const bool is_new_reason = is_invalid_list && error.message != last_invalid_list_message_;
  if (is_connected_ || is_new_reason) {
    const std::string event = is_invalid_list ? "endpoint list rejected: " : "discovery watch failed: ";
    log_line(event + net::to_text(address) + ": " + error.message + "; keeping the last endpoint list");
  }
  is_connected_ = false;
}

void DiscoveryClient::charge_error(const WatchError& error) {
  const bool is_invalid_list = error.kind == WatchError::Kind::kInvalidList;
  budget_.charge(now(), error.wasted_bytes, jitter(),
                 is_invalid_list ? PollBudget::ChargeReason::kInvalid : PollBudget::ChargeReason::kTruncated);
  if (is_invalid_list) {
    last_invalid_list_message_ = error.message;
    // A poll for changes would return the same invalid changes, so the next poll requests a snapshot. If the
    // snapshot is the invalid list, the next poll requests the changes since the last valid list, which may
    // be valid.
    next_is_snapshot_ = !error.is_first_snapshot;
    budget_.record_invalid_list(now(), jitter());
  }
  const Seconds delay = budget_.poll_delay(now());
  if (!budget_.is_exhausted() || delay <= 0) return;
  log_line("discovery poll delayed: " + net::to_text(address_) + ": next poll in " +
           std::to_string(static_cast<int>(std::ceil(delay))) + " s, byte budget of failed polls exhausted");
}

}  // namespace asterdrift::node::discovery
