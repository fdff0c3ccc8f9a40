// The balancers of one group as one of them hears them: who leads, who is told what, and how often.
//
// Cost for each host must not grow with the size of the group, so ranks do not report to all others several
// times a second. The lowest ranks that live are candidates: the first leads, the others can take over at
// once. Seats report to everybody, everybody reports to the candidates, and the rest hear each other every
// two seconds.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/balancer/messages.h"
#include "core/common/time.h"

namespace cuminpath::balancer {

struct roster_options {
  std::uint32_t candidates = 3;          // One leads, and two in a row may be lost.
  milliseconds candidate_interval{200};  // Between reports from and to candidates.
  milliseconds other_interval{2000};
  // A balancer counts as gone after this many of its intervals without a report.
  double silent_intervals = 3.5;
  // Loads of larger groups are summed in blocks on their way to the leader.
  std::uint32_t most_direct_loads = 24;
};

struct group_position {
  std::string_view group;
  std::uint32_t rank = 0;
  std::uint32_t ranks = 0;  // Size of the group.
};

class group_roster {
public:
  struct peer {
    rank_report report;
    time_point heard_at{};
  };

  explicit group_roster(roster_options options = {}) : m_options(options) {}

  // False for a report that is older than a known one of the same process. Experts that a report leaves out
  // are kept from the one before.
  bool on_report(rank_report report, time_point now);

  [[nodiscard]] const std::map<std::string, peer>& peers() const { return m_peers; }  // By host.
  [[nodiscard]] bool lives(const peer& known, time_point now) const;
  // Peers of the group, one for each rank: the one heard last.
  [[nodiscard]] std::vector<const peer*> members(const group_position& own) const;

  // Every rank of the group is known, and its balancer lives.
  [[nodiscard]] bool all_live(const group_position& own, time_point now) const;

  // The peer that leads; null if the rank `own` does, provided that it may.
  [[nodiscard]] const peer* leader(const group_position& own, time_point now) const;

  struct receivers {
    std::vector<std::string> addresses;
    milliseconds interval{0};  // Until they get the next report.
  };
  // Who gets a report of `own` at each candidate_interval, and who does at each other_interval.
  [[nodiscard]] receivers frequent_receivers(const group_position& own, time_point now) const;
  [[nodiscard]] receivers other_receivers(const group_position& own, time_point now) const;

  // Whom `own` sends loads to; null if it leads.
  [[nodiscard]] const peer* load_receiver(const group_position& own, time_point now) const;
  // Ranks that send their loads to one other, at most.
  [[nodiscard]] std::uint32_t load_senders(std::uint32_t ranks) const;

private:
  [[nodiscard]] std::uint32_t block_size(std::uint32_t ranks) const;
  [[nodiscard]] std::vector<std::uint32_t> candidates(const group_position& own, time_point now) const;

  roster_options m_options;
  std::map<std::string, peer> m_peers;
};

}  // namespace cuminpath::balancer
