#include "core/balancer/balancer_process.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <deque>
#include <map>
#include <span>

#include "core/balancer/group_roster.h"
#include "core/balancer/load_window.h"
#include "core/balancer/map_relay.h"
#include "core/balancer/messages.h"
#include "core/balancer/pass_time_estimator.h"
#include "core/balancer/planned_stop.h"
#include "core/balancer/rank_driver.h"
#include "core/balancer/switch_coordinator.h"
#include "core/http/server.h"
#include "core/net/datagram_channel.h"
#include "core/placement/even_share_planner.h"
#include "core/telemetry/log.h"
#include "core/telemetry/metrics.h"

namespace cuminpath::balancer {
namespace {

using telemetry::log_level;

constexpr milliseconds k_tick_interval{20};
// Intervals between reads of the local engine's status outside of a switch. A read costs only time of this
// process. The leader derives the duration of forward passes from its reads; other balancers read once per
// report.
constexpr milliseconds k_leader_status_interval{100};
constexpr milliseconds k_status_interval{200};
constexpr milliseconds k_counts_interval{100};
// Intervals between reads of the status of a rank whose balancer is suspected. These reads are charged like
// health checks.
constexpr milliseconds k_remote_status_interval{500};
constexpr milliseconds k_remote_switch_status_interval{60};
// Minimum interval between two steps of the leader. During a switch the reports of a group arrive far more
// often.
constexpr milliseconds k_min_leader_step_interval{10};
constexpr milliseconds k_directive_interval{60};
// Ranks that the relay has not reached receive the map from the leader, one rank in each tick. The map takes
// 8 KB for 96 ranks, so this uses about half of a 6 Mbit/s link and reports queued behind it are not lost.
constexpr std::size_t k_max_prepares_per_tick = 1;
constexpr milliseconds k_prepare_resend_interval{300};  // Between two copies for the same rank.
constexpr std::size_t k_report_base_bytes = 300;        // Size of a report without its loads.
// One in this many reports lists the experts that the rank holds, and so do the first two after a change.
constexpr std::uint64_t k_reports_between_experts = 5;
constexpr std::uint64_t k_reports_of_changed_experts = 2;
// A rank drops a directive that the leader has not renewed for this long, because it will receive no further
// message about that switch.
constexpr milliseconds k_directive_lifetime{2000};
// Maximum rate at which a rank receives the loads of other ranks: a quarter of a 6 Mbit/s link. Reports of
// 96 ranks take a sixth of the link, and datagrams above the link's rate are lost.
constexpr std::size_t k_max_load_bytes_per_s = 200'000;
constexpr milliseconds k_token_retry_interval{1000};
// A starting balancer may lead after the shorter time if it has received reports from all ranks, and in any
// case after the longer one. Others do not follow it earlier, since the present leader knows more about the
// group.
constexpr milliseconds k_min_listen_time{1000};
constexpr milliseconds k_max_listen_time{4000};
constexpr milliseconds k_hello_interval{1000};  // Between reports to hosts whose rank is not known yet.
// No plan is made from fewer tokens, since they say little about the popularity of experts.
constexpr double k_min_tokens_for_plan = 3000;

// The map in use is the last one, or an earlier one if switches were given up. Ranks report their experts
// within a second, in which there is time for three switches.
constexpr std::size_t k_max_known_maps = 4;

std::string port_of(const std::string& address) {
  return address.substr(address.rfind(':'));
}

class balancer_process {
public:
  balancer_process(const config::balancer_settings& settings, const platform_factory& make_platform)
      : m_settings(settings),
        m_client(m_context),
        m_platform(make_platform(m_client, settings)),
        m_local_rank(m_platform->engine(settings.engine_address), settings.engine_address,
                     [this](time_point read_at) { on_local_status(read_at); }),
        m_load_window(settings.load_half_life),
        m_tick_timer(m_context),
        m_signals(m_context, SIGTERM, SIGINT, SIGHUP),
        m_roster({.candidate_interval = settings.report_interval}) {
    m_random.seed(std::random_device{}());
    m_incarnation = m_random() >> 1U;
  }

