#include "core/entry/entry_process.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>
#include <unordered_map>
#include <utility>

#include "core/entry/entry_core.h"
#include "core/entry/status_pages.h"
#include "core/http/client.h"
#include "core/http/server.h"
#include "core/membership/member_table.h"
#include "core/rollout/rollout.h"
#include "core/storage/host_list_client.h"
#include "core/storage/object_client.h"
#include "core/storage/table_client.h"
#include "core/telemetry/log.h"
#include "core/telemetry/metrics.h"
#include "core/telemetry/timeline.h"
#include "core/transport/link_metrics.h"
#include "core/transport/mailbox.h"

namespace cuminpath::entry {
namespace {

using telemetry::log_level;

constexpr milliseconds k_tick_interval{10};
// A tick that is delayed by more than this means that the process or its host was suspended. For comparison,
// upstreams report every 200 ms.
constexpr milliseconds k_suspension_threshold{300};
constexpr std::size_t k_timeline_events = 2000;
// About 2,500 token events. A caller that is further behind has probably stopped reading.
constexpr std::size_t k_max_unsent_bytes = 256U << 10U;
constexpr std::size_t k_max_entries_in_response = 16;
constexpr std::size_t k_max_configuration_peers = 16;
// Other entries learn within 3 s that this one is leaving (invariant 5) and may include it in their lists
// until then.
constexpr seconds k_leave_propagation_time{3};
// Time for the last messages to agents to reach the socket; stopping earlier would drop them.
constexpr milliseconds k_message_flush_time{500};
constexpr seconds k_min_host_list_interval{2};
constexpr milliseconds k_store_readers_interval{500};
// A host takes about 200 bytes in the list, so that this rate limits the fetches of the list to a third of
// the 10 KB/s of a node.
constexpr std::size_t k_host_list_hosts_per_second = 16;
constexpr std::string_view k_claims_table = "claims";

std::uint64_t wall_clock_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

// Claim tokens are generated from this source, so it needs more than one word of seed.
random_source make_random_source() {
  std::random_device device;
  std::array<std::uint32_t, 8> words{};
  std::generate(words.begin(), words.end(), [&] { return device(); });
  std::seed_seq seed(words.begin(), words.end());
  return random_source(seed);
}

// Runs an entry_core on an io_context. All functions run on the thread of the io_context.
class entry_process {
public:
  explicit entry_process(const config::daemon_settings& settings)
      : m_settings(settings),
        m_random(make_random_source()),
        m_incarnation(incarnation{m_random()}),
        m_timeline(settings.name, k_timeline_events),
        m_client(m_context),
        m_table(m_client, settings.platform.table),
        m_objects(m_client, settings.platform.objects),
        m_hosts(m_client, settings.platform.hosts),
        m_core(core_options(settings)),
        m_members({.name = settings.host,
                   .role = storage::host_role::entry,
                   .availability_zone = settings.availability_zone,
                   .local_incarnation = m_incarnation,
                   .address = settings.address}),
        m_rollout(
            {.name = settings.host, .availability_zone = settings.availability_zone, .may_read_store = true}),
        m_signals(m_context, SIGTERM, SIGINT, SIGHUP),
        m_timer(m_context) {}

  int run() {
    if (!listen()) {
      return EXIT_FAILURE;
    }
    m_rollout.set_peers(m_settings.seed_peers);
    wait_for_signal();
    m_next_tick = clock::now();
    on_timer();
    m_context.run();
    telemetry::log(log_level::info, "entry", "drained");
    return EXIT_SUCCESS;
  }

private:
  static entry_options core_options(const config::daemon_settings& settings) {
    entry_options options;
    options.name = settings.host;
    options.availability_zone = settings.availability_zone;
    options.region = settings.region;
    options.limits.default_timeout = settings.entry.default_timeout;
    options.max_requests = settings.entry.max_requests;
    return options;
  }

