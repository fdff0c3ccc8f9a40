#include "core/net/send_watch.h"

// The structure of <netinet/tcp.h> ends before the fields that are read here.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstddef>

namespace cuminpath::net {
namespace {

constexpr milliseconds k_sample_interval{500};
// While the window is closed or segments are repeated.
constexpr milliseconds k_sample_interval_when_blocked{200};
// A single one is lost on a bad link while the peer is there.
constexpr std::uint32_t k_min_retransmissions = 2;

}  // namespace

std::optional<send_state> read_send_state(int handle) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size < offsetof(tcp_info, tcpi_notsent_bytes) + sizeof(info.tcpi_notsent_bytes)) {
    return std::nullopt;
  }
  return send_state{.acknowledged_bytes = info.tcpi_bytes_acked,
                    .unsent_bytes = info.tcpi_notsent_bytes,
                    .segments_in_flight = info.tcpi_unacked,
                    .retransmissions = info.tcpi_retransmits,
                    .unanswered_probes = info.tcpi_probes,
                    .since_acknowledgement = milliseconds(info.tcpi_last_ack_recv)};
}

void send_watch::on_sent(time_point now) {
  if (!active()) {
    m_since = m_last_progress = now;
    m_due = now + k_sample_interval;
  }
}

send_verdict send_watch::judge(const send_state& state, time_point now) {
  if (state.unsent_bytes == 0 && state.segments_in_flight == 0) {
    stop();
    return send_verdict::done;
  }
  if (m_acknowledged_bytes && *m_acknowledged_bytes != state.acknowledged_bytes) {
    m_last_progress = now;
  }
  m_acknowledged_bytes = state.acknowledged_bytes;
  if (state.unanswered_probes == 0) {
    m_probe_since.reset();
  } else if (!m_probe_since) {
    m_probe_since = now;
  }
  const time_point last_answer = now - state.since_acknowledgement;
  const bool repeated = state.segments_in_flight > 0 && state.retransmissions >= k_min_retransmissions;
  if ((repeated && now - std::max(last_answer, m_since) >= k_max_silence) ||
      (m_probe_since && now - std::max(last_answer, *m_probe_since) >= k_max_probe_silence)) {
    return send_verdict::gone;
  }
  if (now - m_last_progress >= k_max_unread_time) {
    return send_verdict::unread;
  }
  const bool blocked = state.segments_in_flight == 0 || state.retransmissions > 0;
  m_due = now + (blocked ? k_sample_interval_when_blocked : k_sample_interval);
  return send_verdict::waits;
}

send_verdict send_watch::sample(int handle, time_point now) {
  return judge(read_send_state(handle).value_or(send_state{}), now);
}

}  // namespace cuminpath::net
