#include "core/proxy/gateway_process.h"

#include <time.h>

#include <algorithm>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <fstream>
#include <iterator>

#include <fmt/format.h>

#include "core/common/hash.h"
#include "core/gateway/mirror_client.h"
#include "core/gateway/recent_maximum.h"
#include "core/gateway/report_schedule.h"
#include "core/http/server.h"
#include "core/net/datagram_channel.h"
#include "core/net/socket_options.h"
#include "core/proxy/caller_listener.h"
#include "core/proxy/evidence_exchange.h"
#include "core/proxy/placement_explanation.h"
#include "core/proxy/proxy_state.h"
#include "core/proxy/silence_exchange.h"
#include "core/proxy/store_view.h"
#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

using telemetry::log_level;

constexpr milliseconds k_tick_interval{50};
// A tick that is late by more than this means that the process or its host was suspended.
constexpr milliseconds k_pause_threshold{1000};
// Callers use no more addresses than this of the directory.
constexpr std::size_t k_max_directory_addresses = 64;
// Share of the overall retry limit that the gateways use. The rest is a reserve for gateways that have just
// restarted and start with a fresh budget.
constexpr double k_retry_share = 0.5;
constexpr double k_initial_retries = 5;
// Between two updates of the names among which the senders to cold upstreams are selected.
constexpr milliseconds k_cold_update_interval{200};
// The status of an engine arrives within a few milliseconds.
constexpr milliseconds k_upstream_check_timeout{100};

std::int64_t boot_time_ms() {
  timespec now{};
  static_cast<void>(::clock_gettime(CLOCK_BOOTTIME, &now));
  return static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1'000'000;
}

// Event loop of a gateway: serves callers, follows the store, and exchanges reports with other gateways.
class gateway_process {
public:
  gateway_process(const config::gateway_settings& settings, std::string settings_file,
                  const platform_factory& make_platform)
      : m_settings(settings),
        m_settings_file(std::move(settings_file)),
        m_state(m_context),
        m_client(m_context),
        m_platform(make_platform(m_client, settings)),
        m_members({.suspicion_timeout = 4 * settings.report_interval}),
        m_evidence(m_state.prompt_quarantine, m_state.metrics, settings.name,
                   [this](std::string_view bytes, std::span<const std::string> addresses) {
                     m_channel->send(bytes, addresses);
                   }),
        m_silence(m_state, settings.name),
        m_callers(m_state),
        m_tick_timer(m_context),
        m_signals(m_context, SIGTERM, SIGINT, SIGHUP) {
    m_state.random.seed(std::random_device{}());
    m_state.prompt_quarantine = routing::prompt_quarantine({}, m_state.random());
    m_state.upstream_checks = std::make_unique<upstream_check>(m_context, m_platform->engine_status_path(),
                                                               k_upstream_check_timeout);
    m_state.header_names = m_platform->header_names();
    m_state.availability_zone = settings.availability_zone;
    m_local_report = {.name = settings.name,
                      .incarnation = m_state.random() >> 1U,
                      .caller_address = settings.address,
                      .report_address = settings.public_report_address,
                      .mirror_address = settings.public_mirror_address,
                      .availability_zone = settings.availability_zone};
    m_state.cold_limiter = gateway::cold_rate_limiter(settings.name);
    update_retry_limits();
    m_state.set_second_attempt_shares(
        {.requests = settings.second_attempt_share, .tokens = settings.second_attempt_token_share});
    m_state.enable_workspace_shares(settings.workspace_shares);
    m_state.upstreams.set_heartbeat_interval(settings.upstream_heartbeat);
    m_state.admission_queue.set_options({.max_wait_share = settings.admission_queue_share,
                                         .max_requests = settings.admission_queue_requests});
    apply_process_limits();
  }

