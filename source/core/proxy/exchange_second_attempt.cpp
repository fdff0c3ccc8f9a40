// Second attempts of an exchange beside a slow one. gateway::second_attempt_policy decides on them.

#include <algorithm>

#include "core/gateway/admission.h"
#include "core/proxy/exchange.h"
#include "core/proxy/exchange_detail.h"
#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

using gateway::awaited;
using gateway::call_kind;
using gateway::second_attempt_policy;
using gateway::second_attempt_refusal;
using telemetry::log_level;

// Until the next look at a stream whose last look found nothing to do. Streams have about 25 events a second;
// looking at each of them would cost more.
constexpr milliseconds k_stream_look_interval{100};

void count(telemetry::metrics& metrics, std::string_view event) {
  metrics.add("cuminpath_second_attempts_total", {{"event", std::string(event)}});
}

template <typename... visitor_types>
struct overloaded : visitor_types... {
  using visitor_types::operator()...;
};
template <typename... visitor_types>
overloaded(visitor_types...) -> overloaded<visitor_types...>;

}  // namespace

second_attempt_policy* exchange::second_attempts() const {
  const auto& shares = m_state.second_attempt_shares;
  if (shares.requests <= 0 || (shares.tokens <= 0 && is_engine_call())) {
    return nullptr;
  }
  return &m_state.second_attempts[m_service];
}

std::optional<std::uint64_t> exchange::token_count() const {
  return gateway::parse_token_counts(m_request.header(m_state.header_names.token_counts).value_or(""));
}

void exchange::count_request(time_point now) {
  if (auto* policy = second_attempts()) {
    policy->on_request(is_engine_call() ? token_count().value_or(0) : 0, now);
  }
}

void exchange::on_attempt_sent(time_point now) {
  if (auto* policy = second_attempts()) {
    policy->on_attempt_sent();
    consider_second_attempt(now);
  }
}

void exchange::on_attempt_answered(upstream_attempt& attempt, awaited what, time_point now) {
  if (!std::exchange(attempt.answered, true) && attempt.second) {
    count(m_state.metrics, "won");
  }
  auto* policy = second_attempts();
  if (policy != nullptr && (what != awaited::response || m_route->kind != call_kind::stream)) {
    if (std::exchange(attempt.no_answer_recorded, false)) {
      policy->on_progress(attempt.upstream_id, now);
    } else {
      policy->on_answer(what, attempt.upstream_id, attempt.last_progress, now);
    }
  }
}

void exchange::on_attempt_released(upstream_attempt& attempt, time_point now) {
  auto* policy = attempt.sent ? second_attempts() : nullptr;
  if (policy != nullptr) {
    policy->on_attempt_ended();
    if (!attempt.answered && !std::exchange(attempt.no_answer_recorded, true)) {
      policy->on_no_answer(describe_wait(attempt, now).what, attempt.upstream_id, attempt.last_progress, now);
    }
  }
  if (attempt.second && !attempt.answered) {
    count(m_state.metrics, "lost");
  }
}

void exchange::on_attempt_overtaken(upstream_attempt& attempt, const upstream_attempt& by, time_point now) {
  // Without this, an upstream that hangs would be the one with the least load, since its attempts end early.
  if (by.second && !std::exchange(attempt.silent, true)) {
    m_state.upstreams.on_failure(attempt.upstream_id, now);
  }
}

gateway::second_attempt_facts exchange::describe_wait(const upstream_attempt& attempt, time_point now) const {
  const gateway::service* service = m_configuration->find_service(m_service);
  gateway::second_attempt_facts facts{.waiting_since = attempt.last_progress,
                                      .upstream_id = attempt.upstream_id,
                                      .may_run_again = may_run_again(),
                                      .finished = m_done || m_second_attempt_begun,
                                      .running_attempts = static_cast<std::uint32_t>(m_attempts.size()),
                                      .sent_attempts = m_sent_attempts,
                                      .max_attempts = m_route->max_attempts,
                                      .time_left = time_left(now),
                                      .engine = is_engine_call(),
                                      .grouped = service != nullptr && service->experts.has_value()};
  if (attempt.events > 0) {
    facts.what = awaited::next_event;
    facts.late_at = attempt.last_progress + m_route->max_event_gap;
  } else {
    facts.what = m_route->kind == call_kind::stream ? awaited::first_event : awaited::response;
    // The rest of a stream that was lost is late already.
    facts.late_at = m_response_started ? attempt.last_progress : m_arrived + m_route->target_latency;
  }
  return facts;
}

bool exchange::watches_event_gaps() const {
  return m_route->kind == call_kind::stream && m_route->max_event_gap.count() > 0 &&
         m_sent_attempts < m_route->max_attempts;
}

void exchange::arm_second_attempt_timer(time_point at) {
  m_second_attempt_timer.expires_at(at);
  m_second_attempt_timer.async_wait([self = shared_from_this()](std::error_code cancelled) {
    if (!cancelled) {
      self->consider_second_attempt(clock::now());
    }
  });
}

