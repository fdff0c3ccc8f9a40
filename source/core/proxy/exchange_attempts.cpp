// Attempts of an exchange at upstreams: beginning them, giving them up, and what follows.

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "core/net/socket_options.h"
#include "core/proxy/exchange.h"
#include "core/proxy/exchange_detail.h"
#include "core/proxy/forwarded_headers.h"
#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

using gateway::attempt_result;
using gateway::next_step;
using telemetry::log_level;

// Connecting within a region takes a few milliseconds. TCP retransmits a lost SYN only after 1 s.
constexpr milliseconds k_connect_timeout{350};
// Time without progress after which another upstream gets the request, too, if one is free: a multiple of the
// latency target, within bounds that leave the caller time for a second attempt.
constexpr int k_stall_timeout_targets = 3;
constexpr milliseconds k_min_stall_timeout{500};
constexpr milliseconds k_max_stall_timeout{1300};
// Time between two events of a stream after which another upstream gets the rest of it, too, in multiples of
// the longest gap that is still on time.
constexpr int k_stall_timeout_gaps = 9;
// Between two looks for an upstream with a free place. Other gateways report their loads at longer intervals.
constexpr milliseconds k_place_poll_interval{50};
// Time after a refusal of the rest of a stream until the next upstream is asked, doubled after each further
// one: each refusal uses up the retry budget.
constexpr milliseconds k_first_wait_after_refusal{25};
constexpr std::uint32_t k_max_refusal_doublings = 5;
// Weight of the newest sample in the moving average of the service time.
constexpr double k_service_time_weight = 0.1;
constexpr std::uint32_t k_max_urgency = 9;

std::string_view attempt_result_name(attempt_result end) {
  switch (end) {
    case attempt_result::not_sent:
      return "not_sent";
    case attempt_result::wrong_instance:
      return "wrong_instance";
    case attempt_result::not_executed:
      return "not_executed";
    case attempt_result::broken:
      return "broken";
    case attempt_result::crashed:
      return "crashed";
    case attempt_result::failed:
      return "failed";
    case attempt_result::stalled:
      return "silent";
  }
  return "";
}

std::string_view next_step_name(next_step step) {
  switch (step) {
    case next_step::await_other_attempt:
      return "await_other_attempt";
    case next_step::try_another:
      return "try_another";
    case next_step::await_upstream:
      return "await_upstream";
    case next_step::forward_failure:
      return "forward_failure";
    case next_step::refuse:
      return "refuse";
    case next_step::fail:
      return "fail";
    case next_step::abort_response:
      return "abort_response";
  }
  return "";
}

}  // namespace

bool exchange::is_running(const upstream_attempt& attempt) const {
  return std::any_of(m_attempts.begin(), m_attempts.end(),
                     [&attempt](const auto& each) { return each.get() == &attempt; });
}

template <typename method_type>
auto exchange::while_running(const std::shared_ptr<upstream_attempt>& attempt, method_type method) {
  return [self = shared_from_this(), weak = std::weak_ptr(attempt), method](auto&&... arguments) {
    const auto running = weak.lock();
    if (running && self->is_running(*running)) {
      (self.get()->*method)(*running, std::forward<decltype(arguments)>(arguments)...);
    }
  };
}