  int run() {
    const time_point now = clock::now();
    if (!listen()) {
      return 1;
    }
    telemetry::log(log_level::info, "process", "started",
                   {{"address", m_settings.address}, {"availability_zone", m_settings.availability_zone}});
    m_store_view.start(now);
    m_last_tick = now;
    m_last_tick_boot_ms = boot_time_ms();
    wait_for_signal();
    schedule_tick();
    m_context.run();
    telemetry::log(log_level::info, "process", "stopped", {});
    return 0;
  }

private:
  bool listen() {
    if (const auto bound = m_callers.listen(m_settings.address); !bound) {
      telemetry::log(log_level::error, "process", "address cannot be bound",
                     {{"reason", bound.error().message}});
      return false;
    }
    auto channel =
        net::datagram_channel::open(m_context, m_settings.report_address,
                                    [this](std::string_view bytes) { on_datagram(bytes, clock::now()); });
    if (!channel) {
      telemetry::log(log_level::error, "process", "address cannot be bound",
                     {{"reason", channel.error().message}});
      return false;
    }
    m_channel = std::move(channel.value());
    const bool bound =
        serve(m_settings.ready_address, m_platform->ready_path(),
              [this](const http::request&) {
                return http::response{.status =
                                          m_local_report.state == gateway::member_state::ready ? 200 : 503};
              }) &&
        serve(m_settings.directory_address, m_platform->directory_path(),
              [this](const http::request&) { return directory_response(clock::now()); }) &&
        serve(m_settings.mirror_address, gateway::k_mirror_path,
              [this](const http::request& request) { return mirror_response(request.body); });
    if (!bound) {
      return false;
    }
    const auto metrics_page = [this](const http::request&) {
      return http::response{.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                            .body = metrics_text()};
    };
    const auto explain = [this](const http::request& request) {
      m_state.metrics.add("cuminpath_explain_pages_total");
      return explain_page(m_state, m_settings.name, request, clock::now());
    };
    return m_settings.metrics_address.empty() ||
           serve(m_settings.metrics_address,
                 {{"/metrics", metrics_page}, {std::string(k_explain_path), explain}});
  }

  bool serve(const std::string& address, std::string_view path, http::page_handler handler) {
    return serve(address, {{std::string(path), std::move(handler)}});
  }

  bool serve(const std::string& address, std::vector<http::page> pages) {
    auto started = http::serve_pages(m_context, address, std::move(pages));
    if (!started) {
      telemetry::log(log_level::error, "process", "address cannot be bound",
                     {{"address", address}, {"reason", started.error().message}});
      return false;
    }
    m_servers.push_back(std::move(started.value()));
    return true;
  }

  http::response directory_response(time_point now) const {
    if (m_local_report.state == gateway::member_state::starting) {
      return {.status = 503};
    }
    std::vector<std::string> addresses;
    const bool local_usable = m_local_report.state == gateway::member_state::ready;
    for (const auto* member : m_members.usable(m_settings.availability_zone,
                                               k_max_directory_addresses - (local_usable ? 1 : 0), now)) {
      addresses.push_back(member->report.caller_address);
    }
    if (local_usable) {
      addresses.push_back(m_settings.address);
    }
    if (addresses.empty()) {
      return {.status = 503};
    }
    return {.headers = {{"Content-Type", "application/json"}},
            .body = m_platform->directory_response_body(addresses, m_settings.directory_ttl)};
  }

  http::response mirror_response(std::string_view peer_versions) const {
    const auto known = gateway::decode_versions(peer_versions);
    if (!known) {
      return {.status = 400};
    }
    return {.status = 200, .body = m_store_view.mirror().changes_since(known.value())};
  }

  std::string metrics_text() {
    auto& metrics = m_state.metrics;
    metrics.set("cuminpath_caller_connections", static_cast<double>(m_callers.connection_count()));
    metrics.set("cuminpath_requests_in_flight", static_cast<double>(m_callers.active_request_count()));
    metrics.set("cuminpath_idle_upstream_connections",
                static_cast<double>(m_state.upstream_connections.idle_count()));
    metrics.set("cuminpath_event_loop_lag_seconds",
                std::chrono::duration<double>(m_loop_lag.value(clock::now()).value_or(duration{0})).count());
    metrics.set("cuminpath_upstreams", static_cast<double>(m_state.upstreams.size()));
    metrics.set("cuminpath_upstreams_not_configured",
                static_cast<double>(m_state.upstreams.count_not_configured()));
    metrics.set("cuminpath_members", static_cast<double>(m_members.all().size()));
    m_store_view.set_metrics(clock::now());
    metrics.set("cuminpath_suspected_prompt_parts", static_cast<double>(m_state.prompt_quarantine.size()));
    set_evacuation_metrics(clock::now());
    metrics.set("cuminpath_cold_upstreams", static_cast<double>(m_state.upstreams.count_cold(clock::now())));
    metrics.set("cuminpath_cold_rate_settled", m_state.cold_limiter.settled() ? 1 : 0);
    metrics.set("cuminpath_cold_rate_known_gateways",
                static_cast<double>(m_state.cold_limiter.known_names()));
    set_caller_metrics();
    metrics.set("cuminpath_admission_queue_requests", static_cast<double>(m_state.admission_queue.size()));
    return metrics.prometheus_text();
  }

