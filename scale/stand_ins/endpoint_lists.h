// Endpoint lists of any size, as discovery sends them, and the versions that they go through.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace asterdrift::scale {

// The port of endpoints to which nothing connects.
constexpr int kUnusedEndpointPort = 10000;

// Name of the endpoint at an index, the same in every list. All names have the same length.
std::string endpoint_name(std::size_t index);

// Zones of the endpoints.
const std::vector<std::string>& endpoint_zones();

// A snapshot of so many ready endpoints at one port, without an end of line.
std::string snapshot_text(std::uint64_t version, std::size_t endpoints, int endpoint_port);

// An incremental list with one endpoint, without an end of line.
std::string change_text(std::uint64_t version, std::size_t index, int endpoint_port,
                        const std::string& health);

// An endpoint list whose endpoints drain and become ready again, each time as a new version.
class VersionedEndpointList {
 public:
  using Text = std::shared_ptr<const std::string>;

  VersionedEndpointList(std::size_t endpoints, int endpoint_port);

  std::uint64_t version() const { return version_; }
  std::size_t size() const { return draining_.size(); }
  bool is_draining(std::size_t index) const { return draining_[index]; }
  void set_draining(std::size_t index, bool draining);

  // The complete list of this version.
  Text snapshot();

  // The latest change alone.
  std::string latest_change() const;

  // One list with what has changed since a version; empty where nothing has, null where that is no longer
  // known.
  Text changes_since(std::uint64_t version) const;

 private:
  struct Change {
    std::uint64_t version;
    std::size_t index;
  };
  std::string entry(std::size_t index) const;

  int endpoint_port_;
  std::vector<bool> draining_;
  std::uint64_t version_ = 1;
  std::deque<Change> history_;
  Text snapshot_;  // of this version; null until it is needed
};

}  // namespace asterdrift::scale
