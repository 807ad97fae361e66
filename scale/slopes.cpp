#include "scale/slopes.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <stdexcept>

#include "scale/stand_ins/node_setup.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

struct Slope {
  const char* name;
  void (*run)(const Options&);
  const char* what;
  std::vector<std::string> options;  // a trailing '!' marks one without a value
};

const std::vector<Slope> kSlopes = {
    {"change",
     change_slope,
     "one change and a whole list, in the module and in the list reader",
     {"sizes", "copies"}},
    {"call",
     call_slope,
     "one call in the module, with the subset well, ill, cold and full",
     {"sizes", "copies", "calls", "calls-per-s"}},
    {"memory", memory_slope, "bytes that the module and the list reader allocate", {"sizes", "copies"}},
    {"traffic",
     traffic_slope,
     "bytes and messages from discovery for a start, a change, an idle time",
     {"sizes", "seconds", "asked!"}},
    {"spread",
     spread_slope,
     "time from a change until the last of N simulated nodes has acted on it",
     {"nodes", "servers", "repeats", "asked!"}},
    {"idle",
     idle_slope,
     "memory and processor time of a real idle node, and how soon it is ready",
     {"sizes", "rates", "seconds", "asked!", "node"}},
    {"useless",
     useless_slope,
     "what a node asks of discovery while it can't take the list",
     {"servers", "seconds", "node"}},
    {"latency",
     latency_slope,
     "latency that a real node adds, against a bare pass-through",
     {"rates", "rounds", "seconds", "servers", "delay-ms", "node"}},
};

int usage() {
  std::printf("slopes NAME [--json FILE] [options]; times are in s, lists of numbers have commas\n");
  for (const Slope& slope : kSlopes) {
    std::printf("  %-8s %s\n          ", slope.name, slope.what);
    for (const std::string& option : slope.options) std::printf(" --%s", option.c_str());
    std::printf("\n");
  }
  return 2;
}

}  // namespace

Options::Options(int count, char** words, const std::vector<std::string>& known) {
  for (int i = 0; i < count; ++i) {
    const std::string name = std::strncmp(words[i], "--", 2) == 0 ? words[i] + 2 : "";
    const auto has = [&](const std::string& word) {
      return std::find(known.begin(), known.end(), word) != known.end();
    };
    if (has(name + "!")) {
      values_[name] = "yes";
    } else if ((name == "json" || has(name)) && i + 1 < count) {
      values_[name] = words[++i];
    } else {
      throw std::invalid_argument(std::string("unknown or without a value: ") + words[i]);
    }
  }
}

std::string Options::text(const std::string& name, const std::string& otherwise) const {
  const auto it = values_.find(name);
  return it == values_.end() ? otherwise : it->second;
}

double Options::number(const std::string& name, double otherwise) const {
  return numbers(name, {otherwise}).front();
}

std::vector<double> Options::numbers(const std::string& name, const std::vector<double>& otherwise) const {
  const auto it = values_.find(name);
  if (it == values_.end()) return otherwise;
  std::vector<double> out;
  std::istringstream in(it->second);
  for (std::string part; std::getline(in, part, ',');) out.push_back(std::stod(part));
  if (out.empty()) throw std::invalid_argument("no number for --" + name);
  return out;
}

std::vector<std::size_t> Options::sizes(const std::string& name,
                                        const std::vector<std::size_t>& otherwise) const {
  std::vector<std::size_t> out;
  for (const double n : numbers(name, {otherwise.begin(), otherwise.end()}))
    out.push_back(static_cast<std::size_t>(n));
  return out;
}

}  // namespace asterdrift::scale

int main(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const asterdrift::scale::Slope& slope : asterdrift::scale::kSlopes) {
    if (count < 2 || std::strcmp(words[1], slope.name) != 0) continue;
    try {
      slope.run(asterdrift::scale::Options(count - 2, words + 2, slope.options));
      return 0;
    } catch (const std::exception& problem) {
      std::fprintf(stderr, "slopes %s: %s\n", slope.name, problem.what());
      return 1;
    }
  }
  return asterdrift::scale::usage();
}
