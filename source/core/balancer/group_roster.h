// The balancers of one group as one of them knows them from their reports: which rank leads, and who receives
// reports how often.
//
// The cost for each host must not grow with the size of the group, so ranks do not report to all others
// several times a second. The lowest ranks that are alive are candidates: the first one leads, the others can
// take over at once. Candidates report to all ranks, all ranks report to the candidates, and the other ranks
// report to each other every two seconds.
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
  std::uint32_t candidates = 3;          // One leads, and two in succession may fail.
  milliseconds candidate_interval{200};  // Between reports from and to candidates.
  milliseconds other_interval{2000};
  // A balancer is suspected after this many of its report intervals without a report.
  double suspect_after_intervals = 3.5;
  // In larger groups, loads are summed in blocks of ranks on their way to the leader.
  std::uint32_t max_ranks_with_direct_loads = 24;
};

// The local rank's place in its group.
struct group_position {
  std::string_view group;
  std::uint32_t rank = 0;
  std::uint32_t ranks = 0;  // Size of the group.
};

class group_roster {
public:
  struct peer {
    rank_report report;
    time_point received_at{};
  };

  explicit group_roster(roster_options options = {}) : m_options(options) {}

  // Records a report. Returns false if it is older than the last one of the same process. If a report omits
  // the experts, those of the previous report are kept.
  bool on_report(rank_report report, time_point now);

  [[nodiscard]] const std::map<std::string, peer>& peers() const { return m_peers; }  // By host.
  // Whether the peer reports as it announced. False at once for a peer that has announced that it leaves.
  [[nodiscard]] bool alive(const peer& known, time_point now) const;
  // Returns the peers of the group, one for each rank: the one that reported last.
  [[nodiscard]] std::vector<const peer*> members(const group_position& local) const;

  // Whether every rank of the group is known and its balancer is alive.
  [[nodiscard]] bool all_alive(const group_position& local, time_point now) const;

  // Returns the peer that leads; null if the rank `local` leads, provided that it may lead.
  [[nodiscard]] const peer* leader(const group_position& local, time_point now) const;

  struct receivers {
    std::vector<std::string> addresses;
    milliseconds interval{0};  // Until they receive the next report.
  };
  // Return the receivers of a report of `local` at each candidate_interval and at each other_interval.
  [[nodiscard]] receivers frequent_receivers(const group_position& local, time_point now) const;
  [[nodiscard]] receivers other_receivers(const group_position& local, time_point now) const;

  // Returns the peer to which `local` sends its loads; null if it leads.
  [[nodiscard]] const peer* load_receiver(const group_position& local, time_point now) const;
  // Returns the maximum number of ranks that send their loads to the same rank.
  [[nodiscard]] std::uint32_t max_load_senders(std::uint32_t ranks) const;

private:
  [[nodiscard]] std::uint32_t block_size(std::uint32_t ranks) const;
  [[nodiscard]] std::vector<std::uint32_t> candidates(const group_position& local, time_point now) const;

  roster_options m_options;
  std::map<std::string, peer> m_peers;
};

}  // namespace cuminpath::balancer
