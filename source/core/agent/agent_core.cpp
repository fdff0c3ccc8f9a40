#include "core/agent/agent_core.h"

#include <algorithm>

#include "core/common/assert.h"

namespace cuminpath::agent {
namespace {

constexpr milliseconds k_stale_configuration_retry_after{1000};

wire::refusal make_refusal(const wire::submit_request& request, wire::execution execution_state,
                           wire::refusal_reason reason, std::string detail) {
  return {.request_id = request.request_id,
          .attempt = request.attempt,
          .execution_state = execution_state,
          .reason = reason,
          .retry_after_ms = 0,
          .detail = std::move(detail)};
}

}  // namespace

struct agent_core::message_visitor {
  agent_core& core;
  time_point now;
  const message_source& from;
  std::vector<action>& actions;

  void operator()(wire::submit_request& value) const { core.submit(now, from, std::move(value), actions); }
  void operator()(const wire::cancel_request& value) const { core.cancel(now, value, actions); }
  void operator()(const wire::settle_attempt& value) const { core.settle(now, from, value, actions); }
  void operator()(const wire::subscribe_load& value) const {
    core.m_subscriptions.subscribe(now, from.address, milliseconds(value.lease_ms));
    core.send_reports(now, actions);
  }
  // The agent process passes these messages to membership and rollout.
  void operator()(const wire::heartbeat&) const {}
  void operator()(const wire::configuration_fetch&) const {}
  void operator()(const wire::configuration_sections&) const {}
  // Only agents send these messages, and only to entries.
  void operator()(const wire::response_head&) const {}
  void operator()(const wire::response_chunk&) const {}
  void operator()(const wire::response_end&) const {}
  void operator()(const wire::refusal&) const {}
  void operator()(const wire::attempt_status&) const {}
  void operator()(const wire::load_report&) const {}
  void operator()(const wire::upstream_crash&) const {}
  // Only entries exchange this message.
  void operator()(const wire::crash_evidence&) const {}
  void operator()(wire::switch_prepare& value) const { forward(std::move(value)); }
  void operator()(wire::switch_prepared& value) const { forward(std::move(value)); }
  void operator()(wire::switch_arm& value) const { forward(std::move(value)); }
  void operator()(wire::switch_armed& value) const { forward(std::move(value)); }
  void operator()(wire::switch_commit& value) const { forward(std::move(value)); }
  void operator()(wire::switch_abort& value) const { forward(std::move(value)); }
  void operator()(wire::switch_query& value) const { forward(std::move(value)); }
  void operator()(wire::switch_state& value) const { forward(std::move(value)); }
  void operator()(wire::expert_load& value) const { forward(std::move(value)); }

private:
  void forward(wire::message value) const {
    actions.emplace_back(forward_group_message{std::string(from.address), std::move(value)});
  }
};

agent_core::agent_core(agent_options options)
    : m_options(std::move(options)),
      m_scheduler({.max_queued = m_options.max_queued}),
      m_attempts(m_options.attempts) {}

void agent_core::on_configuration(time_point now, configuration_version version,
                                  std::shared_ptr<const config::manifest> manifest,
                                  std::vector<action>& actions) {
  if (version <= m_version) {
    return;
  }
  m_version = version;
  m_manifest = std::move(manifest);
  const auto& upstreams = m_manifest->upstreams;
  const auto found = std::find_if(upstreams.begin(), upstreams.end(),
                                  [this](const auto& upstream) { return upstream.host == m_options.host; });
  m_upstream = found == upstreams.end() ? nullptr : &*found;
  m_scheduler.configure(now, m_manifest->classes, m_manifest->workspaces,
                        m_upstream == nullptr ? 0 : m_upstream->slots);
  release_held(now, actions);
  schedule(now, actions);
}

void agent_core::on_message(time_point now, const message_source& from, wire::message value,
                            std::vector<action>& actions) {
  m_subscriptions.on_message(now, from.address);
  std::visit(message_visitor{*this, now, from, actions}, value);
}

void agent_core::on_peer_lost(time_point now, std::string_view address, std::vector<action>& actions) {
  for (const auto job : m_attempts.jobs_from(address)) {
    auto& value = *m_attempts.find(job);
    // A run that may not be repeated continues, because its outcome is kept for settle_attempt.
    if (value.phase != attempt_phase::running || value.request.repeatable) {
      abort_attempt(now, value, wire::refusal_reason::upstream_failed, "the link to the entry broke",
                    actions);
    }
  }
  schedule(now, actions);
}

bool agent_core::refuse_duplicate(const message_source& from, const wire::submit_request& request,
                                  std::vector<action>& actions) {
  const auto* ended = m_attempts.find_ended(request.request_id, request.attempt);
  const bool forbidden = !request.repeatable && m_attempts.is_forbidden(request.request_id, request.attempt);
  const bool never_runs = forbidden || (ended != nullptr && ended->state == ended_state::not_run);
  const bool may_have_run =
      ended != nullptr || m_attempts.find(request.request_id, request.attempt) != nullptr ||
      (!request.repeatable && m_attempts.may_have_run(request.request_id, request.attempt));
  if (!never_runs && !may_have_run) {
    return false;
  }
  actions.emplace_back(
      send_message{std::string(from.address),
                   make_refusal(request, never_runs ? wire::execution::not_run : wire::execution::unknown,
                                wire::refusal_reason::duplicate_attempt, "the attempt is known already")});
  return true;
}

std::optional<wire::refusal_reason> agent_core::immediate_refusal(const message_source& from,
                                                                  const attempt& value) const {
  if (value.request.receiver != incarnation{} && value.request.receiver != m_options.local_incarnation) {
    return wire::refusal_reason::agent_restarted;
  }
  if (m_draining) {
    return wire::refusal_reason::draining;
  }
  if (from.version < m_version) {
    return wire::refusal_reason::stale_configuration;
  }
  const bool memory_full = m_attempts.request_bytes() > m_options.max_request_bytes;
  if (memory_full || (!value.request.repeatable && !m_attempts.has_unrepeatable_capacity())) {
    return wire::refusal_reason::queue_full;
  }
  if (from.version > m_version && m_held_jobs.size() >= m_options.max_held_attempts) {
    return wire::refusal_reason::queue_full;
  }
  return std::nullopt;
}

void agent_core::submit(time_point now, const message_source& from, wire::submit_request request,
                        std::vector<action>& actions) {
  if (refuse_duplicate(from, request, actions)) {
    return;
  }
  auto& value = m_attempts.add(now, from.address, std::move(request));
  value.version = from.version;
  if (const auto reason = immediate_refusal(from, value)) {
    abort_attempt(now, value, *reason, "", actions);
  } else if (from.version > m_version) {
    m_held_jobs.push_back(value.job);
  } else {
    admit(now, value, actions);
    schedule(now, actions);
  }
}

void agent_core::admit(time_point now, attempt& value, std::vector<action>& actions) {
  const auto& request = value.request;
  if (m_upstream == nullptr || m_upstream->model_or_service != request.model_or_service) {
    abort_attempt(now, value, wire::refusal_reason::unknown_upstream,
                  "this agent does not serve " + request.model_or_service, actions);
    return;
  }
  if (value.deadline <= now) {
    abort_attempt(now, value, wire::refusal_reason::deadline_passed, "", actions);
    return;
  }
  const bool preemptible = request.repeatable && request.kind != wire::request_kind::service;
  const auto admission = m_scheduler.submit(now, {.id = value.job,
                                                  .workspace = request.workspace,
                                                  .priority_class = request.priority_class,
                                                  .expected_tokens = std::max(1U, request.expected_tokens),
                                                  .deadline = value.deadline,
                                                  .preemptible = preemptible});
  if (const auto* refused = std::get_if<scheduling::refused>(&admission)) {
    abort_attempt(now, value, refused->reason, "", actions, refused->retry_after);
    return;
  }
  value.phase = attempt_phase::queued;
}

void agent_core::cancel(time_point now, const wire::cancel_request& request, std::vector<action>& actions) {
  auto* value = m_attempts.find(request.request_id, request.attempt);
  if (value == nullptr || (value->phase == attempt_phase::running && !value->request.repeatable)) {
    return;
  }
  abort_attempt(now, *value, wire::refusal_reason::cancelled, "", actions);
  schedule(now, actions);
}

void agent_core::settle(time_point now, const message_source& from, const wire::settle_attempt& request,
                        std::vector<action>& actions) {
  wire::attempt_status status{.request_id = request.request_id,
                              .attempt = request.attempt,
                              .state = wire::attempt_state::not_seen,
                              .status = 0,
                              .headers = {},
                              .body = {}};
  if (const auto* value = m_attempts.find(request.request_id, request.attempt)) {
    status.state =
        value->phase == attempt_phase::running ? wire::attempt_state::running : wire::attempt_state::queued;
  } else if (const auto* ended = m_attempts.find_ended(request.request_id, request.attempt)) {
    switch (ended->state) {
      case ended_state::finished:
        status.state = wire::attempt_state::finished;
        status.status = ended->status;
        status.headers = ended->headers;
        status.body = ended->body;
        break;
      case ended_state::failed:
        status.state = wire::attempt_state::failed;
        break;
      case ended_state::not_run:  // Every later submission is refused, so not_seen is correct.
        break;
    }
  } else if (m_attempts.may_have_run(request.request_id, request.attempt)) {
    status.state = wire::attempt_state::failed;
  } else {
    m_attempts.forbid(now, request.request_id, request.attempt);
  }
  actions.emplace_back(send_message{std::string(from.address), std::move(status)});
}

void agent_core::abort_attempt(time_point now, attempt& value, wire::refusal_reason reason,
                               std::string detail, std::vector<action>& actions, milliseconds retry_after) {
  if (value.phase == attempt_phase::running) {
    actions.emplace_back(cancel_run{value.run});
  }
  if (value.phase != attempt_phase::held) {
    m_scheduler.cancel(now, value.job);
  }
  auto message =
      make_refusal(value.request, value.started ? wire::execution::unknown : wire::execution::not_run, reason,
                   std::move(detail));
  message.retry_after_ms = static_cast<std::uint32_t>(retry_after.count());
  actions.emplace_back(send_message{value.peer_address, std::move(message)});
  m_attempts.end(now, value, value.started ? ended_state::failed : ended_state::not_run);
}

void agent_core::release_held(time_point now, std::vector<action>& actions) {
  std::deque<scheduling::job_id> held;
  held.swap(m_held_jobs);
  for (const auto job : held) {
    auto* value = m_attempts.find(job);
    if (value == nullptr) {
      continue;
    }
    if (value->version > m_version) {
      m_held_jobs.push_back(job);
    } else if (value->version < m_version) {
      abort_attempt(now, *value, wire::refusal_reason::stale_configuration, "", actions);
    } else {
      admit(now, *value, actions);
    }
  }
}

void agent_core::expire_held(time_point now, std::vector<action>& actions) {
  while (!m_held_jobs.empty()) {
    auto* value = m_attempts.find(m_held_jobs.front());
    if (value != nullptr && now < value->arrived + m_options.max_hold_time) {
      return;
    }
    m_held_jobs.pop_front();
    if (value != nullptr) {
      abort_attempt(now, *value, wire::refusal_reason::stale_configuration,
                    "the agent has not received the entry's configuration yet", actions,
                    k_stale_configuration_retry_after);
    }
  }
}

void agent_core::expire_deadlines(time_point now, std::vector<action>& actions) {
  for (const auto job : m_attempts.take_overdue(now)) {
    auto& value = *m_attempts.find(job);
    if (value.phase != attempt_phase::running || value.request.repeatable) {
      abort_attempt(now, value, wire::refusal_reason::deadline_passed, "", actions);
    }
  }
}

void agent_core::drop_expired_entries(time_point now, std::vector<action>& actions) {
  std::vector<std::string> expired;
  m_subscriptions.remove_expired(now, expired);
  for (const auto& peer : expired) {
    actions.emplace_back(record_event{"entry_lost", peer});
    on_peer_lost(now, peer, actions);
  }
}

void agent_core::drain(time_point now, std::vector<action>& actions) {
  if (m_draining) {
    return;
  }
  m_draining = true;
  actions.emplace_back(record_event{"drain_started", ""});
  std::vector<scheduling::decision> decisions;
  m_scheduler.drain(now, decisions);
  for (const auto& item : decisions) {
    std::visit([&](const auto& decision) { execute_decision(now, decision, actions); }, item);
  }
  for (const auto job : m_held_jobs) {
    if (auto* value = m_attempts.find(job)) {
      abort_attempt(now, *value, wire::refusal_reason::draining, "", actions);
    }
  }
  m_held_jobs.clear();
  m_subscriptions.make_all_due();
  send_reports(now, actions);
}

void agent_core::tick(time_point now, std::vector<action>& actions) {
  expire_held(now, actions);
  expire_deadlines(now, actions);
  drop_expired_entries(now, actions);
  schedule(now, actions);
  send_reports(now, actions);
  m_attempts.expire(now);
}

wire::load_report agent_core::load(time_point now) const {
  return {.upstream = m_upstream == nullptr ? std::string() : m_upstream->name,
          .running = m_scheduler.running(),
          .queued = m_scheduler.queued() + static_cast<std::uint32_t>(m_held_jobs.size()),
          .slots = m_upstream == nullptr ? 0 : m_upstream->slots,
          .draining = m_draining,
          .upstream_healthy = m_upstream_healthy,
          .classes = m_scheduler.loads(now)};
}

void agent_core::send_reports(time_point now, std::vector<action>& actions) {
  if (m_upstream == nullptr) {
    return;
  }
  std::vector<std::string> peers;
  m_subscriptions.take_due(now, peers);
  if (peers.empty()) {
    return;
  }
  const auto report = load(now);
  for (auto& peer : peers) {
    actions.emplace_back(send_message{std::move(peer), report});
  }
}

}  // namespace cuminpath::agent
