#include "core/agent/expert_service.h"

#include <algorithm>
#include <utility>

#include "core/telemetry/log.h"

namespace cuminpath::agent {
namespace {

// The engine keeps its state while it does not respond, so asking more often brings nothing.
constexpr milliseconds k_query_again{300};
constexpr milliseconds k_token_again{500};
constexpr milliseconds k_load_interval{2000};
constexpr milliseconds k_hosts_again{2000};
// The messages to a rank may go to the address of an agent that has been replaced if a switch takes this
// long.
constexpr milliseconds k_slow_switch{5000};
// Ticks come every 10 ms. A shorter bound would take a busy host for a paused one.
constexpr milliseconds k_pause{1500};
constexpr milliseconds k_min_sample{2000};
constexpr milliseconds k_max_sample{15000};

std::string describe(std::uint64_t switch_id, std::string_view more = {}) {
  auto text = "switch " + std::to_string(switch_id);
  return more.empty() ? text : text + ": " + std::string(more);
}

template <class message_type>
constexpr bool k_from_coordinator =
    std::is_same_v<message_type, wire::switch_prepare> || std::is_same_v<message_type, wire::switch_arm> ||
    std::is_same_v<message_type, wire::switch_go> || std::is_same_v<message_type, wire::switch_abort> ||
    std::is_same_v<message_type, wire::switch_query>;

template <class message_type>
constexpr bool k_from_rank =
    std::is_same_v<message_type, wire::switch_prepared> || std::is_same_v<message_type, wire::switch_armed> ||
    std::is_same_v<message_type, wire::switch_state> || std::is_same_v<message_type, wire::expert_load>;

}  // namespace

expert_service::expert_service(http::client& client, const config::daemon_settings& settings,
                               std::string own_address, std::string writer, expert_service_hooks hooks)
    : m_client(client),
      m_settings(settings),
      m_own_address(std::move(own_address)),
      m_writer(std::move(writer)),
      m_hooks(std::move(hooks)),
      m_table(client, settings.platform.table),
      m_objects(client, settings.platform.objects),
      m_hosts(client, settings.platform.hosts) {}

// --- Configuration ---

void expert_service::on_configuration(std::shared_ptr<const config::manifest> manifest,
                                      const config::upstream* own) {
  m_manifest = std::move(manifest);
  const std::string group = own == nullptr ? std::string() : own->group;
  if (!m_participant) {
    if (!group.empty()) {
      join(*own);
    }
  } else if (group != m_group || own->rank != m_rank) {
    telemetry::log(telemetry::log_level::warning, "agent",
                   "another group or rank takes effect when the agent starts again", {{"group", m_group}});
  }
}

void expert_service::join(const config::upstream& own) {
  const auto group = std::find_if(m_manifest->groups.begin(), m_manifest->groups.end(),
                                  [&own](const config::group& item) { return item.name == own.group; });
  if (group == m_manifest->groups.end()) {
    return;
  }
  const auto model = std::find_if(m_manifest->models.begin(), m_manifest->models.end(),
                                  [&group](const config::model& item) { return item.name == group->model; });
  if (model == m_manifest->models.end()) {
    return;
  }
  const auto& settings = m_settings.agent;
  m_group = own.group;
  m_rank = own.rank;
  m_checks_fencing = own.checks_fencing;
  m_shape = {
      .ranks = group->ranks,
      .layers = model->layers,
      .experts = model->experts,
      .slots_per_rank = (model->experts + group->ranks - 1) / group->ranks + settings.expert_spare_slots};
  m_engine.emplace(m_client, settings.upstream_url);
  m_record.emplace(m_table, m_group, m_writer);
  m_participant.emplace(m_group, m_rank);
  if (m_rank == 0) {
    const auto sample = std::clamp(settings.expert_interval / 4, k_min_sample, k_max_sample);
    m_lead = std::unique_ptr<coordinator_part>(new coordinator_part{
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

bool expert_service::concerns_group(const wire::message& message) const {
  return std::visit(
      [this]<class type>(const type& value) {
        if constexpr (k_from_coordinator<type> || k_from_rank<type>) {
          return value.group == m_group;
        } else {
          return false;
        }
      },
      message);
}

// Messages show where the agents of the ranks are now; the host list lags.
void expert_service::note_sender(std::string_view peer, const wire::message& message) {
  std::visit(
      [this, peer]<class type>(const type& value) {
        if constexpr (k_from_rank<type>) {
          if (value.rank < m_shape.ranks) {
            m_addresses[value.rank] = peer;
          }
        } else if constexpr (k_from_coordinator<type>) {
          if (value.token >= m_participant->token()) {
            m_addresses[0] = peer;
          }
        }
      },
      message);
}

void expert_service::on_message(time_point now, std::string_view peer, const wire::message& message) {
  if (!m_participant || !concerns_group(message)) {
    return;
  }
  check_pause(now);
  if (m_suspended) {
    return;  // The coordinator repeats its messages.
  }
  note_sender(peer, message);
  deliver(now, peer, message);
}

void expert_service::deliver(time_point now, std::string_view peer, const wire::message& message) {
  const bool from_rank = std::visit([]<class type>(const type&) { return k_from_rank<type>; }, message);
  if (!from_rank) {
    std::vector<group_switch::participant_action> actions;
    m_participant->on_message(peer, message, actions);
    execute(actions);
    return;
  }
  if (!m_lead) {
    return;
  }
  if (const auto* load = std::get_if<wire::expert_load>(&message)) {
    if (!m_lead->planning.add(*load)) {
      telemetry::log(telemetry::log_level::warning, "agent", "an expert load does not fit the group",
                     {{"rank", static_cast<std::int64_t>(load->rank)}});
    }
    return;
  }
  std::vector<group_switch::coordinator_action> actions;
  m_lead->coordinator.on_message(now, message, actions);
  execute(actions);
}

// --- Actions of the participant ---

void expert_service::execute(std::vector<group_switch::participant_action>& actions) {
  for (const auto& item : actions) {
    std::visit([this](const auto& value) { execute_one(value); }, item);
  }
}

// The engine's form of the map to prepare; absent if the plan is not the map that its digest names.
std::optional<json> expert_service::engine_map_of(const group_switch::engine_order& order) const {
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
  auto map = engine_map_of(order);
  if (!map) {
    telemetry::log(telemetry::log_level::error, "agent", "the planned expert map is not usable",
                   {{"digest", order.digest}});
    finish_order(order, engine_orders::verdict::refused, m_engine_step);
    return;
  }
  m_engine->send(order, std::move(*map), [this, order](engine_orders::verdict verdict, std::uint64_t step) {
    finish_order(order, verdict, step);
  });
}

void expert_service::finish_order(const group_switch::engine_order& order, engine_orders::verdict verdict,
                                  std::uint64_t step) {
  std::vector<group_switch::participant_action> actions;
  if (verdict == engine_orders::verdict::unknown) {
    m_participant->on_engine_unreachable(actions);
    execute(actions);
    return;
  }
  m_engine_step = step;
  const bool accepted = verdict == engine_orders::verdict::accepted;
  if (accepted) {
    static constexpr const char* k_kinds[] = {"switch_prepared", "switch_armed", "switch_committed",
                                              "switch_aborted"};
    const auto more = order.command == group_switch::engine_command::arm_map
                          ? "step " + std::to_string(order.step)
                          : std::string();
    m_hooks.record(k_kinds[static_cast<std::size_t>(order.command)],
                   "rank " + std::to_string(m_rank) + ", " + describe(order.switch_id, more));
  } else {
    m_hooks.record("switch_order_refused",
                   "rank " + std::to_string(m_rank) + ", " + describe(order.switch_id));
  }
  m_participant->on_engine_result(accepted, step, actions);
  execute(actions);
}

void expert_service::execute_one(const group_switch::query_engine&) {
  m_query_wanted = true;
  if (m_querying) {
    return;
  }
  m_querying = true;
  m_engine->read_state([this](const std::optional<group_switch::engine_state>& state) {
    m_querying = false;
    if (!state) {
      m_next_query = clock::now() + k_query_again;
      return;
    }
    m_query_wanted = false;
    m_engine_step = state->step;
    std::vector<group_switch::participant_action> actions;
    m_participant->on_engine_state(*state, actions);
    execute(actions);
  });
}

void expert_service::execute_one(const group_switch::query_token&) {
  m_token_wanted = true;
  if (m_asking_token) {
    return;
  }
  m_asking_token = true;
  m_record->read_token([this](std::optional<fencing_token> token) {
    m_asking_token = false;
    if (!token) {
      m_next_token = clock::now() + k_token_again;
      return;
    }
    m_token_wanted = false;
    std::vector<group_switch::participant_action> actions;
    m_participant->on_group_token(*token, actions);
    execute(actions);
  });
}

void expert_service::execute_one(const group_switch::reply& value) {
  if (value.peer_address == m_own_address) {
    deliver(clock::now(), m_own_address, value.message);
  } else {
    m_hooks.send(value.peer_address, value.message);
  }
}

// --- Time ---

// A frozen agent may have been replaced. One whose engine does not check fencing tokens gives no order before
// it has read that the token is still the same.
void expert_service::check_pause(time_point now) {
  const bool paused = m_last_tick && now - *m_last_tick > k_pause;
  m_last_tick = now;
  if (paused && !m_checks_fencing && m_participant) {
    telemetry::log(telemetry::log_level::warning, "agent", "paused; checking the group's token",
                   {{"group", m_group}});
    m_suspended = true;
    m_next_check = now;
  }
}

void expert_service::check_token() {
  if (m_checking_token) {
    return;
  }
  m_checking_token = true;
  m_record->read_token([this](std::optional<fencing_token> token) {
    m_checking_token = false;
    m_next_check = clock::now() + k_token_again;
    if (!token) {
      return;
    }
    std::vector<group_switch::participant_action> actions;
    m_participant->on_group_token(*token, actions);
    m_suspended = false;
    execute(actions);
  });
}

void expert_service::tick(time_point now) {
  if (!m_participant) {
    return;
  }
  check_pause(now);
  if (m_suspended) {
    if (now >= m_next_check) {
      check_token();
    }
    return;
  }
  if (m_query_wanted && !m_querying && now >= m_next_query) {
    execute_one(group_switch::query_engine{});
  }
  if (m_token_wanted && !m_asking_token && now >= m_next_token) {
    execute_one(group_switch::query_token{});
  }
  m_record->tick(now);
  read_load(now);
  find_ranks(now);
  if (m_lead) {
    tick_coordinator(now);
  }
}

void expert_service::read_load(time_point now) {
  if (m_reading_load || now < m_next_load) {
    return;
  }
  m_reading_load = true;
  m_next_load = now + k_load_interval;
  m_engine->read_load([this](const std::optional<engine_load>& load) {
    m_reading_load = false;
    if (load) {
      report_load(*load);
    }
  });
}

void expert_service::report_load(const engine_load& load) {
  // After a restart of the engine its counts start again; they are not reported until the next reading.
  const bool usable =
      m_last_load && m_last_load->step <= load.step && m_last_load->layers.size() == load.layers.size();
  wire::expert_load report{
      .group = m_group, .rank = m_rank, .step = load.step, .step_ms = load.step_ms, .layers = {}};
  for (std::size_t layer = 0; usable && layer < load.layers.size(); ++layer) {
    const auto& now = load.layers[layer];
    const auto& before = m_last_load->layers[layer];
    auto& counts = report.layers.emplace_back();
    for (std::size_t expert = 0; expert < now.size(); ++expert) {
      const auto base = expert < before.size() ? std::min(before[expert], now[expert]) : now[expert];
      counts.push_back(static_cast<std::uint32_t>(now[expert] - base));
    }
  }
  m_last_load = load;
  if (!usable) {
    return;
  }
  if (m_rank == 0) {
    deliver(clock::now(), m_own_address, report);
  } else if (const auto found = m_addresses.find(0); found != m_addresses.end()) {
    m_hooks.send(found->second, std::move(report));
  }
}

// Looks for the agents of the ranks in the host list: on rank 0 all, elsewhere that of rank 0. Afterwards
// messages show where they are, so the list, which is long in a large fleet, is not polled.
void expert_service::find_ranks(time_point now) {
  const bool unknown = m_lead ? m_addresses.size() + 1 < m_shape.ranks : !m_addresses.contains(0);
  const bool slow = m_lead && now - m_lead->last_idle > k_slow_switch;
  if (m_fetching_hosts || now < m_next_hosts || !(unknown || slow) || m_settings.platform.hosts.empty()) {
    return;
  }
  m_fetching_hosts = true;
  m_hosts.fetch([this, unknown](const result<storage::host_list>& hosts) {
    m_fetching_hosts = false;
    m_next_hosts = clock::now() + (unknown ? k_hosts_again : k_slow_switch);
    if (!hosts) {
      return;
    }
    for (const auto& upstream : m_manifest->upstreams) {
      if (upstream.group != m_group || upstream.rank == m_rank || (!m_lead && upstream.rank != 0)) {
        continue;
      }
      for (const auto& host : hosts.value().hosts) {
        if (host.name == upstream.host && host.role == storage::host_role::agent) {
          m_addresses[upstream.rank] = host.peer_address;
        }
      }
    }
  });
}

}  // namespace cuminpath::agent
