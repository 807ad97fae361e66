// Reads endpoint lists while their bytes arrive.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "node/config/endpoint_list.h"

namespace asterdrift::node::config {

// An incremental parser that limits memory use: it parses one entry at a time, and buffers only that entry's
// text and the list's other fields. Only complete lists are returned.
class EndpointListReader {
 public:
  enum class Event { kNone, kEmptyLine, kList };

  struct Progress {
    Event event;
    std::size_t bytes;  // number of bytes that have been read
  };

  // zones: as for parse_endpoint_list; has to outlive the reader. max_endpoints: a longer list is rejected.
  EndpointListReader(const std::vector<std::string>& zones, std::size_t max_endpoints)
      : zones_(zones), max_endpoints_(max_endpoints) {}

  // Reads up to the end of an empty line or of a list, or all of `bytes` (kNone). Throws EndpointListError if
  // the text is not a valid list; the reader cannot be used after that.
  Progress feed(std::string_view bytes);

  // Returns the list that feed() has just completed.
  EndpointList take_list();

  // Whether a list has begun and has not ended.
  bool is_inside_list() const { return !closing_brackets_.empty(); }

 private:
  Event read_character(char c);
  void read_in_string(char c);
  void read_between_entries(char c);
  void read_between_fields(char c);
  void open_bracket(char c);
  Event close_bracket(char c);
  void buffer(char c);
  void buffer(std::string_view text);
  bool last_key_is_hosts() const;
  void parse_entry();
  void finish_list();
  bool is_between_entries() const;
  std::string& current_buffer();

  const std::vector<std::string>& zones_;
  const std::size_t max_endpoints_;
  std::string closing_brackets_;  // the brackets that will close the open ones, innermost last
  std::string fields_;            // text of the list without its entries
  std::string entry_;             // text of the current entry
  bool in_string_ = false, escaped_ = false;
  std::size_t last_string_position_ = 0;  // position in fields_ of the last string between the list's fields
  bool next_value_is_hosts_ = false;      // the last key of the list is "hosts"
  bool is_inside_hosts_ = false;          // inside the array of entries
  bool hosts_seen_ = false;
  bool after_entry_ = false, after_comma_ = false;
  EndpointList list_;
};

}  // namespace asterdrift::node::config
