// What the planned fleet asks of each role, from assumptions and measured slopes. Every figure of
// docs/CAPACITY.md has a key here; the page holds it as <!--=key-->text<!--/-->.
//
//   fleet_model SLOPES                    prints the assumptions, the slopes and all figures
//   fleet_model SLOPES KEY...             prints these figures; a key that ends in a dot stands for all that
//                                         begin with it
//   fleet_model SLOPES --write PAGE       puts the figures into the page
//   fleet_model SLOPES --check PAGE       fails where the page holds another figure or a key that is unknown
//
// SLOPES has lines "name | unit | table | row | column | command": the cell of the table that `command`
// printed, kept as slopes/CODE/TABLE.txt beside SLOPES. CODE is "final" where that table is there, else
// "untouched", the program before this work. `row` is the first cells of the row, with commas; `column` may
// add up several with " + ", and "A if B" takes A only where B is a number. What no table holds has not been
// run.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <limits>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace {

struct Assumption {
  const char* name;
  double value;
  const char* unit;
  const char* source;
};

constexpr Assumption kAssumptions[] = {
    {"servers", 27000, "servers", "plan; each on a machine of its own, with its node and an agent"},
    {"services", 4000, "services", "plan"},
    {"calls", 8.9e6, "calls/s", "plan; spread over the services as the servers are"},
    {"depth", 28, "calls", "plan; the deepest chain"},
    {"added", 1.1, "ms", "plan; added to a call for 99 in 100"},
    {"regions", 11, "regions", "plan; alike in size"},
    {"zones", 29, "zones", "plan; alike in size, each server in one at random"},
    {"changes_day", 98000, "changes/day", "plan; each concerns one entry of the list"},
    {"in_force", 11, "s", "plan; from a change to its being in force everywhere"},
    {"told", 6, "s", "protocol; a change that discovery had counts as told"},
    {"cpu_limit", 1.8, "% of a core", "plan; for control, each node"},
    {"memory_limit", 32, "MB", "plan; for control, each node"},
    {"bytes_limit", 29, "KB/s", "plan; for control, each node; KB = 1000 bytes"},
    {"control_machines", 39, "machines", "plan"},
    {"failures_day", 160, "machines/day", "plan"},
    {"restarts_day", 5900, "machines/day", "plan; restarted or replaced"},
    {"zipf", 1, "exponent", "ours; the one with which the largest of 4,000 holds some 3,000"},
    {"called", 12, "services", "ours; that one node calls"},
    {"fan", 28, "calls", "ours; a request at the front causes so many in all"},
    {"busy", 20, "x the mean", "ours; changes in the busiest minute of a day"},
    {"entries_restart", 3, "changes", "ours; leaving, left, active"},
    {"entries_failure", 2, "changes", "ours; left, active"},
    {"release", 0.1, "of a service", "ours; servers of the largest that change within one second"},
    {"cut", 600, "s", "ours; how long regions lose each other"},
    {"link", 1.25e9, "bytes/s", "ours; what a control machine can send (10 Gbit/s)"},
    {"frame", 73, "bytes", "ours; a message's headers on the wire (TCP/IP with options) and chunk framing"},
    {"empty_period", 2, "s", "protocol; the empty lines of a watch"},
    {"batch", 0.1, "s", "ours; the changes of so long travel as one message, where they are batched"},
};

double given(const std::string& name) {
  for (const Assumption& a : kAssumptions) {
    if (name == a.name) return a.value;
  }
  throw std::logic_error("no assumption '" + name + "'");
}

constexpr double kUnknown = std::numeric_limits<double>::quiet_NaN();
constexpr double kSecondsADay = 86400;
constexpr double kKilobyte = 1e3;

// ---------------------------------------------------------------- slopes

struct Slope {
  double value = kUnknown;
  std::string unit, code = "-", command;
};

using Table = std::vector<std::vector<std::string>>;

