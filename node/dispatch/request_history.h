// Remembers which requests may have run, so that none of them runs again.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "asterdrift/seconds.h"
#include "node/memory/shared_memory.h"

namespace asterdrift::node::dispatch {

// A set of Request-Id headers, which all processes of a node share through a file. It has a fixed size: if it
// is full, the oldest ids make room. Ids are kept as hashes of some 60 bits.
class RequestHistory {
 public:
  // How long an id is kept. Longer than any timeout of a request.
  static constexpr Seconds kRetention = 3600;
  static constexpr std::size_t kSets = 2048;
  static constexpr std::size_t kEntriesPerSet = 8;

  // path: the file; empty if the ids of this process alone are remembered.
  explicit RequestHistory(const std::string& path);

  bool contains(std::string_view client_request_id, Seconds now) const;
  void insert(std::string_view client_request_id, Seconds now);
  void erase(std::string_view client_request_id);

  bool is_shared() const { return memory_.is_shared(); }

 private:
  // The upper bits are the tag of an id, the others the second at which it was inserted. 0: no id.
  using Entry = std::uint64_t;
  using Set = std::span<Entry, kEntriesPerSet>;

  Set find_set(std::uint64_t hash) const;

  memory::SharedMemory memory_;
};

}  // namespace asterdrift::node::dispatch
