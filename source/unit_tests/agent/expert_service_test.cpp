// Tests the expert service against emulators of the platform and of the engines over loopback.
#include "core/agent/expert_service.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <asio/io_context.hpp>

#include "emulator/engine_role.h"
#include "emulator/host_role.h"
#include "emulator/object_role.h"
#include "emulator/table_role.h"
#include "unit_tests/support/run_until.h"

namespace cuminpath::agent {
namespace {

// An emulator role with a server on loopback.
template <class role_type>
class role_server {
public:
  template <class... argument_types>
  explicit role_server(asio::io_context& context, argument_types&&... arguments)
      : m_role(std::forward<argument_types>(arguments)...),
        m_server(std::move(emulator::emulator_server::start(context, "127.0.0.1:0", m_role).value())) {}
  [[nodiscard]] std::string url() const { return "http://" + m_server->address(); }
  role_type& value() { return m_role; }

private:
  role_type m_role;
  std::unique_ptr<emulator::emulator_server> m_server;
};

class expert_services : public ::testing::Test {
protected:
  struct sent_message {
    std::string to;
    wire::message message;
  };
  // The agent of one rank. Its messages to "rank-N" are delivered only while `connected` is true.
  struct agent {
    config::daemon_settings settings;
    std::unique_ptr<role_server<emulator::engine_role>> engine;
    std::unique_ptr<expert_service> service;
    std::vector<sent_message> sent;
    std::vector<std::string> events;
    bool connected = true;
  };

  void start_group(std::uint32_t ranks, bool checks_fencing = true) {
    m_manifest = std::make_shared<config::manifest>();
    m_manifest->models = {{.name = "m", .layers = 1, .experts = 4, .expert_bytes = 1}};
    m_manifest->groups = {{.name = "g", .model = "m", .ranks = ranks}};
    auto hosts = json::array();
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
      const auto number = std::to_string(rank);
      m_manifest->upstreams.push_back({.name = "u" + number,
                                       .host = "h" + number,
                                       .model_or_service = "m",
                                       .group = "g",
                                       .rank = rank,
                                       .checks_fencing = checks_fencing});
      hosts.push_back({{"name", "h" + number},
                       {"role", "agent"},
                       {"availability_zone", "z"},
                       {"region", "r"},
                       {"address", ""},
                       {"peer_address", "rank-" + number},
                       {"admin_address", "127.0.0.1:1"},
                       {"state", "live"}});
    }
    ASSERT_FALSE(m_hosts.value().control({{"hosts", hosts}, {"lag_ms", 0}}));
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
      m_agents.push_back(std::make_unique<agent>());
      auto& added = *m_agents.back();
      emulator::engine_options options;
      options.token_interval = milliseconds(5);
      options.experts = {.layers = 1, .experts = 4, .ranks = ranks, .rank = rank};
      added.engine =
          std::make_unique<role_server<emulator::engine_role>>(m_context, m_context, m_client, options);
      added.settings.platform = {
          .table = m_tables.url(), .objects = m_objects.url(), .hosts = m_hosts.url(), .weights = {}};
      added.settings.agent.upstream_url = added.engine->url();
      added.settings.agent.expert_interval = milliseconds(0);
      start_service(rank, "first");
    }
  }

  void start_service(std::uint32_t rank, const std::string& writer) {
    auto& owner = *m_agents[rank];
    const auto address = "rank-" + std::to_string(rank);
    m_replaced_services.push_back(std::move(owner.service));  // Its pending calls may still complete.
    owner.service = std::make_unique<expert_service>(
        m_client, owner.settings, address, writer + address,
        expert_service_hooks{
            .send =
                [this, &owner, address](std::string_view peer, const wire::message& message) {
                  owner.sent.push_back({std::string(peer), message});
                  for (std::size_t to = 0; to < m_agents.size(); ++to) {
                    if (peer == "rank-" + std::to_string(to) && owner.connected) {
                      m_agents[to]->service->on_message(clock::now(), address, message);
                    }
                  }
                },
            .record = [&owner](std::string_view kind,
                               const std::string&) { owner.events.emplace_back(kind); }});
    owner.service->on_configuration(m_manifest, &m_manifest->upstreams[rank]);
  }

