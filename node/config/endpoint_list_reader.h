// Reads endpoint lists as they arrive.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "node/config/endpoint_list.h"

namespace asterdrift::node::config {

// An incremental reader: it parses one entry at a time, and buffers only that entry's text and the list's
// other fields. Only complete lists are returned.
class EndpointListReader {
 public:
  enum class Event { kNothing, kEmptyLine, kList };

  struct Progress {
    Event event;
    std::size_t bytes;  // that have been read
  };

  // zones: as for parse_endpoint_list; has to outlive the reader. max_endpoints: a longer list is rejected.
  EndpointListReader(const std::vector<std::string>& zones, std::size_t max_endpoints)
      : zones_(zones), max_endpoints_(max_endpoints) {}

  // Reads up to the end of an empty line or of a list, or all of `bytes`. Throws EndpointListError where the
  // text is not a valid list; the reader cannot be used after that.
  Progress feed(std::string_view bytes);

  // The list that has just ended.
  EndpointList take_list();

  // A list has begun and has not ended.
  bool is_inside_list() const { return !closers_.empty(); }

 private:
  Event read_character(char c);
  void read_in_string(char c);
  void read_between_entries(char c);
  void read_between_fields(char c);
  void open_bracket(char c);
  Event close_bracket(char c);
  void buffer(char c);
  void buffer(std::string_view text);
  bool key_is_hosts() const;
  void parse_entry();
  void finish_list();
  bool is_between_entries() const;
  std::string& current_buffer();

  const std::vector<std::string>& zones_;
  const std::size_t max_endpoints_;
  std::string closers_;  // the brackets that close those which are open
  std::string fields_;   // text of the list without its entries
  std::string entry_;    // text of the entry that is being read
  bool in_string_ = false, escaped_ = false;
  std::size_t key_position_ = 0;  // of the last string among the fields
  bool hosts_next_ = false;       // the last key is that of the entries
  bool inside_hosts_ = false;     // the entries are being read
  bool hosts_seen_ = false;
  bool after_entry_ = false, after_comma_ = false;
  EndpointList list_;
};

}  // namespace asterdrift::node::config
