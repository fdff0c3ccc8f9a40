#include "core/gateway/configuration.h"

#include <gtest/gtest.h>

#include "unit_tests/support/cost.h"

namespace cuminpath::gateway {
namespace {

configuration sample() {
  configuration value;
  value.routes = {{.name = "root", .host = "a.example", .path_prefix = "/"},
                  {.name = "short", .host = "a.example", .path_prefix = "/x/"},
                  {.name = "long", .host = "a.example", .path_prefix = "/x/y/"},
                  {.name = "other", .host = "b.example", .path_prefix = "/x/"}};
  value.workspaces = {{.name = "w"}};
  value.workspace_of_key = {{"key", 0}};
  value.build_index();
  return value;
}

std::string route_name(const configuration& from, std::string_view host, std::string_view path) {
  const route* found = from.find_route(host, path);
  return found == nullptr ? "" : found->name;
}

TEST(configuration, selects_the_longest_prefix_of_the_host) {
  const configuration value = sample();
  EXPECT_EQ(route_name(value, "a.example", "/x/y/z"), "long");
  EXPECT_EQ(route_name(value, "a.example", "/x/y"), "short");
  EXPECT_EQ(route_name(value, "a.example", "/x/"), "short");
  EXPECT_EQ(route_name(value, "a.example", "/x"), "root");
  EXPECT_EQ(route_name(value, "b.example", "/x/y/z"), "other");
  EXPECT_EQ(route_name(value, "b.example", "/y"), "");
  EXPECT_EQ(route_name(value, "c.example", "/x/"), "");
}

TEST(configuration, names_the_services_of_routes_and_those_without_a_route) {
  configuration value = sample();
  value.services = {{.name = "idle"}, {.name = "routed"}};
  value.routes[0].shares = {{"routed", 1}, {"routed_only", 1}};
  EXPECT_EQ(value.service_names(), (std::unordered_set<std::string>{"idle", "routed", "routed_only"}));
}

// Guards against a request that occupies the gateway: each slash of its path took a look-up of all before it.
TEST(configuration, the_cost_of_a_look_up_does_not_grow_faster_than_the_path) {
  constexpr std::size_t k_slashes = 2000;
  configuration value = sample();
  for (int i = 0; i < 100; ++i) {
    value.routes.push_back(
        {.name = "more", .host = "c.example", .path_prefix = "/" + std::to_string(i) + "/"});
  }
  value.build_index();
  const std::string small(k_slashes, '/');
  const std::string large(support::k_growth * k_slashes, '/');
  EXPECT_EQ(route_name(value, "a.example", large), "root");
  const auto look_up = [&](const std::string& path) { return [&] { route_name(value, "b.example", path); }; };
  EXPECT_LE(support::cost_ratio(look_up(small), look_up(large)), support::k_max_growth);
}

TEST(configuration, ignores_case_and_port_of_the_host) {
  EXPECT_EQ(route_name(sample(), "A.Example:8080", "/x/"), "short");
}

TEST(configuration, does_not_match_a_part_of_the_host_as_a_prefix) {
  EXPECT_EQ(route_name(sample(), "a.example/x", "y/"), "");
  EXPECT_EQ(route_name(sample(), "", "a.example/x/"), "");
}

TEST(configuration, finds_workspaces_by_whole_keys_only) {
  const configuration value = sample();
  ASSERT_NE(value.find_workspace("key"), nullptr);
  EXPECT_EQ(value.find_workspace("key")->name, "w");
  EXPECT_EQ(value.find_workspace("ke"), nullptr);
  EXPECT_EQ(value.find_workspace(""), nullptr);
}

// Guards against capacity that is kept for more urgent requests than any route of the service has.
TEST(configuration, finds_the_most_urgent_priority_of_each_service) {
  configuration value;
  value.routes = {
      {.name = "a", .host = "h", .path_prefix = "/a/", .priority = 2, .shares = {{"engines"}, {"both"}}},
      {.name = "b", .host = "h", .path_prefix = "/b/", .priority = 1, .shares = {{"engines"}}},
      {.name = "c",
       .host = "h",
       .path_prefix = "/c/",
       .is_public = true,
       .priority = 3,
       .shares = {{"open"}}}};
  value.workspaces = {{.name = "plain"}, {.name = "urgent", .priority = 0}};
  value.build_index();
  EXPECT_EQ(value.most_urgent_priority("engines"), 1U);
  EXPECT_EQ(value.most_urgent_priority("both"), 2U);
  EXPECT_EQ(value.most_urgent_priority("open"), 3U);
  EXPECT_EQ(value.most_urgent_priority("unknown"), 0U);
  value.keys_required = true;  // Requests have the priority of their workspace now.
  value.build_index();
  EXPECT_EQ(value.most_urgent_priority("engines"), 0U);
  EXPECT_EQ(value.most_urgent_priority("open"), 3U);
}

}  // namespace
}  // namespace cuminpath::gateway
