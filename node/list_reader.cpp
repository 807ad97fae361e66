#include "node/list_reader.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include "json/read.h"

namespace asterdrift::node {
namespace {

namespace json = asterdrift::json;

// Bytes of text that are held: of one entry, or of all that is no entry. Fields that nobody knows count too.
constexpr std::size_t kMostText = 256 * 1024;

}  // namespace

std::pair<ListReader::Seen, std::size_t> ListReader::take(std::string_view bytes) {
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    if (text_ && !escaped_) {  // all up to what has a meaning in a text
      const std::size_t end = std::min(bytes.find_first_of("\"\\\n", at), bytes.size());
      hold(bytes.substr(at, end - at));
      at = end;
      if (at == bytes.size()) break;
    }
    const Seen seen = step(bytes[at]);
    if (seen != Seen::kNothing) return {seen, at + 1};
  }
  return {Seen::kNothing, bytes.size()};
}

ListReader::Seen ListReader::step(char c) {
  if (text_) return in_text(c), Seen::kNothing;
  if (c == '\n' && !within()) return Seen::kLineEnd;
  const bool between = hosts_ && open_.size() == kEntries;
  if (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
    if (within() && !between) keep(' ');
    return Seen::kNothing;
  }
  if (!within() && c != '{') throw std::runtime_error("not a list");
  if (between) between_entries(c);
  if (between && c == ',') return Seen::kNothing;
  if (c == '{' || c == '[') return open(c), Seen::kNothing;
  if (c == '}' || c == ']') return close(c);
  if (open_.size() == 1) {
    if (c == '"') key_at_ = fields_.size();
    if (c == ':') hosts_next_ = key_is_hosts();
    if (c == ',') hosts_next_ = false;
  }
  text_ = c == '"';
  keep(c);
  return Seen::kNothing;
}

void ListReader::in_text(char c) {
  if (c == '\n') throw std::runtime_error("a line ends within a text");
  text_ = escaped_ || c != '"';
  escaped_ = !escaped_ && c == '\\';
  keep(c);
}

// What parts the entries is kept nowhere, so that it is checked here.
void ListReader::between_entries(char c) {
  const bool good = c == ',' ? after_entry_ : c == '{' ? !after_entry_ : c == ']' && !after_comma_;
  if (!good) throw std::runtime_error("field 'hosts' is not an array of objects");
  after_comma_ = c == ',';
  after_entry_ = false;
}

void ListReader::open(char c) {
  if (c == '[' && open_.size() == 1 && hosts_next_ && !seen_) {
    hosts_ = seen_ = true;
    after_entry_ = after_comma_ = false;
  }
  open_ += c == '{' ? '}' : ']';
  keep(c);
}

ListReader::Seen ListReader::close(char c) {
  if (open_.back() != c) throw std::runtime_error("a list that is not well nested");
  keep(c);
  open_.pop_back();
  if (hosts_ && open_.size() == kEntries) take_entry();
  if (open_.size() < kEntries) hosts_ = false;
  if (within()) return Seen::kNothing;
  finish();
  return Seen::kList;
}

// Outside of texts, one space says as much as many.
void ListReader::keep(char c) {
  const std::string& to = held();
  if (c == ' ' && !text_ && !to.empty() && to.back() == ' ') return;
  hold({&c, 1});
}

void ListReader::hold(std::string_view text) {
  std::string& to = held();
  if (to.size() + text.size() > kMostText) {
    throw std::runtime_error("a list with an entry, or other fields, longer than 256 KiB");
  }
  to += text;
}

bool ListReader::key_is_hosts() const {
  const std::string_view key = std::string_view(fields_).substr(key_at_);
  if (key.find('\\') == std::string_view::npos) return key.starts_with("\"hosts\"");
  rapidjson::Document text;
  text.Parse<rapidjson::kParseStopWhenDoneFlag>(key.data(), key.size());
  return !text.HasParseError() && text.IsString() && text == "hosts";
}

void ListReader::take_entry() {
  if (list_.servers.size() >= most_servers_) {
    throw std::runtime_error("a list too large for this node's memory: more than " +
                             std::to_string(most_servers_) + " servers");
  }
  std::array<char, 4096> memory;  // of one entry: the usual one needs no other
  rapidjson::MemoryPoolAllocator<> pool(memory.data(), memory.size());
  rapidjson::Document in(&pool);
  json::parse(entry_, in);
  list_.servers.push_back(read_server(in, zones_));
  entry_.clear();
  after_entry_ = true;
}

void ListReader::finish() {
  const rapidjson::Document in = json::parse(fields_);
  list_.seq = json::token(in, "seq");
  list_.whole = json::flag(in, "whole");
  json::array(in, "hosts");
  fields_.clear();
  hosts_next_ = seen_ = false;
}

}  // namespace asterdrift::node
