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
// Time without progress after which the attempt is abandoned for another upstream, if one is free: a multiple
// of the latency target, within bounds that leave the caller time for a second attempt.
constexpr int k_stall_timeout_targets = 3;
constexpr milliseconds k_min_stall_timeout{500};
constexpr milliseconds k_max_stall_timeout{1300};
// Time between two events of a stream after which it is resumed at another upstream, in multiples of the
// longest gap that is still on time.
constexpr int k_stall_timeout_gaps = 9;
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

}  // namespace

void exchange::begin_attempt(const gateway::upstream_table::upstream& target, time_point now) {
  m_attempt.emplace();
  m_attempt->upstream_id = target.record.id;
  m_attempt->started = now;
  m_tried_upstreams.push_back(target.record.id);
  const std::uint32_t load = target.local_requests + target.member_requests;
  m_state.upstreams.on_started(target.record.id, now);
  telemetry::log(log_level::info, "request", "placed",
                 {{"request", m_request_id},
                  {"route", m_route->name},
                  {"kind", call_kind_name(m_route->kind)},
                  {"rank", static_cast<std::int64_t>(m_priority)},
                  {"upstream", target.record.id},
                  {"load", static_cast<std::int64_t>(load)},
                  {"attempt", static_cast<std::int64_t>(m_tried_upstreams.size())},
                  {"resume_after", std::string_view(m_last_event_id)},
                  {"prompt_parts", fmt::format("{}", fmt::join(shared_prompt_parts(), ","))},
                  {"time_left_ms", time_left(now).count()},
                  {"configuration", static_cast<std::int64_t>(m_configuration->version)}});
  // If a reused connection breaks, it is unknown whether the upstream has run the request. Only requests that
  // may be repeated can take that risk.
  if (m_route->repeatable()) {
    m_attempt->connection = m_state.upstream_connections.acquire(target.record.id, now);
  }
  if (m_attempt->connection) {
    send_request(now);
    return;
  }
  const auto peer = net::parse_endpoint(target.record.address);
  if (!peer) {
    end_attempt(attempt_result::not_sent, "upstream has no valid address");
    return;
  }
  m_state.metrics.add("cuminpath_upstream_connections_total");
  m_attempt->connection = std::make_shared<upstream_connection>(m_state.context, target.record.id);
  m_attempt->connection->connect(
      *peer, std::min(k_connect_timeout, time_left(now) + milliseconds{1}),
      [self = shared_from_this(), connection = m_attempt->connection.get()](std::string_view failure) {
        if (self->m_attempt && self->m_attempt->connection.get() == connection) {
          self->on_connected(failure);
        }
      });
}

void exchange::on_connected(std::string_view failure) {
  const time_point now = clock::now();
  if (!failure.empty()) {
    end_attempt(attempt_result::not_sent, failure);
    return;
  }
  send_request(now);
}

std::string exchange::serialize_request(const gateway::upstream_table::upstream& target,
                                        time_point now) const {
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
  if (!m_request.body.empty() || has_body_header) {
    text += fmt::format("Content-Length: {}\r\n", m_request.body.size());
  }
  text += "\r\n";
  text += m_request.body;
  return text;
}

void exchange::send_request(time_point now) {
  const auto* target = m_state.upstreams.find(m_attempt->upstream_id);
  if (target == nullptr || target->leaving()) {
    end_attempt(attempt_result::not_sent, "upstream left while the connection was being made");
    return;
  }
  if (target->rejects_requests(now)) {
    end_attempt(attempt_result::not_sent,
                "upstream asked for no requests while the connection was being made");
    return;
  }
  m_attempt->sent = true;
  ++m_sent_attempts;
  m_splitter.reset();
  const auto self = shared_from_this();
  const auto* connection = m_attempt->connection.get();
  const auto is_current = [self, connection] {
    return self->m_attempt && self->m_attempt->connection.get() == connection;
  };
  response_handlers events;
  events.head = [self, is_current](message_head&& head) {
    if (is_current()) {
      self->on_head(std::move(head));
    }
  };
  events.body = [self, is_current](std::string_view bytes) {
    if (is_current()) {
      self->on_body(bytes);
    }
  };
  events.end = [self, is_current] {
    if (is_current()) {
      self->on_response_end();
    }
  };
  events.failed = [self, is_current](std::string_view reason) {
    if (is_current()) {
      self->on_broken_connection(std::string(reason));
    }
  };
  m_attempt->connection->send(serialize_request(*target, now), m_state.header_names.request_id, m_request_id,
                              m_request.method == "HEAD", std::move(events));
  m_last_event_time = now;
  arm_stall_timer();
}