  // Store and configuration.

  void on_mirror_changed(bool disturbed, time_point now) {
    apply_configuration();
    apply_evacuations(m_evacuation.apply(m_platform->read_evacuations(m_store_view.mirror()), now), now);
    apply_upstreams(disturbed, now);
    m_listed = false;
    for (auto& row : m_platform->read_members(m_store_view.mirror())) {
      if (row.name == m_local_report.name) {
        m_listed = true;
      } else {
        m_members.on_store_row(std::move(row));
      }
    }
    update_cold_limiter(now);
    if (m_local_report.state == gateway::member_state::starting && m_state.configuration &&
        m_state.upstreams.size() > 0) {
      m_local_report.state = gateway::member_state::ready;
      telemetry::log(log_level::info, "process", "ready",
                     {{"configuration", static_cast<std::int64_t>(m_state.configuration->version)},
                      {"upstreams", static_cast<std::int64_t>(m_state.upstreams.size())}});
      send_report(now);
    }
  }

  void apply_configuration() {
    auto read = m_platform->read_configuration(m_store_view.mirror());
    if (!read) {
      telemetry::log(log_level::error, "configuration", "configuration cannot be read",
                     {{"reason", read.error().message}});
      return;
    }
    const auto& next = read.value();
    // Within a process, an older version never replaces a newer one.
    if (!next || (m_state.configuration && next->version <= m_state.configuration->version)) {
      return;
    }
    telemetry::log(
        log_level::info, "configuration", "configuration in force",
        {{"version", static_cast<std::int64_t>(next->version)},
         {"before", static_cast<std::int64_t>(m_state.configuration ? m_state.configuration->version : 0)},
         {"routes", static_cast<std::int64_t>(next->routes.size())},
         {"keys", static_cast<std::int64_t>(next->workspace_of_key.size())},
         {"source", m_store_view.source()},
         {"mirror_version", static_cast<std::int64_t>(m_store_view.mirror().content_version())}});
    m_state.configuration = next;
    m_state.configured_at = clock::now();
    log_changes(m_state.upstreams.set_services(next->service_names()));
    apply_cold_policies();
  }

  // Cold upstreams.

  void apply_cold_policies() {
    gateway::upstream_table::cold_policies policies;
    if (m_state.configuration && m_settings.cold_rate_factor > 0) {
      for (const auto& service : m_state.configuration->services) {
        if (service.cold_per_s > 0) {
          // Not less than 1, or a cold upstream would never get a request.
          const double bound = service.cold_per_s * m_settings.cold_rate_factor + m_settings.cold_rate_slack;
          policies.emplace(service.name, gateway::cold_policy{
                                             .cold_start = service.cold_start,
                                             .max_per_s = static_cast<std::uint32_t>(std::max(1.0, bound))});
        }
      }
    }
    m_state.upstreams.set_cold_policies(std::move(policies));
  }

  // Names the known gateways for the selection of senders, alive or not. The list is confirmed while the
  // store answers this gateway, or most of the known gateways report to it.
  void update_cold_limiter(time_point now) {
    std::vector<std::string> names;
    std::size_t alive = 0;
    for (const auto& member : m_members.all()) {
      names.push_back(member.report.name);
      alive += m_members.alive(member, now) ? 1 : 0;
    }
    const bool in_contact = m_local_report.reads_store || 2 * alive > names.size();
    m_state.cold_limiter.set_members(names, m_listed && in_contact, now);
    m_last_cold_update = now;
  }

