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

store_watch::preferred store_watch::preferred_to(const member_report& self, const member_list& members,
                                                 time_point now) {
  const std::uint64_t own = preference(self);
  preferred found;
  for (const member_list::member& known : members.all()) {
    const member_report& report = known.report;
    if (report.availability_zone == self.availability_zone && report.state != member_state::leaving &&
        members.alive(known, now) && preference(report) > own) {
      ++found.living;
      found.readers += report.reads_store ? 1 : 0;
    }
  }
  return found;
}

void store_watch::ask_others_first(time_point until) {
  m_reads = false;
  m_ask_others_until = until;
}

bool store_watch::update(const member_report& self, const member_list& members, time_point now) {
  if (m_distrust_until && now >= *m_distrust_until) {
    m_distrust_until.reset();
  }
  if (!m_reads && lags(now)) {
    distrust_others(now);
  }
  const preferred others = preferred_to(self, members, now);
  if (m_distrust_until) {
    m_covered_since.reset();
    m_reads = true;
  } else if (others.readers < m_options.readers_per_zone) {
    m_covered_since.reset();
    read_in_turn(others, now);
  } else {
    m_uncovered_since.reset();
    m_covered_since = m_covered_since.value_or(now);
    m_reads = m_reads && now - *m_covered_since < m_options.settle_time;
  }
  return m_reads;
}

void store_watch::read_in_turn(const preferred& others, time_point now) {
  if (m_reads || (m_ask_others_until && now < *m_ask_others_until)) {
    m_uncovered_since.reset();
    return;
  }
  m_uncovered_since = m_uncovered_since.value_or(now);
  const std::size_t turn = others.living - std::min(others.living, m_options.readers_per_zone - 1);
  m_reads = now - *m_uncovered_since >= static_cast<std::int64_t>(turn) * m_options.turn_time;
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
  m_ask_others_until.reset();
  m_covered_since.reset();
  m_distrust_until = now + m_options.distrust_time;
}

}  // namespace cuminpath::gateway
