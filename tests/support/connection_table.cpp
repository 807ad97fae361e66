// The system's table of TCP connections (/proc/net/tcp).
#include "support/connection_table.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>

namespace asterdrift::test_support {
namespace {

constexpr unsigned kSynSent = 2;  // the kernel's TCP_SYN_SENT
constexpr int kParsedColumns = 5;

bool parse_row(const std::string& line, ConnectionRow& row) {
  return std::sscanf(line.c_str(), "%*s %*x:%x %*x:%x %x %x:%x", &row.local_port, &row.remote_port,  // NOLINT
                     &row.state, &row.unsent_bytes, &row.unread_bytes) == kParsedColumns;
}

}  // namespace

std::vector<ConnectionRow> connection_table() {
  std::vector<ConnectionRow> rows;
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    ConnectionRow row;
    if (parse_row(line, row)) rows.push_back(row);
  }
  return rows;
}

bool connection_attempt_to(int port) {
  const auto rows = connection_table();
  return std::any_of(rows.begin(), rows.end(), [port](const ConnectionRow& row) {
    return row.remote_port == static_cast<unsigned>(port) && row.state == kSynSent;
  });
}

bool all_read_from(int port) {
  const auto rows = connection_table();
  return std::none_of(rows.begin(), rows.end(), [number = static_cast<unsigned>(port)](const auto& row) {
    return (row.local_port == number && row.unsent_bytes > 0) ||
           (row.remote_port == number && row.unread_bytes > 0);
  });
}

}  // namespace asterdrift::test_support
