#include "emulator/batch.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/common/assert.h"
#include "core/common/hash.h"

namespace cuminpath::emulator {

std::string token_text(std::string_view prompt, std::uint32_t index) {
  constexpr std::array<std::string_view, 24> k_words = {
      "gourd",   "filter", "bridge",    "water", "string", "member",   "route",  "cartridge",
      "tuning",  "sound",  "village",   "dry",   "bright", "replaced", "order",  "month",
      "varnish", "litre",  "resonance", "tap",   "neck",   "visit",    "repair", "pitch"};
  const auto number = hash64(prompt, index);
  return (index == 0 ? "" : " ") + std::string(k_words[number % k_words.size()]);
}

std::string text_before(std::string_view prompt, std::uint32_t end) {
  std::string text;
  for (std::uint32_t index = 0; index < end; ++index) {
    text += token_text(prompt, index);
  }
  return text;
}

stream_id batch::add(time_point now, stream_parameters parameters) {
  CUMINPATH_ASSERT(parameters.first_index < parameters.end_index);
  const auto id = ++m_last_id;
  m_waiting.emplace(queue_key{parameters.priority, id}, std::move(parameters));
  fill_slots(now);
  return id;
}

void batch::remove(time_point now, stream_id id) {
  m_running.erase(id);
  std::erase_if(m_waiting, [id](const auto& item) { return item.first.second == id; });
  fill_slots(now);
}

void batch::step(time_point now, std::vector<emitted_token>& tokens) {
  for (auto position = m_running.begin(); position != m_running.end();) {
    auto& [id, stream] = *position;
    if (stream.ready_at > now) {
      ++position;
      continue;
    }
    const auto index = stream.next_index++;
    const bool last = stream.next_index == stream.parameters.end_index;
    tokens.push_back({id, index, token_text(stream.parameters.prompt, index), last});
    position = last ? m_running.erase(position) : std::next(position);
  }
  fill_slots(now);
}

std::vector<stream_id> batch::take_started() {
  return std::exchange(m_started, {});
}

void batch::fill_slots(time_point now) {
  while (m_running.size() < m_slots && !m_waiting.empty()) {
    auto first = m_waiting.extract(m_waiting.begin());
    const auto id = first.key().second;
    auto& parameters = first.mapped();
    const auto ready_at = now + parameters.prefill;
    const auto next_index = parameters.first_index;
    m_running.emplace(id, running_stream{std::move(parameters), next_index, ready_at});
    m_started.push_back(id);
  }
}

}  // namespace cuminpath::emulator