  void log_cold_changes(time_point now) {
    for (const auto& change : m_state.upstreams.take_cold_changes(now)) {
      telemetry::log(log_level::info, "upstreams",
                     change.remaining.count() > 0 ? "upstream cold" : "upstream warm",
                     {{"upstream", change.id},
                      {"remaining_ms", change.remaining.count()},
                      {"senders_known", m_state.cold_limiter.settled()}});
    }
  }

  void apply_evacuations(std::span<const gateway::evacuation::change> changes, time_point now) {
    for (const auto& change : changes) {
      m_state.upstreams.set_evacuations(m_evacuation);
      if (!change.evacuated) {
        m_state.upstreams.on_zone_restored(change.availability_zone, now);
      }
      telemetry::log(
          log_level::info, "upstreams", change.evacuated ? "zone evacuated" : "zone restored",
          {{"availability_zone", change.availability_zone},
           {"version", static_cast<std::int64_t>(change.version)},
           {"requests_running_there",
            static_cast<std::int64_t>(m_state.upstreams.local_requests_in(change.availability_zone))},
           {"reads_store", m_store_view.reads_store()}});
      // Kept at 0 after the end of the evacuation, so that the end can be seen.
      const telemetry::labels labels{{"availability_zone", change.availability_zone}};
      m_state.metrics.set("cuminpath_zone_evacuated", change.evacuated ? 1 : 0, labels);
      m_state.metrics.set("cuminpath_zone_evacuated_seconds", 0, labels);
      m_state.metrics.set("cuminpath_zone_evacuated_requests", 0, labels);
    }
  }

  void set_evacuation_metrics(time_point now) {
    for (const auto& [zone, state] : m_evacuation.active()) {
      const telemetry::labels labels{{"availability_zone", zone}};
      m_state.metrics.set("cuminpath_zone_evacuated_seconds",
                          std::chrono::duration<double>(now - state.since).count(), labels);
      m_state.metrics.set("cuminpath_zone_evacuated_requests", m_state.upstreams.local_requests_in(zone),
                          labels);
    }
  }

  void apply_upstreams(bool disturbed, time_point now) {
    const auto list = m_platform->read_upstreams(m_store_view.mirror());
    log_changes(m_state.upstreams.apply(list.records, now, disturbed, list.version));
  }

  void log_changes(const std::vector<gateway::upstream_table::change>& changes) {
    using kind = gateway::upstream_table::change::kind;
    for (const auto& change : changes) {
      if (change.type != kind::added && change.type != kind::kept_after_expiry) {
        m_state.upstream_connections.close_idle(change.id);
      }
      const auto* listed = m_state.upstreams.find(change.id);
      telemetry::log(log_level::info, "upstreams", to_string(change.type),
                     {{"upstream", change.id},
                      {"service", listed == nullptr ? std::string_view() : listed->record.service},
                      {"mirror_version", static_cast<std::int64_t>(m_store_view.mirror().content_version())},
                      {"reads_store", m_store_view.reads_store()},
                      {"store_answers", m_store_view.store_answers()}});
    }
  }

  // Members.

  void on_datagram(std::string_view bytes, time_point now) {
    if (auto report = gateway::decode_report(bytes)) {
      on_report(std::move(report.value()), now);
    } else if (const auto crashes = gateway::decode_crash_report(bytes)) {
      m_evidence.on_report(crashes.value(), m_members, now);
    } else {
      m_state.metrics.add("cuminpath_malformed_reports_total");
    }
  }

