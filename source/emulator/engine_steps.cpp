// Timing of the steps of an emulated engine, and the barrier between the ranks of a group. A rank announces
// each step to every other rank before it runs the step, and runs it once every other rank has announced it.
#include "emulator/engine_role.h"

namespace cuminpath::emulator {
namespace {

// Steps of an idle group take longer by this factor, to save CPU time.
constexpr int k_idle_slowdown_factor = 5;
// Announcements are repeated at this interval to peers that have not confirmed them.
constexpr milliseconds k_reannounce_interval{200};
// The load of the local experts drifts slowly, so that its share of the step time is computed only once in
// this many steps.
constexpr std::uint64_t k_steps_per_load_update = 32;

}  // namespace

void engine_role::schedule_step(time_point at) {
  if (m_step_due) {
    return;
  }
  m_step_timer.expires_at(at);
  m_step_timer.async_wait([this](const std::error_code& failure) {
    if (!failure) {
      on_step_timer();
    }
  });
}

void engine_role::on_step_timer() {
  m_step_due = true;
  announce();
  try_step();
}

bool engine_role::joined() const {
  return m_peers.empty() || m_step > 0;
}

void engine_role::try_step() {
  const auto next = m_step + 1;
  if (!m_step_due || m_stalled || m_maps.blocks_step(next)) {
    return;
  }
  if (m_peer_announcements.size() < m_peers.size()) {
    return;
  }
  for (const auto& [rank, announced] : m_peer_announcements) {
    // A restarted rank must rejoin with the map of the others. It waits until its agent has ordered that map.
    if (announced.first < next || (m_rejoining && announced.second != m_maps.digest_for_step(next))) {
      return;
    }
  }
  run_step();
}

void engine_role::run_step() {
  ++m_step;
  m_rejoining = false;
  m_maps.run_step(m_step, m_batch.running());
  for (const auto& [rank, announced] : m_peer_announcements) {
    m_mixed_map_steps +=
        announced.first == m_step && announced.second != m_maps.digest_for_step(m_step) ? 1 : 0;
  }
  if (m_step % k_steps_per_load_update == 1) {
    const auto factor = m_maps.relative_load(m_step);
    m_step_time = milliseconds(
        static_cast<std::int64_t>(static_cast<double>(m_options.token_interval.count()) * (1 + factor) / 2));
  }
  m_step_ended = clock::now();
  m_step_due = false;
  std::vector<emitted_token> tokens;
  m_batch.step(m_step_ended, tokens);
  for (const auto& token : tokens) {
    emit(token);
  }
  record_starts();
  const bool idle = m_batch.running() == 0;
  schedule_step(m_step_ended + (idle ? m_step_time * k_idle_slowdown_factor : m_step_time));
}

void engine_role::announce() {
  // An announcement contains the digest of the step's map, which is not known yet for a blocked step.
  if (!m_step_due || m_maps.blocks_step(m_step + 1)) {
    return;
  }
  m_announced_step = m_step + 1;
  for (std::size_t index = 0; index < m_peers.size(); ++index) {
    announce_to(index);
  }
  if (m_peers.empty()) {
    return;
  }
  m_announce_timer.expires_after(k_reannounce_interval);
  m_announce_timer.async_wait([this](const std::error_code& failure) {
    if (!failure && m_step_due) {
      announce();
    }
  });
}

void engine_role::announce_to(std::size_t index) {
  auto& target = m_peers[index];
  const auto next = m_step + 1;
  if (target.in_flight || target.confirmed_step >= next) {
    return;
  }
  target.in_flight = true;
  const json body = {
      {"rank", m_options.experts.rank}, {"step", next}, {"digest", m_maps.digest_for_step(next)}};
  m_client.call(target.url, {.method = "POST", .target = "/v1/barrier", .body = body.dump()},
                {.timeout = milliseconds(1000)},
                [this, index, next, url = target.url](const http::client::call_result& response) {
                  if (index >= m_peers.size() || m_peers[index].url != url) {
                    return;
                  }
                  m_peers[index].in_flight = false;
                  if (!response.failure && response.value.status == 200) {
                    m_peers[index].confirmed_step = next;
                  }
                  if (m_step_due && m_step + 1 > next) {
                    announce_to(index);
                  }
                });
}

void engine_role::on_barrier(const http::request& request, const responder_ptr& to) {
  const auto parsed = parse_json(request.body);
  if (!parsed || !parsed.value().is_object()) {
    respond_json(to, 400, {{"error", "not a JSON object"}});
    return;
  }
  try {
    const auto& body = parsed.value();
    on_announcement(body.at("rank").get<std::uint32_t>(), body.at("step").get<std::uint64_t>(),
                    body.at("digest").get<std::string>());
  } catch (const json::exception& failure) {
    respond_json(to, 400, {{"error", failure.what()}});
    return;
  }
  respond_json(to, 200, {{"step", m_step}});
}

void engine_role::on_announcement(std::uint32_t rank, std::uint64_t step, const std::string& digest) {
  if (const auto known = m_peer_announcements.find(rank);
      known != m_peer_announcements.end() && known->second.first > step) {
    // The rank was restarted and has lost the announcements that it had confirmed.
    for (auto& target : m_peers) {
      target.confirmed_step = 0;
    }
    announce();
  }
  m_peer_announcements[rank] = {step, digest};
  // A rank runs a step only after all other ranks have announced it, so that a peer's announcement is at
  // most one step ahead. A later step means that the group ran on before this rank was restarted: join it at
  // that step.
  if (step > m_announced_step + 1) {
    m_step = step - 1;
    m_announced_step = m_step;
    m_rejoining = true;
    m_step_due = false;
    schedule_step(clock::now());
  } else if (!m_step_due && step == m_step + 1) {
    schedule_step(m_step_ended + m_step_time);  // Shortens the longer step interval of an idle rank.
  }
  try_step();
}

}  // namespace cuminpath::emulator