  int run() {
    auto channel =
        net::datagram_channel::open(m_context, m_settings.report_address,
                                    [this](std::string_view bytes) { on_datagram(bytes, clock::now()); });
    if (!channel) {
      telemetry::log(log_level::error, "process", "address cannot be bound",
                     {{"reason", channel.error().message}});
      return 1;
    }
    m_channel = std::move(channel.value());
    if (!serve_metrics()) {
      return 1;
    }
    telemetry::log(log_level::info, "process", "started", {{"engine", m_settings.engine_address}});
    m_started_at = clock::now();
    wait_signal();
    schedule_tick();
    m_context.run();
    telemetry::log(log_level::info, "process", "stopped", {});
    return 0;
  }

private:
  // The parts of a rank's state on which the phases of a switch depend.
  struct switch_progress {
    std::uint64_t epoch = 0;
    bool open = false;
    bool busy = false;
    std::uint64_t map_version = 0;
    std::optional<std::uint64_t> prepared;
    std::optional<armed_switch> armed;
    std::optional<std::uint64_t> held;
    std::uint64_t disarmed_token = 0;
    std::uint64_t refused_token = 0;
    token_use fenced;
    std::uint64_t armed_token = 0;
    status_check checked;
    latched_switch latched;

    bool operator==(const switch_progress&) const = default;
  };
  struct known_map {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    rank_map map;
  };

  bool serve_metrics() {
    if (m_settings.metrics_address.empty()) {
      return true;
    }
    auto server =
        http::serve_page(m_context, m_settings.metrics_address, "/metrics", [this](const http::request&) {
          return http::response{.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                                .body = m_metrics.prometheus_text()};
        });
    if (!server) {
      telemetry::log(log_level::error, "process", "address cannot be bound",
                     {{"reason", server.error().message}});
      return false;
    }
    m_server = std::move(server.value());
    return true;
  }

  // Messages.

  void on_datagram(std::string_view bytes, time_point now) {
    if (m_leaving) {
      return;
    }
    auto read = decode(bytes);
    if (!read) {
      m_metrics.add("cuminpath_malformed_reports_total");
      return;
    }
    if (auto* report = std::get_if<rank_report>(&read.value())) {
      on_report(std::move(*report), now);
    } else {
      on_directive(std::get<group_directive>(read.value()), now);
    }
  }

  void on_report(rank_report report, time_point now) {
    if (report.host == m_settings.name) {
      return;
    }
    const bool same_group = report.view.status.group == local_status().group;
    if (!same_group && !m_roster.peers().contains(report.host)) {
      // The sender keeps repeating its report to this host until it has received one from this process.
      m_channel->send(encode(make_report()), std::span(&report.report_address, 1));
    }
    const std::vector<std::uint64_t> loads = std::exchange(report.loads, {});
    if (!m_roster.on_report(std::move(report), now)) {
      return;
    }
    if (!loads.empty() && same_group) {
      record_loads(loads, now);
    }
    if (m_coordinator.current_phase() != phase::idle &&
        now - m_leader_stepped_at >= k_min_leader_step_interval) {
      run_leader(now);
    }
  }

  // Adds loads to the window if this process leads; otherwise keeps them for the next report, which carries
  // them to the leader or to a rank that forwards them.
  void record_loads(std::span<const std::uint64_t> loads, time_point now) {
    if (is_leader(now)) {
      m_load_window.add(loads, now);
      return;
    }
    if (m_pending_loads.size() != loads.size()) {
      m_pending_loads.assign(loads.size(), 0);
    }
    std::transform(loads.begin(), loads.end(), m_pending_loads.begin(), m_pending_loads.begin(),
                   std::plus<>());
  }

  void on_directive(const group_directive& message, time_point now) {
    if (!m_local_rank.known() || message.group != local_status().group || message.token < m_followed_token) {
      return;
    }
    m_followed_token = message.token;
    const directive* active = message.value ? &*message.value : nullptr;
    if (active != nullptr && active->kind == phase::preparing && active->version > m_relayed_version) {
      m_relayed_version = active->version;
      // Relays the map before the local engine gets its order, so that ranks further down the tree do not
      // wait for that.
      send_to_ranks(message, relay_targets(message.relay, local_status().rank));
      remember_map(*active);
    }
    m_directive_received_at = now;
    m_local_rank.apply_directive(active, now);
  }

  void remember_map(const directive& active) {
    m_known_maps.push_front({.epoch = active.epoch, .version = active.version, .map = active.map});
    if (m_known_maps.size() > k_max_known_maps) {
      m_known_maps.pop_back();
    }
  }

