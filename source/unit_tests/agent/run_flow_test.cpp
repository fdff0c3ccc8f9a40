#include "core/agent/run_flow.h"

#include <gtest/gtest.h>

namespace cuminpath::agent {
namespace {

// Guards against a response that fills the queue of the link, so that the link is dropped with the responses
// to all other requests of the entry.
TEST(run_flow, a_run_waits_while_too_much_is_queued_for_its_entry) {
  run_flow flow;
  EXPECT_FALSE(flow.on_data(run_id{1}, "a", k_max_queued_for_entry));
  EXPECT_TRUE(flow.on_data(run_id{1}, "a", k_max_queued_for_entry + 1));
  EXPECT_FALSE(flow.on_data(run_id{1}, "a", k_max_queued_for_entry + 1));  // It has been paused already.
  EXPECT_TRUE(flow.on_data(run_id{2}, "b", k_max_queued_for_entry + 1));
  std::size_t queued_for_a = k_resume_below + 1;
  const auto queued = [&](std::string_view entry) { return entry == "a" ? queued_for_a : k_resume_below; };
  EXPECT_EQ(flow.take_resumable(queued), std::vector{run_id{2}});
  EXPECT_TRUE(flow.take_resumable(queued).empty());
  queued_for_a = 0;
  EXPECT_EQ(flow.take_resumable(queued), std::vector{run_id{1}});
  EXPECT_TRUE(flow.on_data(run_id{1}, "a", k_max_queued_for_entry + 1));
}

TEST(run_flow, a_run_that_has_ended_is_forgotten) {
  run_flow flow;
  flow.on_data(run_id{1}, "a", k_max_queued_for_entry + 1);
  flow.on_ended(run_id{1});
  EXPECT_EQ(flow.paused(), 0U);
  EXPECT_TRUE(flow.take_resumable([](std::string_view) { return std::size_t{0}; }).empty());
}

}  // namespace
}  // namespace cuminpath::agent