  void on_report(gateway::member_report report, time_point now) {
    if (report.name == m_local_report.name) {
      return;
    }
    m_state.upstreams.set_member_loads(report.name, report.loads);
    const std::string name = report.name;
    const auto state = report.state;
    const gateway::silence_report silence = std::move(report.silence);
    switch (m_members.on_report(std::move(report), now)) {
      case gateway::member_list::outcome::ignored:
        return;
      case gateway::member_list::outcome::known:
        break;
      case gateway::member_list::outcome::replaced:
        telemetry::log(log_level::warning, "members", "gateway had ended without notice", {{"name", name}});
        m_state.metrics.add("cuminpath_gateways_ended_without_notice_total");
        [[fallthrough]];
      case gateway::member_list::outcome::joined:
        telemetry::log(log_level::info, "members", "gateway joined", {{"name", name}});
        update_retry_limits();
        m_evidence.on_member_joined(now);
        break;
      case gateway::member_list::outcome::state_changed:
        telemetry::log(log_level::info, "members", "gateway changed state",
                       {{"name", name}, {"state", static_cast<std::int64_t>(state)}});
        break;
    }
    m_silence.on_report(name, silence, now);
    m_store_view.on_report(name, now);
  }

  void send_report(time_point now) {
    ++m_local_report.sequence;
    m_local_report.loads = m_state.upstreams.local_loads();
    m_local_report.silence = m_silence.report(now);
    const auto round = m_report_schedule.next(m_local_report.availability_zone, m_members.all());
    send_report_to(round.near.addresses, round.near.rounds);
    send_report_to(round.far.addresses, round.far.rounds);
    auto receivers = round.near.addresses;
    receivers.insert(receivers.end(), round.far.addresses.begin(), round.far.addresses.end());
    m_evidence.send(receivers, now);
    m_last_report = now;
    m_platform->set_store_reader_count(m_members.count_store_readers(m_local_report, now) +
                                       (m_local_report.reads_store ? 1 : 0));
  }

  void send_report_to(std::span<const std::string> addresses, std::size_t rounds) {
    if (!addresses.empty()) {
      m_local_report.interval = static_cast<std::int64_t>(rounds) * m_settings.report_interval;
      m_channel->send(gateway::encode_report(m_local_report), addresses);
    }
  }

  // Sends a report to every member at once, because all must learn that this gateway accepts no more callers.
  void send_report_to_all(time_point now) {
    send_report(now);
    ++m_local_report.sequence;
    std::vector<std::string> addresses;
    for (const auto& member : m_members.all()) {
      addresses.push_back(member.report.report_address);
    }
    send_report_to(addresses, 1);
  }

  void update_members(time_point now) {
    for (const std::string& name : m_members.take_suspected(now)) {
      telemetry::log(log_level::warning, "members", "gateway suspected", {{"name", name}});
      m_state.upstreams.set_member_loads(name, {});
      m_silence.on_gateway_suspected(name);
      update_retry_limits();
    }
    for (const std::string& name : m_members.remove_expired(now)) {
      telemetry::log(log_level::info, "members", "gateway removed", {{"name", name}});
      m_platform->remove_member(name);
    }
  }

  void update_retry_limits() {
    const auto count = static_cast<double>(m_members.all().size() + 1);
    const double burst = std::max(1.0, k_retry_share * m_settings.retry_burst / count);
    m_state.retry_options = {.retries_per_attempt = k_retry_share * m_settings.retry_ratio,
                             .capacity = burst,
                             .initial = std::min(burst, k_initial_retries)};
    for (auto& [service, budget] : m_state.retry_budgets) {
      budget.set_options(m_state.retry_options);
    }
  }

  void apply_process_limits() {
    m_state.limits = derive_process_limits(m_settings.memory_limit_mb, m_settings.max_descriptors);
    m_state.caller_memory.set_limit(m_state.limits.caller_memory);
    telemetry::log(log_level::info, "callers", "limits of callers",
                   {{"memory_bytes", static_cast<std::int64_t>(m_state.limits.caller_memory)},
                    {"connections", static_cast<std::int64_t>(m_state.limits.caller_connections)},
                    {"requests", static_cast<std::int64_t>(m_state.limits.served_requests)}});
  }

  void set_caller_metrics() {
    const caller_memory_budget& memory = m_state.caller_memory;
    m_state.metrics.set("cuminpath_caller_memory_bytes", static_cast<double>(memory.used()));
    m_state.metrics.set("cuminpath_caller_memory_limit_bytes", static_cast<double>(memory.limit()));
    m_state.metrics.set("cuminpath_caller_claimed_bytes", static_cast<double>(memory.outstanding_claims()));
    m_state.metrics.set("cuminpath_callers_waiting", static_cast<double>(memory.waiting()));
    m_state.metrics.set("cuminpath_caller_connection_limit",
                        static_cast<double>(m_state.limits.caller_connections));
  }

