// One attempt of a request at one endpoint.
#pragma once

#include <cstddef>
#include <cstdint>

#include "asterdrift/balancer/events.h"
#include "balancer/endpoint_record.h"

namespace asterdrift::balancer {

// An attempt goes through its states in the order of their declaration; it may skip any of them.
class Attempt {
 public:
  enum class State {
    kSending,     // the endpoint does not have the complete request yet
    kInFlight,    // the endpoint has the complete request, and has not begun to respond
    kResponding,  // the response has begun
    kEnded
  };

  // Starts an attempt at the endpoint in `slot`, which has this record.
  Attempt(std::size_t slot, const EndpointRecord& record, Seconds now);

  // Records that the complete request has been sent. The attempt has to be open.
  void request_sent(Seconds now);
  // Records that the response has begun. The attempt has to be open.
  void response_started();
  void end(Outcome outcome);

  State state() const { return state_; }
  bool is_open() const { return state_ != State::kEnded; }
  // Whether the endpoint may have executed the request. Only some outcomes prove that the endpoint has not:
  // if an unknown outcome counted as one of these, a request could be executed twice.
  bool may_have_run() const;
  // Whether the attempt has ended because no connection to the endpoint was established.
  bool connect_failed() const;

  // The slot of the endpoint. After the attempt's end the slot may belong to another endpoint: compare the
  // hash.
  std::size_t slot() const { return slot_; }
  // The hash of the endpoint's address, which identifies it permanently.
  std::uint64_t endpoint_hash() const { return endpoint_hash_; }
  // Zone and cell of the endpoint when the attempt was started.
  int zone() const { return zone_; }
  int cell() const { return cell_; }
  // When the complete request was sent; until then, when the attempt was started.
  Seconds sent_at() const { return sent_at_; }

 private:
  std::size_t slot_;
  std::uint64_t endpoint_hash_;
  int zone_;
  int cell_;
  Seconds sent_at_;
  State state_ = State::kSending;
  Outcome outcome_ = Outcome::kUnknown;  // valid once the attempt has ended
};

}  // namespace asterdrift::balancer
