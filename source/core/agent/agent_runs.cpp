// The part of agent_core that starts runs on the upstream and forwards their output to the entries.
#include <algorithm>

#include "core/agent/agent_core.h"
#include "core/agent/upstream_request.h"
#include "core/common/assert.h"
#include "core/common/hash.h"

namespace cuminpath::agent {
namespace {

constexpr std::string_view k_stream_end_event = "[DONE]";
// Entries give up larger responses.
constexpr std::size_t k_max_forwarded_bytes = 16U << 20U;
constexpr int k_status_ok = 200;
constexpr int k_status_bad_request = 400;
constexpr int k_status_too_many_requests = 429;
constexpr int k_status_server_error = 500;

bool is_model_request(const attempt& value) {
  return value.request.kind != wire::request_kind::service;
}

// Whether the status says that the request itself is invalid. Such a response is forwarded to the caller;
// after any other failure the entry may try another replica.
bool is_request_error(int status) {
  return status >= k_status_bad_request && status < k_status_server_error &&
         status != k_status_too_many_requests;
}

}  // namespace

void agent_core::schedule(time_point now, std::vector<action>& actions) {
  std::vector<scheduling::decision> decisions;
  m_scheduler.tick(now, decisions);
  for (const auto& item : decisions) {
    std::visit([&](const auto& decision) { execute_decision(now, decision, actions); }, item);
  }
}

void agent_core::execute_decision(time_point now, const scheduling::start_job& decision,
                                  std::vector<action>& actions) {
  auto* value = m_attempts.find(decision.id);
  if (value == nullptr) {
    return;
  }
  if (value->deadline <= now) {
    abort_attempt(now, *value, wire::refusal_reason::deadline_passed, "", actions);
    return;
  }
  auto request = upstream_request(*value);
  if (!request) {
    abort_attempt(now, *value, wire::refusal_reason::unknown_upstream, request.error().message, actions);
    return;
  }
  auto run_timeout = std::chrono::ceil<milliseconds>(value->deadline - now);
  if (!value->request.repeatable) {
    run_timeout += m_options.unrepeatable_grace;
  }
  const auto run = m_attempts.begin_run(*value);
  actions.emplace_back(
      start_run{.id = run,
                .request = std::move(request.value()),
                .options = {.timeout = run_timeout, .never_reuse_connection = !value->request.repeatable},
                .deadline = value->deadline});
}

void agent_core::execute_decision(time_point now, const scheduling::preempt_job& decision,
                                  std::vector<action>& actions) {
  auto* value = m_attempts.find(decision.id);
  if (value == nullptr || value->phase != attempt_phase::running) {
    return;
  }
  CUMINPATH_ASSERT(value->request.repeatable);
  actions.emplace_back(cancel_run{value->run});
  actions.emplace_back(record_event{"run_preempted", value->request.request_id});
  m_attempts.end_run(*value);
  static_cast<void>(now);
}

void agent_core::execute_decision(time_point now, const scheduling::refuse_job& decision,
                                  std::vector<action>& actions) {
  if (auto* value = m_attempts.find(decision.id)) {
    abort_attempt(now, *value, decision.reason, "", actions, decision.retry_after);
  }
}

result<http::request> agent_core::upstream_request(const attempt& value) const {
  // A newer configuration may have changed the model or service of this upstream since the attempt was
  // queued.
  if (m_upstream == nullptr || m_upstream->model_or_service != value.request.model_or_service) {
    return make_error(error_code::not_found, "this agent does not serve " + value.request.model_or_service);
  }
  if (!is_model_request(value)) {
    return service_request(value);
  }
  const auto& classes = m_manifest->classes;
  const auto priority_class = std::find_if(classes.begin(), classes.end(), [&](const auto& item) {
    return item.name == value.request.priority_class;
  });
  return engine_request(value, priority_class == classes.end() ? static_cast<std::uint32_t>(classes.size())
                                                               : priority_class->priority);
}

void agent_core::on_run_head(time_point now, run_id run, int status, const http::header_list& headers,
                             std::vector<action>& actions) {
  auto* value = m_attempts.find(run);
  if (value == nullptr) {
    return;
  }
  on_upstream_health(true, actions);
  value->token_stream = is_model_request(*value) && status == k_status_ok;
  const bool other_response = value->head_sent && status != value->status;
  const bool failed = !value->token_stream && (value->next_index > 0 || !is_request_error(status));
  if (is_model_request(*value) && (failed || other_response)) {
    fail_attempt(now, *value, "the engine responded with status " + std::to_string(status), actions);
    return;
  }
  if (value->head_sent) {
    return;  // Sent for an earlier run of this attempt, which was preempted.
  }
  value->head_sent = true;
  value->status = static_cast<std::uint16_t>(status);
  auto forwarded_headers = end_to_end_headers(headers);
  if (!value->request.repeatable) {
    value->headers = forwarded_headers;
  }
  actions.emplace_back(
      send_message{value->peer_address, wire::response_head{.request_id = value->request.request_id,
                                                            .attempt = value->request.attempt,
                                                            .status = static_cast<std::uint16_t>(status),
                                                            .headers = std::move(forwarded_headers)}});
}

void agent_core::on_run_data(time_point now, run_id run, std::string_view data,
                             std::vector<action>& actions) {
  auto* value = m_attempts.find(run);
  if (value == nullptr) {
    return;
  }
  if (value->token_stream) {
    forward_events(now, *value, data, actions);
  } else {
    forward_bytes(now, *value, data, actions);
  }
}

std::string_view agent_core::entry_of(run_id run) {
  const auto* value = m_attempts.find(run);
  return value == nullptr ? std::string_view() : value->peer_address;
}

void agent_core::forward_bytes(time_point now, attempt& value, std::string_view data,
                               std::vector<action>& actions) {
  if (value.next_index + data.size() > k_max_forwarded_bytes) {
    fail_attempt(now, value, "the response is too large", actions);
    return;
  }
  actions.emplace_back(
      send_message{value.peer_address, wire::response_chunk{.request_id = value.request.request_id,
                                                            .attempt = value.request.attempt,
                                                            .index = value.next_index,
                                                            .tokens = 0,
                                                            .data = std::string(data)}});
  value.next_index += data.size();
  if (!value.request.repeatable) {
    m_attempts.append_response(value, data);
  }
}

void agent_core::forward_events(time_point now, attempt& value, std::string_view data,
                                std::vector<action>& actions) {
  std::vector<stream_event> events;
  std::string failure_detail =
      value.events.feed(data, events)
          ? ""
          : "the engine sent an event that is too large, or too much without an event";
  bool done = false;
  wire::response_chunk chunk{.request_id = value.request.request_id,
                             .attempt = value.request.attempt,
                             .index = value.next_index,
                             .tokens = 0,
                             .data = {}};
  for (auto& event : events) {
    if (event.data == k_stream_end_event) {
      done = true;
      break;
    }
    if (!event.type.empty() || token_index(event.data) != value.next_index) {
      failure_detail =
          "the engine sent an unexpected event instead of token " + std::to_string(value.next_index);
      break;
    }
    chunk.data.append(chunk.tokens == 0 ? "" : "\n").append(event.data);
    ++chunk.tokens;
    ++value.next_index;
    if (value.request.repeatable) {
      value.generated_events.push_back(std::move(event.data));
    }
  }
  if (chunk.tokens > 0) {
    m_scheduler.on_tokens(now, value.job, chunk.tokens);
    actions.emplace_back(send_message{value.peer_address, std::move(chunk)});
  }
  if (!failure_detail.empty()) {
    fail_attempt(now, value, std::move(failure_detail), actions);
  } else if (done) {
    finish_attempt(now, value, actions);
  }
}

void agent_core::on_run_end(time_point now, run_id run, std::vector<action>& actions) {
  auto* value = m_attempts.find(run);
  if (value == nullptr) {
    return;
  }
  if (value->token_stream) {
    m_attempts.end_run(*value);
    fail_attempt(now, *value, "the engine's stream ended without its last event", actions);
  } else {
    finish_attempt(now, *value, actions);
  }
}

void agent_core::on_run_failed(time_point now, run_id run, const http::call_failure& failure,
                               bool upstream_ended, std::vector<action>& actions) {
  auto* value = m_attempts.find(run);
  if (value == nullptr) {
    return;
  }
  if (upstream_ended) {
    m_upstream_crashes += m_upstream_healthy ? 1 : 0;
    on_upstream_health(false, actions);
    if (is_model_request(*value) && value->next_index <= value->request.resume_index) {
      const auto crash = static_cast<std::uint32_t>(
          hash64(m_options.host, to_integer(m_options.local_incarnation) + m_upstream_crashes));
      actions.emplace_back(
          send_message{value->peer_address,
                       wire::upstream_crash{value->request.request_id, value->request.attempt, crash}});
    }
  }
  if (!failure.sent) {
    m_attempts.mark_unsent(*value);
    if (failure.code == error_code::unreachable) {
      on_upstream_health(false, actions);
    }
  }
  m_attempts.end_run(*value);
  fail_attempt(now, *value, failure.message, actions);
}

void agent_core::on_upstream_health(bool healthy, std::vector<action>& actions) {
  if (m_upstream_healthy == healthy) {
    return;
  }
  m_upstream_healthy = healthy;
  actions.emplace_back(record_event{healthy ? "upstream_healthy" : "upstream_unhealthy", ""});
  m_subscriptions.make_all_due();
}

void agent_core::finish_attempt(time_point now, attempt& value, std::vector<action>& actions) {
  actions.emplace_back(
      send_message{value.peer_address, wire::response_end{.request_id = value.request.request_id,
                                                          .attempt = value.request.attempt,
                                                          .length = value.next_index}});
  m_scheduler.on_finished(now, value.job);
  m_attempts.end(now, value, ended_state::finished);
  schedule(now, actions);
}

void agent_core::fail_attempt(time_point now, attempt& value, std::string detail,
                              std::vector<action>& actions) {
  const auto reason =
      value.deadline <= now ? wire::refusal_reason::deadline_passed : wire::refusal_reason::upstream_failed;
  abort_attempt(now, value, reason, std::move(detail), actions);
  schedule(now, actions);
}

}  // namespace cuminpath::agent