  // Runs the services until the condition holds. Returns false on a timeout.
  template <class condition>
  bool wait_until(condition holds) {
    return support::run_until(m_context, [&] {
      for (const auto& item : m_agents) {
        item->service->tick(clock::now());
      }
      return holds();
    });
  }

  json expert_map() {
    return parse_json(m_agents[0]->service->respond(clock::now(), {.target = "/expert-map"}).body).value();
  }
  bool idle() { return expert_map()["state"] == "idle"; }

  void report_load(std::uint32_t rank) {
    m_agents[0]->service->on_message(
        clock::now(), "rank-" + std::to_string(rank),
        wire::expert_load{
            .group = "g", .rank = rank, .step = 1, .step_ms = 1, .layers = {{900, 100, 900, 100}}});
  }

  json engine_state(std::uint32_t rank) { return m_agents[rank]->engine->value().stats()["switch"]; }

  void write_token(std::uint64_t token) {
    bool done = false;
    storage::table_client table(m_client, m_tables.url());
    table.read("groups", "g", [&](const result<std::optional<storage::row>>& found) {
      const auto version = found && found.value() ? found.value()->version : 0;
      table.write("groups", "g", {{"fencing", token}, {"digest", ""}, {"writer", "another"}}, version,
                  [&done](const result<storage::write_outcome>& outcome) {
                    EXPECT_TRUE(outcome && outcome.value().applied);
                    done = true;
                  });
    });
    ASSERT_TRUE(support::run_until(m_context, [&done] { return done; }));
  }

  template <class type>
  static std::size_t count(const agent& from, std::string_view to) {
    return static_cast<std::size_t>(
        std::count_if(from.sent.begin(), from.sent.end(), [to](const sent_message& item) {
          return item.to == to && std::holds_alternative<type>(item.message);
        }));
  }

  asio::io_context m_context;
  http::client m_client{m_context};
  role_server<emulator::table_role> m_tables{m_context};
  role_server<emulator::object_role> m_objects{m_context};
  role_server<emulator::host_role> m_hosts{m_context, m_context, milliseconds(0)};
  std::shared_ptr<config::manifest> m_manifest;
  std::vector<std::unique_ptr<agent>> m_agents;
  std::vector<std::unique_ptr<expert_service>> m_replaced_services;
};

// Guards against orders that do not reach the engines of the ranks, and against a coordinator that starts
// without the map to which its predecessor switched.
TEST_F(expert_services, a_group_switches_and_a_new_coordinator_fetches_the_map) {
  start_group(2);
  auto& service = *m_agents[0]->service;
  EXPECT_EQ(service.respond(clock::now(), {.method = "POST", .target = "/expert-map"}).status, 409);
  ASSERT_TRUE(wait_until([this] { return idle() && !expert_map()["map"].is_null(); }));
  EXPECT_EQ(service.respond(clock::now(), {.target = "/expert-map/plan"}).status, 503);  // No loads yet.
  report_load(0);
  report_load(1);
  const auto plan = parse_json(service.respond(clock::now(), {.target = "/expert-map/plan"}).body).value();
  EXPECT_GT(plan["skew_before"].get<double>(), plan["skew_after"].get<double>());
  EXPECT_EQ(service.respond(clock::now(), {.method = "POST", .target = "/expert-map"}).status, 202);
  EXPECT_EQ(service.respond(clock::now(), {.method = "POST", .target = "/expert-map"}).status, 409);
  ASSERT_TRUE(wait_until([&] {
    return engine_state(0)["digest"] == plan["digest"] && engine_state(1)["digest"] == plan["digest"] &&
           idle();
  }));

  start_service(0, "second");
  ASSERT_TRUE(wait_until([this] { return idle() && !expert_map()["map"].is_null(); }));
  EXPECT_EQ(expert_map()["digest"], plan["digest"]);
  EXPECT_EQ(expert_map()["fencing"], 2);
  EXPECT_EQ(m_agents[1]->service->respond(clock::now(), {.target = "/expert-map"}).status, 404);
}

