// Messages of one gateway in fleets of several sizes, and how long others go without hearing it.
#include "core/gateway/report_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace cuminpath::gateway {
namespace {

constexpr std::size_t k_zones = 5;

std::vector<member_list::member> fleet(std::size_t size) {
  std::vector<member_list::member> members;
  for (std::size_t i = 1; i < size; ++i) {
    member_list::member member;
    member.report.name = "gateway" + std::to_string(i);
    member.report.report_address = "address" + std::to_string(i);
    member.report.availability_zone = "zone" + std::to_string(i % k_zones);
    members.push_back(std::move(member));
  }
  return members;
}

TEST(report_schedule, everybody_hears_each_report_in_a_small_fleet) {
  report_schedule schedule;
  const auto members = fleet(18);
  for (int i = 0; i < 3; ++i) {
    const auto round = schedule.next("zone0", members);
    EXPECT_EQ(round.near.addresses.size(), members.size());
    EXPECT_EQ(round.near.rounds, 1U);
    EXPECT_TRUE(round.far.addresses.empty());
  }
}

TEST(report_schedule, messages_are_bounded_and_nobody_waits_longer_than_promised) {
  for (const std::size_t size : {30U, 68U, 148U, 300U, 1200U}) {
    report_schedule schedule;
    const auto members = fleet(size);
    std::map<std::string, std::size_t> next_by;  // The round in which the next report has to come.
    std::size_t most_promised = 0;
    for (std::size_t number = 0; number < 200; ++number) {
      const auto round = schedule.next("zone0", members);
      EXPECT_LE(round.near.addresses.size() + round.far.addresses.size(), 64U) << size;
      for (const auto* part : {&round.near, &round.far}) {
        for (const std::string& address : part->addresses) {
          const auto promised = next_by.find(address);
          EXPECT_TRUE(promised == next_by.end() || number <= promised->second) << size << " " << address;
          next_by[address] = number + part->rounds;
          most_promised = std::max(most_promised, part->rounds);
        }
      }
    }
    EXPECT_EQ(next_by.size(), members.size()) << size;
    // Up to 148 gateways, others hear one within 0.8 s at five rounds a second.
    EXPECT_LE(most_promised, size <= 148 ? 5U : size / 20) << size;
  }
}

TEST(report_schedule, the_own_zone_hears_each_report) {
  report_schedule schedule;
  const auto members = fleet(148);
  const auto own =
      static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const auto& member) {
        return member.report.availability_zone == "zone0";
      }));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(schedule.next("zone0", members).near.addresses.size(), own);
  }
}

TEST(report_schedule, goes_on_when_members_leave) {
  report_schedule schedule;
  auto members = fleet(148);
  schedule.next("zone0", members);
  members.resize(2);
  EXPECT_EQ(schedule.next("zone0", members).near.addresses.size(), 2U);
  members.clear();
  EXPECT_TRUE(schedule.next("zone0", members).near.addresses.empty());
}

}  // namespace
}  // namespace cuminpath::gateway
