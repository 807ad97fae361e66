#include "node/metrics.h"

#include <algorithm>

namespace asterdrift::node {
namespace {

const std::string kPrefix = "app.";

std::string line(const std::string& name, std::uint64_t value, char kind) {
  return kPrefix + name + ":" + std::to_string(value) + "|" + kind + "\n";
}

}  // namespace

Metrics::Metrics(const std::vector<std::string>& classes) {
  for (std::string name : classes) {
    // What the form gives a meaning to must not stand in a name.
    const auto special = [](unsigned char c) { return c <= ' ' || c == ':' || c == '|' || c == 0x7f; };
    std::replace_if(name.begin(), name.end(), special, '_');
    classes_.push_back({std::move(name)});
  }
}

void Metrics::answered(std::size_t request_class, unsigned status) {
  Class& counts = classes_.at(request_class);
  ++(status == 200 ? counts.completed : status == 429 || status == 503 ? counts.rejected : counts.failed);
}

std::string Metrics::text(const Gauges& gauges) const {
  std::string out;
  for (const Class& counts : classes_) {
    const std::string of = "downstream_requests." + counts.name + ".";
    out += line(of + "completed", counts.completed, 'c');
    out += line(of + "rejected", counts.rejected, 'c');
    out += line(of + "failed", counts.failed, 'c');
  }
  out += line("upstream_requests", attempts_, 'c');
  out += line("pending", gauges.pending, 'g');
  out += line("members", gauges.members, 'g');
  out += line("members_unavailable", gauges.members_unavailable, 'g');
  return out;
}

}  // namespace asterdrift::node