// Guards against a rank that loads a map that does not match the digest of the order.
TEST_F(expert_services, a_plan_that_does_not_match_its_digest_is_not_sent_to_the_engine) {
  start_group(2);
  ASSERT_TRUE(wait_until([this] { return idle(); }));
  auto& rank = *m_agents[1];
  rank.connected = false;
  const auto plan =
      placement::to_json(initial_map({.ranks = 2, .layers = 1, .experts = 4, .slots_per_rank = 2})).dump();
  rank.service->on_message(
      clock::now(), "rank-0",
      wire::switch_prepare{
          .group = "g", .token = fencing_token{9}, .switch_id = 1, .digest = "other", .plan = plan});
  ASSERT_TRUE(wait_until([&] { return count<wire::switch_prepared>(rank, "rank-0") > 0; }));
  EXPECT_FALSE(std::get<wire::switch_prepared>(rank.sent.back().message).ready);
  EXPECT_EQ(engine_state(1)["phase"], "idle");
}

// Guards against a restarted agent that obeys a coordinator that was replaced during the restart.
TEST_F(expert_services, a_restarted_rank_reads_the_token_from_the_table) {
  start_group(2);
  ASSERT_TRUE(wait_until([this] { return idle(); }));
  write_token(5);
  auto& rank = *m_agents[1];
  rank.connected = false;
  rank.sent.clear();
  start_service(1, "second");
  const auto send_query = [&rank](std::uint64_t token) {
    rank.service->on_message(clock::now(), "coordinator-" + std::to_string(token),
                             wire::switch_query{.group = "g", .token = fencing_token{token}});
  };
  send_query(4);
  send_query(5);
  ASSERT_TRUE(wait_until([&] { return count<wire::switch_state>(rank, "coordinator-5") == 1; }));
  EXPECT_EQ(count<wire::switch_state>(rank, "coordinator-4"), 0U);
}

// Guards against an agent that sends orders of a replaced coordinator to its engine when it runs again after
// a suspension, if the engine does not check fencing tokens itself.
TEST_F(expert_services, a_suspended_agent_reads_the_token_before_it_obeys) {
  start_group(2, false);
  ASSERT_TRUE(wait_until([this] { return idle(); }));
  write_token(5);
  auto& rank = *m_agents[1];
  rank.connected = false;
  rank.sent.clear();
  const auto send_query = [&rank](time_point now, std::uint64_t token) {
    rank.service->on_message(now, "coordinator-" + std::to_string(token),
                             wire::switch_query{.group = "g", .token = fencing_token{token}});
  };
  const auto resumed = clock::now() + seconds(10);
  send_query(resumed, 4);
  EXPECT_EQ(rank.sent.size(), 0U);
  ASSERT_TRUE(support::run_until(m_context, [&] {
    rank.service->tick(resumed);
    send_query(resumed, 5);
    return count<wire::switch_state>(rank, "coordinator-5") > 0;
  }));
  send_query(resumed, 4);
  EXPECT_EQ(count<wire::switch_state>(rank, "coordinator-4"), 0U);
}

class group_records : public expert_services {
protected:
  fencing_token acquire(group_record& record) {
    std::optional<fencing_token> acquired;
    EXPECT_TRUE(support::run_until(m_context, [&] {
      if (!acquired) {
        record.acquire([&acquired](fencing_token token) { acquired = token; });
      }
      return acquired.has_value();
    }));
    return acquired.value_or(fencing_token{});
  }
  json row() {
    json found;
    bool done = false;
    m_table.read("groups", "g", [&](const result<std::optional<storage::row>>& row) {
      found = row && row.value() ? row.value()->value : json();
      done = true;
    });
    EXPECT_TRUE(support::run_until(m_context, [&done] { return done; }));
    return found;
  }
  void control(const json& orders) {
    bool done = false;
    m_client.call(m_tables.url(), {.method = "POST", .target = "/control", .body = orders.dump()}, {},
                  [&done](const http::client::call_result&) { done = true; });
    EXPECT_TRUE(support::run_until(m_context, [&done] { return done; }));
  }

  storage::table_client m_table{m_client, m_tables.url()};
};

// Guards against two coordinators that acquire the same token.
TEST_F(group_records, each_writer_gets_a_higher_token) {
  group_record first(m_table, "g", "first");
  group_record second(m_table, "g", "second");
  EXPECT_EQ(acquire(first), fencing_token{1});
  EXPECT_EQ(acquire(second), fencing_token{2});
}