  bool listen() {
    auto mailbox = transport::mailbox::open(
        m_context,
        {.name = m_settings.name, .address = m_settings.peer_address, .local_incarnation = m_incarnation},
        {.on_envelope = [this](wire::envelope value) { on_envelope(std::move(value)); },
         .on_link_lost = [this](std::string_view peer,
                                transport::link_loss loss) { on_link_lost(std::string(peer), loss); }});
    if (!mailbox) {
      return log_bind_failure(mailbox.error());
    }
    m_mailbox = std::move(mailbox).value();
    auto admin = http::server::start(m_context, {.address = m_settings.admin_address},
                                     [this](const http::request& request, const auto& responder) {
                                       export_counters();
                                       responder->respond(respond_to_operator(request, make_admin_view()));
                                     });
    if (!admin) {
      return log_bind_failure(admin.error());
    }
    m_admin = std::move(admin).value();
    auto server = http::server::start(
        m_context,
        {.address = m_settings.address,
         .max_body_bytes = m_settings.entry.max_body_bytes,
         // Callers that keep a connection beside those with a request in service.
         .max_connections = 2 * std::size_t{m_settings.entry.max_requests} + 1000,
         .max_incomplete_bytes = std::max(http::server_options{}.max_incomplete_bytes,
                                          32 * std::size_t{m_settings.entry.max_body_bytes})},
        [this](http::request request, std::shared_ptr<http::responder> responder) {
          on_request(std::move(request), std::move(responder));
        });
    if (!server) {
      return log_bind_failure(server.error());
    }
    m_server = std::move(server).value();
    telemetry::log(log_level::info, "entry", "listening",
                   {{"address", m_server->address()},
                    {"peer_address", m_mailbox->address()},
                    {"admin_address", m_admin->address()}});
    return true;
  }

  static bool log_bind_failure(const error& failure) {
    telemetry::log(log_level::error, "entry", failure.message);
    return false;
  }

  admin_view make_admin_view() {
    return {.name = m_settings.name,
            .operator_key_sha256 = m_settings.operator_key_sha256,
            .core = m_core,
            .metrics = m_metrics,
            .timeline = m_timeline,
            .links = m_mailbox->counters(),
            .hosts_known = m_hosts_known || m_settings.platform.hosts.empty(),
            .draining = m_draining,
            .known_entries = m_members.members(storage::host_role::entry).size(),
            .drain = [this] { start_drain(); }};
  }

  // --- Callers ---

  void on_request(http::request request, std::shared_ptr<http::responder> responder) {
    if (request.path() == "/v1/entries") {
      responder->respond(entries_response(request));
      return;
    }
    const caller_id caller{++m_last_caller};
    responder->on_closed([this, caller] {
      // The server may call this from within a function that this process has called, so the event is
      // posted.
      asio::post(m_context, [this, caller] {
        if (m_callers.erase(caller) > 0) {
          handle_event([&](event_context& context) { m_core.on_caller_closed(context, caller); });
        }
      });
    });
    m_callers.emplace(caller, std::move(responder));
    handle_event([&](event_context& context) { m_core.on_request(context, caller, std::move(request)); });
  }

  http::response entries_response(const http::request& request) {
    if (request.method != "GET") {
      return problem_response({405, wire::execution::not_run, "use GET", milliseconds(0)}, "");
    }
    json entries = json::array();
    for (const auto& entry : m_members.entries_for_callers(k_max_entries_in_response)) {
      entries.push_back({{"address", entry.address}, {"availability_zone", entry.availability_zone}});
    }
    if (entries.empty() && !m_draining) {
      // The host list has not been read yet, or the platform is unavailable.
      entries.push_back(
          {{"address", m_server->address()}, {"availability_zone", m_settings.availability_zone}});
    }
    const auto ttl = std::chrono::ceil<seconds>(m_settings.entry.entries_ttl).count();
    return {200,
            {{"Content-Type", "application/json"}},
            json{{"entries", std::move(entries)}, {"ttl_s", ttl}}.dump()};
  }

  // --- Actions of the core ---

  template <class function>
  void handle_event(function handler) {
    std::vector<action> actions;
    event_context current{clock::now(), m_random, actions};
    handler(current);
    execute(actions);
  }

  void execute(std::vector<action>& actions) {
    for (auto& item : actions) {
      std::visit([this](auto& value) { execute_one(value); }, item);
    }
  }

