#include "core/gateway/store_watch.h"

#include <algorithm>

#include "core/common/hash.h"

namespace cuminpath::gateway {
namespace {

// All gateways of a zone prefer the same readers.
std::uint64_t preference(const member_report& report) {
  return rendezvous_weight(report.availability_zone, report.name);
}

}  // namespace

bool store_watch::covered(const member_report& self, const member_list& members, time_point now) const {
  const std::uint64_t own = preference(self);
  const auto readers =
      std::count_if(members.all().begin(), members.all().end(), [&](const member_list::member& known) {
        const member_report& report = known.report;
        return report.reads_store && report.state != member_state::leaving &&
               report.availability_zone == self.availability_zone && members.alive(known, now) &&
               preference(report) > own;
      });
  return static_cast<std::size_t>(readers) >= m_options.readers_per_zone;
}

bool store_watch::update(const member_report& self, const member_list& members, time_point now) {
  if (m_distrust_until && now >= *m_distrust_until) {
    m_distrust_until.reset();
  }
  if (!m_reads && lags(now)) {
    distrust_others(now);
  }
  if (m_distrust_until || !covered(self, members, now)) {
    m_covered_since.reset();
    m_reads = true;
  } else if (!m_covered_since) {
    m_covered_since = now;
  } else if (now - *m_covered_since >= m_options.settle_time) {
    m_reads = false;
  }
  return m_reads;
}

void store_watch::on_compared(bool behind, time_point now) {
  if (!behind) {
    m_behind_since.reset();
  } else if (!m_behind_since) {
    m_behind_since = now;
  }
}

void store_watch::on_changes_taken(time_point now) {
  if (m_behind_since) {
    m_behind_since = now;
  }
}

void store_watch::distrust_others(time_point now) {
  m_reads = true;
  m_covered_since.reset();
  m_distrust_until = now + m_options.distrust_time;
}

}  // namespace cuminpath::gateway
