// Generates endpoint lists of any size in the format of discovery, and versions of them.
#include "scale/stand_ins/endpoint_lists.h"

#include <cstdio>
#include <set>

#include "support/discovery_messages.h"

namespace asterdrift::scale {
namespace {

// A watch that continues from a version before these changes gets a snapshot.
constexpr std::size_t kMaxHistoryChanges = 4096;

// Spreads the names of consecutive indices over the whole range of names.
constexpr std::uint64_t kNameMultiplier = 2654435761U;

constexpr unsigned kBlocks = 8;
const char* const kReadyHealth = "active";
const char* const kDrainingHealth = "leaving";

std::string entry_text(std::size_t index, int endpoint_port, const std::string& health) {
  test_support::EndpointEntry entry;
  entry.name = endpoint_name(index);
  entry.port = endpoint_port;
  entry.health = health;
  entry.zone = endpoint_zones()[index % endpoint_zones().size()];
  entry.machine_class = "m2";
  entry.block = static_cast<unsigned>(index % kBlocks);
  return test_support::endpoint_json(entry);
}

void append_entry(std::string& entries, const std::string& entry) {
  if (!entries.empty()) entries += ",";
  entries += entry;
}

}  // namespace

std::string endpoint_name(std::size_t index) {
  char name[16];
  std::snprintf(name, sizeof name, "s-%08x", static_cast<unsigned>(index * kNameMultiplier));
  return name;
}

const std::vector<std::string>& endpoint_zones() {
  static const std::vector<std::string> kZones = {"a", "b", "c"};
  return kZones;
}

std::string snapshot_text(std::uint64_t version, std::size_t endpoints, int endpoint_port) {
  std::string entries;
  for (std::size_t index = 0; index < endpoints; ++index) {
    append_entry(entries, entry_text(index, endpoint_port, kReadyHealth));
  }
  return test_support::snapshot(version, entries);
}

std::string change_text(std::uint64_t version, std::size_t index, int endpoint_port,
                        const std::string& health) {
  return test_support::incremental_list(version, entry_text(index, endpoint_port, health));
}

VersionedEndpointList::VersionedEndpointList(std::size_t endpoints, int endpoint_port)
    : endpoint_port_(endpoint_port), draining_(endpoints) {}

void VersionedEndpointList::set_draining(std::size_t index, bool draining) {
  draining_[index] = draining;
  history_.push_back({++version_, index});
  if (history_.size() > kMaxHistoryChanges) history_.pop_front();
  snapshot_.reset();
}

VersionedEndpointList::SharedText VersionedEndpointList::snapshot() {
  if (snapshot_) return snapshot_;
  std::string entries;
  for (std::size_t index = 0; index < draining_.size(); ++index) append_entry(entries, entry(index));
  snapshot_ = std::make_shared<std::string>(test_support::snapshot(version_, entries));
  return snapshot_;
}

std::string VersionedEndpointList::latest_change() const {
  return test_support::incremental_list(version_, entry(history_.back().index));
}

VersionedEndpointList::SharedText VersionedEndpointList::changes_since(std::uint64_t version) const {
  if (version == version_) return std::make_shared<std::string>();
  if (version > version_ || history_.empty() || history_.front().version > version + 1) return nullptr;
  std::set<std::size_t> changed;
  for (const Change& change : history_) {
    if (change.version > version) changed.insert(change.index);
  }
  std::string entries;
  for (const std::size_t index : changed) append_entry(entries, entry(index));
  return std::make_shared<std::string>(test_support::incremental_list(version_, entries));
}

std::string VersionedEndpointList::entry(std::size_t index) const {
  return entry_text(index, endpoint_port_, draining_[index] ? kDrainingHealth : kReadyHealth);
}

}  // namespace asterdrift::scale
