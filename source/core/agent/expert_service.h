// An agent's part in its engine group's expert map: the participant of its rank and, on rank 0, the group's
// coordinator with the planner. Carries out their actions. All functions run on the thread of the io_context.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/agent/engine_orders.h"
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
  // For the timeline.
  std::function<void(std::string_view kind, std::string detail)> record;
};

// Must outlive the calls that it has made, so it lives as long as the io_context runs.
class expert_service {
public:
  // `own_address` is the peer address of this process, `writer` is unique for each start of a process.
  expert_service(http::client& client, const config::daemon_settings& settings, std::string own_address,
                 std::string writer, expert_service_hooks hooks);

  // Joins the group of the upstream on the host, if it has one. A later configuration changes the hosts of
  // the other ranks; another group or rank takes effect when the agent starts again.
  void on_configuration(std::shared_ptr<const config::manifest> manifest, const config::upstream* own);
  // Messages of other groups are ignored.
  void on_message(time_point now, std::string_view peer, const wire::message& message);
  void tick(time_point now);

  // GET /expert-map and /expert-map/plan, POST /expert-map. The caller has checked the operator key.
  http::response respond(time_point now, const http::request& request);

private:
  struct coordinator_part {
    group_switch::coordinator coordinator;
    expert_planning planning;
    time_point next_plan{};
    bool storing = false;  // The planned map is on its way to the object store.
    bool fetching = false;
    time_point next_fetch{};
    // Set when the coordinator's state was idle for the last time.
    time_point last_idle{};
  };

  void join(const config::upstream& own);
  [[nodiscard]] bool concerns_group(const wire::message& message) const;
  void note_sender(std::string_view peer, const wire::message& message);
  void deliver(time_point now, std::string_view peer, const wire::message& message);

  void execute(std::vector<group_switch::participant_action>& actions);
  void execute_one(const group_switch::engine_order& order);
  void execute_one(const group_switch::query_engine&);
  void execute_one(const group_switch::query_token&);
  void execute_one(const group_switch::reply& value);
  void finish_order(const group_switch::engine_order& order, engine_orders::verdict verdict,
                    std::uint64_t step);
  [[nodiscard]] std::optional<json> engine_map_of(const group_switch::engine_order& order) const;

  void execute(std::vector<group_switch::coordinator_action>& actions);
  void execute_one(const group_switch::acquire_token&);
  void execute_one(const group_switch::send_to_rank& value);
  void execute_one(const group_switch::record_map& value);
  void execute_one(const group_switch::switch_finished& value);

  // Tests for a pause of this process, after which another agent may have taken its place.
  void check_pause(time_point now);
  void check_token();

  void read_load(time_point now);
  void report_load(const engine_load& load);
  void find_ranks(time_point now);
  void tick_coordinator(time_point now);
  void learn_map(time_point now);
  void set_map(std::string digest, placement::expert_map map);
  // Why no switch to a new plan may start now; empty if it may.
  [[nodiscard]] std::string obstacle() const;
  void plan_switch(time_point now);
  void start_switch(const placement::plan& value);
  http::response respond_order(time_point now);
  [[nodiscard]] json map_document() const;

  http::client& m_client;
  const config::daemon_settings& m_settings;
  std::string m_own_address;
  std::string m_writer;
  expert_service_hooks m_hooks;
  storage::table_client m_table;
  storage::object_client m_objects;
  storage::host_list_client m_hosts;

  std::shared_ptr<const config::manifest> m_manifest;
  std::string m_group;
  std::uint32_t m_rank = 0;
  placement::group_shape m_shape;
  bool m_checks_fencing = false;
  std::optional<engine_orders> m_engine;
  std::optional<group_record> m_record;
  std::optional<group_switch::participant> m_participant;
  std::unique_ptr<coordinator_part> m_lead;          // On rank 0.
  std::map<std::uint32_t, std::string> m_addresses;  // Peer address by rank.

  std::uint64_t m_engine_step = 0;  // Next step, as last heard.
  bool m_query_wanted = false;
  bool m_querying = false;
  time_point m_next_query{};
  bool m_token_wanted = false;
  bool m_asking_token = false;
  time_point m_next_token{};
  std::optional<time_point> m_last_tick;
  bool m_suspended = false;
  bool m_checking_token = false;
  time_point m_next_check{};

  std::optional<engine_load> m_last_load;
  bool m_reading_load = false;
  time_point m_next_load{};
  bool m_fetching_hosts = false;
  time_point m_next_hosts{};
};

}  // namespace cuminpath::agent