  // Returns the ranks of the group whose balancers are alive, in ascending order.
  [[nodiscard]] std::vector<std::uint32_t> balancer_ranks(time_point now) const {
    std::vector<std::uint32_t> ranks;
    for (const auto* member : m_roster.members(position())) {
      if (m_roster.alive(*member, now)) {
        ranks.push_back(member->report.view.status.rank);
      }
    }
    return ranks;
  }

  void send_to_ranks(const group_directive& message, std::span<const std::uint32_t> ranks) {
    std::vector<std::string> receivers;
    for (const auto* member : m_roster.members(position())) {
      if (std::find(ranks.begin(), ranks.end(), member->report.view.status.rank) != ranks.end()) {
        receivers.push_back(member->report.report_address);
      }
    }
    m_channel->send(encode(message), receivers);
  }

  // Reports the state of the local rank to the group and to hosts from which no report has arrived yet.
  void report_to_group(time_point now) {
    m_reported_at = now;
    m_platform->set_all_ranks_reported(all_ranks_known());
    update_may_lead(now);
    const auto frequent = m_roster.frequent_receivers(position(), now);
    send_report(frequent.addresses, frequent.interval);
    if (now - m_hello_sent_at < k_hello_interval) {
      return;
    }
    m_hello_sent_at = now;
    auto others = m_roster.other_receivers(position(), now);
    if (now - m_reported_to_others_at < others.interval) {
      others.addresses.clear();
    } else {
      m_reported_to_others_at = now;
    }
    const auto unknown = unknown_addresses();
    others.addresses.insert(others.addresses.end(), unknown.begin(), unknown.end());
    send_report(others.addresses, others.interval);
  }

  void update_may_lead(time_point now) {
    const auto running = now - m_started_at;
    m_may_lead = m_may_lead || running >= k_max_listen_time ||
                 (running >= k_min_listen_time && m_roster.all_alive(position(), now));
  }

  void send_report(std::span<const std::string> receivers, milliseconds interval) {
    if (receivers.empty()) {
      return;
    }
    rank_report report = make_report();
    report.interval = interval;
    if (experts_due()) {
      report.experts = m_experts;
    }
    m_channel->send(encode(report), receivers);
  }

  [[nodiscard]] bool experts_due() {
    ++m_reports_since_experts;
    if (m_reports_with_experts < k_reports_of_changed_experts ||
        m_reports_since_experts >= k_reports_between_experts) {
      ++m_reports_with_experts;
      m_reports_since_experts = 0;
      return true;
    }
    return false;
  }

  // Reports each change of the local rank's state to the leader at once during a switch. If such a report is
  // lost, the next periodic one replaces it.
  void report_progress(time_point now) {
    const engine_status& status = local_status();
    const switch_progress current{.epoch = status.epoch,
                                  .open = status.open,
                                  .busy = status.busy,
                                  .map_version = status.map_version,
                                  .prepared = status.prepared,
                                  .armed = status.armed,
                                  .held = status.held,
                                  .disarmed_token = m_local_rank.view().disarmed_token,
                                  .refused_token = m_local_rank.view().refused_token,
                                  .fenced = m_local_rank.view().fenced,
                                  .armed_token = m_local_rank.view().armed_token,
                                  .checked = m_local_rank.view().checked,
                                  .latched = m_local_rank.view().latched};
    const auto* leader = m_roster.leader(position(), now);
    if (leader == nullptr || current == m_reported_progress) {
      return;
    }
    m_reported_progress = current;
    rank_report report = make_report();
    report.interval = m_settings.report_interval;
    m_channel->send(encode(report), std::span(&leader->report.report_address, 1));
  }

  rank_report make_report() {
    return {.host = m_settings.name,
            .incarnation = m_incarnation,
            .sequence = ++m_sequence,
            .report_address = m_settings.report_address,
            .engine_address = m_settings.engine_address,
            .may_lead = m_may_lead,
            .view = m_local_rank.view()};
  }

  [[nodiscard]] group_position position() const {
    return {.group = local_status().group, .rank = local_status().rank, .ranks = local_status().ranks};
  }

  // Whether reports have arrived from every rank of the local group.
  [[nodiscard]] bool all_ranks_known() const {
    return m_local_rank.known() && m_roster.members(position()).size() + 1 >= local_status().ranks;
  }