// The cells of a line, with no blanks around them.
std::vector<std::string> cells_of(const std::string& line, char between) {
  std::vector<std::string> out;
  std::istringstream in(line);
  for (std::string cell; std::getline(in, cell, between);) {
    const auto first = cell.find_first_not_of(" \t"), last = cell.find_last_not_of(" \t");
    out.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
  }
  return out;
}

// The lines of a report that begin with a bar: the names of its columns, a rule, and the rows.
Table read_table(std::istream& in) {
  Table out;
  for (std::string line; std::getline(in, line);) {
    if (!line.starts_with("|")) continue;
    std::vector<std::string> cells = cells_of(line, '|');
    cells.erase(cells.begin());
    out.push_back(std::move(cells));
  }
  return out;
}

double number_in(const std::string& cell) {
  std::size_t used = 0;
  try {
    const double value = std::stod(cell, &used);
    return used == cell.size() ? value : kUnknown;
  } catch (const std::exception&) {
    return kUnknown;
  }
}

double cell_of(const Table& table, const std::string& row, const std::string& column) {
  if (const auto at = column.find(" if "); at != std::string::npos) {
    return std::isnan(cell_of(table, row, column.substr(at + 4))) ? kUnknown
                                                                  : cell_of(table, row, column.substr(0, at));
  }
  if (const auto at = column.find(" + "); at != std::string::npos) {
    return cell_of(table, row, column.substr(0, at)) + cell_of(table, row, column.substr(at + 3));
  }
  const std::vector<std::string> wanted = cells_of(row, ',');
  if (table.empty()) return kUnknown;
  const auto place = std::find(table[0].begin(), table[0].end(), column) - table[0].begin();
  if (place == std::ssize(table[0])) throw std::runtime_error("no column '" + column + "' in a table");
  for (const auto& cells : table) {
    if (cells.size() >= wanted.size() && std::equal(wanted.begin(), wanted.end(), cells.begin())) {
      return place < std::ssize(cells) ? number_in(cells[static_cast<std::size_t>(place)]) : kUnknown;
    }
  }
  return kUnknown;
}

std::map<std::string, Slope> read_slopes(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error("can't read " + path);
  const std::string beside = path.substr(0, path.rfind('/') == std::string::npos ? 0 : path.rfind('/') + 1);
  std::map<std::string, Slope> out;
  for (std::string line; std::getline(in, line);) {
    if (line.empty() || line.front() == '#') continue;
    const std::vector<std::string> parts = cells_of(line, '|');
    if (parts.size() != 6) {
      throw std::runtime_error(
          std::string(path).append(": not 'name | unit | table | row | column | command': ").append(line));
    }
    Slope slope{kUnknown, parts[1], "-", parts[5]};
    for (const char* code : {"final", "untouched"}) {
      std::ifstream table(beside + "slopes/" + code + "/" + parts[2] + ".txt");
      if (!table) continue;
      slope.value = cell_of(read_table(table), parts[3], parts[4]);
      slope.code = code;
      break;
    }
    if (!out.emplace(parts[0], slope).second) throw std::runtime_error(path + ": '" + parts[0] + "' twice");
  }
  return out;
}

double value_of(const std::map<std::string, Slope>& slopes, const std::string& name) {
  const auto it = slopes.find(name);
  if (it == slopes.end()) throw std::logic_error("no slope '" + name + "'");
  return it->second.value;
}

// A slope that has been measured at several sizes. Between them, and beyond the last, it goes on straight.
class Curve {
 public:
  Curve(const std::map<std::string, Slope>& slopes, const std::string& name) {
    for (const double size : {7, 70, 700, 7000, 27000}) {
      const auto it = slopes.find(name + "_" + std::to_string(static_cast<int>(size)));
      if (it != slopes.end() && !std::isnan(it->second.value)) points_.emplace_back(size, it->second.value);
    }
  }
  double at(double size) const {
    if (points_.size() < 2) return kUnknown;
    std::size_t i = 1;
    while (i + 1 < points_.size() && points_[i].first < size) ++i;
    const auto [x0, y0] = points_[i - 1];
    const auto [x1, y1] = points_[i];
    return std::max(0.0, y0 + (y1 - y0) * (size - x0) / (x1 - x0));
  }

