#include "core/balancer/group_roster.h"

#include <algorithm>
#include <cmath>

namespace cuminpath::balancer {

bool group_roster::on_report(rank_report report, time_point now) {
  peer& known = m_peers[report.host];
  if (known.report.incarnation == report.incarnation && report.sequence <= known.report.sequence) {
    return false;
  }
  if (!report.experts) {
    report.experts = std::move(known.report.experts);
  }
  report.view.updated_at = now;
  known = {std::move(report), now};
  return true;
}

bool group_roster::alive(const peer& known, time_point now) const {
  if (known.report.interval == milliseconds{0}) {
    return false;
  }
  const auto since_report = std::chrono::duration<double, std::milli>(now - known.received_at).count();
  return since_report <=
         m_options.suspect_after_intervals * static_cast<double>(known.report.interval.count());
}

std::vector<const group_roster::peer*> group_roster::members(const group_position& local) const {
  std::vector<const peer*> by_rank(local.ranks, nullptr);
  for (const auto& [host, known] : m_peers) {
    const engine_status& status = known.report.view.status;
    if (status.group != local.group || status.rank >= local.ranks || status.rank == local.rank) {
      continue;
    }
    const peer*& slot = by_rank[status.rank];
    slot = slot == nullptr || known.received_at > slot->received_at ? &known : slot;
  }
  std::erase(by_rank, nullptr);
  return by_rank;
}

std::vector<std::uint32_t> group_roster::candidates(const group_position& local, time_point now) const {
  std::vector<std::uint32_t> ranks{local.rank};
  for (const peer* member : members(local)) {
    if (alive(*member, now)) {
      ranks.push_back(member->report.view.status.rank);
    }
  }
  std::sort(ranks.begin(), ranks.end());
  ranks.resize(std::min<std::size_t>(ranks.size(), m_options.candidates));
  return ranks;
}

const group_roster::peer* group_roster::leader(const group_position& local, time_point now) const {
  for (const peer* member : members(local)) {
    if (member->report.view.status.rank > local.rank) {
      return nullptr;
    }
    if (member->report.may_lead && alive(*member, now)) {
      return member;
    }
  }
  return nullptr;
}

bool group_roster::all_alive(const group_position& local, time_point now) const {
  const auto known = members(local);
  return known.size() + 1 == local.ranks &&
         std::all_of(known.begin(), known.end(), [&](const peer* member) { return alive(*member, now); });
}

group_roster::receivers group_roster::frequent_receivers(const group_position& local, time_point now) const {
  const auto lowest = candidates(local, now);
  const bool candidate = std::find(lowest.begin(), lowest.end(), local.rank) != lowest.end();
  receivers found{.interval = m_options.candidate_interval};
  for (const peer* member : members(local)) {
    if (candidate ||
        std::find(lowest.begin(), lowest.end(), member->report.view.status.rank) != lowest.end()) {
      found.addresses.push_back(member->report.report_address);
    }
  }
  return found;
}

group_roster::receivers group_roster::other_receivers(const group_position& local, time_point now) const {
  const auto lowest = candidates(local, now);
  receivers found{.interval = m_options.other_interval};
  if (std::find(lowest.begin(), lowest.end(), local.rank) != lowest.end()) {
    return found;
  }
  for (const peer* member : members(local)) {
    if (std::find(lowest.begin(), lowest.end(), member->report.view.status.rank) == lowest.end()) {
      found.addresses.push_back(member->report.report_address);
    }
  }
  return found;
}

std::uint32_t group_roster::block_size(std::uint32_t ranks) const {
  return ranks <= m_options.max_ranks_with_direct_loads
             ? 1
             : static_cast<std::uint32_t>(std::ceil(std::sqrt(static_cast<double>(ranks))));
}

const group_roster::peer* group_roster::load_receiver(const group_position& local, time_point now) const {
  const std::uint32_t size = block_size(local.ranks);
  const std::uint32_t first = local.rank / size * size;
  const peer* leading = leader(local, now);
  for (const peer* member : members(local)) {
    const std::uint32_t rank = member->report.view.status.rank;
    // The leader receives the sums of the blocks and does not sum a block itself.
    if (member != leading && rank >= first && rank < local.rank && alive(*member, now)) {
      return member;
    }
  }
  return leading;
}

std::uint32_t group_roster::max_load_senders(std::uint32_t ranks) const {
  const std::uint32_t size = block_size(ranks);
  return size == 1 ? ranks : std::max(size, (ranks + size - 1) / size + 1);
}

}  // namespace cuminpath::balancer
