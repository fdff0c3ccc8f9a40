#include "core/proxy/exchange.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "core/gateway/admission.h"
#include "core/gateway/prompt_parts.h"
#include "core/proxy/exchange_detail.h"
#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

using gateway::call_kind;
using telemetry::log_level;

}  // namespace

exchange::exchange(proxy_state& state, std::shared_ptr<caller_connection> caller, http::request request,
                   std::shared_ptr<const byte_blocks> body, time_point arrived,
                   std::function<void()> finished)
    : m_state(state),
      m_caller(std::move(caller)),
      m_request(std::move(request)),
      m_body(std::move(body)),
      m_on_finished(std::move(finished)),
      m_arrived(arrived),
      m_deadline_timer(state.context),
      m_stall_timer(state.context),
      m_wait_timer(state.context),
      m_second_attempt_timer(state.context) {}

exchange::~exchange() = default;

time_point exchange::end_of_time() const {
  return m_state.stop ? std::min(m_deadline, m_state.stop->respond_by()) : m_deadline;
}

milliseconds exchange::time_left(time_point now) const {
  return proxy::time_left(m_state, m_deadline, now);
}

std::vector<std::string_view> exchange::shared_prompt_parts() const {
  return gateway::shared_prompt_parts(m_request.header(m_state.header_names.prompt_parts).value_or(""));
}

bool exchange::is_engine_call() const {
  return proxy::is_engine(*m_configuration, m_service);
}

void exchange::start(time_point now) {
  m_configuration = m_state.configuration;
  m_deadline = now;
  if (!m_configuration) {
    refuse(503, k_no_configuration, now);
    return;
  }
  if (!resolve_route(now) || !authorize() || !choose_service(now) || !fits_planned_stop(now)) {
    return;
  }
  if (lacks_descriptors(m_state, m_state.served_requests)) {
    m_state.metrics.add("cuminpath_callers_refused_total", {{"cause", "descriptors"}});
    refuse(503, k_no_descriptor, now);
    return;
  }
  arm_deadline_timer();
  if (refuse_quarantined(now)) {
    return;
  }
  m_state.budget(m_service).on_first_attempt();
  count_request(now);
  count_workspace_request(now);
  if (!within_workspace_share(now)) {
    refuse(503, "workspace uses more than its share", now);
    return;
  }
  if (goes_behind_others(now)) {
    if (!wait_for_place(now)) {
      refuse(503, "free places are kept for requests that go first", now);
    }
    return;
  }
  if (!gateway::keeps_passes_on_time(m_state.upstreams.totals(m_service, now), make_admission_request(now))) {
    if (wait_for_place(now)) {
      return;
    }
    m_state.metrics.add("cuminpath_pass_limit_refusals_total", {{"service", m_service}});
    refuse(503, k_passes_too_long, now);
    return;
  }
  const auto* target = leaves_places_to_waiting_streams(now) ? choose_upstream(now) : nullptr;
  if (target == nullptr) {
    if (wait_for_place(now)) {
      return;
    }
    if (m_state.upstreams.totals(m_service, now).cold > 0) {
      m_state.metrics.add("cuminpath_cold_requests_held_back_total", {{"at", "placement"}});
    }
    refuse(503, k_no_free_place, now);
    return;
  }
  charge_workspace(now);
  begin_attempt(*target, now);
}

bool exchange::resolve_route(time_point now) {
  const auto id = m_request.header(m_state.header_names.request_id);
  m_request_id = std::string(id.value_or(""));
  const auto host = m_request.header("Host");
  m_route = m_configuration->find_route(host.value_or(""), m_request.path());
  if (m_route == nullptr) {
    respond_with_problem(404, k_no_route, "not_run", milliseconds{0});
    finish("no_route", 404, "no route matches host and path");
    return false;
  }
  if (m_request_id.empty()) {
    respond_with_problem(400, "no request id", "not_run", milliseconds{0});
    finish("no_request_id", 400, "the request has no id");
    return false;
  }
  milliseconds timeout = m_route->timeout;
  if (const auto caller_timeout = stated_time_left(m_state, m_request, *m_route)) {
    m_is_retry = m_state.caller_retries[m_route->name].observe(*caller_timeout);
    timeout = std::min(timeout, *caller_timeout);
  }
  m_deadline = m_arrived + timeout;
  if (m_deadline <= now) {
    refuse(503, k_deadline_passed, now);
    return false;
  }
  return true;
}

bool exchange::authorize() {
  m_priority = m_route->priority;
  if (!requires_key(*m_configuration, *m_route)) {
    return true;
  }
  m_workspace = m_configuration->find_workspace(m_request.header(m_state.header_names.api_key).value_or(""));
  if (m_workspace == nullptr) {
    respond_with_problem(401, k_unknown_key, "not_run", milliseconds{0});
    finish("unknown_key", 401, "no workspace has this key");
    return false;
  }
  m_priority = priority_of(*m_route, m_workspace);
  return true;
}

bool exchange::choose_service(time_point now) {
  double total = 0;
  for (const auto& share : m_route->shares) {
    total += share.weight;
  }
  double point = std::uniform_real_distribution<double>(0, std::max(total, 1e-9))(m_state.random);
  for (const auto& share : m_route->shares) {
    m_service = share.service;
    point -= share.weight;
    if (point < 0) {
      break;
    }
  }
  if (m_service.empty()) {
    refuse(503, k_no_service, now);
    return false;
  }
  return true;
}

bool exchange::fits_planned_stop(time_point now) {
  if (proxy::fits_planned_stop(m_state, *m_route, m_deadline, now)) {
    return true;
  }
  refuse_for_stop();
  return false;
}