 private:
  std::vector<std::pair<double, double>> points_;
};

// ---------------------------------------------------------------- the fleet

// Servers of each service, largest first: a Zipf law with at least one server each, as many as there are.
std::vector<double> service_sizes() {
  const auto count = static_cast<std::size_t>(given("services"));
  std::vector<double> sizes(count);
  const auto total_with = [&](double largest) {
    for (std::size_t i = 0; i < count; ++i) {
      sizes[i] = std::max(1.0, std::round(largest / std::pow(static_cast<double>(i + 1), given("zipf"))));
    }
    return std::accumulate(sizes.begin(), sizes.end(), 0.0);
  };
  double low = 1, high = given("servers");
  for (int i = 0; i < 60; ++i) {
    const double middle = (low + high) / 2;
    (total_with(middle) < given("servers") ? low : high) = middle;
  }
  total_with(low);
  return sizes;
}

// One entry of a list as the protocol shows it, with names and addresses of the usual length.
std::string entry(bool restarted) {
  return std::string(
             R"({"host":"s-5be2a07c","dial":"10.101.200.18:3000","site":"region-07-b","class":"m2",)") +
         R"("block":3,"health":"active","share":1.0,"born_ms":)" + (restarted ? "1764633600000" : "0") + "}";
}

double list_bytes(double servers) {
  const std::string head = R"({"seq":123456789,"whole":true,"hosts":[]})"
                           "\n";
  // Every server has been restarted at some time: 5,900 of 27,000 are each day.
  return static_cast<double>(head.size()) + servers * static_cast<double>(entry(true).size() + 1);
}

// ---------------------------------------------------------------- figures

class Figures {
 public:
  void add(const std::string& key, const std::string& text) {
    if (!all_.emplace(key, text).second) throw std::logic_error("two figures '" + key + "'");
    order_.push_back(key);
  }
  const std::vector<std::string>& keys() const { return order_; }
  const std::string* find(const std::string& key) const {
    const auto it = all_.find(key);
    return it == all_.end() ? nullptr : &it->second;
  }

 private:
  std::map<std::string, std::string> all_;
  std::vector<std::string> order_;
};

// Three digits that count, thousands set off.
std::string number(double value) {
  if (std::isnan(value)) return "not run";
  char text[64];
  const double size = std::abs(value);
  const int decimals =
      size >= 100 || size == 0 ? 0 : std::max(0, 2 - static_cast<int>(std::floor(std::log10(size))));
  if (size < 1e15) std::snprintf(text, sizeof text, "%.*f", std::min(decimals, 9), value);
  std::string out = text;
  if (const auto point = out.find('.'); point != std::string::npos) {
    out.erase(out.find_last_not_of('0') + 1);
    if (out.back() == '.') out.pop_back();
  }
  const std::size_t whole = std::min(out.find('.'), out.size());
  const std::size_t first = out.front() == '-' ? 1 : 0;
  for (std::size_t at = whole; at > first + 3; at -= 3) out.insert(at - 3, ",");
  return out;
}

std::string with(double value, const std::string& unit) {
  return std::isnan(value) ? "not run"
                           : number(value) + (unit == "%"    ? " %"
                                              : unit.empty() ? ""
                                                             : " " + unit);
}

std::string bytes(double value, const std::string& per = "") {
  if (std::isnan(value)) return "not run";
  const char* const units[] = {"B", "KB", "MB", "GB", "TB"};
  std::size_t unit = 0;
  while (value >= 1000 && unit + 1 < std::size(units)) value /= 1000, ++unit;
  return number(value) + " " + units[unit] + per;
}

