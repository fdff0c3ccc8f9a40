#include "core/gateway/seed_schedule.h"

#include <algorithm>
#include <random>

namespace cuminpath::gateway {
namespace {

// Gateways that are cut off together do not ask together.
milliseconds with_jitter(milliseconds interval, random_source& random) {
  return milliseconds(
      std::uniform_int_distribution<std::int64_t>(interval.count() / 2, interval.count())(random));
}

}  // namespace

seed_schedule::contact seed_schedule::find_contact(const member_report& local, const member_list& members,
                                                   std::span<const std::string> seeds, time_point now) {
  if (local.state == member_state::starting) {
    return contact::starting;
  }
  const auto has_news = [&](const member_list::member& other) {
    return members.alive(other, now) &&
           (other.report.reads_store ||
            std::find(seeds.begin(), seeds.end(), other.report.mirror_address) != seeds.end());
  };
  const auto all = members.all();
  return local.reads_store || std::any_of(all.begin(), all.end(), has_news) ? contact::in_touch
                                                                            : contact::alone;
}

bool seed_schedule::take_due(contact state, time_point now, random_source& random) {
  if (state == contact::in_touch) {
    *this = {};
    return false;
  }
  if (state == contact::alone && !m_next) {
    m_next = now + with_jitter(m_interval, random);
  }
  if (m_next && now < *m_next) {
    return false;
  }
  if (state == contact::starting) {
    m_next = now + k_starting_interval;
  } else {
    m_interval = std::min(2 * m_interval, k_last_interval);
    m_next = now + with_jitter(m_interval, random);
  }
  return true;
}

}  // namespace cuminpath::gateway