// Guards against a coordinator that raises its own token a second time because the response to the first
// write was lost. Its ranks have seen the first token.
TEST_F(group_records, a_write_whose_response_was_lost_is_recognized_by_its_writer) {
  group_record record(m_table, "g", "first");
  control({{"lose_responses", 1}});
  EXPECT_EQ(acquire(record), fencing_token{1});
  EXPECT_EQ(row()["fencing"], 1);
}

// Guards against a replaced coordinator that overwrites the row of its successor, and against a digest that
// is never written because the table was unavailable.
TEST_F(group_records, the_digest_write_is_retried_but_never_overwrites_a_successor) {
  group_record first(m_table, "g", "first");
  group_record second(m_table, "g", "second");
  const auto old_token = acquire(first);
  control({{"down", true}});
  first.record_digest(old_token, "a");
  control({{"down", false}});
  auto time = clock::now();
  ASSERT_TRUE(support::run_until(m_context, [&] {
    time += seconds(1);
    first.tick(time);
    return row()["digest"] == "a";
  }));
  const auto token = acquire(second);
  EXPECT_EQ(row()["digest"], "a");
  second.record_digest(token, "b");
  ASSERT_TRUE(support::run_until(m_context, [&] { return row()["digest"] == "b"; }));
  first.record_digest(old_token, "c");
  for (int reads = 0; reads < 5; ++reads) {
    EXPECT_EQ(row()["digest"], "b");
  }
  EXPECT_EQ(row()["fencing"], 2);
}

// Guards against an incomplete state that is accepted, so that an armed engine is considered idle.
TEST(engine_state, incomplete_or_unknown_states_are_rejected) {
  const json document = {{"fencing", 3}, {"switch", 7},         {"phase", "armed"},   {"switch_step", 40},
                         {"step", 38},   {"digest", "present"}, {"new_digest", "new"}};
  const auto state = parse_engine_state(document);
  ASSERT_TRUE(state);
  EXPECT_EQ(state->token, fencing_token{3});
  EXPECT_EQ(state->switch_id, 7U);
  EXPECT_EQ(state->phase, wire::switch_phase::armed);
  EXPECT_EQ(state->switch_step, 40U);
  EXPECT_EQ(state->step, 38U);
  EXPECT_EQ(state->digest, "present");
  EXPECT_EQ(state->new_digest, "new");
  for (const auto& [key, value] : document.items()) {
    auto broken = document;
    broken.erase(key);
    EXPECT_FALSE(parse_engine_state(broken)) << key;
  }
  auto unknown = document;
  unknown["phase"] = "other";
  EXPECT_FALSE(parse_engine_state(unknown));
}

// Guards against loads of a different shape, which would be added to the wrong experts.
TEST(expert_planning, rejects_loads_and_maps_that_do_not_match_the_group) {
  const placement::group_shape shape{.ranks = 2, .layers = 1, .experts = 4, .slots_per_rank = 3};
  expert_planning planning({.shape = shape});
  EXPECT_FALSE(planning.make_plan(time_point()));
  EXPECT_FALSE(planning.add({.group = "g", .rank = 2, .layers = {{1, 1, 1, 1}}}));
  EXPECT_FALSE(planning.add({.group = "g", .rank = 0, .layers = {{1, 1, 1}}}));
  EXPECT_FALSE(planning.add({.group = "g", .rank = 0, .layers = {}}));
  EXPECT_FALSE(planning.set_map("x", initial_map({.ranks = 3, .layers = 1, .experts = 4})));
  ASSERT_TRUE(planning.set_map("initial", initial_map(shape)));
  EXPECT_FALSE(planning.make_plan(time_point()));
  EXPECT_TRUE(planning.add({.group = "g", .rank = 0, .layers = {{9, 1, 9, 1}}}));
  const auto plan = planning.make_plan(time_point());
  ASSERT_TRUE(plan);
  EXPECT_GT(plan.value().skew_before, 1.5);
  EXPECT_LT(plan.value().skew_after, 1.1);
}

}  // namespace
}  // namespace cuminpath::agent