  // Returns the addresses of balancers that have not reported yet, on hosts with engines of the service.
  [[nodiscard]] std::vector<std::string> unknown_addresses() const {
    std::vector<std::string> addresses;
    for (const std::string& ip : m_platform->engine_hosts()) {
      const std::string address = ip + port_of(m_settings.report_address);
      const auto& peers = m_roster.peers();
      const bool reported = std::any_of(peers.begin(), peers.end(), [&](const auto& entry) {
        return entry.second.report.report_address == address;
      });
      if (!reported && address != m_settings.report_address) {
        addresses.push_back(address);
      }
    }
    return addresses;
  }

  [[nodiscard]] const engine_status& local_status() const { return m_local_rank.view().status; }

  // Whether this process leads the group: no lower rank that may lead is alive.
  [[nodiscard]] bool is_leader(time_point now) const { return m_roster.leader(position(), now) == nullptr; }

  // Reads of the engine.

  [[nodiscard]] milliseconds counts_interval() const {
    const std::size_t bytes =
        m_roster.max_load_senders(local_status().ranks) * (m_last_counts.size() + k_report_base_bytes);
    return std::max(k_counts_interval,
                    milliseconds(static_cast<std::int64_t>(1000 * bytes / k_max_load_bytes_per_s)));
  }

  void read_counts(time_point now) {
    if (m_reading_counts || now - m_counts_read_at < counts_interval() || !m_local_rank.known()) {
      return;
    }
    m_reading_counts = true;
    m_counts_read_at = now;
    m_local_rank.engine().read_counts([this](result<engine_counts> read) {
      m_reading_counts = false;
      if (read) {
        on_counts(read.value(), clock::now());
      } else {
        log_failed_read("counts", read.error());
      }
    });
    const bool outdated = !m_experts || m_experts->epoch != local_status().epoch ||
                          m_experts->map_version != local_status().map_version;
    if (outdated) {
      m_local_rank.engine().read_experts([this](result<engine_experts> read) {
        if (read) {
          m_experts = std::move(read.value());
          m_reports_with_experts = 0;
        } else {
          log_failed_read("experts", read.error());
        }
      });
    }
  }

  void log_failed_read(std::string_view what, const error& failure) const {
    telemetry::log(log_level::info, "engine", "engine data not read",
                   {{"what", what}, {"engine", m_settings.engine_address}, {"reason", failure.message}});
  }

  void on_counts(const engine_counts& read, time_point now) {
    if (m_leaving) {
      return;
    }
    const auto& counts = read.counts;
    const bool continued = m_last_counts.size() == counts.size() && m_last_counts_epoch == read.epoch &&
                           std::equal(counts.begin(), counts.end(), m_last_counts.begin(),
                                      [](std::uint64_t a, std::uint64_t b) { return a >= b; });
    if (continued) {
      std::vector<std::uint64_t> new_tokens(counts.size());
      std::transform(counts.begin(), counts.end(), m_last_counts.begin(), new_tokens.begin(), std::minus<>());
      record_loads(new_tokens, now);
      send_loads(now);
    }
    m_last_counts = counts;
    m_last_counts_epoch = read.epoch;
  }

  void send_loads(time_point now) {
    const auto* receiver = m_roster.load_receiver(position(), now);
    if (receiver == nullptr) {
      return;
    }
    rank_report report = make_report();
    report.interval = m_settings.report_interval;
    report.loads = std::exchange(m_pending_loads, {});
    m_channel->send(encode(report), std::span(&receiver->report.report_address, 1));
  }

  // Leadership.

  [[nodiscard]] std::vector<std::optional<rank_view>> rank_views(time_point now) const {
    std::vector<std::optional<rank_view>> all(local_status().ranks);
    const auto add = [&](const rank_view& view, bool read_by_own_balancer) {
      if (view.status.rank < all.size() && view.status.group == local_status().group) {
        auto& slot = all[view.status.rank];
        if (!slot || view.updated_at > slot->updated_at) {
          slot = view;
          slot->read_by_own_balancer = read_by_own_balancer;
        }
      }
    };
    add(m_local_rank.view(), true);
    for (const auto* member : m_roster.members(position())) {
      add(member->report.view, m_roster.alive(*member, now));
    }
    for (const auto& [rank, driver] : m_remote_ranks) {
      if (driver->known()) {
        add(driver->view(), false);
      }
    }
    return all;
  }

