// Manages the expert map of an engine group: runs the participant of the local rank and, on rank 0, the
// group's coordinator and planner, and executes their actions. All functions run on the thread of the
// io_context.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/agent/engine_client.h"
#include "core/agent/expert_planning.h"
#include "core/agent/group_record.h"
#include "core/config/manifest.h"
#include "core/config/settings.h"
#include "core/group_switch/coordinator.h"
#include "core/group_switch/participant.h"
#include "core/http/client.h"
#include "core/storage/host_list_client.h"
#include "core/storage/object_client.h"
#include "core/storage/table_client.h"

namespace cuminpath::agent {

struct expert_service_hooks {
  std::function<void(std::string_view peer, wire::message message)> send;
  // Records an event in the timeline.
  std::function<void(std::string_view kind, std::string detail)> record;
};

// Must outlive its pending calls, so it must exist as long as the io_context runs.
class expert_service {
public:
  // `local_address` is the peer address of the local process. `writer` must be unique for each start of a
  // process.
  expert_service(http::client& client, const config::daemon_settings& settings, std::string local_address,
                 std::string writer, expert_service_hooks hooks);

  // Joins the group of the local upstream, if it has one. A later configuration may change the hosts of the
  // other ranks; a change of the local group or rank takes effect only after a restart of the agent.
  void on_configuration(std::shared_ptr<const config::manifest> manifest,
                        const config::upstream* local_upstream);
  // Messages of other groups are ignored.
  void on_message(time_point now, std::string_view peer, const wire::message& message);
  void tick(time_point now);

  // Responds to GET /expert-map, GET /expert-map/plan and POST /expert-map. The caller checks the operator
  // key.
  http::response respond(time_point now, const http::request& request);

private:
  // The state that exists only on rank 0.
  struct coordinator_state {
    group_switch::coordinator coordinator;
    expert_planning planning;
    time_point next_plan{};
    bool storing_map = false;  // The planned map is being written to the object store.
    bool fetching_map = false;
    time_point next_map_fetch{};
    // When the coordinator was last seen idle.
    time_point last_idle{};
  };

  void join(const config::upstream& local_upstream);
  [[nodiscard]] bool is_for_group(const wire::message& message) const;
  void update_rank_address(std::string_view peer, const wire::message& message);
  void deliver(time_point now, std::string_view peer, const wire::message& message);

  void execute(std::vector<group_switch::participant_action>& actions);
  void execute_one(const group_switch::engine_order& order);
  void execute_one(const group_switch::query_engine&);
  void execute_one(const group_switch::query_token&);
  void execute_one(const group_switch::reply& value);
  void finish_order(const group_switch::engine_order& order, engine_client::order_outcome outcome,
                    std::uint64_t step);
  [[nodiscard]] std::optional<json> engine_map_for(const group_switch::engine_order& order) const;

  void execute(std::vector<group_switch::coordinator_action>& actions);
  void execute_one(const group_switch::acquire_token&);
  void execute_one(const group_switch::send_to_rank& value);
  void execute_one(const group_switch::record_map& value);
  void execute_one(const group_switch::switch_finished& value);

  // Detects that the process was suspended. Another agent may have replaced it meanwhile.
  void detect_suspension(time_point now);
  void verify_token();

  void read_load(time_point now);
  void report_load(const engine_load& load);
  void find_rank_addresses(time_point now);
  void tick_coordinator(time_point now);
  void fetch_current_map(time_point now);
  void set_map(std::string digest, placement::expert_map map);
  // Returns why no switch may start now, or an empty string if one may.
  [[nodiscard]] std::string switch_block_reason() const;
  void plan_switch(time_point now);
  void start_switch(const placement::plan& plan);
  http::response respond_to_switch_request(time_point now);
  [[nodiscard]] json map_document() const;

  http::client& m_client;
  const config::daemon_settings& m_settings;
  std::string m_local_address;
  std::string m_writer;
  expert_service_hooks m_hooks;
  storage::table_client m_table;
  storage::object_client m_objects;
  storage::host_list_client m_hosts;

  std::shared_ptr<const config::manifest> m_manifest;
  std::string m_group;
  std::uint32_t m_rank = 0;
  placement::group_shape m_shape;
  bool m_engine_checks_fencing = false;
  std::optional<engine_client> m_engine;
  std::optional<group_record> m_record;
  std::optional<group_switch::participant> m_participant;
  std::unique_ptr<coordinator_state> m_coordinator_state;  // Null except on rank 0.
  std::map<std::uint32_t, std::string> m_rank_addresses;   // Peer address by rank.

  std::uint64_t m_engine_step = 0;  // The engine's next step, as last reported.
  bool m_query_needed = false;
  bool m_query_pending = false;
  time_point m_next_query{};
  bool m_token_needed = false;
  bool m_token_read_pending = false;
  time_point m_next_token_read{};
  std::optional<time_point> m_last_tick;
  bool m_token_check_required = false;
  bool m_token_check_pending = false;
  time_point m_next_token_check{};

  std::optional<engine_load> m_last_load;
  bool m_load_read_pending = false;
  time_point m_next_load_read{};
  bool m_host_fetch_pending = false;
  time_point m_next_host_fetch{};
};

}  // namespace cuminpath::agent
