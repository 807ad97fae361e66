// Calculates the resources that the planned fleet needs, from assumptions and measurements. Each result on
// docs/CAPACITY.md has a key here.
//
//   capacity_calculator MEASUREMENTS
//       prints the assumptions, the measurements and all results
//   capacity_calculator MEASUREMENTS KEY...
//       prints the results with these keys; a key that ends in a dot selects all keys that begin with it
//   capacity_calculator MEASUREMENTS --write PAGE
//       updates the results on the page
//   capacity_calculator MEASUREMENTS --check PAGE
//       fails if the page shows an outdated result or an unknown key
//
// Exit status: 0 on success, 1 if --check found outdated results, 2 on an error.
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

constexpr int kStalePageStatus = 1;
constexpr int kErrorStatus = 2;

struct Arguments {
  enum class Command { kPrintAll, kPrintKeys, kWritePage, kCheckPage };
  Command command = Command::kPrintAll;
  std::string measurements_path;
  std::string page_path;
  std::set<std::string> keys;
};

Arguments parse_arguments(const std::vector<std::string>& args) {
  const char* const usage = "usage: capacity_calculator MEASUREMENTS [KEY... | --write PAGE | --check PAGE]";
  if (args.empty()) throw UsageError(usage);
  Arguments arguments;
  arguments.measurements_path = args[0];
  if (args.size() == 1) return arguments;
  if (args[1] == "--write" || args[1] == "--check") {
    if (args.size() != 3) throw UsageError(usage);
    arguments.command =
        args[1] == "--write" ? Arguments::Command::kWritePage : Arguments::Command::kCheckPage;
    arguments.page_path = args[2];
    return arguments;
  }
  arguments.command = Arguments::Command::kPrintKeys;
  arguments.keys.insert(args.begin() + 1, args.end());
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
    const bool is_requested = keys.contains(key);
    const bool has_requested_prefix = std::any_of(
        keys.begin(), keys.end(),
        [&](const std::string& requested) { return is_prefix(requested) && key.starts_with(requested); });
    if (is_requested || has_requested_prefix) print_result(results, key);
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
  if (arguments.command == Arguments::Command::kCheckPage) return stale.empty() ? 0 : kStalePageStatus;
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
    return kErrorStatus;
  }
}
