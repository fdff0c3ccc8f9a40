#include "core/agent/agent_process.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <unordered_map>

#include "core/agent/agent_admin.h"
#include "core/agent/agent_core.h"
#include "core/agent/expert_service.h"
#include "core/agent/run_flow.h"
#include "core/common/engine_limits.h"
#include "core/common/hash.h"
#include "core/http/client.h"
#include "core/http/server.h"
#include "core/membership/member_table.h"
#include "core/rollout/rollout.h"
#include "core/storage/host_list_client.h"
#include "core/storage/object_client.h"
#include "core/telemetry/log.h"
#include "core/transport/link_metrics.h"
#include "core/transport/mailbox.h"

namespace cuminpath::agent {
namespace {

constexpr milliseconds k_tick_interval{10};
// Adds little to the 64 ms between two tokens.
constexpr milliseconds k_min_flush_interval{2};
constexpr std::size_t k_timeline_events = 2000;
constexpr milliseconds k_probe_interval{1000};
constexpr milliseconds k_probe_timeout{900};
// A single failed probe may only be a delay on a busy host.
constexpr int k_failed_probes_until_unhealthy = 2;
// The upstream is on the same host.
constexpr milliseconds k_upstream_check_timeout{100};
// Until the agent has a configuration, it needs the addresses of peers soon. Afterwards it fetches the whole
// list, about 2.6 MB at 13,200 hosts, so rarely that this takes less than 1.5 KB/s.
constexpr seconds k_host_list_retry_interval{2};
constexpr std::chrono::minutes k_host_list_interval{30};
constexpr std::size_t k_max_configuration_peers = 16;
// Entries stop choosing a leaving upstream within 3 s (invariant 5). Until then attempts may still arrive.
// They are refused as not run, so that their entries can retry on another upstream.
constexpr seconds k_leave_propagation_time{3};
// Time for nng to pass the last messages to the socket; closing the mailbox earlier would drop them.
constexpr milliseconds k_message_flush_time{500};
constexpr milliseconds k_max_flush_wait{2000};

std::uint64_t wall_clock_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

std::uint64_t random_seed() {
  constexpr unsigned k_word_bits = 32;
  std::random_device source;  // Returns 32 bits per call.
  return (std::uint64_t{source()} << k_word_bits) | source();
}

// Runs an agent_core on an io_context. All functions run on the thread of the io_context.
class agent_process {
public:
  explicit agent_process(const config::daemon_settings& settings)
      : m_settings(settings),
        m_random(random_seed()),
        m_incarnation(incarnation{m_random()}),
        m_timeline(settings.name, k_timeline_events),
        m_client(m_context),
        m_objects(m_client, settings.platform.objects),
        m_hosts(m_client, settings.platform.hosts),
        m_core({.host = settings.host,
                .local_incarnation = m_incarnation,
                .max_queued = settings.agent.max_queued,
                .attempts = {}}),
        m_members({.name = settings.host,
                   .role = storage::host_role::agent,
                   .availability_zone = settings.availability_zone,
                   .local_incarnation = m_incarnation}),
        m_rollout({.name = settings.host,
                   .availability_zone = settings.availability_zone,
                   .may_read_store = false}),
        m_signals(m_context, SIGTERM, SIGINT, SIGHUP),
        m_timer(m_context),
        m_flush_timer(m_context) {}

