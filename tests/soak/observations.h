// What clients, endpoints and discovery have observed in one soak run. Times are on the steady clock.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "asterdrift/seconds.h"

namespace asterdrift::soak {

// How a request ended for its client.
enum class RequestOutcome {
  kResponse,               // the client received one complete response
  kClosedWithoutResponse,  // the node had read the request, and closed the connection without a response
  kReset,                  // the node closed the connection before it had read the request
  kTruncated,              // the connection ended within the response
  kUnprocessed,            // the request was pipelined behind a response that ended the connection
  kClientDeparted,         // the client closed the connection, or the run ended
  kTimedOut                // no response arrived until long after the request's timeout
};

struct RequestRecord {
  std::string id;
  std::string request_class;
  Seconds timeout = 0;
  bool is_on_new_connection = false;
  Seconds connected_at = 0;
  Seconds sent_at = 0;  // when the last byte was sent; 0: the request was not sent completely
  Seconds ended_at = 0;
  RequestOutcome outcome = RequestOutcome::kClientDeparted;
  int status = 0;
  std::size_t response_bytes = 0;
};

// A request that the node has sent to an endpoint.
struct AttemptRecord {
  std::string request_id;
  std::string endpoint;
  Seconds began_at = 0;         // when the first byte arrived
  Seconds head_at = 0;          // when the last byte of the head arrived
  std::int64_t timeout_ms = 0;  // value of the Request-Timeout-Ms that the node has sent
  bool is_complete = false;     // the last byte of the request has arrived
  bool is_rejected = false;     // the endpoint responded that it has not started the request
};

// An endpoint list that lists an endpoint as draining, or no longer lists it, has been sent on a watch.
struct DrainRecord {
  std::string endpoint;
  Seconds notified_at = 0;
};

// A connection that the node closed before its client had sent a byte.
struct UnusedConnectionRecord {
  Seconds connected_at = 0;
  Seconds closed_at = 0;
};

// Collects the records of all threads of a run. The records may be read when all threads have ended.
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
