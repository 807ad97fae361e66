// What the planned fleet needs of each role, from assumptions and measurements. Every result of
// docs/CAPACITY.md has a key here.
//
//   capacity_calculator MEASUREMENTS                  prints the assumptions, the measurements and all
//   results capacity_calculator MEASUREMENTS KEY...           prints these results; a key that ends in a dot
//   stands
//                                                     for all that begin with it
//   capacity_calculator MEASUREMENTS --write PAGE     puts the results into the page
//   capacity_calculator MEASUREMENTS --check PAGE     fails where the page shows another result, or a key
//   that
//                                                     is unknown
//
// Exit status: 0; 1 where the page is stale; 2 on an error.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "scale/capacity/assumptions.h"
#include "scale/capacity/calculations.h"
#include "scale/capacity/errors.h"
#include "scale/capacity/fleet.h"
#include "scale/capacity/measurements.h"
#include "scale/capacity/page.h"
#include "scale/capacity/results.h"
#include "scale/capacity/value_format.h"

namespace asterdrift::scale::capacity {
namespace {

constexpr int kStalePage = 1;
constexpr int kError = 2;

struct Arguments {
  enum class Command { kPrintAll, kPrintKeys, kWritePage, kCheckPage };
  Command command = Command::kPrintAll;
  std::string measurements_path;
  std::string page_path;
  std::set<std::string> keys;
};

Arguments parse_arguments(const std::vector<std::string>& words) {
  const char* const usage = "usage: capacity_calculator MEASUREMENTS [KEY... | --write PAGE | --check PAGE]";
  if (words.empty()) throw UsageError(usage);
  Arguments arguments;
  arguments.measurements_path = words[0];
  if (words.size() == 1) return arguments;
  if (words[1] == "--write" || words[1] == "--check") {
    if (words.size() != 3) throw UsageError(usage);
    arguments.command =
        words[1] == "--write" ? Arguments::Command::kWritePage : Arguments::Command::kCheckPage;
    arguments.page_path = words[2];
    return arguments;
  }
  arguments.command = Arguments::Command::kPrintKeys;
  arguments.keys.insert(words.begin() + 1, words.end());
  return arguments;
}

void print_result(const Results& results, const std::string& key) {
  std::cout << "  " << key << " = " << *results.find(key) << "\n";
}

void print_all(const Results& results) {
  std::cout << "assumptions\n";
  for (const Assumption& assumption : assumption::kAll) {
    std::cout << "  given." << assumption.key << " = " << format_with_unit(assumption.value, assumption.unit)
              << "  (" << assumption.source << ")\n";
  }
  std::cout << "results\n";
  for (const std::string& key : results.keys()) {
    if (!key.starts_with("given.")) print_result(results, key);
  }
}

bool is_prefix(const std::string& key) { return key.ends_with('.'); }

void print_keys(const Results& results, const std::set<std::string>& keys) {
  for (const std::string& key : results.keys()) {
    const bool is_named = keys.contains(key);
    const bool has_prefix = std::any_of(keys.begin(), keys.end(), [&](const std::string& named) {
      return is_prefix(named) && key.starts_with(named);
    });
    if (is_named || has_prefix) print_result(results, key);
  }
  for (const std::string& key : keys) {
    if (!is_prefix(key) && results.find(key) == nullptr) throw UnknownKeyError(key);
  }
}

int run(const Arguments& arguments) {
  const Measurements measurements = Measurements::read(arguments.measurements_path);
  const Results results = calculate(Fleet(), measurements);
  switch (arguments.command) {
    case Arguments::Command::kPrintAll:
      print_all(results);
      return 0;
    case Arguments::Command::kPrintKeys:
      print_keys(results, arguments.keys);
      return 0;
    case Arguments::Command::kWritePage:
    case Arguments::Command::kCheckPage:
      break;
  }
  Page page(arguments.page_path);
  const std::vector<StaleResult> stale = page.update(results);
  for (const StaleResult& result : stale) {
    std::cout << result.key << ": '" << result.shown << "' is '" << result.current << "' now\n";
  }
  if (arguments.command == Arguments::Command::kCheckPage) return stale.empty() ? 0 : kStalePage;
  page.write();
  return 0;
}

}  // namespace
}  // namespace asterdrift::scale::capacity

int main(int argc, char** argv) {
  using namespace asterdrift::scale::capacity;
  try {
    return run(parse_arguments({argv + 1, argv + argc}));
  } catch (const std::exception& error) {
    std::cerr << "capacity_calculator: " << error.what() << "\n";
    return kError;
  }
}