  int run() {
    if (!listen()) {
      return EXIT_FAILURE;
    }
    m_rollout.set_peers(m_settings.seed_peers);
    wait_for_signal();
    m_next_tick = clock::now();
    on_timer();
    m_context.run();
    telemetry::log(telemetry::log_level::info, "agent", "drained");
    return EXIT_SUCCESS;
  }

private:
  bool listen() {
    auto mailbox = transport::mailbox::open(
        m_context,
        {.name = m_settings.name, .address = m_settings.peer_address, .local_incarnation = m_incarnation},
        {.on_envelope = [this](wire::envelope value) { on_envelope(std::move(value)); },
         .on_link_lost = [this](std::string_view peer,
                                transport::link_loss loss) { on_link_lost(std::string(peer), loss); }});
    if (!mailbox) {
      telemetry::log(telemetry::log_level::error, "agent", mailbox.error().message);
      return false;
    }
    m_mailbox = std::move(mailbox.value());
    m_expert_service.emplace(
        m_client, m_settings, m_mailbox->address(),
        m_settings.name + "/" + std::to_string(to_integer(m_incarnation)),
        expert_service_hooks{
            .send = [this](std::string_view peer, wire::message message) { send(peer, std::move(message)); },
            .record =
                [this](std::string_view kind, std::string detail) {
                  m_timeline.record(m_hybrid_clock.tick(wall_clock_ms()), kind, std::move(detail));
                }});
    auto admin = http::server::start(
        m_context, {.address = m_settings.admin_address},
        [this](const http::request& request, const auto& responder) {
          m_link_metrics.update(m_metrics, m_mailbox->counters());
          responder->respond(respond_to_operator(clock::now(), request, make_admin_view()));
        });
    if (!admin) {
      telemetry::log(telemetry::log_level::error, "agent", admin.error().message);
      return false;
    }
    m_admin = std::move(admin.value());
    telemetry::log(telemetry::log_level::info, "agent", "listening",
                   {{"peer_address", m_mailbox->address()}, {"admin_address", m_admin->address()}});
    return true;
  }

  admin_view make_admin_view() {
    return {.name = m_settings.name,
            .operator_key_sha256 = m_settings.operator_key_sha256,
            .core = m_core,
            .metrics = m_metrics,
            .timeline = m_timeline,
            .links = m_mailbox->counters(),
            .drain = [this] { start_drain(); },
            .expert_map =
                [this](const http::request& request) {
                  return m_expert_service->respond(clock::now(), request);
                }};
  }

  void wait_for_signal() {
    m_signals.async_wait([this](const std::error_code& code, int signal) {
      if (code) {
        return;
      }
      if (signal == SIGHUP) {
        telemetry::log(telemetry::log_level::info, "process", "settings of a running agent are not reloaded");
      } else if (!m_signal_received) {
        m_signal_received = true;
        start_drain();
      } else if (signal == SIGINT) {
        std::_Exit(EXIT_FAILURE);
      } else {
        telemetry::log(telemetry::log_level::info, "process", "already leaving");
      }
      wait_for_signal();
    });
  }

  void start_drain() {
    const auto now = clock::now();
    if (m_core.draining()) {
      return;
    }
    telemetry::log(telemetry::log_level::info, "agent", "drain started");
    m_drain_started_at = now;
    m_members.leave(now);
    std::vector<action> actions;
    m_core.drain(now, actions);
    execute(actions);
  }

  // --- Messages ---

  void on_envelope(wire::envelope value) {
    const auto now = clock::now();
    m_hybrid_clock.receive(wall_clock_ms(), value.logical_time);
    m_members.on_message(now, value.sender_address, value.sender_incarnation);
    std::vector<rollout::action> rollout_actions;
    m_rollout.on_peer_version(now, value.sender_address, value.version, rollout_actions);
    std::vector<action> actions;
    const message_source from{.address = value.sender_address, .version = value.version};
    for (auto& item : value.messages) {
      if (const auto* heartbeat = std::get_if<wire::heartbeat>(&item)) {
        m_members.on_heartbeat(now, value.sender_address, value.sender_incarnation, *heartbeat);
      } else if (const auto* fetch = std::get_if<wire::configuration_fetch>(&item)) {
        m_rollout.on_fetch(now, value.sender_address, *fetch, rollout_actions);
      } else if (const auto* sections = std::get_if<wire::configuration_sections>(&item)) {
        m_rollout.on_sections(now, value.sender_address, *sections, rollout_actions);
      } else {
        m_core.on_message(now, from, std::move(item), actions);
      }
    }
    execute(rollout_actions);
    execute(actions);
  }

  void on_link_lost(const std::string& peer, transport::link_loss loss) {
    const auto now = clock::now();
    telemetry::log(telemetry::log_level::info, "agent", "link lost",
                   {{"peer", peer}, {"loss", static_cast<std::int64_t>(loss)}});
    m_metrics.add("cuminpath_links_lost_total");
    m_members.on_link_lost(now, peer);
    std::vector<action> actions;
    m_core.on_peer_lost(now, peer, actions);
    execute(actions);
  }

  void send(std::string_view peer, wire::message message) {
    m_mailbox->send(peer, std::move(message));
    request_flush();
  }