void exchange::begin_attempt(const gateway::upstream_table::upstream& target, time_point now) {
  const auto attempt = m_attempts.emplace_back(std::make_shared<upstream_attempt>());
  attempt->upstream_id = target.record.id;
  attempt->upstream_hash = target.hash;
  attempt->started = now;
  ++m_started_attempts;
  m_tried_upstreams.push_back(target.record.id);
  const std::uint32_t load = target.local_requests + target.member_requests;
  m_state.upstreams.on_started(target.record.id, now);
  set_awaits_progress(*attempt, true, now);
  telemetry::log(log_level::info, "request", "placed",
                 {{"request", m_request_id},
                  {"route", m_route->name},
                  {"kind", call_kind_name(m_route->kind)},
                  {"rank", static_cast<std::int64_t>(m_priority)},
                  {"upstream", target.record.id},
                  {"load", static_cast<std::int64_t>(load)},
                  {"attempt", static_cast<std::int64_t>(m_started_attempts)},
                  {"beside", static_cast<std::int64_t>(m_attempts.size() - 1)},
                  {"trial", target.silent},
                  {"resume_after", std::string_view(m_last_event_id)},
                  {"prompt_parts", fmt::format("{}", fmt::join(shared_prompt_parts(), ","))},
                  {"time_left_ms", time_left(now).count()},
                  {"configuration", static_cast<std::int64_t>(m_configuration->version)}});
  // If a reused connection breaks, it is unknown whether the upstream has run the request. Only requests that
  // may be repeated can take that risk.
  if (m_route->repeatable()) {
    attempt->connection = m_state.upstream_connections.acquire(target.record.id, now);
  }
  if (attempt->connection) {
    send_request(*attempt, now);
    return;
  }
  const auto peer = net::parse_endpoint(target.record.address);
  if (!peer) {
    end_attempt(*attempt, attempt_result::not_sent, "upstream has no valid address");
    return;
  }
  m_state.metrics.add("cuminpath_upstream_connections_total");
  attempt->connection = std::make_shared<upstream_connection>(m_state.context, target.record.id);
  attempt->connection->connect(*peer, std::min(k_connect_timeout, time_left(now) + milliseconds{1}),
                               while_running(attempt, &exchange::on_connected));
}

void exchange::on_connected(upstream_attempt& attempt, std::string_view failure) {
  const time_point now = clock::now();
  if (!failure.empty()) {
    const std::string upstream_id = attempt.upstream_id;
    end_attempt(attempt, attempt_result::not_sent, failure);
    m_state.upstreams.on_connect_failure(upstream_id);
    return;
  }
  send_request(attempt, now);
}

std::string exchange::serialize_head(const gateway::upstream_table::upstream& target, time_point now) const {
  const gateway::header_names& names = m_state.header_names;
  std::string text = fmt::format("{} {} HTTP/1.1\r\n", m_request.method, m_request.target);
  const auto set_by_gateway = [&](std::string_view name) {
    const auto matches = [name](std::string_view other) { return http::equal_ignoring_case(name, other); };
    return matches(names.api_key) || matches(names.workspace) || matches(names.target_instance) ||
           matches(names.urgency) || matches(names.time_left_ms) ||
           (!m_last_event_id.empty() && matches(names.resume_after));
  };
  for (const auto& [name, value] : end_to_end_headers(m_request.headers)) {
    if (!set_by_gateway(name)) {
      text += fmt::format("{}: {}\r\n", name, value);
    }
  }
  text +=
      fmt::format("{}: {}\r\n{}: {}\r\n", names.time_left_ms,
                  std::max<std::int64_t>(1, time_left(now).count()), names.target_instance, target.record.id);
  if (m_workspace != nullptr) {
    text += fmt::format("{}: {}\r\n", names.workspace, m_workspace->name);
  }
  if (is_engine_call()) {
    text += fmt::format("{}: {}\r\n", names.urgency, std::min(m_priority, k_max_urgency));
  }
  if (!m_last_event_id.empty()) {
    text += fmt::format("{}: {}\r\n", names.resume_after, m_last_event_id);
  }
  const bool has_body_header = m_request.header("Content-Length") || m_request.header("Transfer-Encoding");
  if (m_body || has_body_header) {
    text += fmt::format("Content-Length: {}\r\n", m_body ? m_body->size() : 0);
  }
  text += "\r\n";
  return text;
}

void exchange::send_request(upstream_attempt& attempt, time_point now) {
  const auto* target = m_state.upstreams.find(attempt.upstream_id);
  if (target == nullptr || target->leaving()) {
    end_attempt(attempt, attempt_result::not_sent, "upstream left while the connection was being made");
    return;
  }
  if (target->evacuated) {
    attempt.held_back = true;
    end_attempt(attempt, attempt_result::not_sent,
                "availability zone was evacuated while the connection was being made");
    return;
  }
  if (target->rejects_requests(now)) {
    end_attempt(attempt, attempt_result::not_sent,
                "upstream asked for no requests while the connection was being made");
    return;
  }
  if (!take_cold_allowance(*target, now)) {
    attempt.held_back = true;
    m_full_upstreams.push_back(attempt.upstream_id);  // It may be asked again.
    end_attempt(attempt, attempt_result::not_sent, "upstream is cold and may get no request from here now");
    return;
  }
  attempt.sent = true;
  ++m_sent_attempts;
  const auto running = *std::find_if(m_attempts.begin(), m_attempts.end(),
                                     [&attempt](const auto& each) { return each.get() == &attempt; });
  attempt.connection->send(serialize_head(*target, now), m_body, m_state.header_names.request_id,
                           m_request_id, m_request.method == "HEAD",
                           {.head = while_running(running, &exchange::on_head),
                            .body = while_running(running, &exchange::on_body),
                            .end = while_running(running, &exchange::on_response_end),
                            .failed = while_running(running, &exchange::on_broken_connection)});
  attempt.last_progress = m_last_progress = now;
  arm_stall_timer(now);
  on_attempt_sent(now);
}