std::string seconds(double value) {
  if (std::isnan(value)) return "not run";
  if (value == 0) return "0 s";
  if (value >= 120) return number(value / 60) + " min";
  if (value >= 1) return number(value) + " s";
  return value >= 1e-3 ? number(value * 1e3) + " ms" : number(value * 1e6) + " us";
}

// What is left of a limit, in parts of 100; below zero it is passed.
std::string left(double used, double limit) {
  const double part = (1 - used / limit) * 100;
  if (part < 0) return "none: " + number(used / limit) + " times the limit";
  return with(std::floor(part * 10) / 10, "%");
}

// What a node holds and gets whose list has `servers` entries of the fleet's.
void add_list(Figures& out, const std::map<std::string, Slope>& slopes, const std::string& name,
              double servers, double largest_service_part) {
  const auto slope = [&](const std::string& key) { return value_of(slopes, key); };
  const Curve change_us(slopes, "change_us"), list_us(slopes, "list_us"), resident(slopes, "resident_mb");
  const double part = servers / given("servers");
  const double entry_bytes = static_cast<double>(entry(true).size());
  const double change_bytes = list_bytes(0) + entry_bytes + given("frame");
  const double changes = (given("changes_day") + given("restarts_day") * given("entries_restart") +
                          given("failures_day") * given("entries_failure")) /
                         kSecondsADay;
  const double empty = (1 + given("frame")) / given("empty_period");
  const double limit_bytes = given("bytes_limit") * kKilobyte;
  const auto add = [&](const std::string& key, const std::string& text) { out.add(name + "." + key, text); };

  add("servers", number(std::round(servers)));
  add("list", bytes(list_bytes(servers)));
  add("list_time", seconds(list_bytes(servers) / limit_bytes));
  const double rss = resident.at(servers);
  add("memory", with(rss, "MB"));
  add("memory_left", left(rss, given("memory_limit")));
  add("list_cpu", seconds(list_us.at(servers) / 1e6));

  // The ordinary minute, and the busiest of the day.
  for (const auto& [when, times] : {std::pair("mean", 1.0), std::pair("busy", given("busy"))}) {
    const std::string at = std::string(when) + "_";
    const double rate = changes * part * times;
    const double cpu = slope("idle_cpu") + rate * change_us.at(servers) / 1e4;
    add(at + "changes", number(rate) + "/s");
    add(at + "messages", number(rate + 1 / given("empty_period")) + "/s");
    add(at + "bytes", bytes(rate * change_bytes + empty, "/s"));
    add(at + "bytes_left", left(rate * change_bytes + empty, limit_bytes));
    add(at + "cpu", with(cpu, "% of a core"));
    add(at + "cpu_left", left(cpu, given("cpu_limit")));
  }

  // Many entries at once: each as a change of its own, or as one message.
  const auto add_burst = [&](const std::string& at, double entries) {
    add(at + "_entries", number(std::round(entries)));
    add(at + "_bytes", bytes(entries * change_bytes));
    add(at + "_bytes_one", bytes(list_bytes(0) + given("frame") + entries * (entry_bytes + 1)));
    add(at + "_bytes_time", seconds(entries * change_bytes / limit_bytes));
    add(at + "_cpu", seconds(entries * change_us.at(servers) / 1e6));
    add(at + "_cpu_one", seconds(std::min(entries * change_us.at(servers) / 1e6, list_us.at(servers) / 1e6)));
  };
  add_burst("release", given("release") * largest_service_part);
  add_burst("zone", servers / given("zones"));
  add_burst("cut", changes * part * given("cut"));
}

