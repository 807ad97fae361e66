// Reads the system's TCP information, and computes how long a reading peer may take no byte.
#include "node/net/send_progress.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>

namespace asterdrift::node::net {
namespace {

// The operators' figure for a slow peer.
constexpr double kMinReadBytesPerSecond = 64e3;
// A peer with such a window reads all of it within the limits for any peer.
constexpr std::size_t kSmallWindowBytes = 256UL * 1024;
// A closed window opens when this fraction of the receive buffer is free.
constexpr std::size_t kWindowStepDivisor = 16;
// The receive buffer may be larger than the window that was announced, and its bookkeeping counts too.
constexpr std::size_t kMaxUnannouncedStepBytes = 350'000;
// For pauses between two reads, and for probes of the window.
constexpr Seconds kWindowUpdateDelay = 3;
// Bounds the time for which a peer that announces a huge window occupies its connection.
constexpr Seconds kMaxSilence = 60;

// The longest time for which a peer that reads takes no byte; 0 if the limits for any peer allow for it.
Seconds max_silence_of_reader(std::size_t max_window_bytes) {
  if (max_window_bytes <= kSmallWindowBytes) return 0;
  const std::size_t step = kMaxUnannouncedStepBytes + max_window_bytes / kWindowStepDivisor;
  return std::min(kMaxSilence, kWindowUpdateDelay + static_cast<double>(step) / kMinReadBytesPerSecond);
}

}  // namespace

std::optional<SendState> send_state(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  if (size < offsetof(tcp_info, tcpi_snd_wnd) + sizeof info.tcpi_snd_wnd) return std::nullopt;
  return SendState{.acknowledged_bytes = info.tcpi_bytes_acked, .window_bytes = info.tcpi_snd_wnd};
}

void SendProgress::on_bytes_written(std::size_t bytes, Seconds now) {
  bytes_since_observation_ += bytes;
  if (bytes > 0) progress_at_ = now;
}

void SendProgress::observe(const std::optional<SendState>& state, Seconds now) {
  bytes_since_observation_ = 0;
  if (!state) return;
  max_window_bytes_ = std::max(max_window_bytes_, state->window_bytes);
  if (state->acknowledged_bytes <= acknowledged_bytes_) return;
  acknowledged_bytes_ = state->acknowledged_bytes;
  progress_at_ = now;
}

Seconds SendProgress::stalled_at(Seconds min_timeout) const {
  return progress_at_ + std::max(min_timeout, max_silence_of_reader(max_window_bytes_));
}

}  // namespace asterdrift::node::net