void exchange::consider_second_attempt(time_point now) {
  auto* policy = second_attempts();
  if (policy == nullptr || m_done || m_second_attempt_begun || !m_route->repeatable() ||
      m_attempts.size() != 1 || !m_attempts.front()->sent) {
    return;
  }
  const upstream_attempt& attempt = *m_attempts.front();
  if (attempt.connection->paused()) {
    arm_second_attempt_timer(now + k_stream_look_interval);
    return;
  }
  auto facts = describe_wait(attempt, now);
  const auto look_at = policy->when_to_look(facts, now);
  if (!look_at || now < *look_at) {
    if (look_at || watches_event_gaps()) {
      arm_second_attempt_timer(look_at.value_or(now + k_stream_look_interval));
    }
    return;
  }
  facts.quarantined = is_quarantined(now);
  facts.tokens = token_count();
  facts.totals = m_state.upstreams.totals(m_service, now);
  facts.retry_available = m_state.budget(m_service).available();
  const auto admission = make_admission_request(now);
  std::vector<std::string> excluded = policy->slow_upstreams(now);
  excluded.insert(excluded.end(), m_tried_upstreams.begin(), m_tried_upstreams.end());
  const auto* target =
      m_state.upstreams.choose(m_service,
                               {.availability_zone = m_state.availability_zone,
                                .excluded = excluded,
                                .max_utilization = std::min(gateway::max_utilization(admission),
                                                            second_attempt_policy::k_max_utilization),
                                .exclude_cold = true},
                               now, m_state.random);
  facts.slot_available = target != nullptr && gateway::keeps_passes_on_time(facts.totals, admission) &&
                         gateway::leaves_places(facts.totals, m_state.waiting(m_service));
  std::visit(
      overloaded{
          [&](const gateway::begin_second_attempt&) { begin_second_attempt(facts, *target, now); },
          [&](const gateway::look_later& later) {
            record_second_attempt_refusal(later.reason);
            arm_second_attempt_timer(std::min(later.at, facts.late_at));
          },
          [&](const gateway::no_second_attempt& none) { on_no_second_attempt(facts, none.reason, now); }},
      policy->decide(facts, m_state.second_attempt_shares, now, m_state.random));
}

void exchange::begin_second_attempt(const gateway::second_attempt_facts& facts,
                                    const gateway::upstream_table::upstream& target, time_point now) {
  auto* policy = second_attempts();
  m_second_attempt_begun = true;
  m_state.budget(m_service).try_take();
  policy->on_second_attempt(facts, now);
  count(m_state.metrics, "begun");
  const duration usual = policy->quantile(facts.what, 0.5, now).value_or(duration{0});
  telemetry::log(log_level::info, "request", "second attempt begun",
                 {{"request", m_request_id},
                  {"upstream", facts.upstream_id},
                  {"other_upstream", target.record.id},
                  {"events", static_cast<std::int64_t>(m_attempts.front()->events)},
                  {"waited_ms", ms_between(facts.waiting_since, now)},
                  {"late_in_ms", ms_between(now, facts.late_at)},
                  {"usual_ms", std::chrono::duration_cast<milliseconds>(usual).count()},
                  {"outstanding", static_cast<std::int64_t>(facts.totals.outstanding)},
                  {"slots", static_cast<std::int64_t>(facts.totals.slots)}});
  begin_attempt(target, now);
  if (m_attempts.size() > 1) {  // Otherwise it has ended already.
    m_attempts.back()->second = true;
  } else {
    count(m_state.metrics, "lost");
  }
}

void exchange::on_no_second_attempt(const gateway::second_attempt_facts& facts, second_attempt_refusal reason,
                                    time_point now) {
  upstream_attempt& attempt = *m_attempts.front();
  if (now < facts.late_at) {
    record_second_attempt_refusal(reason);
    arm_second_attempt_timer(facts.late_at);
    return;
  }
  if (!std::exchange(attempt.no_answer_recorded, true)) {
    second_attempts()->on_no_answer(facts.what, facts.upstream_id, facts.waiting_since, now);
  }
  if (watches_event_gaps()) {
    arm_second_attempt_timer(now + k_stream_look_interval);
  }
}

void exchange::record_second_attempt_refusal(second_attempt_refusal reason) {
  if (std::exchange(m_second_attempt_refusal_recorded, true)) {
    return;  // A request that is looked at several times counts once.
  }
  m_state.metrics.add("cuminpath_second_attempts_refused_total",
                      {{"limit", std::string(gateway::refusal_name(reason))}});
  telemetry::log(log_level::info, "request", "second attempt refused",
                 {{"request", m_request_id}, {"limit", gateway::refusal_name(reason)}});
}

}  // namespace cuminpath::proxy
