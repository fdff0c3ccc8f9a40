#include "core/gateway/cold_rate_limiter.h"

#include <gtest/gtest.h>

namespace cuminpath::gateway {
namespace {

constexpr time_point k_start{seconds{100}};
constexpr std::uint32_t k_bound = 26;  // 14 requests a second x 1.5 + 5.

std::vector<std::string> gateways(std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i) {
    names.push_back("gw-" + std::to_string(i));
  }
  return names;
}

// Updates the list of names every 200 ms, as a gateway does.
void settle(cold_rate_limiter& limiter, const std::vector<std::string>& names, time_point from,
            milliseconds time = milliseconds{2200}) {
  for (milliseconds passed{0}; passed <= time; passed += milliseconds{200}) {
    limiter.set_members(names, true, from + passed);
  }
}

// Number of gateways with the list `names` that may send to the upstream.
std::size_t senders(const std::vector<std::string>& names, std::string_view upstream) {
  std::size_t count = 0;
  for (const std::string& name : names) {
    cold_rate_limiter limiter(name);
    settle(limiter, names, k_start);
    count += limiter.may_send(upstream, k_bound, k_start + seconds{3}) ? 1 : 0;
  }
  return count;
}

TEST(cold_rate_limiter, twice_as_many_senders_keep_the_bound) {
  const cold_rate_limiter limiter("a");
  for (std::uint32_t bound = 0; bound < 3000; ++bound) {
    const auto limits = limiter.limits_for(bound);
    EXPECT_GE(limits.senders * limits.per_sender, bound == 0 ? 0U : 1U);
    if (bound > 1) {  // A bound of 1 leaves no reserve for a second sender.
      EXPECT_LE(2 * limits.senders * limits.per_sender, bound);
    }
  }
  EXPECT_EQ(limiter.limits_for(k_bound).senders, 10U);
}

TEST(cold_rate_limiter, selects_as_many_senders_as_intended_whoever_is_alive) {
  for (const char* upstream : {"i-1", "i-2", "i-3"}) {
    EXPECT_EQ(senders(gateways(64), upstream), 10U);
    EXPECT_EQ(senders(gateways(4), upstream), 4U);
  }
}

TEST(cold_rate_limiter, sends_at_its_rate_and_counts_requests_of_the_time_before) {
  cold_rate_limiter limiter("a");
  settle(limiter, {}, k_start);
  time_point now = k_start + seconds{3};
  limiter.on_sent("i-1", 100, now);  // While the upstream was warm; 2 in a window are allowed at this bound.
  EXPECT_TRUE(limiter.may_send("i-1", 100, now));
  limiter.on_sent("i-1", 100, now + milliseconds{500});
  EXPECT_FALSE(limiter.may_send("i-1", 100, now + milliseconds{1000}));
  EXPECT_TRUE(limiter.may_send("i-2", 100, now + milliseconds{1000}));
  EXPECT_TRUE(limiter.may_send("i-1", 100, now + milliseconds{1050}));
}

// After a start of the whole fleet each gateway knows only itself and would select itself for everything.
TEST(cold_rate_limiter, sends_nothing_until_the_list_is_confirmed_and_no_longer_grows) {
  cold_rate_limiter limiter("a");
  EXPECT_FALSE(limiter.may_send("i-1", k_bound, k_start));
  time_point now = k_start;
  for (int step = 0; step < 100; ++step, now += milliseconds{200}) {
    limiter.set_members({}, false, now);
    EXPECT_FALSE(limiter.may_send("i-1", k_bound, now));
  }
  for (std::size_t step = 0; step < 40; ++step, now += milliseconds{200}) {
    limiter.set_members(gateways(step), true, now);
    EXPECT_FALSE(limiter.settled()) << step;
  }
  settle(limiter, gateways(40), now);
  EXPECT_TRUE(limiter.settled());
  limiter.set_members(gateways(42), false, now + seconds{3});  // A few more, and cut off.
  EXPECT_TRUE(limiter.settled());
  limiter.set_members(gateways(64), true, now + seconds{4});
  EXPECT_FALSE(limiter.settled());
  settle(limiter, gateways(64), now + seconds{5});
  EXPECT_TRUE(limiter.settled());
  limiter.restart_settling();
  EXPECT_FALSE(limiter.may_send("i-1", k_bound, now + seconds{8}));
}

// A gateway that is cut off is removed from all lists after a minute, but still sends.
TEST(cold_rate_limiter, keeps_names_that_are_no_longer_listed_for_the_retention_time) {
  cold_rate_limiter limiter("a");
  settle(limiter, gateways(63), k_start);
  limiter.set_members({}, true, k_start + minutes{10});
  EXPECT_EQ(limiter.known_names(), 64U);
  limiter.set_members({}, true, k_start + minutes{16});
  EXPECT_EQ(limiter.known_names(), 1U);
  EXPECT_TRUE(limiter.may_send("i-1", k_bound, k_start + minutes{16}));  // Selected by the new list.
}

}  // namespace
}  // namespace cuminpath::gateway