bool exchange::may_run_again() const {
  return m_route->repeatable() && (!m_response_started || gateway::parse_event_id(m_last_event_id));
}

bool exchange::is_quarantined(time_point now) const {
  return !m_response_started && m_state.prompt_quarantine.admit(m_prompt_parts, now).has_value();
}

milliseconds exchange::stall_timeout() const {
  const milliseconds timeout =
      std::clamp(k_stall_timeout_targets * m_route->target_latency, k_min_stall_timeout, k_max_stall_timeout);
  const bool in_stream = !m_attempts.empty() && m_attempts.back()->events > 0;
  return in_stream && m_route->max_event_gap.count() > 0
             ? std::min(timeout, k_stall_timeout_gaps * m_route->max_event_gap)
             : timeout;
}

void exchange::arm_stall_timer(time_point not_before) {
  if (!m_route->repeatable() || m_sent_attempts >= m_route->max_attempts) {
    return;
  }
  m_stall_timer.expires_at(std::max<time_point>(not_before, m_last_progress + stall_timeout()));
  m_stall_timer.async_wait([self = shared_from_this()](std::error_code cancelled) {
    if (!cancelled && !self->m_attempts.empty()) {
      self->on_stall();
    }
  });
}

void exchange::on_stall() {
  const time_point now = clock::now();
  if (std::any_of(m_attempts.begin(), m_attempts.end(), [](const auto& attempt) { return !attempt->sent; })) {
    return;  // The timer is armed again when that attempt is sent or ends.
  }
  if (std::any_of(m_attempts.begin(), m_attempts.end(),
                  [](const auto& attempt) { return attempt->connection->paused(); })) {
    arm_stall_timer(now + k_min_stall_timeout);
    return;
  }
  if (now < m_last_progress + stall_timeout()) {
    arm_stall_timer(now);
    return;
  }
  const auto* target = choose_upstream_again(now);
  if (target == nullptr || !may_run_again() || !m_state.budget(m_service).available() ||
      time_left(now) < gateway::k_min_time_for_attempt || is_quarantined(now)) {
    arm_stall_timer(now + k_min_stall_timeout);
    return;
  }
  for (const auto& attempt : m_attempts) {
    if (!std::exchange(attempt->silent, true)) {
      m_state.upstreams.on_failure(attempt->upstream_id, now);
      telemetry::log(log_level::info, "request", "no answer in time",
                     {{"request", m_request_id},
                      {"upstream", attempt->upstream_id},
                      {"events", static_cast<std::int64_t>(attempt->events)},
                      {"silent_ms", ms_between(attempt->last_progress, now)},
                      {"other_upstream", target->record.id}});
    }
  }
  m_state.budget(m_service).try_take();
  begin_attempt(*target, now);
}

void exchange::on_broken_connection(upstream_attempt& attempt, std::string_view reason_view) {
  const auto* target = m_state.upstreams.find(attempt.upstream_id);
  const auto peer = target == nullptr ? std::nullopt : net::parse_endpoint(target->record.address);
  const bool may_be_cause = !m_prompt_parts.empty() && attempt.events < k_events_of_sound_request;
  if (!may_be_cause || !peer || !m_state.upstream_checks) {
    end_attempt(attempt, attempt_result::broken, reason_view);
    return;
  }
  m_stall_timer.cancel();
  const auto running = *std::find_if(m_attempts.begin(), m_attempts.end(),
                                     [&attempt](const auto& each) { return each.get() == &attempt; });
  m_state.upstream_checks->start(
      attempt.upstream_id, *peer,
      [self = shared_from_this(), reason = std::string(reason_view), running, broken_at = clock::now()](
          upstream_state state, const http::header_list& headers) {
        self->record_cold_statement(running->upstream_id, headers, clock::now());
        if (!self->is_running(*running)) {
          return;  // The deadline has passed, the caller has disconnected, or another upstream has answered.
        }
        if (state != upstream_state::ended) {
          self->end_attempt(*running, attempt_result::broken, reason);
          return;
        }
        const bool unknown =
            self->m_state.prompt_quarantine.may_crash_upstreams(self->m_prompt_parts, clock::now());
        self->on_upstream_crash(running->upstream_id, broken_at);
        self->end_attempt(*running, unknown ? attempt_result::crashed : attempt_result::broken, reason);
      });
}

