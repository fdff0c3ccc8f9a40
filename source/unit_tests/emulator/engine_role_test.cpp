#include "emulator/engine_role.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "emulator/weight_role.h"
#include "unit_tests/support/run_until.h"

namespace cuminpath::emulator {
namespace {

using support::run_until;

class engines : public ::testing::Test {
protected:
  struct running_engine {
    std::unique_ptr<engine_role> role;
    std::unique_ptr<emulator_server> server;
    [[nodiscard]] std::string url() const { return "http://" + server->address(); }
  };

  running_engine start(engine_options options) {
    options.token_interval = milliseconds(2);
    options.prefill_time = milliseconds(4);
    running_engine engine;
    engine.role = std::make_unique<engine_role>(m_context, m_client, std::move(options));
    engine.server = std::move(emulator_server::start(m_context, "127.0.0.1:0", *engine.role).value());
    return engine;
  }

  // Starts two ranks that run in lock-step.
  std::vector<running_engine> start_group(const std::string& weights_url = {}) {
    std::vector<running_engine> group;
    for (std::uint32_t rank = 0; rank < 2; ++rank) {
      engine_options options;
      options.weights_url = weights_url;
      options.experts = {.layers = 1, .experts = 4, .ranks = 2, .rank = rank};
      options.group_peers = {"http://127.0.0.1:1"};  // Replaced below, once the addresses are known.
      group.push_back(start(options));
    }
    group[0].role->control({{"group_peers", {group[1].url()}}});
    group[1].role->control({{"group_peers", {group[0].url()}}});
    return group;
  }

  http::response call(const std::string& url, const std::string& target, const json& body) {
    std::optional<http::client::call_result> done;
    m_client.call(
        url, {.method = "POST", .target = target, .headers = {{"X-Request-Id", "r1"}}, .body = body.dump()},
        {}, [&done](http::client::call_result response) { done = std::move(response); });
    EXPECT_TRUE(run_until(m_context, [&done] { return done.has_value(); }));
    return done ? done->value : http::response{};
  }

  std::uint64_t step_of(const running_engine& engine) { return engine.role->stats()["step"]; }