  // All messages to a peer that the currently pending handlers send share one envelope. If no envelope was
  // sent during the last interval, it is sent at once. Otherwise it is sent at the end of the interval, so
  // that the tokens of one engine step, which arrive on separate connections, share one envelope, too.
  void request_flush() {
    if (m_flush_requested) {
      return;
    }
    m_flush_requested = true;
    const auto due = m_last_flush + k_min_flush_interval;
    if (clock::now() >= due) {
      asio::post(m_context, [this] { flush(); });
      return;
    }
    m_flush_timer.expires_at(due);
    m_flush_timer.async_wait([this](const std::error_code& code) {
      if (!code) {
        flush();
      }
    });
  }

  void flush() {
    m_flush_requested = false;
    m_last_flush = clock::now();
    m_mailbox->flush(m_core.version(), m_hybrid_clock.tick(wall_clock_ms()));
  }

  // --- Actions of the core ---

  void execute(std::vector<action>& actions) {
    for (auto& item : actions) {
      std::visit([this](auto& value) { execute_one(value); }, item);
    }
  }

  void execute_one(send_message& value) {
    count_message(value.message);
    send(value.peer_address, std::move(value.message));
  }

  void execute_one(start_run& value) {
    const auto run = value.id;
    m_metrics.add("cuminpath_agent_runs_total");
    // The process may have been suspended since the core checked the deadline.
    if (clock::now() >= value.deadline) {
      asio::post(m_context, [this, run] {
        handle_event([run](agent_core& core, time_point now, auto& actions) {
          core.on_run_failed(now, run, {error_code::timed_out, "the deadline passed before the start", false},
                             false, actions);
        });
      });
      return;
    }
    const auto call = m_client.stream(m_settings.agent.upstream_url, std::move(value.request), value.options,
                                      make_stream_handler(run));
    m_calls.emplace(run, call);
  }

  http::stream_handler make_stream_handler(run_id run) {
    return {.head =
                [this, run](int status, const http::header_list& headers) {
                  handle_event([&](agent_core& core, time_point now, auto& actions) {
                    core.on_run_head(now, run, status, headers, actions);
                  });
                },
            .data =
                [this, run](const std::string& data) {
                  handle_event([&](agent_core& core, time_point now, auto& actions) {
                    core.on_run_data(now, run, data, actions);
                  });
                  pause_if_link_lags(run);
                },
            .end =
                [this, run] {
                  forget_call(run);
                  handle_event([&](agent_core& core, time_point now, auto& actions) {
                    core.on_run_end(now, run, actions);
                  });
                },
            .failure =
                [this, run](const http::call_failure& failure) {
                  forget_call(run);
                  if (failure.sent && failure.code == error_code::unreachable) {
                    check_upstream(run, failure);
                    return;
                  }
                  handle_event([&](agent_core& core, time_point now, auto& actions) {
                    core.on_run_failed(now, run, failure, false, actions);
                  });
                }};
  }

  // Asks the upstream for a response before the failure of a run is reported, because its request may be the
  // reason why the upstream has ended.
  void check_upstream(run_id run, const http::call_failure& failure) {
    m_client.call(m_settings.agent.upstream_url, {.method = "HEAD", .target = "/"},
                  {.timeout = k_upstream_check_timeout, .never_reuse_connection = true},
                  [this, run, failure](const http::client::call_result& response) {
                    const bool ended = response.failure.has_value();
                    handle_event([&](agent_core& core, time_point now, auto& actions) {
                      core.on_run_failed(now, run, failure, ended, actions);
                    });
                  });
  }

  void execute_one(const cancel_run& value) {
    if (const auto found = m_calls.find(value.id); found != m_calls.end()) {
      m_client.cancel(found->second);
      forget_call(value.id);
    }
  }

  void forget_call(run_id run) {
    m_calls.erase(run);
    m_run_flow.on_ended(run);
  }

  void pause_if_link_lags(run_id run) {
    const auto call = m_calls.find(run);
    const auto entry = m_core.entry_of(run);
    if (call != m_calls.end() && !entry.empty() &&
        m_run_flow.on_data(run, entry, m_mailbox->queued_bytes(entry))) {
      m_metrics.add("cuminpath_agent_runs_paused_total");
      m_client.pause(call->second);
    }
  }