  std::shared_ptr<http::responder> remove_caller(caller_id caller) {
    const auto found = m_callers.find(caller);
    if (found == m_callers.end()) {
      return nullptr;
    }
    auto responder = std::move(found->second);
    m_callers.erase(found);
    return responder;
  }

  void execute_one(respond& value) {
    if (const auto responder = remove_caller(value.caller)) {
      responder->respond(std::move(value.response));
    }
  }

  void execute_one(const begin_stream& value) {
    if (const auto found = m_callers.find(value.caller); found != m_callers.end()) {
      found->second->begin_stream(200, value.headers);
    }
  }

  void execute_one(const write_stream& value) {
    const auto found = m_callers.find(value.caller);
    if (found == m_callers.end()) {
      return;
    }
    found->second->write(value.data);
    if (found->second->unsent_bytes() > k_max_unsent_bytes) {
      asio::post(m_context, [this, caller = value.caller] {
        handle_event([&](event_context& context) { m_core.on_caller_stalled(context, caller); });
      });
    }
  }

  void execute_one(const end_stream& value) {
    if (const auto responder = remove_caller(value.caller)) {
      responder->end_stream();
    }
  }

  void execute_one(const abort_stream& value) {
    if (const auto responder = remove_caller(value.caller)) {
      responder->abort_stream();
    }
  }

  void execute_one(send_message& value) { send(value.peer_address, std::move(value.message)); }

  void execute_one(const close_link& value) { m_mailbox->close_link(value.peer_address); }

  void execute_one(const read_claim& value) {
    m_table.read(k_claims_table, value.key,
                 [this, caller = value.caller](const result<std::optional<storage::row>>& row) {
                   handle_event([&](event_context& context) {
                     if (!row) {
                       m_core.on_claim_row_failed(context, caller);
                     } else if (row.value()) {
                       m_core.on_claim_row(context, caller, row.value()->version, row.value()->value);
                     } else {
                       m_core.on_claim_row(context, caller, 0, nullptr);
                     }
                   });
                 });
  }

  void execute_one(write_claim& value) {
    m_table.write(k_claims_table, value.key, std::move(value.value), value.if_version,
                  [this, caller = value.caller](const result<storage::write_outcome>& outcome) {
                    handle_event([&](event_context& context) {
                      if (outcome) {
                        const auto& write = outcome.value();
                        m_core.on_claim_written(context, caller, write.applied, write.version, write.current);
                      } else {
                        m_core.on_claim_write_unknown(context, caller);
                      }
                    });
                  });
  }

  void execute_one(const request_ended& value) {
    m_metrics.add("cuminpath_requests_total",
                  {{"class", value.priority_class}, {"status", std::to_string(value.status)}});
    if (!value.priority_class.empty()) {
      m_metrics.observe("cuminpath_request_seconds", std::chrono::duration<double>(value.total).count(),
                        {{"class", value.priority_class}});
    }
  }

  void execute_one(record_event& value) {
    telemetry::log(log_level::info, "entry", value.kind, {{"detail", value.detail}});
    record(value.kind, std::move(value.detail));
  }

  void record(std::string_view kind, std::string detail) {
    m_timeline.record(m_hybrid_clock.tick(wall_clock_ms()), kind, std::move(detail));
  }

  // --- Messages ---

  void on_envelope(wire::envelope value) {
    const auto now = clock::now();
    m_hybrid_clock.receive(wall_clock_ms(), value.logical_time);
    m_members.on_message(now, value.sender_address, value.sender_incarnation);
    std::vector<rollout::action> rollout_actions;
    m_rollout.on_peer_version(now, value.sender_address, value.version, rollout_actions);
    for (const auto& item : value.messages) {
      if (const auto* heartbeat = std::get_if<wire::heartbeat>(&item)) {
        m_members.on_heartbeat(now, value.sender_address, value.sender_incarnation, *heartbeat);
      } else if (const auto* fetch = std::get_if<wire::configuration_fetch>(&item)) {
        m_rollout.on_fetch(now, value.sender_address, *fetch, rollout_actions);
      } else if (const auto* sections = std::get_if<wire::configuration_sections>(&item)) {
        m_rollout.on_sections(now, value.sender_address, *sections, rollout_actions);
      } else {
        handle_event([&](event_context& context) {
          m_core.on_message(context, value.sender_address, value.sender_incarnation, item);
        });
      }
    }
    execute(rollout_actions);
  }

