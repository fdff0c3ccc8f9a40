// Steps of an emulated engine: their pace, and the barrier between the ranks of a group. Before a rank runs a
// step it announces it to every other rank, and it runs the step once every other rank has announced it.
#include "emulator/engine_role.h"

namespace cuminpath::emulator {
namespace {

constexpr int k_idle_factor = 5;  // An idle group steps this much slower, to spare the machine.
// A peer that has not confirmed an announcement by then hears it again.
constexpr milliseconds k_announce_again{200};
// The load of the own experts drifts slowly; its share of the step time is computed once in so many steps.
constexpr std::uint64_t k_steps_per_load = 32;

}  // namespace

void engine_role::schedule_step(time_point at) {
  if (m_pacing_over) {
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
  m_pacing_over = true;
  announce();
  try_step();
}

bool engine_role::joined() const {
  return m_peers.empty() || m_step > 0;
}

void engine_role::try_step() {
  const auto next = m_step + 1;
  if (!m_pacing_over || m_stalled || m_maps.holds(next)) {
    return;
  }
  if (m_ready.size() < m_peers.size()) {
    return;
  }
  for (const auto& [rank, ready] : m_ready) {
    // A rank that comes back joins on the map of the others; it waits until its agent has ordered that map.
    if (ready.first < next || (m_rejoining && ready.second != m_maps.digest_at(next))) {
      return;
    }
  }
  run_step();
}

void engine_role::run_step() {
  ++m_step;
  m_rejoining = false;
  m_maps.run_step(m_step, m_batch.running());
  for (const auto& [rank, ready] : m_ready) {
    m_mixed_map_steps += ready.first == m_step && ready.second != m_maps.digest_at(m_step) ? 1 : 0;
  }
  if (m_step % k_steps_per_load == 1) {
    const auto factor = m_maps.relative_load(m_step);
    m_step_time = milliseconds(
        static_cast<std::int64_t>(static_cast<double>(m_options.token_interval.count()) * (1 + factor) / 2));
  }
  m_step_ended = clock::now();
  m_pacing_over = false;
  std::vector<emitted_token> tokens;
  m_batch.step(m_step_ended, tokens);
  for (const auto& token : tokens) {
    emit(token);
  }
  record_starts();
  const bool idle = m_batch.running() == 0;
  schedule_step(m_step_ended + (idle ? m_step_time * k_idle_factor : m_step_time));
}

void engine_role::announce() {
  // The map of a step that is held is not known yet, and an announcement names it.
  if (!m_pacing_over || m_maps.holds(m_step + 1)) {
    return;
  }
  m_announced_step = m_step + 1;
  for (std::size_t index = 0; index < m_peers.size(); ++index) {
    announce_to(index);
  }
  if (m_peers.empty()) {
    return;
  }
  m_announce_timer.expires_after(k_announce_again);
  m_announce_timer.async_wait([this](const std::error_code& failure) {
    if (!failure && m_pacing_over) {
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
  const json body = {{"rank", m_options.experts.rank}, {"step", next}, {"digest", m_maps.digest_at(next)}};
  m_client.call(target.url, {.method = "POST", .target = "/v1/barrier", .body = body.dump()},
                {.timeout = milliseconds(1000)},
                [this, index, next, url = target.url](const http::client::call_result& answer) {
                  if (index >= m_peers.size() || m_peers[index].url != url) {
                    return;
                  }
                  m_peers[index].in_flight = false;
                  if (!answer.failure && answer.value.status == 200) {
                    m_peers[index].confirmed_step = next;
                  }
                  if (m_pacing_over && m_step + 1 > next) {
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
    note_peer(body.at("rank").get<std::uint32_t>(), body.at("step").get<std::uint64_t>(),
              body.at("digest").get<std::string>());
  } catch (const json::exception& failure) {
    respond_json(to, 400, {{"error", failure.what()}});
    return;
  }
  respond_json(to, 200, {{"step", m_step}});
}

void engine_role::note_peer(std::uint32_t rank, std::uint64_t step, const std::string& digest) {
  if (const auto known = m_ready.find(rank); known != m_ready.end() && known->second.first > step) {
    // The rank was started again and knows none of the announcements that it confirmed before.
    for (auto& target : m_peers) {
      target.confirmed_step = 0;
    }
    announce();
  }
  m_ready[rank] = {step, digest};
  // A rank runs a step only after the announcement of all others. An announcement beyond that comes from a
  // group that went on before this rank was started again: it joins them at their step.
  if (step > m_announced_step + 1) {
    m_step = step - 1;
    m_announced_step = m_step;
    m_rejoining = true;
    m_pacing_over = false;
    schedule_step(clock::now());
  } else if (!m_pacing_over && step == m_step + 1) {
    schedule_step(m_step_ended + m_step_time);  // Cuts the longer wait of an idle rank short.
  }
  try_step();
}

}  // namespace cuminpath::emulator