bool exchange::refuse_quarantined(time_point now) {
  if (!is_engine_call()) {
    return false;
  }
  const auto ids = shared_prompt_parts();
  m_prompt_parts = hash_prompt_parts(m_state, m_request);
  const auto verdict = m_state.prompt_quarantine.admit(m_prompt_parts, now);
  if (!verdict) {
    return false;
  }
  const auto part = std::find(m_prompt_parts.begin(), m_prompt_parts.end(), verdict->part);
  telemetry::log(log_level::info, "quarantine", "request refused",
                 {{"request", m_request_id},
                  {"prompt_part", ids[static_cast<std::size_t>(part - m_prompt_parts.begin())]},
                  {"part", fmt::format("{:016x}", verdict->part)},
                  {"crashes", fmt::format("{:08x}", fmt::join(verdict->crashes, ","))},
                  {"retry_after_ms", verdict->remaining.count()}});
  m_state.metrics.add("cuminpath_quarantined_requests_total");
  respond_with_problem(503, k_quarantined, "not_run", verdict->remaining);
  finish("refused", 503, k_quarantined);
  return true;
}

void exchange::on_upstream_crash(const std::string& upstream_id, time_point crashed_at) {
  const auto* ended = m_state.upstreams.find(upstream_id);
  const auto crash = routing::hash_crash(upstream_id, ended == nullptr ? 0 : ended->record.started_ms);
  telemetry::log(log_level::warning, "quarantine", "upstream ended before it sent output",
                 {{"upstream", upstream_id},
                  {"crash", fmt::format("{:08x}", crash)},
                  {"request", m_request_id},
                  {"prompt_parts", fmt::format("{}", fmt::join(shared_prompt_parts(), ","))},
                  {"parts", fmt::format("{:016x}", fmt::join(m_prompt_parts, ","))}});
  m_state.metrics.add("cuminpath_requests_at_crashes_total");
  m_state.prompt_quarantine.on_crash(crash, m_prompt_parts, crashed_at);
}

gateway::admission_request exchange::make_admission_request(time_point now) const {
  return proxy::make_admission_request(m_state, describe_placement(now), now);
}

placement_facts exchange::describe_placement(time_point now) const {
  return {.configuration = *m_configuration,
          .route = *m_route,
          .service = m_service,
          .priority = m_priority,
          .time_left = time_left(now),
          .is_retry = m_is_retry,
          .resumes = m_response_started || m_request.header(m_state.header_names.resume_after).has_value(),
          .resumed_by_caller = m_request.header(m_state.header_names.resume_after).has_value(),
          .first_attempt = m_started_attempts == 0,
          .tried_upstreams = m_tried_upstreams};
}

bool exchange::leaves_places_to_waiting_streams(time_point now) const {
  return proxy::leaves_places_to_waiting_streams(m_state, describe_placement(now), now);
}

const gateway::upstream_table::upstream* exchange::choose_upstream(time_point now) const {
  return m_state.upstreams.choose(m_service, make_choice_options(m_state, describe_placement(now), now), now,
                                  m_state.random);
}

bool exchange::take_cold_allowance(const gateway::upstream_table::upstream& target, time_point now) {
  const std::uint32_t bound = target.cold_rules.max_per_s;
  if (bound == 0) {
    return true;
  }
  const bool cold = target.cold(now);
  if (cold && !m_state.cold_limiter.may_send(target.record.id, bound, now)) {
    m_state.metrics.add("cuminpath_cold_requests_held_back_total", {{"at", "send"}});
    return false;
  }
  m_state.cold_limiter.on_sent(target.record.id, bound, now);
  if (cold) {
    m_state.metrics.add("cuminpath_cold_requests_sent_total");
  }
  return true;
}

void exchange::arm_deadline_timer() {
  m_deadline_timer.expires_at(end_of_time());
  m_deadline_timer.async_wait([self = shared_from_this()](std::error_code cancelled) {
    if (!cancelled) {
      self->on_deadline();
    }
  });
}

void exchange::on_stop_scheduled() {
  if (!m_done && m_route != nullptr) {
    arm_deadline_timer();
    if (m_queue_ticket) {
      arm_queue_timer(clock::now());  // It is refused, but not while the connections are being visited.
    }
  }
}

void exchange::on_deadline() {
  if (m_done) {
    return;
  }
  release_all_attempts();
  const time_point now = clock::now();
  const bool stopping = now < m_deadline;
  const std::string_view reason = stopping ? k_stopping : k_timed_out;
  if (m_response_started) {
    m_caller->abort();
    finish(stopping ? "cut" : "broken_off", 0, reason);
  } else if (m_may_have_run) {
    fail(504, reason);
  } else if (stopping) {
    refuse_for_stop();
  } else {
    refuse(503, "timeout before an upstream got the request", now);
  }
}

void exchange::on_caller_disconnected() {
  if (m_done) {
    return;
  }
  release_all_attempts();
  finish("caller_gone", 0, "the caller closed the connection");
}

void exchange::on_process_end() {
  finish(
      "cut", 0,
      m_response_started ? "the process ends during the response" : "the process ends before the response");
}

void exchange::on_caller_drained() {
  for (const auto& attempt : m_attempts) {
    if (attempt->connection && attempt->connection->paused()) {
      attempt->connection->resume_reading();
      attempt->last_progress = m_last_progress = clock::now();
      set_awaits_progress(*attempt, true, attempt->last_progress);
    }
  }
}

}  // namespace cuminpath::proxy
