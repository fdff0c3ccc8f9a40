#include "emulator/expert_maps.h"

#include <algorithm>
#include <cmath>

namespace cuminpath::emulator {
namespace {

// Ratio of the popularity of each expert to that of the next more popular one. Gives a skewed load, for which
// hot experts need to be replicated.
constexpr double k_popularity_ratio = 0.75;
// Indexed by expert_maps::phase.
constexpr const char* k_phase_names[] = {"idle", "preparing", "prepared", "armed", "committed", "aborted"};

json initial_map(const expert_options& options) {
  auto layers = json::array();
  for (std::uint32_t layer = 0; layer < options.layers; ++layer) {
    auto ranks = json::array();
    for (std::uint32_t rank = 0; rank < options.ranks; ++rank) {
      auto experts = json::array();
      for (auto expert = rank; expert < options.experts; expert += options.ranks) {
        experts.push_back(expert);
      }
      ranks.push_back(std::move(experts));
    }
    layers.push_back(std::move(ranks));
  }
  return {{"layers", std::move(layers)}};
}

// Returns the experts of a rank in a layer, or null if the map has no such layer or rank.
const json* find_experts(const json& map, std::uint32_t layer, std::uint32_t rank) {
  if (!map.is_object() || !map.contains("layers")) {
    return nullptr;
  }
  const auto& layers = map["layers"];
  if (!layers.is_array() || layer >= layers.size() || !layers[layer].is_array() ||
      rank >= layers[layer].size() || !layers[layer][rank].is_array()) {
    return nullptr;
  }
  return &layers[layer][rank];
}

}  // namespace

expert_maps::expert_maps(const expert_options& options)
    : m_options(options),
      m_map(initial_map(options)),
      m_digest("initial"),
      m_expert_tokens(options.layers, std::vector<double>(options.experts)),
      m_history({{0, m_digest}}) {}

bool expert_maps::accept_fencing_token(std::uint64_t token) {
  if (token < m_fencing_token && !m_options.ignore_fencing) {
    return false;
  }
  m_fencing_token = std::max(m_fencing_token, token);
  return true;
}

expert_maps::order_result expert_maps::prepare(const std::string& switch_name, std::string digest, json map) {
  const bool same = m_pending.name == switch_name && m_pending.state != phase::idle;
  if (same || switch_name == m_last_applied) {
    return order_result::accepted;
  }
  const bool aborted = m_last_ended.state == phase::aborted && m_last_ended.name == switch_name;
  if (aborted || m_pending.state == phase::armed || m_pending.state == phase::committed) {
    return order_result::wrong_switch;
  }
  m_pending = {switch_name, std::move(digest), std::move(map), 0, phase::preparing};
  return order_result::accepted;
}

std::vector<expert_maps::expert_position> expert_maps::missing_experts() const {
  std::vector<expert_position> positions;
  if (m_pending.state != phase::preparing) {
    return positions;
  }
  for (std::uint32_t layer = 0; layer < m_options.layers; ++layer) {
    for (std::uint32_t expert = 0; expert < m_options.experts; ++expert) {
      if (has_expert(m_pending.map, layer, expert) && !has_expert(m_map, layer, expert)) {
        positions.emplace_back(layer, expert);
      }
    }
  }
  return positions;
}

expert_maps::order_result expert_maps::set_prepared(const std::string& switch_name) {
  if (m_pending.name == switch_name && m_pending.state == phase::preparing) {
    m_pending.state = phase::prepared;
  }
  const bool known = m_pending.name == switch_name && m_pending.state != phase::idle;
  return known || switch_name == m_last_applied ? order_result::accepted : order_result::wrong_switch;
}

expert_maps::order_result expert_maps::arm(const std::string& switch_name, std::uint64_t step,
                                           std::uint64_t current_step) {
  if (m_pending.name != switch_name ||
      (m_pending.state != phase::prepared && m_pending.state != phase::armed)) {
    return order_result::wrong_switch;
  }
  if (m_pending.state == phase::armed && m_pending.step == step) {
    return order_result::accepted;
  }
  if (step <= current_step) {
    return order_result::step_passed;
  }
  m_pending.step = step;
  m_pending.state = phase::armed;
  return order_result::accepted;
}

expert_maps::order_result expert_maps::commit(const std::string& switch_name, std::uint64_t current_step,
                                              bool joined) {
  if (switch_name == m_last_applied) {
    return order_result::accepted;
  }
  const bool may_commit = m_pending.state == phase::armed || m_pending.state == phase::committed ||
                          (!joined && m_pending.state == phase::prepared);
  if (m_pending.name != switch_name || !may_commit) {
    return order_result::wrong_switch;
  }
  m_pending.state = phase::committed;
  if (!joined) {
    apply_pending(current_step + 1);
  }
  return order_result::accepted;
}

expert_maps::order_result expert_maps::abort(const std::string& switch_name) {
  if (switch_name == m_last_applied ||
      (m_pending.name == switch_name && m_pending.state == phase::committed)) {
    return order_result::wrong_switch;
  }
  if (m_pending.name == switch_name) {
    m_last_ended = std::move(m_pending);
    m_last_ended.state = phase::aborted;
    m_last_ended.map = json();
    m_pending = {};
  }
  return order_result::accepted;
}

bool expert_maps::blocks_step(std::uint64_t step) const {
  return m_pending.state == phase::armed && step >= m_pending.step;
}

const std::string& expert_maps::digest_for_step(std::uint64_t step) const {
  return m_pending.state == phase::committed && step >= m_pending.step ? m_pending.digest : m_digest;
}

void expert_maps::run_step(std::uint64_t step, std::uint64_t tokens) {
  if (m_pending.state == phase::committed && step >= m_pending.step) {
    apply_pending(step);
  }
  if (tokens == 0) {
    return;
  }
  for (std::uint32_t layer = 0; layer < m_options.layers; ++layer) {
    const auto shares = popularity(layer, step);
    for (std::uint32_t expert = 0; expert < m_options.experts; ++expert) {
      m_expert_tokens[layer][expert] += shares[expert] * static_cast<double>(tokens);
    }
  }
}

double expert_maps::relative_load(std::uint64_t step) const {
  if (m_options.ranks < 2) {
    return 1.0;
  }
  double load = 0;
  for (std::uint32_t layer = 0; layer < m_options.layers; ++layer) {
    const auto shares = popularity(layer, step);
    std::vector<std::uint32_t> replicas(m_options.experts);
    for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
      const auto* experts = find_experts(m_map, layer, rank);
      for (const auto& expert : experts == nullptr ? json::array() : *experts) {
        if (expert.is_number_unsigned() && expert.get<std::uint32_t>() < m_options.experts) {
          ++replicas[expert.get<std::uint32_t>()];
        }
      }
    }
    for (std::uint32_t expert = 0; expert < m_options.experts; ++expert) {
      if (replicas[expert] > 0 && has_expert(m_map, layer, expert)) {
        load += shares[expert] / replicas[expert];
      }
    }
  }
  return load * m_options.ranks / m_options.layers;
}