  void run_leader(time_point now) {
    m_leader_stepped_at = now;
    if (!m_local_rank.known() || local_status().ranks == 0) {
      return;
    }
    if (!m_may_lead || !is_leader(now)) {
      stop_leading(now);
      return;
    }
    drive_suspected_ranks(now);
    const auto all = rank_views(now);
    const phase before = m_coordinator.current_phase();
    m_coordinator.set_pass_time(m_pass_time_estimator.mean());
    m_coordinator.step(all, local_status().rank, m_token, now);
    const bool outdated = m_coordinator.outdated_token() != 0 && m_token <= m_coordinator.outdated_token();
    if ((m_coordinator.needs_recovery(all, now) && m_token == 0) || outdated) {
      acquire_token(now);
    }
    if (m_coordinator.current_phase() != before) {
      on_phase_changed(before, now);
    }
    if (m_coordinator.current_phase() == phase::idle && now - m_planned_at >= m_settings.plan_interval) {
      m_planned_at = now;
      plan(all, now);
    }
    if (m_coordinator.current_phase() == phase::preparing) {
      send_prepares(now);
    } else if (m_coordinator.current_phase() != phase::idle &&
               now - m_directive_sent_at >= k_directive_interval) {
      send_directive(now);
    }
  }

  void stop_leading(time_point now) {
    if (m_token != 0 || m_coordinator.current_phase() != phase::idle) {
      telemetry::log(log_level::info, "leader", "leadership passed to a lower rank",
                     {{"group", local_status().group}});
      m_token = 0;
      m_coordinator.step({}, 0, 0, now);
    }
    m_remote_ranks.clear();
  }

  void on_phase_changed(phase before, time_point now) {
    const directive* active = m_coordinator.current_directive();
    telemetry::log(
        log_level::info, "leader", "phase of the switch",
        {{"group", local_status().group},
         {"from", phase_name(before)},
         {"to", phase_name(m_coordinator.current_phase())},
         {"epoch", static_cast<std::int64_t>(local_status().epoch)},
         {"token", static_cast<std::int64_t>(m_token)},
         {"version", static_cast<std::int64_t>(active == nullptr ? 0 : active->version)},
         {"pass", static_cast<std::int64_t>(active == nullptr ? 0 : active->step)},
         {"step", static_cast<std::int64_t>(local_status().step)},
         {"holder", static_cast<std::int64_t>(active == nullptr ? 0 : active->holder)},
         {"lead_ms", m_coordinator.lead().count()},
         {"without_rank", active != nullptr && active->absent ? static_cast<std::int64_t>(*active->absent)
                                                              : std::int64_t{-1}}});
    m_metrics.set("cuminpath_switch_lead_ms", static_cast<double>(m_coordinator.lead().count()));
    m_metrics.add("cuminpath_switch_phases_total",
                  {{"phase", std::string(phase_name(m_coordinator.current_phase()))}});
    send_directive(now);
  }

  // Applies the leader's directive to the local rank and to the ranks that the leader drives itself.
  void apply_directive(const directive* active, time_point now) {
    m_directive_received_at = now;
    m_local_rank.apply_directive(active, now);
    for (const auto& [rank, driver] : m_remote_ranks) {
      driver->apply_directive(active, now);
    }
  }

  // Sends the directive to every rank that still has to act on it.
  void send_directive(time_point now) {
    m_directive_sent_at = now;
    const directive* active = m_coordinator.current_directive();
    group_directive message{.group = local_status().group, .token = m_token};
    if (active != nullptr) {
      message.value = *active;
      message.token = active->token;
    }
    m_followed_token = std::max(m_followed_token, message.token);
    if (active != nullptr && active->kind == phase::preparing) {
      m_relayed_version = active->version;
      message.relay = relay_order(balancer_ranks(now), local_status().rank);
      send_to_ranks(message, relay_targets(message.relay, local_status().rank));
      for (const auto& [host, known] : m_roster.peers()) {
        m_map_sent_at[host] = now;
      }
    } else {
      std::vector<std::string> receivers;
      for (const auto* member : m_roster.members(position())) {
        if (active == nullptr || has_to_act(member->report.view, *active)) {
          receivers.push_back(member->report.report_address);
        }
      }
      m_channel->send(encode(message), receivers);
    }
    apply_directive(active, now);
  }

  // Sends the map to ranks that have not begun to copy although the relay was started, a few in each tick.
  void send_prepares(time_point now) {
    const directive* active = m_coordinator.current_directive();
    std::vector<std::string> receivers;
    for (const auto* member : m_roster.members(position())) {
      const rank_report& report = member->report;
      auto& sent_at = m_map_sent_at[report.host];
      if (receivers.size() < k_max_prepares_per_tick && report.view.status.prepared != active->version &&
          !report.view.status.busy && now - sent_at >= k_prepare_resend_interval) {
        sent_at = now;
        receivers.push_back(report.report_address);
      }
    }
    if (!receivers.empty()) {
      m_channel->send(
          encode(group_directive{.group = local_status().group, .value = *active, .token = active->token}),
          receivers);
    }
  }