  // Periodic work.

  void schedule_tick() {
    m_tick_timer.expires_after(k_tick_interval);
    m_tick_timer.async_wait([this](std::error_code cancelled) {
      if (!cancelled) {
        const time_point now = clock::now();
        m_loop_lag.observe(now - m_tick_timer.expiry(), now);
        tick(now);
      }
    });
  }

  void tick(time_point now) {
    detect_suspension(now);
    m_store_view.tick(now);
    apply_evacuations(m_evacuation.expire(now), now);
    log_changes(m_state.upstreams.expire(now));
    update_members(now);
    if (now - m_last_cold_update >= k_cold_update_interval) {
      update_cold_limiter(now);
    }
    log_cold_changes(now);
    m_state.upstream_connections.close_expired(now);
    m_callers.tick(now);
    const bool has_news = m_evidence.tick(now);
    const bool has_silence_news = m_silence.tick(m_members, now);
    if (has_news || has_silence_news || now - m_last_report >= m_settings.report_interval) {
      send_report(now);
    }
    if (m_state.stop && advance_stop(now)) {
      return;
    }
    schedule_tick();
  }

  // Detects that the process or its host was suspended. The steady clock stops while a host is suspended; the
  // boot clock does not.
  void detect_suspension(time_point now) {
    const std::int64_t boot_ms = boot_time_ms();
    const auto steady_ms = std::chrono::duration_cast<milliseconds>(now - m_last_tick).count();
    const std::int64_t elapsed_ms = std::max(steady_ms, boot_ms - m_last_tick_boot_ms);
    m_last_tick = now;
    m_last_tick_boot_ms = boot_ms;
    if (elapsed_ms > k_pause_threshold.count()) {
      telemetry::log(log_level::warning, "process", "process stood still", {{"for_ms", elapsed_ms}});
      m_state.cold_limiter.restart_settling();
      m_store_view.on_suspended(now);
    }
  }

  // Signals.

