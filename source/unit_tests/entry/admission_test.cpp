#include "unit_tests/entry/entry_fixture.h"

namespace cuminpath::entry {
namespace {

class admission_test : public entry_fixture {
protected:
  admission_test() : entry_fixture(100) {}

  int status_of_last_response() {
    const auto responses = take<respond>();
    return responses.empty() ? 0 : responses.back().response.status;
  }
};

// Guards against an overload of the lowest class that leaves the entry no capacity for urgent requests.
TEST_F(admission_test, most_urgent_class_keeps_capacity) {
  for (int i = 0; i < 200; ++i) {
    send_completion(true, {{"X-Priority", "digest"}});
  }
  EXPECT_EQ(core.in_flight(), 80U);
  EXPECT_EQ(status_of_last_response(), 503);
  send_completion(true);
  EXPECT_EQ(core.in_flight(), 81U);
  EXPECT_EQ(status_of_last_response(), 0);
}

// Guards against a large workspace that takes all of the entry's capacity from small workspaces.
TEST_F(admission_test, workspace_is_limited_to_its_share_when_the_entry_is_busy) {
  const auto send_as_vidal = [this] {
    send({"POST",
          "/v1/completions",
          {{"Authorization", "Bearer secret-of-vidal"}},
          R"({"model":"scribe","prompt":"x"})"});
  };
  send_as_vidal();
  for (int i = 0; i < 100; ++i) {
    send_completion(true, {{"X-Priority", "digest"}});
  }
  EXPECT_EQ(status_of_last_response(), 429);
  EXPECT_LT(core.in_flight(), 80U);
  send_as_vidal();
  EXPECT_EQ(status_of_last_response(), 0);
}

// Guards against an entry that accepts new requests after its drain, or aborts requests in flight.
TEST_F(admission_test, drained_entry_finishes_its_requests_and_refuses_new_ones) {
  send_completion(false);
  const auto sent = take_submitted();
  core.stop_accepting();
  send_completion(false);
  const auto refused = take_response();
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(execution_of(refused), "not_run");
  send_response_end(sent, 0);
  EXPECT_EQ(take_response().status, 200);
  EXPECT_EQ(core.in_flight(), 0U);
}

// Guards against requests that are queued or forwarded without a configuration.
TEST(configuration_test, entry_without_configuration_refuses) {
  entry_core core(entry_options{});
  random_source random(1);
  std::vector<action> actions;
  event_context current{time_point(seconds(1)), random, actions};
  core.on_request(current, caller_id{1}, {"POST", "/v1/completions", {}, "{}"});
  ASSERT_FALSE(actions.empty());
  EXPECT_EQ(std::get<respond>(actions.front()).response.status, 503);
}

}  // namespace
}  // namespace cuminpath::entry