  void resume_runs() {
    for (const run_id run : m_run_flow.take_resumable(
             [this](std::string_view entry) { return m_mailbox->queued_bytes(entry); })) {
      m_client.resume(m_calls.at(run));
    }
  }

  void execute_one(record_event& value) {
    m_timeline.record(m_hybrid_clock.tick(wall_clock_ms()), value.kind, std::move(value.detail));
  }

  void execute_one(const forward_group_message& value) {
    m_expert_service->on_message(clock::now(), value.peer_address, value.message);
  }

  template <class function>
  void handle_event(function event) {
    std::vector<action> actions;
    event(m_core, clock::now(), actions);
    execute(actions);
  }

  void count_message(const wire::message& message) {
    if (const auto* refusal = std::get_if<wire::refusal>(&message)) {
      const bool not_run = refusal->execution_state == wire::execution::not_run;
      m_metrics.add("cuminpath_agent_refusals_total",
                    {{"reason", std::string(wire::to_string(refusal->reason))},
                     {"execution", not_run ? "not_run" : "unknown"}});
    } else if (const auto* chunk = std::get_if<wire::response_chunk>(&message)) {
      m_metrics.add("cuminpath_agent_tokens_total", {}, chunk->tokens);
    } else if (std::holds_alternative<wire::response_end>(message)) {
      m_metrics.add("cuminpath_agent_answers_total");
    }
  }

  // --- Configuration ---

  void execute(std::vector<rollout::action>& actions) {
    for (auto& item : actions) {
      std::visit([this](auto& value) { execute_one(value); }, item);
    }
  }

  void execute_one(const rollout::read_head_row&) {}  // Only entries read the head row from the store.

  void execute_one(rollout::fetch_object& value) {
    m_objects.fetch(value.digest, [this, digest = value.digest](result<std::string> content) {
      std::vector<rollout::action> actions;
      if (content) {
        m_rollout.on_object(clock::now(), digest, std::move(content.value()), actions);
      } else {
        m_rollout.on_object_failed(clock::now(), digest, actions);
      }
      execute(actions);
    });
  }

  void execute_one(rollout::send_message& value) { send(value.peer_address, std::move(value.message)); }

  void execute_one(rollout::configuration_in_force& value) {
    const auto now = clock::now();
    const auto version = to_integer(value.version);
    m_timeline.record(m_hybrid_clock.tick(wall_clock_ms()), "configuration_applied", std::to_string(version));
    telemetry::log(telemetry::log_level::info, "agent", "configuration in force",
                   {{"version", static_cast<std::int64_t>(version)}});
    std::vector<action> actions;
    m_core.on_configuration(now, value.version, value.manifest, actions);
    m_expert_service->on_configuration(std::move(value.manifest), m_core.upstream());
    execute(actions);
  }

  void fetch_host_list(time_point now) {
    if (m_settings.platform.hosts.empty() || now < m_next_host_list) {
      return;
    }
    m_next_host_list = now + k_host_list_retry_interval;
    m_hosts.fetch([this](const result<storage::host_list>& hosts) {
      if (!hosts) {
        return;
      }
      const auto received = clock::now();
      if (m_core.version() != configuration_version{}) {
        // Jitter keeps the hosts of a fleet that starts at the same time from fetching the list together.
        m_next_host_list = received + k_host_list_interval / 2 +
                           milliseconds(random_index(m_random, milliseconds(k_host_list_interval).count()));
      }
      m_members.on_host_list(received, hosts.value());
      m_rollout.set_peers(configuration_peers());
    });
  }

  // Returns the peers to ask for the configuration: the seed peers, then entries in random order with those
  // of the local availability zone first, because these receive a new configuration soonest.
  std::vector<std::string> configuration_peers() {
    auto entries = m_members.members(storage::host_role::entry);
    std::shuffle(entries.begin(), entries.end(), m_random);
    std::stable_partition(entries.begin(), entries.end(), [this](const storage::host_entry& entry) {
      return entry.availability_zone == m_settings.availability_zone;
    });
    std::vector<std::string> peers = m_settings.seed_peers;
    for (const auto& entry : entries) {
      if (peers.size() >= k_max_configuration_peers) {
        break;
      }
      peers.push_back(entry.peer_address);
    }
    return peers;
  }