  // Reads the status of ranks whose balancer is suspected, and sends orders to their engines, from here.
  void drive_suspected_ranks(time_point now) {
    for (const auto* member : m_roster.members(position())) {
      const std::uint32_t rank = member->report.view.status.rank;
      if (m_roster.alive(*member, now)) {
        if (m_remote_ranks.erase(rank) > 0) {
          log_balancer_state("balancer reports again", *member, now);
        }
        continue;
      }
      auto& driver = m_remote_ranks[rank];
      if (!driver) {
        log_balancer_state(member->report.interval == milliseconds{0}
                               ? "balancer leaves, its rank is read from here"
                               : "balancer is silent, its rank is read from here",
                           *member, now);
        driver = std::make_unique<rank_driver>(m_platform->engine(member->report.engine_address),
                                               member->report.engine_address, [](time_point) {});
        driver->apply_directive(m_coordinator.current_directive(), now);
      }
      const bool switching = m_coordinator.current_phase() != phase::idle;
      driver->tick(now, switching ? k_remote_switch_status_interval : k_remote_status_interval);
    }
  }

  void log_balancer_state(std::string_view what, const group_roster::peer& member, time_point now) const {
    telemetry::log(
        log_level::warning, "leader", what,
        {{"host", member.report.host},
         {"rank", static_cast<std::int64_t>(member.report.view.status.rank)},
         {"heard_ms_ago", std::chrono::duration_cast<milliseconds>(now - member.received_at).count()},
         {"interval_ms", member.report.interval.count()}});
  }

  void acquire_token(time_point now) {
    if (m_token_request_pending || now - m_token_requested_at < k_token_retry_interval) {
      return;
    }
    m_token_request_pending = true;
    m_token_requested_at = now;
    m_platform->acquire_token(local_status().group, m_settings.name, [this](result<acquired_token> token) {
      m_token_request_pending = false;
      if (!token) {
        telemetry::log(log_level::info, "leader", "fencing token not acquired",
                       {{"reason", token.error().message}});
        return;
      }
      m_token = token.value().value;
      m_coordinator.set_previous_token(m_token, token.value().previous);
      m_version_count = 0;
      telemetry::log(log_level::info, "leader", "leads the group",
                     {{"group", local_status().group}, {"token", static_cast<std::int64_t>(m_token)}});
    });
  }

  // Returns the map in use, assembled from the experts that the ranks hold; empty if those of a rank are not
  // known.
  [[nodiscard]] rank_map current_map() const {
    const auto layout = m_platform->expert_layout();
    const std::uint64_t version = local_status().map_version;
    const auto known = std::find_if(m_known_maps.begin(), m_known_maps.end(), [&](const known_map& each) {
      return each.version == version && each.epoch == local_status().epoch;
    });
    if (known != m_known_maps.end()) {
      return known->map;
    }
    rank_map map(layout->layers, std::vector<std::vector<std::uint32_t>>(local_status().ranks));
    std::size_t filled = 0;
    const auto add = [&](std::uint32_t rank, const std::optional<engine_experts>& held) {
      if (!held || held->epoch != local_status().epoch || held->map_version != version ||
          held->experts.size() != map.size() || rank >= local_status().ranks) {
        return;
      }
      ++filled;
      for (std::size_t layer = 0; layer < map.size(); ++layer) {
        map[layer][rank] = held->experts[layer];
      }
    };
    add(local_status().rank, m_experts);
    for (const auto* member : m_roster.members(position())) {
      add(member->report.view.status.rank, member->report.experts);
    }
    return filled == local_status().ranks ? map : rank_map();
  }

  [[nodiscard]] std::uint32_t max_copies_per_plan(const gateway::expert_layout& layout) const {
    const double copies =
        static_cast<double>(m_settings.max_copy_time.count()) / std::max(layout.copy_ms, 1.0);
    return static_cast<std::uint32_t>(std::max(1.0, copies));
  }