  void wait_for_signal() {
    m_signals.async_wait([this](std::error_code error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        reload();
      } else if (!m_state.stop) {
        start_leaving(clock::now());
      } else if (signal == SIGINT) {
        end_process(clock::now());
        return;
      } else {
        telemetry::log(log_level::info, "process", "already leaving", {});
      }
      wait_for_signal();
    });
  }

  // Applies the limits and times that can change in a running process. Addresses and names stay as they are.
  void reload() {
    std::ifstream file(m_settings_file, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    auto parsed = config::parse_gateway_settings(text, m_settings_file);
    if (!parsed.errors.empty()) {
      telemetry::log(log_level::error, "process", "settings not reloaded",
                     {{"reason", config::to_string(parsed.errors.front())}});
      return;
    }
    m_settings.retry_ratio = parsed.value.retry_ratio;
    m_settings.retry_burst = parsed.value.retry_burst;
    m_settings.cold_rate_factor = parsed.value.cold_rate_factor;
    m_settings.cold_rate_slack = parsed.value.cold_rate_slack;
    m_settings.directory_ttl = parsed.value.directory_ttl;
    m_settings.shutdown_grace = parsed.value.shutdown_grace;
    m_settings.memory_limit_mb = parsed.value.memory_limit_mb;
    m_settings.max_descriptors = parsed.value.max_descriptors;
    update_retry_limits();
    apply_cold_policies();
    m_state.set_second_attempt_shares(
        {.requests = parsed.value.second_attempt_share, .tokens = parsed.value.second_attempt_token_share});
    m_state.enable_workspace_shares(parsed.value.workspace_shares);
    m_state.upstreams.set_heartbeat_interval(parsed.value.upstream_heartbeat);
    m_state.admission_queue.set_options({.max_wait_share = parsed.value.admission_queue_share,
                                         .max_requests = parsed.value.admission_queue_requests});
    apply_process_limits();
    m_state.reloaded_at = clock::now();
    if (m_state.stop) {
      schedule_stop(m_state.stop->signalled_at(), clock::now());
    }
    telemetry::log(log_level::info, "process", "settings reloaded", {});
  }

  void start_leaving(time_point now) {
    telemetry::log(log_level::info, "process", "leaving",
                   {{"requests", static_cast<std::int64_t>(m_callers.active_request_count())}});
    m_local_report.state = gateway::member_state::leaving;
    m_platform->withdraw();
    send_report_to_all(now);
    schedule_stop(now, now);
  }

  void schedule_stop(time_point signalled_at, time_point now) {
    m_state.stop.emplace(signalled_at, m_settings.shutdown_grace, m_settings.directory_ttl);
    m_state.other_gateway_ready = other_gateway_ready(now);
    m_callers.on_stop_scheduled();
  }

  [[nodiscard]] bool other_gateway_ready(time_point now) const {
    return !m_members.usable(m_settings.availability_zone, 1, now).empty();
  }

  // Advances the planned stop. Returns true once the event loop has been told to end.
  bool advance_stop(time_point now) {
    m_state.other_gateway_ready = other_gateway_ready(now);
    const gateway::stop_schedule& stop = *m_state.stop;
    const time_point exit_from = stop.exit_from(m_state.other_gateway_ready);
    if ((now >= exit_from && m_callers.drained()) || now >= stop.respond_by()) {
      m_callers.finish_stop(now);
      m_callers.tick(now);  // Releases the connections that have been closed.
    }
    const bool all_closed = now >= exit_from && m_callers.connection_count() == 0;
    if (!all_closed && now < stop.exit_by()) {
      return false;
    }
    end_process(now);
    return true;
  }

  void end_process(time_point now) {
    const auto connections = m_callers.count_connections();
    telemetry::log(
        log_level::info, "process", "stopping",
        {{"requests", static_cast<std::int64_t>(m_callers.active_request_count())},
         {"after_signal_ms",
          std::chrono::duration_cast<milliseconds>(now - m_state.stop->signalled_at()).count()},
         {"idle_connections", static_cast<std::int64_t>(connections.idle)},
         {"half_read_requests", static_cast<std::int64_t>(connections.reading)},
         {"lingering_connections", static_cast<std::int64_t>(connections.lingering)},
         {"unsent_bytes", static_cast<std::int64_t>(connections.unsent_bytes)},
         {"loop_lag_ms",
          std::chrono::duration_cast<milliseconds>(m_loop_lag.value(now).value_or(duration{0})).count()}});
    m_callers.log_unfinished_requests();
    m_context.stop();
  }

  config::gateway_settings m_settings;
  std::string m_settings_file;
  asio::io_context m_context{1};
  proxy_state m_state;
  http::client m_client;
  std::unique_ptr<platform_port> m_platform;
  gateway::evacuation m_evacuation;
  gateway::member_list m_members;
  gateway::report_schedule m_report_schedule;
  gateway::member_report m_local_report;
  store_view m_store_view{
      m_settings,
      m_client,
      *m_platform,
      m_members,
      m_local_report,
      m_state,
      {.changed = [this](bool disturbed, time_point now) { on_mirror_changed(disturbed, now); },
       .report_due = [this](time_point now) { send_report(now); }}};
  std::unique_ptr<net::datagram_channel> m_channel;
  std::vector<std::unique_ptr<http::server>> m_servers;
  evidence_exchange m_evidence;
  silence_exchange m_silence;
  caller_listener m_callers;
  asio::steady_timer m_tick_timer;
  gateway::recent_maximum m_loop_lag;  // How late ticks were.
  asio::signal_set m_signals;
  bool m_listed = false;  // The mirror contains the row of this gateway.
  time_point m_last_cold_update{};
  time_point m_last_report{};
  time_point m_last_tick{};
  std::int64_t m_last_tick_boot_ms = 0;
};

}  // namespace

int run_gateway(const config::gateway_settings& settings, const std::string& settings_file,
                const platform_factory& make_platform) {
  return gateway_process(settings, settings_file, make_platform).run();
}

}  // namespace cuminpath::proxy
