// The part of expert_service that runs on rank 0: executes the actions of the coordinator and plans switches.
#include <utility>

#include "core/agent/expert_service.h"
#include "core/telemetry/log.h"

namespace cuminpath::agent {
namespace {

constexpr milliseconds k_map_fetch_interval{1000};
// A map that does not match the group is unlikely to match at the next attempt, so the retry comes later.
constexpr milliseconds k_mismatch_retry_interval{5000};

}  // namespace

// --- Actions of the coordinator ---

void expert_service::execute(std::vector<group_switch::coordinator_action>& actions) {
  for (const auto& item : actions) {
    std::visit([this](const auto& value) { execute_one(value); }, item);
  }
}

void expert_service::execute_one(const group_switch::acquire_token&) {
  m_record->acquire([this](fencing_token token) {
    m_hooks.record("group_token_taken", m_group + ": " + std::to_string(to_integer(token)));
    m_coordinator_state->coordinator.on_token(clock::now(), token);
  });
}

void expert_service::execute_one(const group_switch::send_to_rank& value) {
  if (value.rank == m_rank) {
    deliver(clock::now(), m_local_address, value.message);
  } else if (const auto found = m_rank_addresses.find(value.rank); found != m_rank_addresses.end()) {
    m_hooks.send(found->second, value.message);
  }
}

void expert_service::execute_one(const group_switch::record_map& value) {
  m_record->record_digest(value.token, value.digest);
}

void expert_service::execute_one(const group_switch::switch_finished& value) {
  m_hooks.record(value.committed ? "group_switch_committed" : "group_switch_aborted",
                 m_group + ": switch " + std::to_string(value.switch_id) +
                     (value.reason.empty() ? "" : ": " + value.reason));
  telemetry::log(telemetry::log_level::info, "agent", "expert map switch finished",
                 {{"group", m_group},
                  {"switch", static_cast<std::int64_t>(value.switch_id)},
                  {"committed", value.committed},
                  {"reason", value.reason}});
}

// --- Planning ---

void expert_service::tick_coordinator(time_point now) {
  auto& state = *m_coordinator_state;
  std::vector<group_switch::coordinator_action> actions;
  state.coordinator.tick(now, actions);
  execute(actions);
  if (state.coordinator.idle()) {
    state.last_idle = now;
    fetch_current_map(now);
  }
  state.planning.tick(now);
  const auto interval = m_settings.agent.expert_interval;
  if (interval.count() == 0) {
    return;
  }
  if (state.next_plan == time_point{}) {
    state.next_plan = now + interval;
  }
  if (now >= state.next_plan) {
    state.next_plan = now + interval;
    plan_switch(now);
  }
}

// Fetches the map in use from the object store unless the planner has it already.
void expert_service::fetch_current_map(time_point now) {
  auto& state = *m_coordinator_state;
  const auto& digest = state.coordinator.map_digest();
  if (digest.empty() || state.planning.map(digest) != nullptr || state.fetching_map ||
      now < state.next_map_fetch) {
    return;
  }
  if (digest == "initial") {
    set_map(digest, initial_map(m_shape));
    return;
  }
  state.fetching_map = true;
  m_objects.fetch(digest, [this, digest](const result<std::string>& content) {
    m_coordinator_state->fetching_map = false;
    m_coordinator_state->next_map_fetch = clock::now() + k_map_fetch_interval;
    const auto document = content ? parse_json(content.value()) : result<json>(content.error());
    auto map =
        document ? placement::from_json(document.value()) : result<placement::expert_map>(document.error());
    if (map) {
      set_map(digest, std::move(map.value()));
    } else {
      telemetry::log(telemetry::log_level::warning, "agent", "cannot fetch the expert map in use",
                     {{"digest", digest}, {"reason", map.error().message}});
    }
  });
}

void expert_service::set_map(std::string digest, placement::expert_map map) {
  const auto set = m_coordinator_state->planning.set_map(digest, std::move(map));
  if (!set) {
    telemetry::log(telemetry::log_level::warning, "agent", "the expert map in use does not match the group",
                   {{"digest", digest}, {"reason", set.error().message}});
    m_coordinator_state->next_map_fetch = clock::now() + k_mismatch_retry_interval;
  }
}

std::string expert_service::switch_block_reason() const {
  if (!m_coordinator_state->coordinator.idle() || m_coordinator_state->storing_map) {
    return "the coordinator is " + std::string(m_coordinator_state->storing_map
                                                   ? "storing a new map"
                                                   : m_coordinator_state->coordinator.state_name());
  }
  if (m_coordinator_state->planning.map(m_coordinator_state->coordinator.map_digest()) == nullptr) {
    return "the map in use is not known yet";
  }
  return {};
}

void expert_service::plan_switch(time_point now) {
  if (m_token_check_required || !switch_block_reason().empty()) {
    return;
  }
  const auto plan = m_coordinator_state->planning.make_plan(now);
  if (plan && plan.value().worthwhile) {
    start_switch(plan.value());
  }
}

// Stores the map in the object store, then starts the switch. A coordinator that starts later fetches the map
// from there to plan from it.
void expert_service::start_switch(const placement::plan& plan) {
  auto text = placement::to_json(plan.map).dump();
  auto digest = placement::digest(plan.map);
  m_hooks.record("switch_planned", m_group + ": map " + digest + ", " + std::to_string(plan.copies) +
                                       " copies, gain " + std::to_string(plan.gain_s) + " s");
  m_coordinator_state->storing_map = true;
  m_objects.put(text, [this, text, digest, map = plan.map](const result<void>& stored) {
    m_coordinator_state->storing_map = false;
    if (!stored) {
      m_hooks.record("group_switch_aborted", m_group + ": the map could not be stored");
      return;
    }
    // The planner keeps the current map. Once the switch has committed, fetch_current_map() fetches the new
    // one.
    if (!m_coordinator_state->coordinator.start_switch(clock::now(), digest, text)) {
      m_hooks.record("group_switch_aborted", m_group + ": the coordinator is not idle any more");
    }
  });
}

}  // namespace cuminpath::agent