  void plan(std::span<const std::optional<rank_view>> all, time_point now) {
    const auto layout = m_platform->expert_layout();
    if (!layout || layout->layers == 0 || !m_coordinator.complete(all, now) ||
        m_load_window.total(now) < k_min_tokens_for_plan) {
      return;
    }
    const rank_map map = current_map();
    const auto loads = m_load_window.loads(layout->layers);
    if (map.empty() || loads.front().size() != layout->experts) {
      return;
    }
    auto planned = placement::plan_even_shares(map, loads,
                                               {.slots_per_rank = layout->slots_per_rank,
                                                .max_new_per_rank_layer = layout->max_new_per_layer,
                                                .max_copies_per_rank = max_copies_per_plan(*layout)});
    if (planned.map.empty()) {
      telemetry::log(log_level::info, "leader", "no plan, as the ranks report inconsistent experts",
                     {{"group", local_status().group}});
      return;
    }
    m_metrics.set("cuminpath_expert_skew", planned.cost_before / planned.balanced_cost);
    if (planned.cost_after > (1 - m_settings.min_saving) * planned.cost_before) {
      return;
    }
    if (m_token == 0) {
      acquire_token(now);
      return;
    }
    const std::uint64_t version = m_token * k_versions_per_token + ++m_version_count;
    if (m_coordinator.start(all, m_token, version, planned.map, now)) {
      remember_map(*m_coordinator.current_directive());
      telemetry::log(log_level::info, "leader", "plan",
                     {{"group", local_status().group},
                      {"version", static_cast<std::int64_t>(version)},
                      {"skew", planned.cost_before / planned.balanced_cost},
                      {"skew_after", planned.cost_after / planned.balanced_cost},
                      {"copies", static_cast<std::int64_t>(planned.copies)},
                      {"step", static_cast<std::int64_t>(local_status().step)}});
      m_metrics.add("cuminpath_expert_copies_total", {}, planned.copies);
      on_phase_changed(phase::idle, now);
    }
  }

  // Timers and signals.

  void on_local_status(time_point now) {
    if (m_leaving) {
      return;
    }
    const engine_status& status = local_status();
    if (status.epoch != m_known_epoch || status.group != m_known_group) {
      telemetry::log(log_level::info, "engine", "group formed",
                     {{"group", status.group},
                      {"rank", static_cast<std::int64_t>(status.rank)},
                      {"epoch", static_cast<std::int64_t>(status.epoch)}});
      m_known_epoch = status.epoch;
      m_known_group = status.group;
      m_load_window.clear();
    }
    m_pass_time_estimator.observe(status.epoch, status.step, now);
    if (m_local_rank.has_directive()) {
      report_progress(now);
    }
    run_leader(now);
  }

  void schedule_tick() {
    m_tick_timer.expires_after(k_tick_interval);
    m_tick_timer.async_wait([this](std::error_code cancelled) {
      if (!cancelled) {
        tick(clock::now());
      }
    });
  }

  void tick(time_point now) {
    if (m_stop && advance_stop(now)) {
      return;
    }
    if (m_leaving) {
      schedule_tick();
      return;
    }
    m_platform->tick(now, m_random);
    if (m_local_rank.has_directive() && m_coordinator.current_phase() == phase::idle &&
        now - m_directive_received_at >= k_directive_lifetime) {
      m_local_rank.apply_directive(nullptr, now);
    }
    m_local_rank.tick(now, m_token != 0 ? k_leader_status_interval : k_status_interval);
    read_counts(now);
    if (m_local_rank.known() && now - m_reported_at >= m_settings.report_interval) {
      report_to_group(now);
    }
    run_leader(now);
    schedule_tick();
  }

  // Planned stop.

  void start_stop(time_point now) {
    telemetry::log(
        log_level::info, "process", "leaving",
        {{"phase", phase_name(m_coordinator.current_phase())}, {"directive", m_local_rank.has_directive()}});
    m_coordinator.stop_switching();
    m_stop.emplace(now, m_settings.shutdown_grace);
  }

  // Whether a switch under way depends on this process, as the leader or for the local rank, or the result of
  // an order is awaited.
  [[nodiscard]] bool needed(time_point now) const {
    const bool order_pending =
        m_local_rank.has_pending_order() ||
        std::any_of(m_remote_ranks.begin(), m_remote_ranks.end(),
                    [](const auto& entry) { return entry.second->has_pending_order(); });
    if (order_pending || !m_local_rank.known()) {
      return order_pending;
    }
    return m_may_lead && is_leader(now) ? m_coordinator.current_phase() == phase::preparing ||
                                              m_coordinator.current_phase() == phase::checking ||
                                              m_coordinator.holds_group(rank_views(now))
                                        : m_local_rank.has_directive();
  }

