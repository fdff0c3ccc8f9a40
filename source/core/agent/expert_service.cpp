#include "core/agent/expert_service.h"

#include <algorithm>
#include <utility>

#include "core/telemetry/log.h"

namespace cuminpath::agent {
namespace {

// An engine keeps its state while it does not respond, so more frequent queries would gain nothing.
constexpr milliseconds k_query_retry_interval{300};
constexpr milliseconds k_token_retry_interval{500};
constexpr milliseconds k_expert_load_interval{2000};
constexpr milliseconds k_host_list_retry_interval{2000};
// A switch that takes longer than this may be sending its messages to the address of an agent that has been
// replaced, so the addresses are looked up again.
constexpr milliseconds k_slow_switch_threshold{5000};
// Ticks come every 10 ms. With a lower threshold a busy host would be mistaken for a suspended one.
constexpr milliseconds k_suspension_threshold{1500};
constexpr milliseconds k_min_sample_interval{2000};
constexpr milliseconds k_max_sample_interval{15000};

std::string describe_switch(std::uint64_t switch_id, std::string_view detail = {}) {
  auto text = "switch " + std::to_string(switch_id);
  return detail.empty() ? text : text + ": " + std::string(detail);
}

template <class message_type>
constexpr bool k_is_from_coordinator =
    std::is_same_v<message_type, wire::switch_prepare> || std::is_same_v<message_type, wire::switch_arm> ||
    std::is_same_v<message_type, wire::switch_commit> || std::is_same_v<message_type, wire::switch_abort> ||
    std::is_same_v<message_type, wire::switch_query>;

template <class message_type>
constexpr bool k_is_from_rank =
    std::is_same_v<message_type, wire::switch_prepared> || std::is_same_v<message_type, wire::switch_armed> ||
    std::is_same_v<message_type, wire::switch_state> || std::is_same_v<message_type, wire::expert_load>;

}  // namespace

expert_service::expert_service(http::client& client, const config::daemon_settings& settings,
                               std::string local_address, std::string writer, expert_service_hooks hooks)
    : m_client(client),
      m_settings(settings),
      m_local_address(std::move(local_address)),
      m_writer(std::move(writer)),
      m_hooks(std::move(hooks)),
      m_table(client, settings.platform.table),
      m_objects(client, settings.platform.objects),
      m_hosts(client, settings.platform.hosts) {}

// --- Configuration ---

void expert_service::on_configuration(std::shared_ptr<const config::manifest> manifest,
                                      const config::upstream* local_upstream) {
  m_manifest = std::move(manifest);
  const std::string group = local_upstream == nullptr ? std::string() : local_upstream->group;
  if (!m_participant) {
    if (!group.empty()) {
      join(*local_upstream);
    }
  } else if (group != m_group || local_upstream->rank != m_rank) {
    telemetry::log(telemetry::log_level::warning, "agent",
                   "the new group or rank takes effect after a restart of the agent", {{"group", m_group}});
  }
}

void expert_service::join(const config::upstream& local_upstream) {
  const auto group = std::find_if(
      m_manifest->groups.begin(), m_manifest->groups.end(),
      [&local_upstream](const config::group& item) { return item.name == local_upstream.group; });
  if (group == m_manifest->groups.end()) {
    return;
  }
  const auto model = std::find_if(m_manifest->models.begin(), m_manifest->models.end(),
                                  [&group](const config::model& item) { return item.name == group->model; });
  if (model == m_manifest->models.end()) {
    return;
  }
  const auto& settings = m_settings.agent;
  m_group = local_upstream.group;
  m_rank = local_upstream.rank;
  m_engine_checks_fencing = local_upstream.checks_fencing;
  m_shape = {
      .ranks = group->ranks,
      .layers = model->layers,
      .experts = model->experts,
      .slots_per_rank = (model->experts + group->ranks - 1) / group->ranks + settings.expert_spare_slots};
  m_engine.emplace(m_client, settings.upstream_url);
  m_record.emplace(m_table, m_group, m_writer);
  m_participant.emplace(m_group, m_rank);
  if (m_rank == 0) {
    const auto sample =
        std::clamp(settings.expert_interval / 4, k_min_sample_interval, k_max_sample_interval);
    m_coordinator_state = std::unique_ptr<coordinator_state>(new coordinator_state{
        .coordinator = group_switch::coordinator({.group = m_group, .ranks = m_shape.ranks}),
        .planning = expert_planning(
            {.shape = m_shape,
             .expert_bytes = model->expert_bytes,
             .weight_store_bytes_per_s = static_cast<double>(settings.weight_store_bytes_per_s),
             .sample_interval = sample})});
  }
  std::vector<group_switch::participant_action> actions;
  m_participant->start(actions);
  execute(actions);
}

// --- Messages ---

bool expert_service::is_for_group(const wire::message& message) const {
  return std::visit(
      [this]<class type>(const type& value) {
        if constexpr (k_is_from_coordinator<type> || k_is_from_rank<type>) {
          return value.group == m_group;
        } else {
          return false;
        }
      },
      message);
}

// Updates the address of the sender's rank. Messages show the current addresses; the host list lags behind.
void expert_service::update_rank_address(std::string_view peer, const wire::message& message) {
  std::visit(
      [this, peer]<class type>(const type& value) {
        if constexpr (k_is_from_rank<type>) {
          if (value.rank < m_shape.ranks) {
            m_rank_addresses[value.rank] = peer;
          }
        } else if constexpr (k_is_from_coordinator<type>) {
          if (value.token >= m_participant->token()) {
            m_rank_addresses[0] = peer;
          }
        }
      },
      message);
}

void expert_service::on_message(time_point now, std::string_view peer, const wire::message& message) {
  if (!m_participant || !is_for_group(message)) {
    return;
  }
  detect_suspension(now);
  if (m_token_check_required) {
    return;  // The coordinator sends its messages again.
  }
  update_rank_address(peer, message);
  deliver(now, peer, message);
}

void expert_service::deliver(time_point now, std::string_view peer, const wire::message& message) {
  const bool from_rank = std::visit([]<class type>(const type&) { return k_is_from_rank<type>; }, message);
  if (!from_rank) {
    std::vector<group_switch::participant_action> actions;
    m_participant->on_message(peer, message, actions);
    execute(actions);
    return;
  }
  if (!m_coordinator_state) {
    return;
  }
  if (const auto* load = std::get_if<wire::expert_load>(&message)) {
    if (!m_coordinator_state->planning.add(*load)) {
      telemetry::log(telemetry::log_level::warning, "agent",
                     "ignored an expert load whose rank or shape does not match the group",
                     {{"rank", static_cast<std::int64_t>(load->rank)}});
    }
    return;
  }
  std::vector<group_switch::coordinator_action> actions;
  m_coordinator_state->coordinator.on_message(now, message, actions);
  execute(actions);
}

// --- Actions of the participant ---

void expert_service::execute(std::vector<group_switch::participant_action>& actions) {
  for (const auto& item : actions) {
    std::visit([this](const auto& value) { execute_one(value); }, item);
  }
}

// Returns the map of a prepare_map order in the engine's format, null for other orders. Absent if the plan is
// malformed or does not match its digest or the group.
std::optional<json> expert_service::engine_map_for(const group_switch::engine_order& order) const {
  if (order.command != group_switch::engine_command::prepare_map) {
    return json();
  }
  const auto document = parse_json(order.plan);
  if (!document) {
    return std::nullopt;
  }
  const auto map = placement::from_json(document.value());
  if (!map || placement::digest(map.value()) != order.digest || !placement::check(map.value(), m_shape)) {
    return std::nullopt;
  }
  return to_engine_map(map.value(), m_shape.ranks);
}

void expert_service::execute_one(const group_switch::engine_order& order) {
  auto map = engine_map_for(order);
  if (!map) {
    telemetry::log(telemetry::log_level::error, "agent",
                   "refused a planned expert map: malformed, or does not match its digest or the group",
                   {{"digest", order.digest}});
    finish_order(order, engine_client::order_outcome::refused, m_engine_step);
    return;
  }
  m_engine->send(order, std::move(*map),
                 [this, order](engine_client::order_outcome outcome, std::uint64_t step) {
                   finish_order(order, outcome, step);
                 });
}

void expert_service::finish_order(const group_switch::engine_order& order,
                                  engine_client::order_outcome outcome, std::uint64_t step) {
  std::vector<group_switch::participant_action> actions;
  if (outcome == engine_client::order_outcome::unknown) {
    m_participant->on_engine_unreachable(actions);
    execute(actions);
    return;
  }
  m_engine_step = step;
  const bool accepted = outcome == engine_client::order_outcome::accepted;
  if (accepted) {
    static constexpr const char* k_event_kinds[] = {"switch_prepared", "switch_armed", "switch_committed",
                                                    "switch_aborted"};
    const auto detail = order.command == group_switch::engine_command::arm_map
                            ? "step " + std::to_string(order.step)
                            : std::string();
    m_hooks.record(k_event_kinds[static_cast<std::size_t>(order.command)],
                   "rank " + std::to_string(m_rank) + ", " + describe_switch(order.switch_id, detail));
  } else {
    m_hooks.record("switch_order_refused",
                   "rank " + std::to_string(m_rank) + ", " + describe_switch(order.switch_id));
  }
  m_participant->on_engine_result(accepted, step, actions);
  execute(actions);
}

void expert_service::execute_one(const group_switch::query_engine&) {
  m_query_needed = true;
  if (m_query_pending) {
    return;
  }
  m_query_pending = true;
  m_engine->read_state([this](const std::optional<group_switch::engine_state>& state) {
    m_query_pending = false;
    if (!state) {
      m_next_query = clock::now() + k_query_retry_interval;
      return;
    }
    m_query_needed = false;
    m_engine_step = state->step;
    std::vector<group_switch::participant_action> actions;
    m_participant->on_engine_state(*state, actions);
    execute(actions);
  });
}

void expert_service::execute_one(const group_switch::query_token&) {
  m_token_needed = true;
  if (m_token_read_pending) {
    return;
  }
  m_token_read_pending = true;
  m_record->read_token([this](std::optional<fencing_token> token) {
    m_token_read_pending = false;
    if (!token) {
      m_next_token_read = clock::now() + k_token_retry_interval;
      return;
    }
    m_token_needed = false;
    std::vector<group_switch::participant_action> actions;
    m_participant->on_group_token(*token, actions);
    execute(actions);
  });
}

void expert_service::execute_one(const group_switch::reply& value) {
  if (value.peer_address == m_local_address) {
    deliver(clock::now(), m_local_address, value.message);
  } else {
    m_hooks.send(value.peer_address, value.message);
  }
}

// --- Time ---

// A suspended agent may have been replaced. If its engine does not check fencing tokens, the agent sends no
// orders until it has read the group's current token.
void expert_service::detect_suspension(time_point now) {
  const bool paused = m_last_tick && now - *m_last_tick > k_suspension_threshold;
  m_last_tick = now;
  if (paused && !m_engine_checks_fencing && m_participant) {
    telemetry::log(telemetry::log_level::warning, "agent",
                   "the process was suspended; verifying the group's fencing token", {{"group", m_group}});
    m_token_check_required = true;
    m_next_token_check = now;
  }
}

void expert_service::verify_token() {
  if (m_token_check_pending) {
    return;
  }
  m_token_check_pending = true;
  m_record->read_token([this](std::optional<fencing_token> token) {
    m_token_check_pending = false;
    m_next_token_check = clock::now() + k_token_retry_interval;
    if (!token) {
      return;
    }
    std::vector<group_switch::participant_action> actions;
    m_participant->on_group_token(*token, actions);
    m_token_check_required = false;
    execute(actions);
  });
}

void expert_service::tick(time_point now) {
  if (!m_participant) {
    return;
  }
  detect_suspension(now);
  if (m_token_check_required) {
    if (now >= m_next_token_check) {
      verify_token();
    }
    return;
  }
  if (m_query_needed && !m_query_pending && now >= m_next_query) {
    execute_one(group_switch::query_engine{});
  }
  if (m_token_needed && !m_token_read_pending && now >= m_next_token_read) {
    execute_one(group_switch::query_token{});
  }
  m_record->tick(now);
  read_load(now);
  find_rank_addresses(now);
  if (m_coordinator_state) {
    tick_coordinator(now);
  }
}

void expert_service::read_load(time_point now) {
  if (m_load_read_pending || now < m_next_load_read) {
    return;
  }
  m_load_read_pending = true;
  m_next_load_read = now + k_expert_load_interval;
  m_engine->read_load([this](const std::optional<engine_load>& load) {
    m_load_read_pending = false;
    if (load) {
      report_load(*load);
    }
  });
}

void expert_service::report_load(const engine_load& load) {
  // The counts start at zero after a restart of the engine. They are reported again from the second reading
  // on.
  const bool usable =
      m_last_load && m_last_load->step <= load.step && m_last_load->layers.size() == load.layers.size();
  wire::expert_load report{
      .group = m_group, .rank = m_rank, .step = load.step, .step_ms = load.step_ms, .layers = {}};
  for (std::size_t layer = 0; usable && layer < load.layers.size(); ++layer) {
    const auto& current = load.layers[layer];
    const auto& previous = m_last_load->layers[layer];
    auto& counts = report.layers.emplace_back();
    for (std::size_t expert = 0; expert < current.size(); ++expert) {
      const auto base =
          expert < previous.size() ? std::min(previous[expert], current[expert]) : current[expert];
      counts.push_back(static_cast<std::uint32_t>(current[expert] - base));
    }
  }
  m_last_load = load;
  if (!usable) {
    return;
  }
  if (m_rank == 0) {
    deliver(clock::now(), m_local_address, report);
  } else if (const auto found = m_rank_addresses.find(0); found != m_rank_addresses.end()) {
    m_hooks.send(found->second, std::move(report));
  }
}

// Looks up the agents of the ranks in the host list: on rank 0 those of all ranks, elsewhere that of rank 0.
// Afterwards messages show their addresses, so the list, which is long in a large fleet, is not polled.
void expert_service::find_rank_addresses(time_point now) {
  const bool address_missing =
      m_coordinator_state ? m_rank_addresses.size() + 1 < m_shape.ranks : !m_rank_addresses.contains(0);
  const bool slow = m_coordinator_state && now - m_coordinator_state->last_idle > k_slow_switch_threshold;
  if (m_host_fetch_pending || now < m_next_host_fetch || !(address_missing || slow) ||
      m_settings.platform.hosts.empty()) {
    return;
  }
  m_host_fetch_pending = true;
  m_hosts.fetch([this, address_missing](const result<storage::host_list>& hosts) {
    m_host_fetch_pending = false;
    m_next_host_fetch =
        clock::now() + (address_missing ? k_host_list_retry_interval : k_slow_switch_threshold);
    if (!hosts) {
      return;
    }
    for (const auto& upstream : m_manifest->upstreams) {
      if (upstream.group != m_group || upstream.rank == m_rank ||
          (!m_coordinator_state && upstream.rank != 0)) {
        continue;
      }
      for (const auto& host : hosts.value().hosts) {
        if (host.name == upstream.host && host.role == storage::host_role::agent) {
          m_rank_addresses[upstream.rank] = host.peer_address;
        }
      }
    }
  });
}

}  // namespace cuminpath::agent