  // --- Time ---

  void on_timer() {
    const auto now = clock::now();
    if (drain_complete(now)) {  // Checked before this tick queues further messages.
      m_context.stop();
      return;
    }
    std::vector<action> actions;
    m_core.tick(now, actions);
    execute(actions);
    std::vector<rollout::action> rollout_actions;
    m_rollout.tick(now, m_random, rollout_actions);
    execute(rollout_actions);
    std::vector<membership::send_heartbeat> heartbeats;
    m_members.tick(now, m_random, heartbeats);
    for (auto& heartbeat : heartbeats) {
      send(heartbeat.peer_address, std::move(heartbeat.message));
    }
    resume_runs();
    fetch_host_list(now);
    m_expert_service->tick(now);
    probe_upstream(now);
    m_next_tick = std::max(m_next_tick + k_tick_interval, now);
    m_timer.expires_at(m_next_tick);
    m_timer.async_wait([this](const std::error_code& code) {
      if (!code) {
        on_timer();
      }
    });
  }

  bool drain_complete(time_point now) {
    if (!m_core.drained()) {
      m_drained_since = now;
      return false;
    }
    const auto earliest_stop =
        std::max(m_drain_started_at + k_leave_propagation_time, m_drained_since + k_message_flush_time);
    // Messages to a failed peer stay queued, so the wait is limited.
    const bool flushed = m_mailbox->counters().queued_bytes == 0 || now >= earliest_stop + k_max_flush_wait;
    return now >= earliest_stop && flushed;
  }

  // Probes the health of the upstream. Engines have a path for their load, which is requested regularly. A
  // service has none, so it is probed only after a call could not reach it, until it responds again.
  void probe_upstream(time_point now) {
    const auto* upstream = m_core.upstream();
    if (upstream == nullptr || m_probe_pending || now < m_next_probe) {
      return;
    }
    const bool is_engine = upstream->kind == config::upstream_kind::engine;
    if (!is_engine && m_core.load(now).upstream_healthy) {
      return;
    }
    m_probe_pending = true;
    m_next_probe = now + k_probe_interval;
    http::request request{.method = is_engine ? "GET" : "HEAD", .target = is_engine ? "/v1/load" : "/"};
    m_client.call(m_settings.agent.upstream_url, std::move(request),
                  {.timeout = k_probe_timeout, .max_response_bytes = k_max_engine_response_bytes},
                  [this](const http::client::call_result& response) {
                    m_probe_pending = false;
                    m_failed_probes = response.failure ? m_failed_probes + 1 : 0;
                    if (m_failed_probes == 0 || m_failed_probes >= k_failed_probes_until_unhealthy) {
                      handle_event([this](agent_core& core, time_point, auto& actions) {
                        core.on_upstream_health(m_failed_probes == 0, actions);
                      });
                    }
                  });
  }

  const config::daemon_settings& m_settings;
  asio::io_context m_context;
  random_source m_random;
  incarnation m_incarnation;
  telemetry::metrics m_metrics;
  telemetry::hybrid_clock m_hybrid_clock;
  telemetry::timeline m_timeline;
  http::client m_client;
  storage::object_client m_objects;
  storage::host_list_client m_hosts;
  agent_core m_core;
  membership::member_table m_members;
  rollout::rollout m_rollout;
  std::unique_ptr<transport::mailbox> m_mailbox;
  transport::link_metrics m_link_metrics;
  std::unique_ptr<http::server> m_admin;
  std::optional<expert_service> m_expert_service;  // Set while the mailbox is open.
  std::unordered_map<run_id, http::call_id> m_calls;
  run_flow m_run_flow;
  asio::signal_set m_signals;
  asio::steady_timer m_timer;
  asio::steady_timer m_flush_timer;
  time_point m_next_tick{};
  time_point m_last_flush{};
  time_point m_next_probe{};
  time_point m_next_host_list{};
  time_point m_drain_started_at{};
  time_point m_drained_since{};
  int m_failed_probes = 0;
  bool m_probe_pending = false;
  bool m_signal_received = false;
  bool m_flush_requested = false;
};

}  // namespace

int run(const config::daemon_settings& settings) {
  agent_process process(settings);
  return process.run();
}

}  // namespace cuminpath::agent