json expert_maps::load_counts() const {
  auto layers = json::array();
  for (const auto& layer : m_expert_tokens) {
    auto counts = json::array();
    for (const auto tokens : layer) {
      counts.push_back(static_cast<std::uint64_t>(tokens));
    }
    layers.push_back(std::move(counts));
  }
  return layers;
}

json expert_maps::map_state(std::uint64_t next_step) const {
  const auto& reported = m_pending.state == phase::idle ? m_last_ended : m_pending;
  const auto name = parse_json(reported.name);
  return {{"fencing", m_options.ignore_fencing ? 0 : m_fencing_token},
          {"switch", name ? name.value() : json(0)},
          {"phase", k_phase_names[static_cast<std::size_t>(reported.state)]},
          {"switch_step", reported.step},
          {"step", next_step},
          {"digest", m_digest},
          {"new_digest", reported.digest}};
}

json expert_maps::state() const {
  return {{"switch", m_pending.name},     {"phase", k_phase_names[static_cast<std::size_t>(m_pending.state)]},
          {"armed_step", m_pending.step}, {"last_switch", m_last_applied},
          {"digest", m_digest},           {"fencing", m_fencing_token}};
}

json expert_maps::history() const {
  auto list = json::array();
  for (const auto& [step, digest] : m_history) {
    list.push_back({{"step", step}, {"digest", digest}});
  }
  return list;
}

bool expert_maps::has_expert(const json& map, std::uint32_t layer, std::uint32_t expert) const {
  const auto* experts = find_experts(map, layer, m_options.rank);
  return experts != nullptr && std::find(experts->begin(), experts->end(), json(expert)) != experts->end();
}

std::vector<double> expert_maps::popularity(std::uint32_t layer, std::uint64_t step) const {
  std::vector<double> shares(m_options.experts);
  const auto shift = step / std::max<std::uint32_t>(m_options.drift_steps, 1) + layer;
  double total = 0;
  for (std::uint32_t expert = 0; expert < m_options.experts; ++expert) {
    const auto distance = (expert + m_options.experts - shift % m_options.experts) % m_options.experts;
    shares[expert] = std::pow(k_popularity_ratio, static_cast<double>(distance));
    total += shares[expert];
  }
  for (auto& share : shares) {
    share /= total;
  }
  return shares;
}

void expert_maps::apply_pending(std::uint64_t step) {
  m_last_ended = {m_pending.name, m_pending.digest, json(), step, phase::committed};
  m_map = std::move(m_pending.map);
  m_digest = std::move(m_pending.digest);
  m_last_applied = std::move(m_pending.name);
  m_history.emplace_back(step, m_digest);
  m_pending = {};
}

}  // namespace cuminpath::emulator
