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

// Guards against a flood of the lowest class that leaves the entry no room for urgent work.
TEST_F(admission_test, most_urgent_class_keeps_room) {
  for (int i = 0; i < 200; ++i) {
    complete(true, {{"X-Priority", "digest"}});
  }
  EXPECT_EQ(core.in_flight(), 80U);
  EXPECT_EQ(status_of_last_response(), 503);
  complete(true);
  EXPECT_EQ(core.in_flight(), 81U);
  EXPECT_EQ(status_of_last_response(), 0);
}

// Guards against a large workspace that takes the entry away from small ones.
TEST_F(admission_test, workspace_is_held_to_its_share_once_the_entry_is_crowded) {
  const auto vidal = [this] {
    send({"POST",
          "/v1/completions",
          {{"Authorization", "Bearer secret-of-vidal"}},
          R"({"model":"scribe","prompt":"x"})"});
  };
  vidal();
  for (int i = 0; i < 100; ++i) {
    complete(true, {{"X-Priority", "digest"}});
  }
  EXPECT_EQ(status_of_last_response(), 429);
  EXPECT_LT(core.in_flight(), 80U);
  vidal();
  EXPECT_EQ(status_of_last_response(), 0);
}

// Guards against an entry that takes new work after its drain, or cuts what it has.
TEST_F(admission_test, drained_entry_finishes_its_requests_and_takes_no_new_ones) {
  complete(false);
  const auto sent = take_submitted();
  core.stop_accepting();
  complete(false);
  const auto refused = take_response();
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(execution_of(refused), "not_run");
  answer_end(sent, 0);
  EXPECT_EQ(take_response().status, 200);
  EXPECT_EQ(core.in_flight(), 0U);
}

// Guards against requests that are held or sent without a configuration.
TEST(configuration_test, entry_without_configuration_refuses) {
  entry_core core(entry_options{});
  random_source random(1);
  std::vector<action> actions;
  step present{time_point(seconds(1)), random, actions};
  core.on_request(present, caller_id{1}, {"POST", "/v1/completions", {}, "{}"});
  ASSERT_FALSE(actions.empty());
  EXPECT_EQ(std::get<respond>(actions.front()).response.status, 503);
}

}  // namespace
}  // namespace cuminpath::entry
