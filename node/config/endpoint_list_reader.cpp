#include "node/config/endpoint_list_reader.h"

#include <algorithm>
#include <array>
#include <utility>

#include "json/fields.h"

namespace asterdrift::node::config {
namespace {

// Buffered text of one entry, or of all fields except the entries.
constexpr std::size_t kMaxBufferedTextBytes = 256UL * 1024;
constexpr std::size_t kEntryParserBytes = 4096;  // on the stack; enough for ordinary entries

// The number of open brackets in the list itself, between its entries, and in an entry.
constexpr std::size_t kListDepth = 1, kEntriesDepth = 2, kEntryDepth = 3;

bool is_space(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

}  // namespace

EndpointListReader::Progress EndpointListReader::feed(std::string_view bytes) {
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    if (in_string_ && !escaped_) {  // up to the next character with a meaning in a string
      const std::size_t end = std::min(bytes.find_first_of("\"\\\n", at), bytes.size());
      buffer(bytes.substr(at, end - at));
      at = end;
      if (at == bytes.size()) break;
    }
    const Event event = read_character(bytes[at]);
    if (event != Event::kNothing) return {event, at + 1};
  }
  return {Event::kNothing, bytes.size()};
}

EndpointList EndpointListReader::take_list() { return std::exchange(list_, {}); }

bool EndpointListReader::is_between_entries() const {
  return inside_hosts_ && closers_.size() == kEntriesDepth;
}

std::string& EndpointListReader::current_buffer() {
  return inside_hosts_ && closers_.size() >= kEntryDepth ? entry_ : fields_;
}

EndpointListReader::Event EndpointListReader::read_character(char c) {
  if (in_string_) {
    read_in_string(c);
    return Event::kNothing;
  }
  if (c == '\n' && !is_inside_list()) return Event::kEmptyLine;
  if (is_space(c)) {
    if (is_inside_list() && !is_between_entries()) buffer(' ');
    return Event::kNothing;
  }
  if (!is_inside_list() && c != '{') throw EndpointListError("not a list");
  if (is_between_entries()) {
    read_between_entries(c);
    if (c == ',') return Event::kNothing;
  }
  if (c == '{' || c == '[') {
    open_bracket(c);
    return Event::kNothing;
  }
  if (c == '}' || c == ']') return close_bracket(c);
  if (closers_.size() == kListDepth) read_between_fields(c);
  in_string_ = c == '"';
  buffer(c);
  return Event::kNothing;
}

// Finds the key of the entries among the list's fields.
void EndpointListReader::read_between_fields(char c) {
  if (c == '"') key_position_ = fields_.size();
  if (c == ':') hosts_next_ = key_is_hosts();
  if (c == ',') hosts_next_ = false;
}

void EndpointListReader::read_in_string(char c) {
  if (c == '\n') throw EndpointListError("a line ends within a string");
  in_string_ = escaped_ || c != '"';
  escaped_ = !escaped_ && c == '\\';
  buffer(c);
}

// The separators of entries are not buffered, and are therefore checked here.
void EndpointListReader::read_between_entries(char c) {
  const bool valid = c == ',' ? after_entry_ : c == '{' ? !after_entry_ : c == ']' && !after_comma_;
  if (!valid) throw EndpointListError("field 'hosts' is not an array of objects");
  after_comma_ = c == ',';
  after_entry_ = false;
}

void EndpointListReader::open_bracket(char c) {
  if (c == '[' && closers_.size() == kListDepth && hosts_next_ && !hosts_seen_) {
    inside_hosts_ = hosts_seen_ = true;
    after_entry_ = after_comma_ = false;
  }
  closers_ += c == '{' ? '}' : ']';
  buffer(c);
}

EndpointListReader::Event EndpointListReader::close_bracket(char c) {
  if (closers_.back() != c) throw EndpointListError("a list that is not well nested");
  buffer(c);
  closers_.pop_back();
  if (is_between_entries()) parse_entry();
  if (closers_.size() < kEntriesDepth) inside_hosts_ = false;
  if (is_inside_list()) return Event::kNothing;
  finish_list();
  return Event::kList;
}

// Outside of strings, consecutive spaces are reduced to one.
void EndpointListReader::buffer(char c) {
  const std::string& to = current_buffer();
  if (c == ' ' && !in_string_ && !to.empty() && to.back() == ' ') return;
  buffer(std::string_view(&c, 1));
}

void EndpointListReader::buffer(std::string_view text) {
  std::string& to = current_buffer();
  if (to.size() + text.size() > kMaxBufferedTextBytes) {
    throw EndpointListError("a list with an entry, or other fields, longer than 256 KiB");
  }
  to += text;
}

bool EndpointListReader::key_is_hosts() const {
  const std::string_view key = std::string_view(fields_).substr(key_position_);
  if (key.find('\\') == std::string_view::npos) return key.starts_with("\"hosts\"");
  rapidjson::Document unescaped;
  unescaped.Parse<rapidjson::kParseStopWhenDoneFlag>(key.data(), key.size());
  return !unescaped.HasParseError() && unescaped.IsString() && unescaped == "hosts";
}

void EndpointListReader::parse_entry() {
  if (list_.endpoints.size() >= max_endpoints_) {
    throw EndpointListError("a list too large for this node's memory: more than " +
                            std::to_string(max_endpoints_) + " servers");
  }
  std::array<char, kEntryParserBytes> memory;
  rapidjson::MemoryPoolAllocator<> allocator(memory.data(), memory.size());
  rapidjson::Document entry(&allocator);
  try {
    json::parse(entry_, entry);
    list_.endpoints.push_back(parse_listed_endpoint(entry, zones_));
  } catch (const json::FormatError& error) {
    throw EndpointListError(error.what());
  }
  entry_.clear();
  after_entry_ = true;
}

void EndpointListReader::finish_list() {
  try {
    const rapidjson::Document fields = json::parse(fields_);
    list_.version = json::unsigned_integer(fields, "seq");
    list_.is_snapshot = json::flag(fields, "whole");
    json::array(fields, "hosts");
  } catch (const json::FormatError& error) {
    throw EndpointListError(error.what());
  }
  fields_.clear();
  hosts_next_ = hosts_seen_ = false;
}

}  // namespace asterdrift::node::config