  void on_link_lost(const std::string& peer, transport::link_loss loss) {
    telemetry::log(log_level::info, "entry", "link lost",
                   {{"peer", peer}, {"loss", static_cast<std::int64_t>(loss)}});
    m_metrics.add("cuminpath_links_lost_total");
    m_members.on_link_lost(clock::now(), peer);
    handle_event([&](event_context& context) { m_core.on_link_lost(context, peer); });
  }

  void send(std::string_view peer, wire::message message) {
    m_mailbox->send(peer, std::move(message));
    if (m_flush_requested) {
      return;
    }
    // All messages to a peer that the currently pending handlers send share one envelope. Waiting for the
    // next tick instead would add up to 10 ms to each request.
    m_flush_requested = true;
    asio::post(m_context, [this] {
      m_flush_requested = false;
      m_mailbox->flush(m_rollout.version(), m_hybrid_clock.tick(wall_clock_ms()));
    });
  }

  // --- Configuration ---

  void execute(std::vector<rollout::action>& actions) {
    for (auto& item : actions) {
      std::visit([this](auto& value) { execute_one(value); }, item);
    }
  }

  template <class function>
  void handle_rollout_event(function handler) {
    std::vector<rollout::action> actions;
    handler(clock::now(), actions);
    execute(actions);
  }

  void execute_one(const rollout::read_head_row&) {
    m_table.read("configuration", "head", [this](const result<std::optional<storage::row>>& row) {
      handle_rollout_event([&](time_point now, auto& actions) {
        if (const auto head = read_head(row)) {
          m_rollout.on_head(now, *head, actions);
        } else {
          m_rollout.on_head_failed(now, actions);
        }
      });
    });
  }

  static std::optional<rollout::head> read_head(const result<std::optional<storage::row>>& row) {
    if (!row || !row.value()) {
      return std::nullopt;
    }
    const auto head = rollout::parse_head(row.value()->value);
    if (!head) {
      telemetry::log(log_level::error, "entry", "the head row of the configuration is malformed");
      return std::nullopt;
    }
    return head.value();
  }

  void execute_one(rollout::fetch_object& value) {
    m_objects.fetch(value.digest, [this, digest = value.digest](result<std::string> content) {
      handle_rollout_event([&](time_point now, auto& actions) {
        if (content) {
          m_rollout.on_object(now, digest, std::move(content).value(), actions);
        } else {
          m_rollout.on_object_failed(now, digest, actions);
        }
      });
    });
  }

  void execute_one(rollout::send_message& value) { send(value.peer_address, std::move(value.message)); }

  void execute_one(rollout::configuration_in_force& value) {
    const auto version = to_integer(value.version);
    record("configuration_applied", std::to_string(version));
    telemetry::log(log_level::info, "entry", "configuration in force",
                   {{"version", static_cast<std::int64_t>(version)}});
    handle_event([&](event_context& context) {
      m_core.on_configuration(context, value.version, std::move(value.manifest));
    });
  }

  void fetch_host_list(time_point now) {
    if (m_settings.platform.hosts.empty() || now < m_next_host_list_fetch) {
      return;
    }
    m_next_host_list_fetch = now + k_min_host_list_interval;
    m_hosts.fetch([this](const result<storage::host_list>& hosts) {
      if (!hosts) {
        return;
      }
      const auto received = clock::now();
      const seconds size_based_delay(hosts.value().hosts.size() / k_host_list_hosts_per_second);
      // The random delay staggers the fetches of entries that start at the same time.
      m_next_host_list_fetch = received + std::max<duration>(size_based_delay, k_min_host_list_interval) +
                               milliseconds(random_index(m_random, 1000));
      m_members.on_host_list(received, hosts.value());
      m_hosts_known = true;
    });
  }

