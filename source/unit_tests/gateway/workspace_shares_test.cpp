#include "core/gateway/workspace_shares.h"

#include <gtest/gtest.h>

#include "core/gateway/admission.h"

namespace cuminpath::gateway {
namespace {

constexpr time_point k_start{hours{1}};

class workspace_shares_decision : public ::testing::Test {
protected:
  // Has a workspace ask for `requested` and get `admitted`.
  void use(std::string_view workspace, double requested, double admitted, std::uint32_t rank = 0,
           time_point at = k_start) {
    m_shares.on_request({.workspace = workspace, .rank = rank, .cost = requested}, at);
    m_shares.on_admitted({.workspace = workspace, .rank = rank, .cost = admitted}, at);
  }
  [[nodiscard]] bool admits(std::string_view workspace, double scarcity, std::uint32_t rank = 0,
                            bool is_retry = false) const {
    return m_shares.may_admit({.workspace = workspace, .rank = rank, .is_retry = is_retry}, scarcity,
                              k_start + seconds{1});
  }

  workspace_shares m_shares;
};

TEST_F(workspace_shares_decision, refuses_the_large_workspace_only_while_slots_are_scarce) {
  use("large", 200, 80);
  use("small", 20, 20);
  EXPECT_TRUE(admits("large", 0));
  EXPECT_FALSE(admits("large", 0.8));
  EXPECT_TRUE(admits("small", 0.8));
  EXPECT_TRUE(admits("small", 1));
  EXPECT_TRUE(admits("not seen before", 1));
}

// An equal share of 50 would refuse the large one although nobody else wants the capacity.
TEST_F(workspace_shares_decision, gives_unused_shares_to_others) {
  use("large", 200, 80);
  use("small", 20, 20);
  EXPECT_TRUE(admits("large", 0.69));
  EXPECT_FALSE(admits("large", 0.71));
}

TEST_F(workspace_shares_decision, limits_nobody_if_nearly_all_requests_were_admitted) {
  use("large", 200, 190);
  use("small", 20, 20);
  EXPECT_TRUE(admits("large", 1));
}

TEST_F(workspace_shares_decision, limits_no_workspace_that_is_alone) {
  use("large", 200, 100);
  EXPECT_TRUE(admits("large", 1));
}

// By number of requests, the two would be equal.
TEST_F(workspace_shares_decision, compares_costs) {
  for (int request = 0; request < 10; ++request) {
    use("long prompts", 4000, request < 6 ? 4000 : 0);
    use("short prompts", 100, request < 6 ? 100 : 0);
  }
  EXPECT_FALSE(admits("long prompts", 0.8));
  EXPECT_TRUE(admits("short prompts", 0.8));
}

// Guards against a priority inversion within a workspace.
TEST_F(workspace_shares_decision, ignores_less_urgent_use_for_urgent_requests) {
  use("large", 10, 10, 0);
  use("large", 200, 90, 2);
  use("small", 20, 20, 0);
  EXPECT_FALSE(admits("large", 0.8, 2));
  EXPECT_TRUE(admits("large", 0.8, 0));
}

TEST_F(workspace_shares_decision, admits_returning_callers_before_new_requests) {
  use("large", 200, 80);
  use("small", 20, 20);
  EXPECT_FALSE(admits("large", 0.75, 0, false));
  EXPECT_TRUE(admits("large", 0.75, 0, true));
  EXPECT_FALSE(admits("large", 1, 0, true));
}

TEST_F(workspace_shares_decision, refuses_nobody_in_the_first_half_second) {
  use("large", 200, 80);
  use("small", 20, 20);
  EXPECT_TRUE(m_shares.may_admit({.workspace = "large"}, 1, k_start + milliseconds{499}));
  EXPECT_FALSE(m_shares.may_admit({.workspace = "large"}, 1, k_start + milliseconds{500}));
}

// Guards against memory that grows with every workspace that has ever existed.
TEST_F(workspace_shares_decision, forgets_workspaces_without_requests) {
  use("large", 200, 80);
  use("small", 20, 20);
  use("later", 1, 1, 0, k_start + minutes{3});
  EXPECT_EQ(m_shares.size(), 1U);
}

TEST(scarcity, is_0_until_few_slots_are_left_to_the_rank) {
  const auto at = [](std::uint32_t outstanding, std::uint32_t priority) {
    return scarcity({.upstreams = 20, .slots = 200, .outstanding = outstanding},
                    {.priority = priority, .engine = true});
  };
  EXPECT_EQ(at(0, 0), 0);
  EXPECT_EQ(at(196, 0), 0);
  EXPECT_GT(at(197, 0), 0);
  EXPECT_GT(at(199, 0), at(198, 0));
  EXPECT_EQ(at(200, 0), 1);
  EXPECT_EQ(at(250, 0), 1);
  EXPECT_EQ(at(130, 2), 0);
  EXPECT_EQ(at(140, 2), 1);
}

TEST(scarcity, considers_the_limit_of_forward_passes) {
  const admission_request request{.engine = true, .max_pass_utilization = 0.6, .slot_share = 0.1};
  EXPECT_EQ(scarcity({.upstreams = 20, .slots = 200, .outstanding = 110}, request), 0);
  EXPECT_EQ(scarcity({.upstreams = 20, .slots = 200, .outstanding = 120}, request), 1);
}

TEST(scarcity, is_0_without_upstreams) {
  EXPECT_EQ(scarcity({}, {.engine = true}), 0);
}

}  // namespace
}  // namespace cuminpath::gateway