  // Returns true once the event loop has been told to end.
  bool advance_stop(time_point now) {
    switch (m_stop->advance(needed(now), now)) {
      case stop_stage::finishing:
        return false;
      case stop_stage::leaving:
        m_leaving = true;
        send_last_report();
        return false;
      case stop_stage::ended:
        end_process(now);
        return true;
    }
    return false;
  }

  // Sent to all ranks of the group: the next leader takes over at once, and the leader drives the local rank.
  void send_last_report() {
    std::vector<std::string> receivers;
    for (const auto* member : m_roster.members(position())) {
      receivers.push_back(member->report.report_address);
    }
    m_may_lead = false;
    rank_report report = make_report();
    report.interval = milliseconds{0};
    m_channel->send(encode(report), receivers);
  }

  void end_process(time_point now) {
    telemetry::log(
        log_level::info, "process", "stopping",
        {{"after_signal_ms", std::chrono::duration_cast<milliseconds>(now - m_stop->signalled_at()).count()},
         {"phase", phase_name(m_coordinator.current_phase())},
         {"order_pending", m_local_rank.has_pending_order()},
         {"held", local_status().held.has_value()}});
    m_context.stop();
  }

  void wait_signal() {
    m_signals.async_wait([this](std::error_code error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        telemetry::log(log_level::info, "process", "settings of a running balancer are not reloaded", {});
      } else if (!m_stop) {
        start_stop(clock::now());
      } else if (signal == SIGINT) {
        end_process(clock::now());
        return;
      } else {
        telemetry::log(log_level::info, "process", "already leaving", {});
      }
      wait_signal();
    });
  }

  config::balancer_settings m_settings;
  asio::io_context m_context{1};
  http::client m_client;
  std::unique_ptr<platform_port> m_platform;
  rank_driver m_local_rank;
  load_window m_load_window;
  asio::steady_timer m_tick_timer;
  asio::signal_set m_signals;
  telemetry::metrics m_metrics;
  random_source m_random;
  std::unique_ptr<net::datagram_channel> m_channel;
  std::unique_ptr<http::server> m_server;
  group_roster m_roster;
  std::map<std::uint32_t, std::unique_ptr<rank_driver>> m_remote_ranks;  // By rank.
  switch_coordinator m_coordinator;
  pass_time_estimator m_pass_time_estimator;
  std::uint64_t m_relayed_version = 0;  // Newest map that was sent to the ranks below in the relay.
  std::map<std::string, time_point> m_map_sent_at;  // When the map of the switch was last sent, by host.
  std::optional<engine_experts> m_experts;          // Of the local rank.
  std::uint64_t m_reports_with_experts = 0;         // Since the experts have changed.
  std::uint64_t m_reports_since_experts = 0;
  std::vector<std::uint64_t> m_pending_loads;  // Loads for the next report to group_roster::load_receiver().
  std::vector<std::uint64_t> m_last_counts;
  std::string m_known_group;
  std::uint64_t m_known_epoch = 0;
  std::uint64_t m_last_counts_epoch = 0;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_token = 0;           // Fencing token; 0 while another process leads.
  std::uint64_t m_followed_token = 0;  // Highest token of all directives so far.
  std::deque<known_map> m_known_maps;  // The last maps that the group was ordered to prepare, newest first.
  std::uint64_t m_version_count = 0;   // Map versions issued with the token in use.
  bool m_may_lead = false;
  std::optional<planned_stop> m_stop;
  bool m_leaving = false;  // The group has been told that this process leaves.
  bool m_token_request_pending = false;
  bool m_reading_counts = false;
  time_point m_started_at{};
  time_point m_reported_at{};
  time_point m_hello_sent_at{};
  time_point m_reported_to_others_at{};
  time_point m_directive_sent_at{};      // When this process, as leader, last sent its directive.
  time_point m_directive_received_at{};  // When the local rank last received a directive.
  switch_progress m_reported_progress;   // As last reported to the leader outside of the periodic reports.
  time_point m_leader_stepped_at{};
  time_point m_planned_at{};
  time_point m_token_requested_at{};
  time_point m_counts_read_at{};
};

}  // namespace

int run_balancer(const config::balancer_settings& settings, const platform_factory& make_platform) {
  return balancer_process(settings, make_platform).run();
}

}  // namespace cuminpath::balancer