void exchange::end_attempt(upstream_attempt& attempt, attempt_result end, std::string_view reason_view) {
  const std::string reason(reason_view);
  const time_point now = clock::now();
  const bool refused = end == attempt_result::not_executed || end == attempt_result::wrong_instance;
  const bool connection_reusable = refused || end == attempt_result::failed;
  const auto* failed = m_state.upstreams.find(attempt.upstream_id);
  if (failed != nullptr && !failed->rejects_requests(now) && !attempt.silent && !attempt.held_back) {
    m_state.upstreams.on_failure(attempt.upstream_id, now);
  }
  release_attempt(attempt, connection_reusable);
  m_may_have_run = m_may_have_run || (attempt.sent && end != attempt_result::not_sent && !refused);
  if (end == attempt_result::not_executed && (m_response_started || !m_attempts.empty())) {
    // It has not run there, and the upstream may have a free place later.
    --m_sent_attempts;
    ++m_refusals;
    m_full_upstreams.push_back(attempt.upstream_id);
  }
  const auto* target = choose_upstream(now);
  const gateway::attempt_facts facts{.repeatable = may_run_again(),
                                     .caller_has_bytes = m_response_started,
                                     .may_have_run = m_may_have_run,
                                     .other_attempt_running = !m_attempts.empty(),
                                     .upstreams_sent_to = m_sent_attempts,
                                     .max_attempts = m_route->max_attempts,
                                     .retry_budget_available = m_state.budget(m_service).available(),
                                     .other_upstream_available = target != nullptr,
                                     .time_left = time_left(now)};
  const next_step step = gateway::after_attempt(is_quarantined(now) ? attempt_result::crashed : end, facts);
  telemetry::log(log_level::info, "request", "attempt ended",
                 {{"request", m_request_id},
                  {"upstream", attempt.upstream_id},
                  {"end", attempt_result_name(end)},
                  {"reason", std::string_view(reason)},
                  {"events", static_cast<std::int64_t>(attempt.events)},
                  {"silent_ms", attempt.sent ? ms_between(attempt.last_progress, now) : std::int64_t{-1}},
                  {"time_left_ms", facts.time_left.count()},
                  {"prompt_parts", fmt::format("{}", fmt::join(shared_prompt_parts(), ","))},
                  {"may_have_run", m_may_have_run},
                  {"sent", static_cast<std::int64_t>(m_sent_attempts)},
                  {"budget_left", facts.retry_budget_available},
                  {"upstream_left", facts.other_upstream_available},
                  {"next", next_step_name(step)}});
  m_state.metrics.add("cuminpath_attempts_failed_total", {{"end", std::string(attempt_result_name(end))}});
  switch (step) {
    case next_step::await_other_attempt:
      arm_stall_timer(refused ? now + k_min_stall_timeout : now);
      return;
    case next_step::try_another:
      if (end != attempt_result::not_sent) {
        m_state.budget(m_service).try_take();
      }
      begin_attempt(*target, now);
      return;
    case next_step::await_upstream:
      await_upstream(refused
                         ? k_first_wait_after_refusal * (1U << std::min(m_refusals, k_max_refusal_doublings))
                         : k_place_poll_interval,
                     now);
      return;
    case next_step::forward_failure:
      break;
    case next_step::refuse:
      refuse(503, reason, now);
      return;
    case next_step::fail:
      if (!m_failure_response) {
        fail(502, reason);
        return;
      }
      break;
    case next_step::abort_response:
      m_caller->abort();
      finish("broken_off", 0, reason);
      return;
  }
  m_caller->respond(m_failure_response->first.status, forwarded_headers(m_failure_response->first),
                    std::move(m_failure_response->second));
  finish("upstream_failure", m_failure_response->first.status, reason);
}