bool exchange::may_run_again() const {
  return m_route->repeatable() && (!m_response_started || gateway::parse_event_id(m_last_event_id));
}

void exchange::arm_stall_timer() {
  if (!m_route->repeatable() || m_sent_attempts >= m_route->max_attempts) {
    return;
  }
  milliseconds stall_timeout =
      std::clamp(k_stall_timeout_targets * m_route->target_latency, k_min_stall_timeout, k_max_stall_timeout);
  if (m_attempt->events > 0 && m_route->max_event_gap.count() > 0) {
    stall_timeout = std::min(stall_timeout, k_stall_timeout_gaps * m_route->max_event_gap);
  }
  m_stall_timer.expires_at(m_last_event_time + stall_timeout);
  m_stall_timer.async_wait([self = shared_from_this()](std::error_code cancelled) {
    if (!cancelled && self->m_attempt) {
      self->on_stall();
    }
  });
}

void exchange::on_stall() {
  const time_point now = clock::now();
  // Events that arrived after the timer was set extend the timeout.
  if (m_stall_timer.expiry() < m_last_event_time + k_min_stall_timeout && m_attempt->events > 0) {
    arm_stall_timer();
    return;
  }
  if (may_run_again() && choose_upstream(now) != nullptr && m_state.budget(m_service).available()) {
    end_attempt(attempt_result::stalled, "no answer in time");
  }
}

void exchange::on_broken_connection(const std::string& reason) {
  const auto* target = m_state.upstreams.find(m_attempt->upstream_id);
  const auto peer = target == nullptr ? std::nullopt : net::parse_endpoint(target->record.address);
  const bool may_be_cause = !m_prompt_parts.empty() && m_attempt->events < k_events_of_sound_request;
  if (!may_be_cause || !peer || !m_state.upstream_checks) {
    end_attempt(attempt_result::broken, reason);
    return;
  }
  m_stall_timer.cancel();
  m_state.upstream_checks->start(
      m_attempt->upstream_id, *peer,
      [self = shared_from_this(), reason, connection = m_attempt->connection.get(),
       broken_at = clock::now()](upstream_state state) {
        if (!self->m_attempt || self->m_attempt->connection.get() != connection) {
          return;  // The deadline has passed or the caller has disconnected.
        }
        if (state != upstream_state::ended) {
          self->end_attempt(attempt_result::broken, reason);
          return;
        }
        const bool unknown =
            self->m_state.prompt_quarantine.may_crash_upstreams(self->m_prompt_parts, clock::now());
        self->on_upstream_crash(broken_at);
        self->end_attempt(unknown ? attempt_result::crashed : attempt_result::broken, reason);
      });
}

void exchange::on_upstream_crash(time_point crashed_at) {
  const auto* ended = m_state.upstreams.find(m_attempt->upstream_id);
  const auto crash =
      routing::hash_crash(m_attempt->upstream_id, ended == nullptr ? 0 : ended->record.started_ms);
  telemetry::log(log_level::warning, "quarantine", "upstream ended before it sent output",
                 {{"upstream", m_attempt->upstream_id},
                  {"crash", fmt::format("{:08x}", crash)},
                  {"request", m_request_id},
                  {"prompt_parts", fmt::format("{}", fmt::join(shared_prompt_parts(), ","))},
                  {"parts", fmt::format("{:016x}", fmt::join(m_prompt_parts, ","))}});
  m_state.metrics.add("cuminpath_requests_at_crashes_total");
  m_state.prompt_quarantine.on_crash(crash, m_prompt_parts, crashed_at);
}

