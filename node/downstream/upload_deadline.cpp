// Samples how many bytes of an upload have arrived, and notifies the dispatcher.
#include "node/downstream/upload_deadline.h"

#include <algorithm>
#include <cstddef>
#include <optional>

#include "node/net/socket_probe.h"
#include "node/timing/clock.h"

namespace asterdrift::node::downstream {

using timing::now;

void UploadDeadline::probe(dispatch::RequestId request) {
  const std::size_t unread = net::unread_bytes(socket_.native_handle());
  if (unread == 0) return on_socket_empty(request);
  progress_.sample(now(), reader_.read_body_bytes() + unread);
  const std::optional<Seconds> sent_after = progress_.sent_after(reader_.min_body_bytes(unread));
  if (reader_.is_paused() && reader_.is_upload_within(unread)) {
    dispatcher_.on_body_received(request, sent_after.value_or(now()));
  } else if (sent_after) {
    dispatcher_.on_body_maybe_sent(request, *sent_after);
  }
}

// The client has not sent the last byte yet.
void UploadDeadline::on_socket_empty(dispatch::RequestId request) {
  progress_.reset();
  if (!reader_.is_paused()) dispatcher_.on_body_resumed(request);
}

void UploadDeadline::on_blocked(dispatch::RequestId request) {
  const std::size_t unread = net::unread_bytes(socket_.native_handle());
  progress_.sample(now(), reader_.read_body_bytes() + unread);
  const bool may_be_sent = progress_.sent_after(reader_.min_body_bytes(unread)).has_value();
  dispatcher_.on_body_blocked(request, unread_since_, may_be_sent);
}

Seconds UploadDeadline::sent_at(Seconds arrived_at) const {
  return std::min(arrived_at, progress_.sent_after(reader_.read_body_bytes()).value_or(arrived_at));
}

}  // namespace asterdrift::node::downstream
