#include "core/gateway/store_reader_selection.h"

#include <algorithm>

#include "core/common/hash.h"

namespace cuminpath::gateway {
namespace {

// All gateways of an availability zone prefer the same readers.
std::uint64_t preference(const member_report& report) {
  return rendezvous_weight(report.availability_zone, report.name);
}

}  // namespace

store_reader_selection::preferred_members store_reader_selection::members_preferred_to(
    const member_report& self, const member_list& members, time_point now) {
  const std::uint64_t own_preference = preference(self);
  preferred_members found;
  for (const member_list::member& known : members.all()) {
    const member_report& report = known.report;
    if (report.availability_zone == self.availability_zone && report.state != member_state::leaving &&
        members.alive(known, now) && preference(report) > own_preference) {
      ++found.alive_count;
      const bool readable = compare_mirrors(report, self) != mirror_relation::unusable;
      found.readers += report.reads_store && readable ? 1 : 0;
    }
  }
  return found;
}

void store_reader_selection::wait_for_members(time_point until) {
  m_reads_store = false;
  m_wait_for_members_until = until;
}

bool store_reader_selection::update(const member_report& self, const member_list& members, time_point now) {
  if (m_distrust_until && now >= *m_distrust_until) {
    m_distrust_until.reset();
  }
  if (!m_reads_store && lags(now)) {
    distrust_members(now);
  }
  const preferred_members others = members_preferred_to(self, members, now);
  if (m_distrust_until) {
    m_enough_readers_since.reset();
    m_reads_store = true;
  } else if (others.readers < m_options.readers_per_zone) {
    m_enough_readers_since.reset();
    start_reading_in_order(others, now);
  } else {
    m_readers_missing_since.reset();
    m_enough_readers_since = m_enough_readers_since.value_or(now);
    m_reads_store = m_reads_store && now - *m_enough_readers_since < m_options.settle_time;
  }
  return m_reads_store;
}

void store_reader_selection::start_reading_in_order(const preferred_members& others, time_point now) {
  if (m_reads_store || (m_wait_for_members_until && now < *m_wait_for_members_until)) {
    m_readers_missing_since.reset();
    return;
  }
  m_readers_missing_since = m_readers_missing_since.value_or(now);
  const std::size_t position =
      others.alive_count - std::min(others.alive_count, m_options.readers_per_zone - 1);
  m_reads_store =
      now - *m_readers_missing_since >= static_cast<std::int64_t>(position) * m_options.reader_start_interval;
}

void store_reader_selection::on_versions_compared(bool behind, time_point now) {
  if (!behind) {
    m_behind_since.reset();
  } else if (!m_behind_since) {
    m_behind_since = now;
  }
}

void store_reader_selection::on_changes_applied(time_point now) {
  if (m_behind_since) {
    m_behind_since = now;
  }
}

void store_reader_selection::distrust_members(time_point now) {
  m_reads_store = true;
  m_wait_for_members_until.reset();
  m_enough_readers_since.reset();
  m_distrust_until = now + m_options.distrust_duration;
}

}  // namespace cuminpath::gateway