void exchange::end_attempt(attempt_result end, std::string_view reason_view) {
  const std::string reason(reason_view);
  const time_point now = clock::now();
  const std::string upstream_id = m_attempt->upstream_id;
  const bool sent = m_attempt->sent;
  const std::uint32_t events = m_attempt->events;
  const bool refused = end == attempt_result::not_executed || end == attempt_result::wrong_instance;
  const bool connection_reusable = refused || end == attempt_result::failed;
  const auto* failed = m_state.upstreams.find(upstream_id);
  if (failed != nullptr && !failed->rejects_requests(now)) {
    m_state.upstreams.on_failure(upstream_id, now);
  }
  release_attempt(connection_reusable);
  m_may_have_run = m_may_have_run || (sent && end != attempt_result::not_sent && !refused);
  m_given_up_for_silence = m_given_up_for_silence || end == attempt_result::stalled;
  const auto* target = choose_upstream(now);
  gateway::attempt_facts facts{.repeatable = may_run_again(),
                               .caller_has_bytes = m_response_started,
                               .may_have_run = m_may_have_run,
                               .upstreams_sent_to = m_sent_attempts,
                               .max_attempts = m_route->max_attempts,
                               .retry_budget_available = m_state.budget(m_service).available(),
                               .other_upstream_available = target != nullptr,
                               .time_left = time_left(now)};
  // The part may have been quarantined while the request was at an upstream.
  const bool keep_from_upstreams =
      !m_response_started && m_state.prompt_quarantine.admit(m_prompt_parts, now).has_value();
  const next_step step = gateway::after_attempt(keep_from_upstreams ? attempt_result::crashed : end, facts);
  telemetry::log(log_level::info, "request", "attempt ended",
                 {{"request", m_request_id},
                  {"upstream", upstream_id},
                  {"end", attempt_result_name(end)},
                  {"reason", std::string_view(reason)},
                  {"events", static_cast<std::int64_t>(events)},
                  {"silent_ms", sent ? ms_between(m_last_event_time, now) : std::int64_t{-1}},
                  {"time_left_ms", facts.time_left.count()},
                  {"prompt_parts", fmt::format("{}", fmt::join(shared_prompt_parts(), ","))},
                  {"may_have_run", m_may_have_run},
                  {"sent", static_cast<std::int64_t>(m_sent_attempts)},
                  {"budget_left", facts.retry_budget_available},
                  {"upstream_left", facts.other_upstream_available},
                  {"retry", step == next_step::try_another}});
  m_state.metrics.add("cuminpath_attempts_failed_total", {{"end", std::string(attempt_result_name(end))}});
  switch (step) {
    case next_step::try_another:
      if (end != attempt_result::not_sent) {
        m_state.budget(m_service).try_take();
      }
      begin_attempt(*target, now);
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
  m_caller->respond({.status = m_failure_response->first.status,
                     .headers = end_to_end_headers(m_failure_response->first.headers),
                     .body = m_failure_response->second});
  finish("upstream_failure", m_failure_response->first.status, reason);
}

void exchange::release_attempt(bool keep_connection) {
  m_stall_timer.cancel();
  const time_point now = clock::now();
  m_state.upstreams.on_ended(m_attempt->upstream_id);
  m_state.buffered_response_bytes -= m_attempt->buffered_bytes;
  if (m_attempt->connection) {
    if (keep_connection) {
      m_state.upstream_connections.release(m_attempt->connection, now);
      auto& mean = m_state.mean_service_times.try_emplace(m_service, k_default_service_time).first->second;
      const double sample = static_cast<double>(ms_between(m_attempt->started, now));
      mean = milliseconds(static_cast<std::int64_t>(
          (1 - k_service_time_weight) * static_cast<double>(mean.count()) + k_service_time_weight * sample));
    } else {
      m_attempt->connection->close();
    }
  }
  m_attempt.reset();
}

}  // namespace cuminpath::proxy
