// One attempt of a request at one endpoint.
#pragma once

#include <cstddef>
#include <cstdint>

#include "asterdrift/balancer/events.h"
#include "balancer/endpoint_record.h"

namespace asterdrift::balancer {

// Goes through its states in their order; any may be left out.
class Attempt {
 public:
  enum class State {
    kSending,     // the endpoint does not have the complete request yet
    kInFlight,    // it has, and has not begun to respond
    kResponding,  // the response has begun
    kEnded
  };

  // An attempt that is being sent to the endpoint of a slot.
  Attempt(std::size_t slot, const EndpointRecord& record, double now);

  // The complete request has been sent. The attempt has to be open.
  void request_sent(double now);
  // The response has begun. The attempt has to be open.
  void response_started();
  void end(Outcome outcome);

  State state() const { return state_; }
  bool is_open() const { return state_ != State::kEnded; }
  // Whether the endpoint may have executed the request. Only some outcomes prove that it has not: taking an
  // unknown outcome for one of them could execute a request twice.
  bool may_have_run() const;
  // Whether it has ended without a connection to the endpoint.
  bool connect_failed() const;

  // The slot of the endpoint. An ended attempt's slot may belong to another endpoint: compare the hash.
  std::size_t slot() const { return slot_; }
  // The hash of the endpoint's address, which identifies it permanently.
  std::uint64_t endpoint_hash() const { return endpoint_hash_; }
  // Zone and cell of the endpoint at the time of sending.
  int zone() const { return zone_; }
  int cell() const { return cell_; }
  // When the attempt was started or, once the complete request has been sent, when that was.
  double sent_at() const { return sent_at_; }

 private:
  std::size_t slot_;
  std::uint64_t endpoint_hash_;
  int zone_;
  int cell_;
  double sent_at_;
  State state_ = State::kSending;
  Outcome outcome_ = Outcome::kUnknown;  // once it has ended
};

}  // namespace asterdrift::balancer