Figures figures_of(const std::map<std::string, Slope>& slopes) {
  Figures out;
  const auto slope = [&](const std::string& key) { return value_of(slopes, key); };
  for (const Assumption& a : kAssumptions) {
    out.add(std::string("given.") + a.name,
            (a.value >= 1e6 && std::string(a.unit) == "calls/s" ? number(a.value / 1e6) + " million"
                                                                : number(a.value)) +
                " " + a.unit);
  }
  out.add("plain.called", number(given("called")));
  for (const auto& [name, s] : slopes) {
    const std::string lacks = s.code == "-" ? "not run" : "none";  // run, and no number came
    out.add("slope." + name, std::isnan(s.value) ? lacks : number(s.value) + " " + s.unit);
    out.add("code." + name, s.code);
    out.add("command." + name, s.command);
  }

  const std::vector<double> sizes = service_sizes();
  const double servers = given("servers"), control = given("control_machines");
  const double total = std::accumulate(sizes.begin(), sizes.end(), 0.0);
  double squares = 0, single = 0, services_lost = 0, calls_lost = 0;
  for (const double n : sizes) {
    squares += n * n;
    single += n == 1 ? 1 : 0;
    services_lost += std::pow(1 / given("zones"), n);
    calls_lost += std::pow(1 / given("zones"), n) * n / total;
  }
  out.add("fleet.largest", number(sizes.front()));
  out.add("fleet.total", number(total));
  out.add("fleet.mean", number(total / given("services")));
  out.add("fleet.single", number(single));
  out.add("fleet.single_calls", with(single / total * 100, "%"));
  out.add("fleet.size_seen", number(squares / total));  // of the service of a server drawn at random
  out.add("fleet.entry", bytes(static_cast<double>(entry(true).size())));
  out.add("fleet.entry_old", bytes(static_cast<double>(entry(false).size())));
  out.add("fleet.change", bytes(list_bytes(0) + static_cast<double>(entry(true).size()) + given("frame")));
  const double changes = (given("changes_day") + given("restarts_day") * given("entries_restart") +
                          given("failures_day") * given("entries_failure")) /
                         kSecondsADay;
  out.add("fleet.changes", number(changes) + "/s");
  out.add("fleet.changes_busy", number(changes * given("busy")) + "/s");

  // What one node's list holds: the whole fleet, or the services that it calls.
  double even = 0, sized = 0, largest = 0;
  const double called = given("called");
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    even += sizes[i] * (1 - std::pow(1 - 1 / given("services"), called));
    sized += sizes[i] * (1 - std::pow(1 - sizes[i] / total, called));
    if (static_cast<double>(i) < called) largest += sizes[i];
  }
  add_list(out, slopes, "all", servers, sizes.front());
  add_list(out, slopes, "largest", largest, sizes.front());
  add_list(out, slopes, "sized", sized, sizes.front() * (1 - std::pow(1 - sizes.front() / total, called)));
  add_list(out, slopes, "even", even, sizes.front() * called / given("services"));

  // Calls.
  const double per_node = given("calls") / servers;
  const double front_calls = given("calls") / given("fan");
  const double front_nodes = std::ceil(front_calls / per_node);
  out.add("node.calls", number(per_node) + "/s");
  out.add("front.calls", number(front_calls) + "/s");
  out.add("front.nodes", number(front_nodes));
  out.add("module.cpu", with(per_node * slope("call_us_27000") / 1e4, "% of a core"));
  out.add("module.cpu_ill", with(per_node * slope("call_ill_us_27000") / 1e4, "% of a core"));
  out.add("module.worst", seconds(slope("call_worst_us_27000") / 1e6));
  out.add("module.worst_left", left(slope("call_worst_us_27000") / 1e3, given("added")));
  out.add("module.worst_ill_left", left(slope("call_ill_worst_us_27000") / 1e3, given("added")));
  out.add("node.cpu", with(per_node * slope("node_call_us") / 1e4, "% of a core"));
  out.add("node.calls_most",
          number(1e6 / slope("node_call_us")) + (std::isnan(slope("node_call_us")) ? "" : "/s"));
  out.add("node.added", with(slope("added_99_ms"), "ms"));
  out.add("node.added_left", left(slope("added_99_ms"), given("added")));
  out.add("chain.added", with(given("depth") * given("added"), "ms"));
  out.add("chain.within", with(100 * std::pow(0.99, given("depth")), "%"));

  // A control machine and the watches that it serves; the agents stand one on each machine.
  const double agents = std::ceil((servers + front_nodes) / control);
  const double entry_bytes = static_cast<double>(entry(true).size());
  const double change_bytes = list_bytes(0) + entry_bytes + given("frame");
  const auto per_second = [&](const std::string& key, double messages, double each) {
    out.add("control." + key + "_messages", number(messages) + "/s");
    out.add("control." + key + "_bytes", bytes(messages * each, "/s"));
    out.add("control." + key + "_bytes_left", left(messages * each, given("link")));
  };
  out.add("control.agents", number(agents));
  out.add("control.state", bytes(list_bytes(servers)));
  out.add("control.log", bytes(changes * given("cut") * (list_bytes(0) + entry_bytes)));
  const double empties = agents / given("empty_period");
  out.add("control.empty_messages", number(empties) + "/s");
  out.add("control.empty_bytes", bytes(empties * (1 + given("frame")), "/s"));
  per_second("mean", agents * changes, change_bytes);
  per_second("busy", agents * changes * given("busy"), change_bytes);
  const double burst = given("release") * sizes.front();
  per_second("release", agents * burst, change_bytes);
  per_second("release_batched", agents / given("batch"),
             list_bytes(0) + given("frame") + burst * given("batch") * (entry_bytes + 1));
  per_second("zone", agents * servers / given("zones"), change_bytes);
  per_second("zone_batched", agents / given("batch"),
             list_bytes(0) + given("frame") + servers / given("zones") * given("batch") * (entry_bytes + 1));
  // With lists of the services called alone, only the agents that call the largest service hear of its
  // release.
  const double hears = 1 - std::pow(1 - sizes.front() / total, called);
  out.add("control.hears", with(hears * 100, "%"));
  per_second("release_sized", agents * hears * burst, change_bytes);
  out.add("control.peers", number(changes * (control - 1)) + "/s");

  for (const auto& [name, entries] :
       {std::pair("all", servers), std::pair("sized", sized), std::pair("even", even)}) {
    const std::string at = std::string("restart.") + name + "_";
    const double each = list_bytes(entries), fleet = each * (servers + front_nodes);
    out.add(at + "bytes", bytes(fleet));
    out.add(at + "control_bytes", bytes(fleet / control));
    out.add(at + "link_time", seconds(fleet / control / given("link")));
    out.add(at + "node_time", seconds(each / (given("bytes_limit") * kKilobyte)));
    out.add(at + "in_time_rate", bytes(each / given("in_force"), "/s"));
  }
  const double spare = control - 1;
  out.add("dead.agents", number(agents));
  out.add("dead.each", number(std::ceil(agents / spare)));
  out.add("dead.bytes_whole", bytes(agents / spare * list_bytes(servers)));
  out.add("dead.time_whole", seconds(agents / spare * list_bytes(servers) / given("link")));
  out.add("dead.bytes_since",
          bytes(agents / spare * changes * given("busy") * given("in_force") * change_bytes));
  out.add("zone.servers", number(std::round(servers / given("zones"))));
  out.add("zone.calls", with(100 / given("zones"), "%"));
  out.add("zone.services", number(services_lost));
  out.add("zone.calls_without", with(calls_lost * 100, "%"));
  out.add("zone.load", with(100 / (given("zones") - 1), "%"));
  out.add("cut.entries", number(std::round(changes * given("cut"))));
  out.add("cut.fleet_bytes", bytes((servers + front_nodes) * changes * given("cut") * change_bytes));
  out.add("cut.fleet_whole", bytes((servers + front_nodes) * list_bytes(servers)));
  out.add("cut.far", with(100 * (1 - 1 / given("regions")), "%"));
  const double wrong = slope("useless_kb") * 1024;
  out.add("wrong.bytes", bytes(wrong, "/s"));
  out.add("wrong.bytes_left", left(wrong, given("bytes_limit") * kKilobyte));
  out.add("wrong.cpu", with(slope("useless_cpu"), "% of a core"));
  out.add("wrong.cpu_left", left(slope("useless_cpu"), given("cpu_limit")));
  out.add("five.memory_left", left(slope("five_peak_mb"), given("memory_limit")));
  out.add("five.cpu_left", left(slope("five_cpu"), given("cpu_limit")));
  out.add("spread.last", seconds(slope("spread_ms") / 1e3));
  out.add("spread.left", left(slope("spread_ms") / 1e3, given("in_force")));
  return out;
}

