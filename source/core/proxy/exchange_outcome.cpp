// The ends of an exchange: responses of the gateway itself, and the record of what the caller received.

#include <algorithm>

#include <fmt/format.h>

#include "core/gateway/admission.h"
#include "core/proxy/exchange.h"
#include "core/proxy/exchange_detail.h"
#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

using telemetry::log_level;

}  // namespace

void exchange::refuse_for_stop() {
  m_state.metrics.add("cuminpath_requests_refused_by_stop_total");
  const wait_range range = wait_after_stop(m_state);
  const auto spread = static_cast<std::size_t>((range.max - range.min).count()) + 1;
  const milliseconds wait = range.min + milliseconds(random_index(m_state.random, spread));
  respond_with_problem(503, k_stopping, "not_run", wait);
  finish("refused", 503, k_stopping);
}

void exchange::refuse(int status, std::string_view reason, time_point now) {
  milliseconds wait = k_retry_after_without_service;
  if (!m_service.empty()) {
    const auto [totals, mean, admission] = describe_refusal(m_state, describe_placement(now), now);
    wait = promise_return(totals, admission, now)
               .value_or(gateway::retry_after(totals, mean, admission, m_state.random));
    telemetry::log(log_level::info, "request", "refused",
                   {{"request", m_request_id},
                    {"reason", reason},
                    {"rank", static_cast<std::int64_t>(m_priority)},
                    {"upstreams", static_cast<std::int64_t>(totals.upstreams)},
                    {"slots", static_cast<std::int64_t>(totals.slots)},
                    {"outstanding", static_cast<std::int64_t>(totals.outstanding)},
                    {"mean_ms", mean.count()},
                    {"pass_fill", admission.max_pass_utilization.value_or(1)},
                    {"service_away", admission.service_unavailable},
                    {"retry_after_ms", wait.count()}});
  }
  respond_with_problem(status, reason, "not_run", wait);
  finish("refused", status, reason);
}

void exchange::fail(int status, std::string_view reason) {
  respond_with_problem(status, reason, "unknown", milliseconds{0});
  finish("failed", status, reason);
}

void exchange::respond_with_problem(int status, std::string_view reason, std::string_view execution,
                                    milliseconds retry_after) {
  http::response response{.status = status, .headers = {{"Content-Type", "application/problem+json"}}};
  if (!m_request_id.empty()) {
    response.headers.emplace_back(m_state.header_names.request_id, m_request_id);
  }
  if (retry_after.count() > 0) {
    response.headers.emplace_back("Retry-After",
                                  fmt::format("{:.3f}", static_cast<double>(retry_after.count()) / 1000));
  }
  response.body = fmt::format(R"({{"status":{},"reason":"{}","execution":"{}"}})", status, reason, execution);
  m_caller->respond(response);
}

void exchange::finish(std::string_view outcome, int status, std::string_view reason) {
  if (m_done) {
    return;
  }
  m_done = true;
  m_deadline_timer.cancel();
  m_stall_timer.cancel();
  m_second_attempt_timer.cancel();
  stop_waiting();
  leave_queue(outcome == "caller_gone" ? "caller_gone" : "refused");
  const time_point now = clock::now();
  const std::string_view kind = m_route == nullptr ? std::string_view("none") : call_kind_name(m_route->kind);
  telemetry::log(
      log_level::info, "request", "ended",
      {{"request", m_request_id},
       {"route", m_route == nullptr ? std::string_view() : std::string_view(m_route->name)},
       {"outcome", outcome},
       {"status", static_cast<std::int64_t>(status)},
       {"reason", reason},
       {"attempts", static_cast<std::int64_t>(m_started_attempts)},
       {"stopping", m_state.stop.has_value()},
       {"after_stop_signal_ms",
        m_state.stop ? ms_between(m_state.stop->signalled_at(), m_arrived) : std::int64_t{0}},
       {"first_byte_ms", m_first_byte_time ? ms_between(m_arrived, *m_first_byte_time) : std::int64_t{-1}},
       {"total_ms", ms_between(m_arrived, now)}});
  if (m_route != nullptr && (outcome == "broken_off" || outcome == "cut")) {
    log_cut_response(outcome, reason, now);
  }
  m_state.metrics.add("cuminpath_requests_total",
                      {{"kind", std::string(kind)}, {"outcome", std::string(outcome)}});
  m_state.metrics.observe("cuminpath_request_seconds", std::chrono::duration<double>(now - m_arrived).count(),
                          {{"kind", std::string(kind)}, {"outcome", std::string(outcome)}});
  if (m_route != nullptr && m_sent_attempts > 0 && outcome != "caller_gone") {
    m_state.service_times[m_route->name].observe(now - m_arrived, now);
  }
  if (m_first_byte_time) {
    m_state.metrics.observe("cuminpath_first_byte_seconds",
                            std::chrono::duration<double>(*m_first_byte_time - m_arrived).count(),
                            {{"kind", std::string(kind)}});
  }
  if (const auto finished = std::exchange(m_on_finished, nullptr)) {
    finished();
  }
}

std::string_view exchange::cut_cause(std::string_view outcome, std::string_view reason) const {
  if (outcome == "cut") {
    return "planned_stop";
  }
  if (reason == k_timed_out) {
    return "timeout";
  }
  return "upstream";
}

void exchange::log_cut_response(std::string_view outcome, std::string_view reason, time_point now) {
  const std::string_view cause = cut_cause(outcome, reason);
  const auto ms_since = [now](const std::optional<time_point>& at) {
    return at ? ms_between(*at, now) : std::int64_t{-1};
  };
  telemetry::log(log_level::warning, "request", "response cut",
                 {{"request", m_request_id},
                  {"route", m_route->name},
                  {"cause", cause},
                  {"reason", reason},
                  {"last_event", std::string_view(m_last_event_id)},
                  {"silent_ms", m_last_progress == time_point{} ? -1 : ms_between(m_last_progress, now)},
                  {"time_left_ms", std::max<std::int64_t>(0, ms_between(now, m_deadline))},
                  {"after_stop_signal_ms", m_state.stop ? ms_between(m_state.stop->signalled_at(), now) : -1},
                  {"after_reload_ms", ms_since(m_state.reloaded_at)},
                  {"after_configuration_ms", ms_since(m_state.configured_at)}});
  m_state.metrics.add("cuminpath_cut_responses_total", {{"cause", std::string(cause)}});
}

}  // namespace cuminpath::proxy
