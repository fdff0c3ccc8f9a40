// The state machine of an agent: decides which attempts it accepts, when they run on its upstream and which
// messages it sends to the entries. It has no sockets, clocks or threads: it receives events and returns
// actions.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/agent/actions.h"
#include "core/agent/attempt_table.h"
#include "core/agent/load_subscriptions.h"
#include "core/config/manifest.h"
#include "core/scheduling/scheduler.h"

namespace cuminpath::agent {

struct agent_options {
  std::string host;  // Host name. The agent serves the manifest's upstream on this host.
  incarnation local_incarnation{};
  std::uint32_t max_queued = 10000;
  // Limits the bodies of requests that have not ended to half of the memory that a node may use
  // (section 1.4).
  std::size_t max_request_bytes = 128U << 20U;
  // How long a request of an entry with a newer configuration is held. A peer delivers the configuration
  // within a few round trips; the limit keeps callers from waiting if no peer does.
  milliseconds max_hold_time{2000};
  std::size_t max_held_attempts = 1000;
  // How long a call that may not be repeated continues after its caller's deadline, so that its outcome can
  // be settled.
  milliseconds unrepeatable_grace{60000};
  attempt_table_options attempts;
};

// The sender of a message.
struct message_source {
  std::string_view address;  // Peer address of the entry.
  configuration_version version{};
};

class agent_core {
public:
  explicit agent_core(agent_options options);

  // Puts a configuration in force. A version that is not newer than the current one is ignored.
  void on_configuration(time_point now, configuration_version version,
                        std::shared_ptr<const config::manifest> manifest, std::vector<action>& actions);
  void on_message(time_point now, const message_source& from, wire::message value,
                  std::vector<action>& actions);
  // Called when messages to or from a peer may have been lost. Aborts the peer's attempts, except for runs
  // that may not be repeated.
  void on_peer_lost(time_point now, std::string_view address, std::vector<action>& actions);

  // Events of a run. Events of unknown runs are ignored.
  void on_run_head(time_point now, run_id run, int status, const http::header_list& headers,
                   std::vector<action>& actions);
  void on_run_data(time_point now, run_id run, std::string_view data, std::vector<action>& actions);
  void on_run_end(time_point now, run_id run, std::vector<action>& actions);
  // `upstream_ended` states that the upstream did not respond when it was asked after the failure.
  void on_run_failed(time_point now, run_id run, const http::call_failure& failure, bool upstream_ended,
                     std::vector<action>& actions);
  // Records the result of a health probe of the upstream.
  void on_upstream_health(bool healthy, std::vector<action>& actions);

  // Refuses new and queued attempts. Attempts that have started continue.
  void drain(time_point now, std::vector<action>& actions);
  void tick(time_point now, std::vector<action>& actions);

  [[nodiscard]] bool draining() const { return m_draining; }
  // Returns true if a drain is complete, that is, no attempt is left.
  [[nodiscard]] bool drained() const { return m_draining && m_attempts.size() == 0; }
  [[nodiscard]] configuration_version version() const { return m_version; }
  // Returns the upstream that the agent serves, or null if the configuration names none on this host.
  [[nodiscard]] const config::upstream* upstream() const { return m_upstream; }
  [[nodiscard]] wire::load_report load(time_point now) const;
  // Returns the address of the entry that waits for the response of a run; empty for an unknown run.
  [[nodiscard]] std::string_view entry_of(run_id run);
  [[nodiscard]] const attempt_table& attempts() const { return m_attempts; }
  [[nodiscard]] std::size_t subscribers() const { return m_subscriptions.size(); }

private:
  struct message_visitor;

  // agent_core.cpp
  void submit(time_point now, const message_source& from, wire::submit_request request,
              std::vector<action>& actions);
  // Refuses the request and returns true if the attempt is known already.
  bool refuse_duplicate(const message_source& from, const wire::submit_request& request,
                        std::vector<action>& actions);
  // Returns why an attempt is refused before the scheduler sees it, or nothing if it is not.
  std::optional<wire::refusal_reason> immediate_refusal(const message_source& from,
                                                        const attempt& value) const;
  void admit(time_point now, attempt& value, std::vector<action>& actions);
  void cancel(time_point now, const wire::cancel_request& request, std::vector<action>& actions);
  void settle(time_point now, const message_source& from, const wire::settle_attempt& request,
              std::vector<action>& actions);
  // Ends the attempt, whatever its phase, and sends a refusal to its entry.
  void abort_attempt(time_point now, attempt& value, wire::refusal_reason reason, std::string detail,
                     std::vector<action>& actions, milliseconds retry_after = milliseconds(0));
  // After a change of the configuration, admits the held attempts whose version is now in force and refuses
  // those whose version was skipped.
  void release_held(time_point now, std::vector<action>& actions);
  void expire_held(time_point now, std::vector<action>& actions);
  void expire_deadlines(time_point now, std::vector<action>& actions);
  void drop_expired_entries(time_point now, std::vector<action>& actions);
  void send_reports(time_point now, std::vector<action>& actions);

  // agent_runs.cpp
  void schedule(time_point now, std::vector<action>& actions);
  void execute_decision(time_point now, const scheduling::start_job& decision, std::vector<action>& actions);
  void execute_decision(time_point now, const scheduling::preempt_job& decision,
                        std::vector<action>& actions);
  void execute_decision(time_point now, const scheduling::refuse_job& decision, std::vector<action>& actions);
  result<http::request> upstream_request(const attempt& value) const;
  void forward_bytes(time_point now, attempt& value, std::string_view data, std::vector<action>& actions);
  void forward_events(time_point now, attempt& value, std::string_view data, std::vector<action>& actions);
  void finish_attempt(time_point now, attempt& value, std::vector<action>& actions);
  void fail_attempt(time_point now, attempt& value, std::string detail, std::vector<action>& actions);

  agent_options m_options;
  configuration_version m_version{};
  std::shared_ptr<const config::manifest> m_manifest;
  const config::upstream* m_upstream = nullptr;  // Element of m_manifest.
  scheduling::scheduler m_scheduler;
  attempt_table m_attempts;
  load_subscriptions m_subscriptions;
  std::deque<scheduling::job_id> m_held_jobs;  // In order of arrival; may include attempts that have ended.
  bool m_draining = false;
  bool m_upstream_healthy = true;
  std::uint32_t m_upstream_crashes = 0;
};

}  // namespace cuminpath::agent