  asio::io_context m_context;
  http::client m_client{m_context};
};

// Guards against streams whose events do not conform to the protocol of the platform.
TEST_F(engines, streams_events_with_indices_and_resumes) {
  const auto engine = start({});
  const auto whole =
      call(engine.url(), "/v1/completions", {{"prompt", "p"}, {"max_tokens", 3}, {"stream", true}});
  EXPECT_EQ(whole.status, 200);
  EXPECT_EQ(std::count(whole.body.begin(), whole.body.end(), '\n'), 8);
  EXPECT_TRUE(whole.body.ends_with("data: [DONE]\n\n"));
  EXPECT_NE(whole.body.find("\"index\":2"), std::string::npos);

  const json resume = {{"token_index", 2}, {"text", text_before("p", 2)}};
  const auto rest =
      call(engine.url(), "/v1/completions", {{"prompt", "p"}, {"max_tokens", 3}, {"resume", resume}});
  EXPECT_TRUE(whole.body.ends_with(rest.body));
  const auto stats = engine.role->stats();
  EXPECT_EQ(stats["starts"]["r1"], 2);
  EXPECT_EQ(stats["resumed"], 1);
  EXPECT_EQ(stats["resume_mismatches"], 0);
  EXPECT_EQ(call(engine.url(), "/v1/completions", {{"x", 1}}).status, 400);
}

// Guards against an engine that continues a stream after its caller has disconnected.
TEST_F(engines, a_closed_connection_cancels_the_stream) {
  const auto engine = start({});
  bool received_data = false;
  const auto id = m_client.stream(
      engine.url(),
      {.method = "POST", .target = "/v1/completions", .body = R"({"prompt":"p","max_tokens":100000})"}, {},
      {.head = [](int, const http::header_list&) {},
       .data = [&received_data](const std::string&) { received_data = true; },
       .end = [] {},
       .failure = [](const http::call_failure&) {}});
  ASSERT_TRUE(run_until(m_context, [&received_data] { return received_data; }));
  m_client.cancel(id);
  EXPECT_TRUE(run_until(m_context, [&engine] { return engine.role->stats()["cancelled"] == 1; }));
  EXPECT_EQ(engine.role->stats()["running"], 0);
}

// Guards against a rank that runs ahead of its group while another rank is stalled.
TEST_F(engines, ranks_of_a_group_run_in_lock_step) {
  const auto group = start_group();
  ASSERT_TRUE(run_until(m_context, [&] { return step_of(group[0]) > 5 && step_of(group[1]) > 5; }));
  group[1].role->control({{"stall", true}});
  const auto stalled_at = step_of(group[1]);
  ASSERT_TRUE(run_until(m_context, [&] { return step_of(group[0]) == stalled_at; }) ||
              step_of(group[0]) == stalled_at + 1);
  const auto until = clock::now() + milliseconds(100);
  run_until(m_context, [&until] { return clock::now() > until; });
  EXPECT_LE(step_of(group[0]), stalled_at + 1);
  group[1].role->control({{"stall", false}});
  EXPECT_TRUE(run_until(m_context, [&] { return step_of(group[0]) > stalled_at + 5; }));
}

// Guards against a map switch after which the ranks use different maps in the same step, and against new
// experts whose weights are not loaded.
TEST_F(engines, a_group_switches_its_map_at_one_step) {
  weight_role weights(m_context, {.expert_bytes = 100, .bytes_per_second = 100000});
  const auto store = std::move(emulator_server::start(m_context, "127.0.0.1:0", weights).value());
  const auto group = start_group("http://" + store->address());
  const json map = {{"layers", {{{0, 1, 2}, {3, 1}}}}};
  const auto order = [&](const running_engine& engine, json body) {
    body.update({{"fencing", 1}, {"switch", 7}, {"digest", "new"}});
    return call(engine.url(), "/v1/orders", body).status;
  };
  for (const auto& engine : group) {
    ASSERT_EQ(order(engine, {{"order", "prepare_map"}, {"map", map}}), 200);
  }
  EXPECT_EQ(weights.stats()["served"], 1);  // Expert 1 on rank 0; rank 1 has experts 1 and 3 initially.
  const auto armed_at = step_of(group[0]) + 50;
  for (const auto& engine : group) {
    ASSERT_EQ(order(engine, {{"order", "arm_map"}, {"step", armed_at}}), 200);
  }
  ASSERT_TRUE(run_until(m_context, [&] { return step_of(group[0]) == armed_at - 1; }));
  ASSERT_EQ(order(group[0], {{"order", "go_map"}}), 200);
  EXPECT_EQ(step_of(group[0]), armed_at - 1);  // The other rank has not committed yet.
  ASSERT_EQ(order(group[1], {{"order", "go_map"}}), 200);
  ASSERT_TRUE(
      run_until(m_context, [&] { return step_of(group[0]) > armed_at && step_of(group[1]) > armed_at; }));
  for (const auto& engine : group) {
    const auto stats = engine.role->stats();
    EXPECT_EQ(stats["map_history"].back(), json({{"step", armed_at}, {"digest", "new"}}));
    EXPECT_EQ(stats["mixed_map_steps"], 0);
  }
  EXPECT_EQ(
      call(group[0].url(), "/v1/orders", {{"order", "abort_map"}, {"switch", 8}, {"fencing", 0}}).status,
      409);
}

// Guards against an emulator that does not detect that the ranks use different maps in the same step.
TEST_F(engines, different_maps_in_a_step_are_counted) {
  const auto group = start_group();
  const auto order = [&](json body) {
    body.update({{"fencing", 1}, {"switch", 7}, {"digest", "new"}});
    return call(group[0].url(), "/v1/orders", body).status;
  };
  ASSERT_EQ(order({{"order", "prepare_map"}, {"map", json::object()}}), 200);
  ASSERT_EQ(order({{"order", "arm_map"}, {"step", step_of(group[0]) + 20}}), 200);
  ASSERT_EQ(order({{"order", "go_map"}}), 200);
  EXPECT_TRUE(run_until(m_context, [&] { return group[1].role->stats()["mixed_map_steps"] > 0; }));
}

}  // namespace
}  // namespace cuminpath::emulator