void exchange::end_other_attempts(const upstream_attempt& kept) {
  const time_point now = clock::now();
  for (std::size_t i = m_attempts.size(); i-- > 0;) {
    const auto other = m_attempts[i];
    if (other.get() == &kept) {
      continue;
    }
    on_attempt_overtaken(*other, kept, now);
    release_attempt(*other, false);
    m_may_have_run = m_may_have_run || other->sent;
    const std::string_view end = other->silent ? attempt_result_name(attempt_result::stalled) : "not_needed";
    telemetry::log(log_level::info, "request", "attempt ended",
                   {{"request", m_request_id},
                    {"upstream", other->upstream_id},
                    {"end", end},
                    {"reason", "another upstream has answered"},
                    {"events", static_cast<std::int64_t>(other->events)},
                    {"silent_ms", other->sent ? ms_between(other->last_progress, now) : std::int64_t{-1}},
                    {"answered_by", kept.upstream_id}});
    m_state.metrics.add("cuminpath_attempts_failed_total", {{"end", std::string(end)}});
    arm_stall_timer(now);
  }
}

void exchange::release_attempt(upstream_attempt& attempt, bool keep_connection) {
  const time_point now = clock::now();
  const auto position = std::find_if(m_attempts.begin(), m_attempts.end(),
                                     [&attempt](const auto& each) { return each.get() == &attempt; });
  const auto released = *position;  // Keeps the attempt until the end of this function.
  m_attempts.erase(position);
  if (m_attempts.empty()) {
    m_stall_timer.cancel();
  }
  m_state.upstreams.on_ended(attempt.upstream_id);
  set_awaits_progress(attempt, false, now);
  on_attempt_released(attempt, now);
  on_place_freed(attempt, now);
  m_state.buffered_responses.release(&attempt);
  if (!attempt.connection) {
    return;
  }
  if (!keep_connection) {
    attempt.connection->close();
    return;
  }
  m_state.upstream_connections.release(attempt.connection, now);
  auto& mean = m_state.mean_service_times.try_emplace(m_service, k_default_service_time).first->second;
  const double sample = static_cast<double>(ms_between(attempt.started, now));
  mean = milliseconds(static_cast<std::int64_t>(
      (1 - k_service_time_weight) * static_cast<double>(mean.count()) + k_service_time_weight * sample));
}

void exchange::release_all_attempts() {
  while (!m_attempts.empty()) {
    const auto attempt = m_attempts.back();
    m_may_have_run = m_may_have_run || attempt->sent;
    release_attempt(*attempt, false);
  }
}

void exchange::await_upstream(milliseconds wait, time_point now) {
  if (!std::exchange(m_waiting, true)) {
    ++m_state.waiting_streams[m_service];
    telemetry::log(log_level::info, "request", "waits for an upstream",
                   {{"request", m_request_id},
                    {"service", m_service},
                    {"resume_after", std::string_view(m_last_event_id)},
                    {"time_left_ms", time_left(now).count()}});
    m_state.metrics.add("cuminpath_streams_awaiting_upstream_total");
  }
  m_wait_timer.expires_at(now + wait);
  m_wait_timer.async_wait([self = shared_from_this()](std::error_code cancelled) {
    if (!cancelled && self->m_waiting) {
      self->try_again(clock::now());
    }
  });
}

const gateway::upstream_table::upstream* exchange::choose_upstream_again(time_point now) {
  if (const auto* target = choose_upstream(now)) {
    return target;
  }
  std::erase_if(m_tried_upstreams, [this](const std::string& id) {
    return std::find(m_full_upstreams.begin(), m_full_upstreams.end(), id) != m_full_upstreams.end();
  });
  m_full_upstreams.clear();
  return choose_upstream(now);
}

void exchange::try_again(time_point now) {
  const auto* target = choose_upstream_again(now);
  if (target == nullptr || !m_state.budget(m_service).available()) {
    await_upstream(k_place_poll_interval, now);
    return;
  }
  stop_waiting();
  m_state.budget(m_service).try_take();
  begin_attempt(*target, now);
}

void exchange::stop_waiting() {
  m_wait_timer.cancel();
  if (std::exchange(m_waiting, false)) {
    --m_state.waiting_streams[m_service];
  }
}

}  // namespace cuminpath::proxy
