#include "core/entry/entry_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/common/hash.h"

namespace cuminpath::entry {
namespace {

constexpr milliseconds k_subscription_lease{10000};
constexpr milliseconds k_subscribe_interval{4000};
// An agent from which no message arrives within this time may have lost its subscription in a restart, so the
// entry subscribes again before the lease ends.
constexpr milliseconds k_report_timeout{1500};
constexpr milliseconds k_resubscribe_interval{500};
constexpr milliseconds k_peers_update_interval{500};
// Reserves capacity for the most urgent class when other classes overload the entry.
constexpr double k_max_lower_class_share = 0.8;
// Below this utilization of the limit, a workspace may use capacity that others leave unused.
constexpr double k_fair_share_threshold = 0.5;
constexpr std::size_t k_min_workspace_requests = 16;
// The agent receives the request one network transit after the entry sent it, and measures the deadline from
// then on. This delay lets its accurate `not_run` refusal arrive before the entry answers `unknown`.
constexpr milliseconds k_deadline_grace{50};

}  // namespace

entry_core::entry_core(entry_options options)
    : m_options(std::move(options)),
      m_router(routing::router_options{m_options.name, m_options.availability_zone, m_options.region}),
      m_prompt_quarantine({}, hash64(m_options.name)) {}

void entry_core::on_configuration(event_context& context, configuration_version version,
                                  std::shared_ptr<const config::manifest> manifest) {
  if (m_manifest_index.ready() && version <= m_manifest_index.version()) {
    return;
  }
  m_manifest_index = manifest_index(version, std::move(manifest));
  update_upstreams(context);
  m_requests.for_each([&](request& value) {
    if (value.stale_configuration && value.retry_at) {
      value.retry_at = context.now;
    }
  });
}

void entry_core::on_hosts(event_context& context, std::span<const host_location> agents) {
  m_hosts.clear();
  for (const auto& agent : agents) {
    m_hosts.emplace(agent.name, agent);
  }
  update_upstreams(context);
}

void entry_core::update_upstreams(event_context& context) {
  if (!m_manifest_index.ready()) {
    return;
  }
  std::vector<routing::upstream_info> upstreams;
  upstreams.reserve(m_manifest_index.manifest().upstreams.size());
  for (const auto& upstream : m_manifest_index.manifest().upstreams) {
    routing::upstream_info info;
    info.name = upstream.name;
    info.model_or_service = upstream.model_or_service;
    info.slots = upstream.slots;
    if (const auto host = m_hosts.find(upstream.host); host != m_hosts.end()) {
      info.availability_zone = host->second.availability_zone;
      info.region = host->second.region;
      info.peer_address = host->second.peer_address;
    }
    upstreams.push_back(std::move(info));
  }
  m_router.set_upstreams(context.now, upstreams);
  m_next_peers_update = context.now;
}

void entry_core::subscribe(event_context& context) {
  if (context.now >= m_next_peers_update) {
    m_next_peers_update = context.now + k_peers_update_interval;
    std::unordered_map<std::string, peer> kept;
    for (const auto id : m_router.subset()) {
      const std::string& address = m_router.upstream(id).peer_address;
      if (!address.empty() && !kept.contains(address)) {
        const auto known = m_peers.find(address);
        kept.emplace(address, known == m_peers.end() ? peer{} : known->second);
      }
    }
    m_requests.for_each([&](const request& value) {
      const auto keep = [&](const open_attempt& attempt) {
        if (!kept.contains(attempt.peer_address)) {
          const auto known = m_peers.find(attempt.peer_address);
          kept.emplace(attempt.peer_address, known == m_peers.end() ? peer{} : known->second);
        }
      };
      if (value.attempt) {
        keep(*value.attempt);
      }
      std::for_each(value.silent_attempts.begin(), value.silent_attempts.end(), keep);
    });
    for (const auto& [address, agent] : m_peers) {
      if (!kept.contains(address)) {
        context.actions.emplace_back(close_link{address});
      }
    }
    m_peers = std::move(kept);
  }
  for (auto& [address, agent] : m_peers) {
    if (context.now < agent.next_subscription) {
      continue;
    }
    const bool report_overdue =
        !agent.message_received || context.now - agent.last_message > k_report_timeout;
    agent.next_subscription = context.now + (report_overdue ? k_resubscribe_interval : k_subscribe_interval);
    context.actions.emplace_back(send_message{
        address, wire::subscribe_load{static_cast<std::uint32_t>(k_subscription_lease.count())}});
  }
}

std::optional<problem> entry_core::admit(const accepted_request& accepted) const {
  const std::size_t total = m_requests.size();
  const auto limit = static_cast<double>(m_options.max_requests) *
                     (accepted.is_top_priority ? 1.0 : k_max_lower_class_share);
  if (static_cast<double>(total) >= limit) {
    return problem{503, wire::execution::not_run, "the entry has too many requests in flight", seconds(1)};
  }
  if (static_cast<double>(total) < static_cast<double>(m_options.max_requests) * k_fair_share_threshold) {
    return std::nullopt;
  }
  // Only workspaces with requests in flight are counted, so that the check stays cheap under overload.
  const auto* workspace = m_manifest_index.find_workspace(accepted.workspace);
  const double workspace_share = workspace == nullptr ? 0 : workspace->share;
  double total_shares = workspace_share;
  for (const auto& [name, count] : m_requests.workspaces()) {
    const auto* other_workspace =
        name == accepted.workspace ? nullptr : m_manifest_index.find_workspace(name);
    total_shares += other_workspace == nullptr ? 0 : other_workspace->share;
  }
  const auto fair_limit =
      static_cast<std::size_t>(total_shares > 0 ? limit * workspace_share / total_shares : 0);
  if (m_requests.in_flight(accepted.workspace) >= std::max(fair_limit, k_min_workspace_requests)) {
    return problem{429, wire::execution::not_run, "the workspace is over its share of the entry", seconds(1)};
  }
  return std::nullopt;
}

void entry_core::on_request(event_context& context, caller_id caller, http::request value) {
  ++m_counters.requests;
  std::string id = caller_request_id(value);
  if (id.empty()) {
    id = fmt::format("{:016x}", context.random());
  }
  const auto refuse = [&](const problem& failure) {
    context.actions.emplace_back(respond{caller, problem_response(failure, id)});
    context.actions.emplace_back(request_ended{"", failure.status, duration(0)});
  };
  if (!m_accepting) {
    refuse(problem{503, wire::execution::not_run, "the entry is leaving", seconds(1)});
    return;
  }
  auto parsed = read_caller_request(std::move(value), m_manifest_index, m_options.limits);
  if (const auto* failure = std::get_if<problem>(&parsed)) {
    refuse(*failure);
    return;
  }
  auto& accepted = std::get<accepted_request>(parsed);
  accepted.request_id = id;
  if (const auto failure = admit(accepted)) {
    refuse(*failure);
    return;
  }
  begin_request(context, caller, std::move(accepted));
  m_requests.sweep();
}

void entry_core::begin_request(event_context& context, caller_id caller, accepted_request accepted) {
  if (m_wire_id_prefix.empty()) {
    m_wire_id_prefix = fmt::format("{:016x}{:016x}", context.random(), context.random());
  }
  request value;
  value.caller = caller;
  value.request_id = accepted.request_id;
  value.arrival = context.now;
  value.deadline = context.now + accepted.timeout;
  accepted.headers.emplace_back("x-request-id", value.request_id);
  if (accepted.repeatable) {
    value.wire_id = fmt::format("{}-{}", m_wire_id_prefix, m_next_wire_id++);
  } else {
    value.wire_id = fmt::format("{:016x}{:016x}", context.random(), context.random());
    value.claim.emplace(value.wire_id, accepted.fingerprint);
    value.claim_key = idempotency::claim_row_key(accepted.workspace, accepted.idempotency_key);
  }
  value.accepted = std::move(accepted);
  request& inserted = m_requests.insert(std::move(value));
  if (inserted.claim) {
    begin_claim(context, inserted);
  } else {
    start_attempt(context, inserted);
  }
}

void entry_core::on_caller_closed(event_context& context, caller_id caller) {
  request* value = m_requests.find(caller);
  if (value == nullptr) {
    return;
  }
  if (value->claim) {
    // The outcome is stored, because the caller is expected to retry with the same key.
    value->caller_disconnected = true;
    return;
  }
  close_attempt(context, *value, routing::attempt_outcome::abandoned, true);
  value->caller_disconnected = true;
  end_request(context, *value, 499);
  m_requests.sweep();
}

void entry_core::on_caller_stalled(event_context& context, caller_id caller) {
  request* value = m_requests.find(caller);
  if (value == nullptr || !value->stream_begun) {
    return;
  }
  ++m_counters.slow_callers;
  close_attempt(context, *value, routing::attempt_outcome::abandoned, true);
  context.actions.emplace_back(abort_stream{caller});
  context.actions.emplace_back(record_event{"slow_caller", "request " + value->request_id});
  end_request(context, *value, 499);
  m_requests.sweep();
}

void entry_core::on_link_lost(event_context& context, std::string_view peer_address) {
  m_router.on_link_lost(context.now, peer_address);
  if (const auto found = m_peers.find(std::string(peer_address)); found != m_peers.end()) {
    found->second.message_received = false;
    found->second.agent_incarnation = incarnation{};
    found->second.next_subscription = context.now + k_resubscribe_interval;
  }
  m_requests.for_each([&](request& value) {
    on_silent_link_lost(context, value, peer_address);
    if (!value.done && value.attempt && value.attempt->peer_address == peer_address) {
      handle_broken_attempt(context, value, "the link to the agent was lost");
    }
  });
  m_requests.sweep();
}

void entry_core::tick(event_context& context) {
  const auto suspected = m_router.tick(context.now);
  if (!suspected.empty()) {
    m_requests.for_each([&](request& value) {
      if (value.attempt &&
          std::find(suspected.begin(), suspected.end(), value.attempt->upstream) != suspected.end()) {
        on_agent_silent(context, value);
      }
    });
    for (const auto id : suspected) {
      context.actions.emplace_back(record_event{"upstream_suspected", m_router.upstream(id).name});
    }
  }
  subscribe(context);
  record_quarantine_changes(context);
  m_requests.for_each([&](request& value) { tick_request(context, value); });
  m_requests.sweep();
}

void entry_core::tick_request(event_context& context, request& value) {
  const bool refusal_possible = value.attempt && !value.head_received;
  if (context.now >= value.deadline + (refusal_possible ? duration(k_deadline_grace) : duration(0))) {
    expire_request(context, value);
    return;
  }
  if (value.claim) {
    std::vector<idempotency::action> actions;
    value.claim->tick(context.now, actions);
    if (value.retry_at && context.now >= *value.retry_at) {
      value.retry_at.reset();
      provide_target(context, value, actions);
    }
    run_claim_actions(context, value, std::move(actions));
    return;
  }
  if (value.retry_at && context.now >= *value.retry_at) {
    retry_when_due(context, value);
  }
}

}  // namespace cuminpath::entry