// ---------------------------------------------------------------- the page

// The page with each <!--=key-->text<!--/--> filled in; `stale` gets what was another text before.
std::string fill(const std::string& page, const Figures& figures, std::vector<std::string>& stale) {
  const std::string begin = "<!--=", close = "-->", end = "<!--/-->";
  std::string out;
  std::size_t at = 0;
  for (std::size_t from; (from = page.find(begin, at)) != std::string::npos;) {
    const std::size_t key_at = from + begin.size(), text = page.find(close, key_at);
    const std::size_t to = text == std::string::npos ? text : page.find(end, text);
    if (to == std::string::npos) throw std::runtime_error("the page has a figure without an end");
    const std::string key = page.substr(key_at, text - key_at);
    const std::string was = page.substr(text + close.size(), to - text - close.size());
    const std::string* now = figures.find(key);
    if (now == nullptr) throw std::runtime_error("the page asks for '" + key + "', which is unknown");
    if (was != *now)
      stale.push_back(
          std::string(key).append(": '").append(was).append("' is '").append(*now).append("' now"));
    out += page.substr(at, text + close.size() - at) + *now + end;
    at = to + end.size();
  }
  return out + page.substr(at);
}

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error("can't read " + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

int run(const std::vector<std::string>& words) {
  if (words.empty())
    throw std::runtime_error("usage: fleet_model SLOPES [KEY... | --write PAGE | --check PAGE]");
  const std::map<std::string, Slope> slopes = read_slopes(words[0]);
  const Figures figures = figures_of(slopes);
  if (words.size() == 3 && (words[1] == "--write" || words[1] == "--check")) {
    std::vector<std::string> stale;
    const std::string page = fill(read_file(words[2]), figures, stale);
    for (const std::string& line : stale) std::cout << line << "\n";
    if (words[1] == "--check") return stale.empty() ? 0 : 1;
    std::ofstream(words[2], std::ios::binary) << page;
    return 0;
  }
  if (words.size() == 1) {
    std::cout << "assumptions\n";
    for (const Assumption& a : kAssumptions) {
      std::cout << "  given." << a.name << " = " << number(a.value) << " " << a.unit << "  (" << a.source
                << ")\n";
    }
    std::cout << "figures\n";
  }
  std::set<std::string> wanted(words.begin() + 1, words.end());
  for (const std::string& key : figures.keys()) {
    bool shown = words.size() == 1 ? !key.starts_with("given.") : wanted.contains(key);
    for (const std::string& w : wanted) shown = shown || (w.ends_with('.') && key.starts_with(w));
    if (shown) std::cout << "  " << key << " = " << *figures.find(key) << "\n";
  }
  for (const std::string& w : wanted) {
    if (!w.ends_with('.') && figures.find(w) == nullptr) throw std::runtime_error("no figure '" + w + "'");
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run({argv + 1, argv + argc});
  } catch (const std::exception& problem) {
    std::cerr << "fleet_model: " << problem.what() << "\n";
    return 2;
  }
}
