// What clients, endpoints and discovery have seen in one run. Times are seconds on the steady clock.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace asterdrift::soak {

// How a request ended for its client.
enum class RequestEnd {
  kResponse,     // one complete response
  kClosed,       // the node had read it, and ended the connection without a response
  kReset,        // the same, but the node had not read it
  kTruncated,    // a response began, and the connection ended inside it
  kUnprocessed,  // pipelined behind a response that ended the connection
  kLeft,         // the client closed the connection, or the run ended
  kUnanswered    // nothing came for long after the request's time
};

struct RequestRecord {
  std::string id;
  std::string request_class;
  double timeout = 0;  // s
  bool is_on_new_connection = false;
  double connected_at = 0;
  double sent_at = 0;  // the last byte; 0: not sent completely
  double ended_at = 0;
  RequestEnd end = RequestEnd::kLeft;
  int status = 0;
  std::size_t response_bytes = 0;
};

struct AttemptRecord {
  std::string request_id;
  std::string endpoint;
  double began_at = 0;          // the first byte arrived
  double head_at = 0;           // the last byte of the head arrived
  std::int64_t timeout_ms = 0;  // passed on by the node
  bool is_complete = false;     // the last byte arrived
  bool is_rejected = false;     // the endpoint said that it has not begun the request
};

// A watch of the node has been sent the news that an endpoint drains or has gone.
struct DrainRecord {
  std::string endpoint;
  double notified_at = 0;
};

// A connection that the node closed before its client had sent a byte.
struct UnusedConnectionRecord {
  double connected_at = 0;
  double closed_at = 0;
};

// Collects records from all threads of a run; they are read after its end.
class Observations {
 public:
  void add(const RequestRecord& record) { append(requests, record); }
  void add(const AttemptRecord& record) { append(attempts, record); }
  void add(const DrainRecord& record) { append(drains, record); }
  void add(const UnusedConnectionRecord& record) { append(unused_connections, record); }

  std::vector<RequestRecord> requests;
  std::vector<AttemptRecord> attempts;
  std::vector<DrainRecord> drains;
  std::vector<UnusedConnectionRecord> unused_connections;

 private:
  template <class Record>
  void append(std::vector<Record>& records, const Record& record) {
    const std::lock_guard lock(mutex_);
    records.push_back(record);
  }

  std::mutex mutex_;
};

}  // namespace asterdrift::soak
