#include "core/gateway/second_attempt_policy.h"

#include <algorithm>

#include "core/gateway/attempt_policy.h"

namespace cuminpath::gateway {
namespace {

// With fewer samples, the times that 1 response in 200 exceeds are not known.
constexpr double k_min_samples = 200;
// Candidates for the time of a second attempt. 128 of them lie 4 ms apart with a target of 0.5 s, less than
// the width of a bucket there. Second attempts that began 7 ms later than necessary were late by up to 6 ms.
constexpr int k_candidates = 128;
// Until the next look after a refusal that may pass, with jitter, so that requests that were refused together
// do not come together. A few looks fit into the time that a second attempt can still use.
constexpr milliseconds k_min_wait_to_next_look{15};
constexpr milliseconds k_max_wait_to_next_look{30};
// With fewer attempts of this gateway at a service, silence of the others says nothing about the service.
constexpr std::uint32_t k_min_running_for_silence = 3;
// While several streams run, a pause between two events of any of them that is longer than this multiple of
// what 99 in 100 pauses of one stream last is a stall of the service, or of this process.
constexpr int k_stall_pauses = 2;
constexpr double k_usual_probability = 0.99;
// An upstream that let an attempt wait for too long gets no second attempts for this long, or until it
// answers in a usual time. Hangs and pauses of hosts last up to 5 s.
constexpr seconds k_slow_upstream_memory{5};

}  // namespace

std::string_view refusal_name(second_attempt_refusal refusal) {
  switch (refusal) {
    case second_attempt_refusal::none:
      return "none";
    case second_attempt_refusal::not_repeatable:
      return "not_repeatable";
    case second_attempt_refusal::attempts:
      return "attempts";
    case second_attempt_refusal::time_left:
      return "time_left";
    case second_attempt_refusal::quarantined:
      return "quarantined";
    case second_attempt_refusal::no_gain:
      return "no_gain";
    case second_attempt_refusal::service_silent:
      return "service_silent";
    case second_attempt_refusal::slots:
      return "slots";
    case second_attempt_refusal::request_share:
      return "request_share";
    case second_attempt_refusal::token_share:
      return "token_share";
    case second_attempt_refusal::retry_budget:
      return "retry_budget";
  }
  return "";
}

void second_attempt_policy::on_answer(awaited what, std::string_view upstream_id, time_point since,
                                      time_point now) {
  on_progress(upstream_id, now);
  if (since >= m_stall_ended) {
    times(what).record(now - since, now);
  }
  if (!m_slow_upstreams.empty() && now - since <= times(what).quantile(k_usual_probability)) {
    std::erase_if(m_slow_upstreams,
                  [upstream_id](const progress& slow) { return slow.upstream_id == upstream_id; });
  }
}

void second_attempt_policy::on_progress(std::string_view upstream_id, time_point now) {
  if (in_stall(now)) {
    m_stall_ended = now;
  }
  if (upstream_id != m_last_progress.upstream_id) {
    std::swap(m_last_other_progress, m_last_progress);
    m_last_progress.upstream_id = upstream_id;
  }
  m_last_progress.at = now;
}

void second_attempt_policy::on_no_answer(awaited what, std::string_view upstream_id, time_point since,
                                         time_point now) {
  if (since >= m_stall_ended && !in_stall(now)) {
    times(what).record_unanswered(now - since, now);
    if (times_known(what, now) && now - since > times(what).quantile(k_usual_probability)) {
      note_slow(upstream_id, now);
    }
  }
}

void second_attempt_policy::note_slow(std::string_view upstream_id, time_point now) {
  std::erase_if(m_slow_upstreams, [upstream_id, now](const progress& slow) {
    return slow.upstream_id == upstream_id || now - slow.at >= k_slow_upstream_memory;
  });
  m_slow_upstreams.push_back({std::string(upstream_id), now});
}

bool second_attempt_policy::in_stall(time_point now) const {
  return m_running >= k_min_running_for_silence && !m_last_progress.upstream_id.empty() &&
         times_known(awaited::next_event, now) &&
         now - m_last_progress.at > k_stall_pauses * times(awaited::next_event).quantile(k_usual_probability);
}

bool second_attempt_policy::times_known(awaited what, time_point now) const {
  return times(what).sample_count(now) >= k_min_samples;
}

std::optional<duration> second_attempt_policy::quantile(awaited what, double probability,
                                                        time_point now) const {
  return times_known(what, now) ? std::optional(times(what).quantile(probability)) : std::nullopt;
}

second_attempt_refusal second_attempt_policy::check_request(const second_attempt_facts& facts) const {
  if (facts.finished || !facts.may_run_again) {
    return second_attempt_refusal::not_repeatable;
  }
  if (facts.running_attempts != 1 || facts.sent_attempts >= facts.max_attempts) {
    return second_attempt_refusal::attempts;
  }
  if (facts.time_left < k_min_time_for_attempt) {
    return second_attempt_refusal::time_left;
  }
  return facts.quarantined ? second_attempt_refusal::quarantined : second_attempt_refusal::none;
}

std::optional<time_point> second_attempt_policy::when_to_look(const second_attempt_facts& facts,
                                                              time_point now) {
  if (check_request(facts) != second_attempt_refusal::none || facts.late_at <= facts.waiting_since) {
    return std::nullopt;
  }
  for (auto& each : m_times) {
    each.update(now);
  }
  const duration until_late = facts.late_at - facts.waiting_since;
  if (!times_known(facts.what, now)) {
    return facts.late_at;
  }
  const response_times& first = times(facts.what);
  const response_times& second = times_of_second(facts.what);
  const double late = first.share_over(until_late);
  duration best_wait = until_late;
  double best_value = 0;
  for (int i = 1; i < k_candidates; ++i) {
    const duration wait = until_late * i / k_candidates;
    const double value = late * (1 - second.share_over(until_late - wait)) - k_price * first.share_over(wait);
    if (value > best_value) {
      best_value = value;
      best_wait = wait;
    }
  }
  return facts.waiting_since + best_wait;
}

bool second_attempt_policy::is_worth_it(const second_attempt_facts& facts, time_point now) const {
  if (now >= facts.late_at || !times_known(facts.what, now)) {
    return false;
  }
  const response_times& first = times(facts.what);
  const double late_if_alone =
      first.share_over(facts.late_at - facts.waiting_since) / first.share_over(now - facts.waiting_since);
  const double second_on_time = 1 - times_of_second(facts.what).share_over(facts.late_at - now);
  return late_if_alone * second_on_time >= k_price;
}

bool second_attempt_policy::service_is_silent(const second_attempt_facts& facts, time_point now) const {
  // Requests that waited through a stall are late by its length, though their upstreams are not slow.
  if (in_stall(now) || facts.waiting_since < m_stall_ended) {
    return true;
  }
  const time_point progress_elsewhere =
      m_last_progress.upstream_id == facts.upstream_id ? m_last_other_progress.at : m_last_progress.at;
  if (m_running < k_min_running_for_silence) {
    // Upstreams of a group pause together, so there the others must have been seen to make progress.
    return facts.grouped && progress_elsewhere < facts.waiting_since;
  }
  return now - progress_elsewhere > (now - facts.waiting_since) / 2;
}

second_attempt_refusal second_attempt_policy::check_limits(const second_attempt_facts& facts,
                                                           const second_attempt_shares& shares,
                                                           time_point now) {
  if (service_is_silent(facts, now)) {
    return second_attempt_refusal::service_silent;
  }
  const auto in_use = static_cast<double>(facts.totals.outstanding);
  if (!facts.slot_available || in_use >= k_max_utilization * facts.totals.slots) {
    return second_attempt_refusal::slots;
  }
  if (facts.engine && !facts.tokens) {
    return second_attempt_refusal::token_share;
  }
  switch (m_budget.check(facts.engine ? facts.tokens : std::nullopt, shares, now)) {
    case second_attempt_budget::refusal::requests:
      return second_attempt_refusal::request_share;
    case second_attempt_budget::refusal::tokens:
      return second_attempt_refusal::token_share;
    case second_attempt_budget::refusal::none:
      break;
  }
  return facts.retry_available ? second_attempt_refusal::none : second_attempt_refusal::retry_budget;
}

second_attempt_decision second_attempt_policy::decide(const second_attempt_facts& facts,
                                                      const second_attempt_shares& shares, time_point now,
                                                      random_source& random) {
  const auto request = check_request(facts);
  if (request != second_attempt_refusal::none) {
    return no_second_attempt{request};
  }
  if (!is_worth_it(facts, now)) {
    return no_second_attempt{second_attempt_refusal::no_gain};
  }
  const auto limit = check_limits(facts, shares, now);
  if (limit == second_attempt_refusal::none) {
    return begin_second_attempt{};
  }
  const auto spread = static_cast<std::size_t>((k_max_wait_to_next_look - k_min_wait_to_next_look).count());
  return look_later{now + k_min_wait_to_next_look + milliseconds(random_index(random, spread + 1)), limit};
}

void second_attempt_policy::on_second_attempt(const second_attempt_facts& facts, time_point now) {
  m_budget.on_second_attempt(facts.tokens.value_or(0), now);
  note_slow(facts.upstream_id, now);
}

std::vector<std::string> second_attempt_policy::slow_upstreams(time_point now) const {
  std::vector<std::string> ids;
  for (const progress& slow : m_slow_upstreams) {
    if (now - slow.at < k_slow_upstream_memory) {
      ids.push_back(slow.upstream_id);
    }
  }
  return ids;
}

}  // namespace cuminpath::gateway
