// Checks the number of messages of one gateway in fleets of several sizes, and how long the others wait for
// its next report.
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

TEST(report_schedule, every_member_receives_each_report_in_a_small_fleet) {
  report_schedule schedule;
  const auto members = fleet(18);
  for (int i = 0; i < 3; ++i) {
    const auto round = schedule.next("zone0", members);
    EXPECT_EQ(round.near.addresses.size(), members.size());
    EXPECT_EQ(round.near.rounds, 1U);
    EXPECT_TRUE(round.far.addresses.empty());
  }
}

TEST(report_schedule, messages_are_bounded_and_reports_arrive_within_the_announced_rounds) {
  for (const std::size_t size : {30U, 68U, 148U, 300U, 1200U}) {
    report_schedule schedule;
    const auto members = fleet(size);
    std::map<std::string, std::size_t> due_round;  // The round in which the next report is due.
    std::size_t max_rounds = 0;
    for (std::size_t number = 0; number < 200; ++number) {
      const auto round = schedule.next("zone0", members);
      EXPECT_LE(round.near.addresses.size() + round.far.addresses.size(), 64U) << size;
      for (const auto* part : {&round.near, &round.far}) {
        for (const std::string& address : part->addresses) {
          const auto due = due_round.find(address);
          EXPECT_TRUE(due == due_round.end() || number <= due->second) << size << " " << address;
          due_round[address] = number + part->rounds;
          max_rounds = std::max(max_rounds, part->rounds);
        }
      }
    }
    EXPECT_EQ(due_round.size(), members.size()) << size;
    // With up to 148 gateways, every member receives a report within 0.8 s at five rounds per second.
    EXPECT_LE(max_rounds, size <= 148 ? 5U : size / 20) << size;
  }
}

TEST(report_schedule, the_local_availability_zone_receives_each_report) {
  report_schedule schedule;
  const auto members = fleet(148);
  const auto local_members =
      static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const auto& member) {
        return member.report.availability_zone == "zone0";
      }));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(schedule.next("zone0", members).near.addresses.size(), local_members);
  }
}

TEST(report_schedule, continues_when_members_leave) {
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