  void update_members() {
    if (m_members.generation() == m_member_generation) {
      return;
    }
    m_member_generation = m_members.generation();
    std::vector<host_location> agents;
    for (auto& agent : m_members.members(storage::host_role::agent)) {
      agents.push_back({std::move(agent.name), std::move(agent.availability_zone), std::move(agent.region),
                        std::move(agent.peer_address)});
    }
    handle_event([&](event_context& context) { m_core.on_hosts(context, agents); });

    std::vector<std::string> peers = m_settings.seed_peers;
    for (const auto& entry : m_members.members(storage::host_role::entry)) {
      if (entry.name != m_settings.host && peers.size() < k_max_configuration_peers) {
        peers.push_back(entry.peer_address);
      }
    }
    for (std::size_t i = 0; i < agents.size() && peers.size() < k_max_configuration_peers; ++i) {
      peers.push_back(agents[i].peer_address);
    }
    m_rollout.set_peers(peers);
  }

  // Replaces a store reader as soon as it is suspected; the host list drops it only later.
  void update_store_readers(time_point now) {
    if (now >= m_next_store_readers_update) {
      m_next_store_readers_update = now + k_store_readers_interval;
      m_rollout.set_local_entries(m_members.alive_local_entries());
    }
  }

  // --- Time ---

  void on_timer() {
    const auto now = clock::now();
    if (m_last_tick && now - *m_last_tick > k_suspension_threshold) {
      telemetry::log(log_level::warning, "entry", "process stood still",
                     {{"for_ms", std::chrono::duration_cast<milliseconds>(now - *m_last_tick).count()}});
      m_core.on_process_resumed(now);
    }
    m_last_tick = now;
    fetch_host_list(now);
    update_members();
    update_store_readers(now);
    handle_event([&](event_context& context) { m_core.tick(context); });
    handle_rollout_event([&](time_point, auto& actions) { m_rollout.tick(now, m_random, actions); });
    std::vector<membership::send_heartbeat> heartbeats;
    m_members.tick(now, m_random, heartbeats);
    send_crash_evidence(heartbeats, now);
    for (auto& heartbeat : heartbeats) {
      send(heartbeat.peer_address, std::move(heartbeat.message));
    }
    if (drain_complete(now)) {
      m_context.stop();
      return;
    }
    m_next_tick = std::max(m_next_tick + k_tick_interval, now);
    m_timer.expires_at(m_next_tick);
    m_timer.async_wait([this](const std::error_code& code) {
      if (!code) {
        on_timer();
      }
    });
  }

  // Sends evidence with the heartbeats, and between them as soon as there is news.
  void send_crash_evidence(std::span<const membership::send_heartbeat> heartbeats, time_point now) {
    for (const auto& heartbeat : heartbeats) {
      m_evidence_peers[heartbeat.peer_address] = now;
    }
    std::erase_if(m_evidence_peers, [now](const auto& peer) {
      return now - peer.second > 2 * membership::k_heartbeat_interval;
    });
    const bool news = m_core.take_crash_news();
    if (!news && heartbeats.empty()) {
      return;
    }
    const auto evidence = m_core.crash_evidence_to_send(now);
    if (!evidence) {
      return;
    }
    if (!news) {
      for (const auto& heartbeat : heartbeats) {
        send(heartbeat.peer_address, *evidence);
      }
      return;
    }
    for (const auto& [address, at] : m_evidence_peers) {
      send(address, *evidence);
    }
  }

  void wait_for_signal() {
    m_signals.async_wait([this](const std::error_code& code, int signal) {
      if (code) {
        return;
      }
      if (signal == SIGHUP) {
        telemetry::log(log_level::info, "process", "settings of a running entry are not reloaded");
      } else if (!m_signal_received) {
        m_signal_received = true;
        start_drain();
      } else if (signal == SIGINT) {
        std::_Exit(EXIT_FAILURE);
      } else {
        telemetry::log(log_level::info, "process", "already leaving");
      }
      wait_for_signal();
    });
  }

