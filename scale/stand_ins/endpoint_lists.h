// Generates endpoint lists of any size in the format of discovery, and versions of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace asterdrift::scale {

// The port of listed endpoints to which no test or benchmark connects.
constexpr int kUnusedEndpointPort = 10000;

// The name of the endpoint at an index, the same in every list. All names have the same length.
std::string endpoint_name(std::size_t index);

// The zones of the endpoints; consecutive indices take them in turn.
const std::vector<std::string>& endpoint_zones();

// A snapshot of `endpoints` ready endpoints that all have the same port, without a newline at its end.
std::string snapshot_text(std::uint64_t version, std::size_t endpoints, int endpoint_port);

// An incremental list with one endpoint, without a newline at its end.
std::string change_text(std::uint64_t version, std::size_t index, int endpoint_port,
                        const std::string& health);

// An endpoint list in which each change of an endpoint, to draining or back to ready, makes a new version.
class VersionedEndpointList {
 public:
  using SharedText = std::shared_ptr<const std::string>;

  VersionedEndpointList(std::size_t endpoints, int endpoint_port);

  std::uint64_t version() const { return version_; }
  std::size_t size() const { return draining_.size(); }
  bool is_draining(std::size_t index) const { return draining_[index]; }
  void set_draining(std::size_t index, bool draining);

  // The complete list at the current version.
  SharedText snapshot();

  // An incremental list with the latest change. At least one change must have been made.
  std::string latest_change() const;

  // One incremental list with all endpoints that have changed since `version`. An empty text if none has;
  // null if the version is unknown or the history no longer reaches back to it.
  SharedText changes_since(std::uint64_t version) const;

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
  SharedText snapshot_;  // cached for the current version; null until requested
};

}  // namespace asterdrift::scale
