// The coordinator's part of the expert service, on rank 0.
#include <utility>

#include "core/agent/expert_service.h"
#include "core/telemetry/log.h"

namespace cuminpath::agent {
namespace {

constexpr milliseconds k_fetch_again{1000};
// A map that does not fit the group will hardly do so at the next try.
constexpr milliseconds k_misfit_again{5000};

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
    m_lead->coordinator.on_token(clock::now(), token);
  });
}

void expert_service::execute_one(const group_switch::send_to_rank& value) {
  if (value.rank == m_rank) {
    deliver(clock::now(), m_own_address, value.message);
  } else if (const auto found = m_addresses.find(value.rank); found != m_addresses.end()) {
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
  auto& lead = *m_lead;
  std::vector<group_switch::coordinator_action> actions;
  lead.coordinator.tick(now, actions);
  execute(actions);
  if (lead.coordinator.idle()) {
    lead.last_idle = now;
    learn_map(now);
  }
  lead.planning.tick(now);
  const auto interval = m_settings.agent.expert_interval;
  if (interval.count() == 0) {
    return;
  }
  if (lead.next_plan == time_point{}) {
    lead.next_plan = now + interval;
  }
  if (now >= lead.next_plan) {
    lead.next_plan = now + interval;
    plan_switch(now);
  }
}

// Gets the map in use from the object store if this process has not planned it itself.
void expert_service::learn_map(time_point now) {
  auto& lead = *m_lead;
  const auto& digest = lead.coordinator.map_digest();
  if (digest.empty() || lead.planning.map(digest) != nullptr || lead.fetching || now < lead.next_fetch) {
    return;
  }
  if (digest == "initial") {
    set_map(digest, initial_map(m_shape));
    return;
  }
  lead.fetching = true;
  m_objects.fetch(digest, [this, digest](const result<std::string>& content) {
    m_lead->fetching = false;
    m_lead->next_fetch = clock::now() + k_fetch_again;
    const auto document = content ? parse_json(content.value()) : result<json>(content.error());
    auto map =
        document ? placement::from_json(document.value()) : result<placement::expert_map>(document.error());
    if (map) {
      set_map(digest, std::move(map.value()));
    } else {
      telemetry::log(telemetry::log_level::warning, "agent", "cannot get the expert map in use",
                     {{"digest", digest}, {"reason", map.error().message}});
    }
  });
}

void expert_service::set_map(std::string digest, placement::expert_map map) {
  const auto set = m_lead->planning.set_map(digest, std::move(map));
  if (!set) {
    telemetry::log(telemetry::log_level::warning, "agent", "the expert map in use does not fit the group",
                   {{"digest", digest}, {"reason", set.error().message}});
    m_lead->next_fetch = clock::now() + k_misfit_again;
  }
}

std::string expert_service::obstacle() const {
  if (!m_lead->coordinator.idle() || m_lead->storing) {
    return "the coordinator is " +
           std::string(m_lead->storing ? "storing a new map" : m_lead->coordinator.state_name());
  }
  if (m_lead->planning.map(m_lead->coordinator.map_digest()) == nullptr) {
    return "the map in use is not known yet";
  }
  return {};
}

void expert_service::plan_switch(time_point now) {
  if (m_suspended || !obstacle().empty()) {
    return;
  }
  const auto value = m_lead->planning.make(now);
  if (value && value.value().worthwhile) {
    start_switch(value.value());
  }
}

// The map goes to the object store first: a coordinator that starts later plans from it.
void expert_service::start_switch(const placement::plan& value) {
  auto text = placement::to_json(value.map).dump();
  auto digest = placement::digest(value.map);
  m_hooks.record("switch_planned", m_group + ": map " + digest + ", " + std::to_string(value.copies) +
                                       " copies, gain " + std::to_string(value.gain_s) + " s");
  m_lead->storing = true;
  m_objects.put(text, [this, text, digest, map = value.map](const result<void>& stored) {
    m_lead->storing = false;
    if (!stored) {
      m_hooks.record("group_switch_aborted", m_group + ": the map could not be stored");
      return;
    }
    // If the switch is aborted, the old map is fetched again.
    if (!m_lead->coordinator.start_switch(clock::now(), digest, text)) {
      m_hooks.record("group_switch_aborted", m_group + ": the coordinator is not idle any more");
    }
  });
}

}  // namespace cuminpath::agent