  void start_drain() {
    if (m_draining) {
      return;
    }
    telemetry::log(log_level::info, "entry", "drain started");
    record("drain_started", "");
    m_draining = true;
    const auto now = clock::now();
    m_members.leave(now);
    m_server->close_after_responses();
    // Callers may use a list that names this entry until its lifetime has passed.
    m_accept_until = now + m_settings.entry.entries_ttl + k_leave_propagation_time;
  }

  bool drain_complete(time_point now) {
    if (!m_draining || now < m_accept_until) {
      m_idle_since = now;
      return false;
    }
    if (!m_refusing_requests) {
      m_refusing_requests = true;
      m_core.stop_accepting();
      m_server->stop_accepting();
    }
    // Open connections may have unsent responses or half-read requests.
    if (m_core.in_flight() > 0 || m_server->connection_count() > 0) {
      m_idle_since = now;
    }
    return now >= m_idle_since + k_message_flush_time;
  }

  // --- Metrics ---

  void export_counters() {
    const auto& counters = m_core.counters();
    const auto add_increase = [&](std::string_view name, std::uint64_t current, std::uint64_t exported) {
      m_metrics.add(name, {}, static_cast<double>(current - exported));
    };
    add_increase("cuminpath_first_attempts_total", counters.first_attempts,
                 m_exported_counters.first_attempts);
    add_increase("cuminpath_retries_total", counters.retries, m_exported_counters.retries);
    add_increase("cuminpath_free_retries_total", counters.free_retries, m_exported_counters.free_retries);
    add_increase("cuminpath_retries_denied_total", counters.retries_denied,
                 m_exported_counters.retries_denied);
    add_increase("cuminpath_resumed_streams_total", counters.resumed_streams,
                 m_exported_counters.resumed_streams);
    add_increase("cuminpath_late_frames_total", counters.late_frames, m_exported_counters.late_frames);
    add_increase("cuminpath_responses_given_up_total", counters.responses_given_up,
                 m_exported_counters.responses_given_up);
    add_increase("cuminpath_tokens_total", counters.tokens, m_exported_counters.tokens);
    add_increase("cuminpath_slow_callers_total", counters.slow_callers, m_exported_counters.slow_callers);
    m_exported_counters = counters;
    m_link_metrics.update(m_metrics, m_mailbox->counters());
    m_metrics.set("cuminpath_requests_in_flight", static_cast<double>(m_core.in_flight()));
    m_metrics.set("cuminpath_configuration_version",
                  static_cast<double>(to_integer(m_core.configuration().version())));
  }

  const config::daemon_settings& m_settings;
  asio::io_context m_context;
  random_source m_random;
  incarnation m_incarnation;
  telemetry::metrics m_metrics;
  telemetry::hybrid_clock m_hybrid_clock;
  telemetry::timeline m_timeline;
  http::client m_client;
  storage::table_client m_table;
  storage::object_client m_objects;
  storage::host_list_client m_hosts;
  entry_core m_core;
  membership::member_table m_members;
  std::unordered_map<std::string, time_point>
      m_evidence_peers;  // Entries with recent heartbeats, by address.
  rollout::rollout m_rollout;
  std::unique_ptr<transport::mailbox> m_mailbox;
  std::unique_ptr<http::server> m_admin;
  std::unique_ptr<http::server> m_server;
  std::unordered_map<caller_id, std::shared_ptr<http::responder>> m_callers;
  std::uint64_t m_last_caller = 0;
  entry_counters m_exported_counters;
  transport::link_metrics m_link_metrics;
  asio::signal_set m_signals;
  asio::steady_timer m_timer;
  std::optional<time_point> m_last_tick;
  time_point m_next_tick{};
  time_point m_next_host_list_fetch{};
  time_point m_accept_until{};
  time_point m_idle_since{};
  std::uint64_t m_member_generation = 0;
  bool m_hosts_known = false;  // Whether the host list has been read.
  time_point m_next_store_readers_update{};
  bool m_draining = false;
  bool m_refusing_requests = false;
  bool m_signal_received = false;
  bool m_flush_requested = false;
};

}  // namespace

int run(const config::daemon_settings& settings) {
  entry_process process(settings);
  return process.run();
}

}  // namespace cuminpath::entry
