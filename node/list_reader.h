// Lists of servers, read as they come: one entry at a time, so that no more of a list's text is held than its
// other fields and one entry. A list counts once it is whole.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "node/config.h"

namespace asterdrift::node {

class ListReader {
 public:
  enum class Seen { kNothing, kLineEnd, kList };

  // zones: their names in the order of the settings. most_servers: a list of more is refused.
  ListReader(const std::vector<std::string>& zones, std::size_t most_servers)
      : zones_(zones), most_servers_(most_servers) {}

  // Reads up to the end of an empty line or of a list, at most all of `bytes`; tells how many that were.
  // Throws std::exception where no list can begin or go on so; the reader is of no further use then.
  std::pair<Seen, std::size_t> take(std::string_view bytes);

  // The list that has just ended.
  ServerList list() { return std::exchange(list_, {}); }

  // A list has begun and has not ended.
  bool within() const { return !open_.empty(); }

 private:
  // How many brackets are open between the entries, and in one.
  static constexpr std::size_t kEntries = 2, kEntry = 3;

  Seen step(char c);
  void in_text(char c);
  void between_entries(char c);
  void open(char c);
  Seen close(char c);
  void keep(char c);
  void hold(std::string_view text);
  std::string& held() { return hosts_ && open_.size() >= kEntry ? entry_ : fields_; }
  bool key_is_hosts() const;
  void take_entry();
  void finish();

  const std::vector<std::string>& zones_;
  const std::size_t most_servers_;
  std::string open_;            // what closes those that are open
  std::string fields_, entry_;  // text: the list but for its entries, and the entry that is coming
  bool text_ = false, escaped_ = false;
  std::size_t key_at_ = 0;                                  // of the last text among the fields
  bool hosts_next_ = false, hosts_ = false, seen_ = false;  // the entries come next, are coming, have come
  bool after_entry_ = false, after_comma_ = false;
  ServerList list_;
};

}  // namespace asterdrift::node
