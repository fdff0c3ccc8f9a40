#include "core/balancer/balancer_process.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <map>
#include <span>

#include "core/balancer/load_window.h"
#include "core/balancer/map_relay.h"
#include "core/balancer/messages.h"
#include "core/balancer/pass_clock.h"
#include "core/balancer/rank_driver.h"
#include "core/balancer/switch_leader.h"
#include "core/http/server.h"
#include "core/net/datagram_channel.h"
#include "core/placement/even_share_planner.h"
#include "core/telemetry/log.h"
#include "core/telemetry/metrics.h"

namespace cuminpath::balancer {
namespace {

using telemetry::log_level;

constexpr milliseconds k_tick_interval{20};
// Between reads of the own engine's status, which cost nothing but time of this process.
constexpr milliseconds k_status_interval{100};
constexpr milliseconds k_counts_interval{100};
// Between reads of the status of a rank whose balancer is silent; these are charged like health checks.
constexpr milliseconds k_remote_status_interval{500};
constexpr milliseconds k_remote_status_interval_working{60};
// Without a report for this long a balancer counts as gone; the lowest rank that reports leads.
constexpr milliseconds k_silent_after{700};
constexpr milliseconds k_directive_interval{60};
// Ranks that the chains have not reached get the map from the leader, a few at a time: all at once would
// overflow the link of its host.
constexpr std::size_t k_prepares_per_tick = 4;
constexpr milliseconds k_prepare_interval{200};  // Between two for the same rank.
constexpr std::size_t k_report_bytes = 300;      // Of a report beside its loads.
// Bytes a second that the ranks of a group may send their loads to the leader with: a third of an 8 Mbit/s
// link.
constexpr std::size_t k_load_bytes_per_s = 350'000;
constexpr milliseconds k_token_retry{1000};
// Others that run already are heard by then.
constexpr milliseconds k_listen_before_leading{1000};
constexpr milliseconds k_hello_interval{1000};  // To hosts whose rank is not known yet.
// Fewer tokens say little about the popularity of experts.
constexpr double k_min_tokens = 3000;
constexpr std::uint64_t k_versions_per_token = 4096;

std::string port_of(const std::string& address) {
  return address.substr(address.rfind(':'));
}

class balancer_process {
public:
  balancer_process(const config::balancer_settings& settings, const platform_factory& make_platform)
      : m_settings(settings),
        m_client(m_context),
        m_platform(make_platform(m_client, settings)),
        m_own(m_platform->engine(settings.engine_address), settings.engine_address,
              [this](time_point read_at) { on_own_status(read_at); }),
        m_window(settings.load_half_life),
        m_tick(m_context),
        m_signals(m_context, SIGTERM, SIGINT, SIGHUP) {
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
    m_started = clock::now();
    wait_signal();
    schedule_tick();
    m_context.run();
    telemetry::log(log_level::info, "process", "stopped", {});
    return 0;
  }

private:
  struct peer {
    rank_report report;
    time_point heard_at{};
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
    peer& known = m_peers[report.host];
    if (known.report.incarnation == report.incarnation && report.sequence <= known.report.sequence) {
      return;
    }
    if (!report.loads.empty() && report.view.status.group == own_status().group) {
      m_window.add(report.loads, now);
    }
    if (!report.experts) {
      report.experts = std::move(known.report.experts);
    }
    report.view.at = now;
    known = {std::move(report), now};
    if (m_leader.current() != phase::idle) {
      lead(now);
    }
  }

  void on_directive(const group_directive& message, time_point now) {
    if (!m_own.known() || message.group != own_status().group || message.token < m_followed_token) {
      return;
    }
    m_followed_token = message.token;
    m_own.follow(message.value ? &*message.value : nullptr, now);
    if (message.value && message.value->kind == phase::preparing &&
        message.value->version > m_passed_on_version) {
      m_passed_on_version = message.value->version;
      if (const auto next = next_in_chain(balancer_ranks(now), own_status().rank)) {
        send_to_ranks(message, std::span(&*next, 1));
      }
    }
  }

  // Ranks of the group whose balancer has been heard lately, in ascending order.
  [[nodiscard]] std::vector<std::uint32_t> balancer_ranks(time_point now) const {
    std::vector<std::uint32_t> ranks;
    for (const auto& [host, known] : m_peers) {
      if (in_group(known) && heard_lately(known, now)) {
        ranks.push_back(known.report.view.status.rank);
      }
    }
    std::sort(ranks.begin(), ranks.end());
    return ranks;
  }

  void send_to_ranks(const group_directive& message, std::span<const std::uint32_t> ranks) {
    std::vector<std::string> receivers;
    for (const auto& [host, known] : m_peers) {
      const std::uint32_t rank = known.report.view.status.rank;
      if (in_group(known) && std::find(ranks.begin(), ranks.end(), rank) != ranks.end()) {
        receivers.push_back(known.report.report_address);
      }
    }
    m_channel->send(encode(message), receivers);
  }

  // Says to the group, and to hosts that have not been heard of, how this rank stands.
  void report_to_group(time_point now) {
    m_reported = now;
    m_platform->set_group_complete(group_known());
    std::vector<std::string> receivers = group_addresses();
    if (now - m_said_hello >= k_hello_interval) {
      m_said_hello = now;
      const auto unknown = unknown_hosts();
      receivers.insert(receivers.end(), unknown.begin(), unknown.end());
    }
    m_channel->send(encode(own_report()), receivers);
  }

  // The leader needs loads, and each step of a switch at once; the others hear of steps with the next report.
  void report_to_leader(const rank_report& report, time_point now) {
    if (const auto* leader = leading_peer(now)) {
      m_channel->send(encode(report), std::span(&leader->report.report_address, 1));
    }
  }

  [[nodiscard]] std::vector<std::string> group_addresses() const {
    std::vector<std::string> addresses;
    for (const auto& [host, known] : m_peers) {
      if (in_group(known)) {
        addresses.push_back(known.report.report_address);
      }
    }
    return addresses;
  }

  rank_report own_report() {
    return {.host = m_settings.name,
            .incarnation = m_incarnation,
            .sequence = ++m_sequence,
            .report_address = m_settings.report_address,
            .engine_address = m_settings.engine_address,
            .view = m_own.view()};
  }

  // True once every rank of the own group has been heard of.
  [[nodiscard]] bool group_known() const {
    const auto heard = std::count_if(m_peers.begin(), m_peers.end(),
                                     [&](const auto& entry) { return in_group(entry.second); });
    return m_own.known() && static_cast<std::uint32_t>(heard) + 1 >= own_status().ranks;
  }

  // Balancers on hosts with engines of the service that have not reported yet.
  [[nodiscard]] std::vector<std::string> unknown_hosts() const {
    std::vector<std::string> addresses;
    for (const std::string& ip : m_platform->engine_hosts()) {
      const std::string address = ip + port_of(m_settings.report_address);
      const bool heard = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        return entry.second.report.report_address == address;
      });
      if (!heard && address != m_settings.report_address) {
        addresses.push_back(address);
      }
    }
    return addresses;
  }

  [[nodiscard]] const engine_status& own_status() const { return m_own.view().status; }

  [[nodiscard]] bool in_group(const peer& known) const {
    return known.report.view.status.group == own_status().group;
  }

  // False once the balancer counts as gone.
  [[nodiscard]] static bool heard_lately(const peer& known, time_point now) {
    return now - known.heard_at <= k_silent_after;
  }

  // The peer that leads the own group; null if this process does.
  [[nodiscard]] const peer* leading_peer(time_point now) const {
    const peer* lowest = nullptr;
    for (const auto& [host, known] : m_peers) {
      const auto& status = known.report.view.status;
      if (in_group(known) && heard_lately(known, now) && status.rank < own_status().rank &&
          (lowest == nullptr || status.rank < lowest->report.view.status.rank)) {
        lowest = &known;
      }
    }
    return lowest;
  }

  // Reading the engine.

  [[nodiscard]] milliseconds counts_interval() const {
    const std::size_t bytes = own_status().ranks * (m_last_counts.size() + k_report_bytes);
    return std::max(k_counts_interval,
                    milliseconds(static_cast<std::int64_t>(1000 * bytes / k_load_bytes_per_s)));
  }

  void read_counts(time_point now) {
    if (m_reading_counts || now - m_counts_read_at < counts_interval() || !m_own.known()) {
      return;
    }
    m_reading_counts = true;
    m_counts_read_at = now;
    m_own.engine().read_counts([this](result<engine_counts> read) {
      m_reading_counts = false;
      if (read) {
        on_counts(read.value(), clock::now());
      } else {
        log_unread("counts", read.error());
      }
    });
    const bool outdated = !m_experts || m_experts->epoch != own_status().epoch ||
                          m_experts->map_version != own_status().map_version;
    if (outdated) {
      m_own.engine().read_experts([this](result<engine_experts> read) {
        if (read) {
          m_experts = std::move(read.value());
        } else {
          log_unread("experts", read.error());
        }
      });
    }
  }

  void log_unread(std::string_view what, const error& failure) const {
    telemetry::log(log_level::info, "engine", "not read",
                   {{"what", what}, {"engine", m_settings.engine_address}, {"reason", failure.message}});
  }

  void on_counts(const engine_counts& read, time_point now) {
    const auto& counts = read.counts;
    const bool continued = m_last_counts.size() == counts.size() && m_last_epoch == read.epoch &&
                           std::equal(counts.begin(), counts.end(), m_last_counts.begin(),
                                      [](std::uint64_t a, std::uint64_t b) { return a >= b; });
    if (continued) {
      std::vector<std::uint64_t> fresh(counts.size());
      std::transform(counts.begin(), counts.end(), m_last_counts.begin(), fresh.begin(), std::minus<>());
      m_window.add(fresh, now);
      rank_report report = own_report();
      report.loads = std::move(fresh);
      report.experts = m_experts;
      report_to_leader(report, now);
    }
    m_last_counts = counts;
    m_last_epoch = read.epoch;
  }

  // Leading.

  [[nodiscard]] std::vector<std::optional<rank_view>> views() const {
    std::vector<std::optional<rank_view>> all(own_status().ranks);
    const auto place = [&](const rank_view& view) {
      if (view.status.rank < all.size() && view.status.group == own_status().group) {
        auto& slot = all[view.status.rank];
        if (!slot || view.at > slot->at) {
          slot = view;
        }
      }
    };
    place(m_own.view());
    for (const auto& [host, known] : m_peers) {
      place(known.report.view);
    }
    for (const auto& [rank, driver] : m_remote) {
      if (driver->known()) {
        place(driver->view());
      }
    }
    return all;
  }

  void lead(time_point now) {
    if (!m_own.known() || own_status().ranks == 0) {
      return;
    }
    const bool leads = leading_peer(now) == nullptr && now - m_started >= k_listen_before_leading;
    if (!leads) {
      stop_leading(now);
      return;
    }
    drive_silent_ranks(now);
    const auto all = views();
    const phase before = m_leader.current();
    m_leader.set_pass_time(m_pass_clock.mean());
    m_leader.step(all, own_status().rank, m_token, now);
    const bool outdated = m_leader.outdated_token() != 0 && m_token <= m_leader.outdated_token();
    if ((m_leader.needs_recovery(all, now) && m_token == 0) || outdated) {
      take_token(now);
    }
    if (m_leader.current() != before) {
      on_phase_changed(before, now);
    }
    if (m_leader.current() == phase::idle && now - m_planned_at >= m_settings.plan_interval) {
      m_planned_at = now;
      plan(all, now);
    }
    if (m_leader.current() == phase::preparing) {
      send_prepares(now);
    } else if (m_leader.current() != phase::idle && now - m_directed_at >= k_directive_interval) {
      send_directive(now);
    }
  }

  void stop_leading(time_point now) {
    if (m_token != 0 || m_leader.current() != phase::idle) {
      telemetry::log(log_level::info, "leader", "a lower rank leads", {{"group", own_status().group}});
      m_token = 0;
      m_leader.step({}, 0, 0, now);
    }
    m_remote.clear();
  }

  void on_phase_changed(phase before, time_point now) {
    const directive* order = m_leader.order();
    telemetry::log(log_level::info, "leader", "phase of the switch",
                   {{"group", own_status().group},
                    {"from", phase_name(before)},
                    {"to", phase_name(m_leader.current())},
                    {"epoch", static_cast<std::int64_t>(own_status().epoch)},
                    {"token", static_cast<std::int64_t>(m_token)},
                    {"version", static_cast<std::int64_t>(order == nullptr ? 0 : order->version)},
                    {"pass", static_cast<std::int64_t>(order == nullptr ? 0 : order->step)},
                    {"step", static_cast<std::int64_t>(own_status().step)}});
    m_metrics.add("cuminpath_switch_phases_total", {{"phase", std::string(phase_name(m_leader.current()))}});
    send_directive(now);
  }

  void send_directive(time_point now) {
    m_directed_at = now;
    const directive* order = m_leader.order();
    group_directive message{.group = own_status().group, .token = m_token};
    if (order != nullptr) {
      message.value = *order;
      message.token = order->token;
    }
    m_followed_token = std::max(m_followed_token, message.token);
    m_own.follow(order, now);
    for (const auto& [rank, driver] : m_remote) {
      driver->follow(order, now);
    }
    if (order != nullptr && order->kind == phase::preparing) {
      m_passed_on_version = order->version;
      send_to_ranks(message, chain_heads(balancer_ranks(now), own_status().rank));
      for (const auto& [host, known] : m_peers) {
        m_prepared_hosts[host] = now;
      }
      return;
    }
    m_channel->send(encode(message), group_addresses());
  }

  // Sends the map to ranks that have not begun to copy although it was sent on its way, a few in each tick.
  void send_prepares(time_point now) {
    const directive* order = m_leader.order();
    std::vector<std::string> receivers;
    for (const auto& [host, known] : m_peers) {
      const engine_status& status = known.report.view.status;
      auto& sent_at = m_prepared_hosts[host];
      if (receivers.size() < k_prepares_per_tick && in_group(known) && status.prepared != order->version &&
          !status.busy && now - sent_at >= k_prepare_interval) {
        sent_at = now;
        receivers.push_back(known.report.report_address);
      }
    }
    if (!receivers.empty()) {
      m_channel->send(
          encode(group_directive{.group = own_status().group, .value = *order, .token = order->token}),
          receivers);
    }
  }

  // Ranks whose balancer is gone are read, and given orders, from here.
  void drive_silent_ranks(time_point now) {
    for (const auto& [host, known] : m_peers) {
      const std::uint32_t rank = known.report.view.status.rank;
      if (!in_group(known) || rank == own_status().rank) {
        continue;
      }
      if (heard_lately(known, now)) {
        m_remote.erase(rank);
        continue;
      }
      auto& driver = m_remote[rank];
      if (!driver) {
        driver = std::make_unique<rank_driver>(m_platform->engine(known.report.engine_address),
                                               known.report.engine_address, [](time_point) {});
        driver->follow(m_leader.order(), now);
      }
      const bool working = m_leader.current() != phase::idle;
      driver->tick(now, working ? k_remote_status_interval_working : k_remote_status_interval);
    }
  }

  void take_token(time_point now) {
    if (m_taking_token || now - m_token_tried_at < k_token_retry) {
      return;
    }
    m_taking_token = true;
    m_token_tried_at = now;
    m_platform->take_token(own_status().group, m_settings.name, [this](result<std::uint64_t> token) {
      m_taking_token = false;
      if (!token) {
        telemetry::log(log_level::info, "leader", "no token", {{"reason", token.error().message}});
        return;
      }
      m_token = token.value();
      m_versions = 0;
      telemetry::log(log_level::info, "leader", "leads the group",
                     {{"group", own_status().group}, {"token", static_cast<std::int64_t>(m_token)}});
    });
  }

  // The map in use, put together from what the ranks hold; empty if some rank is not known.
  [[nodiscard]] rank_map current_map() const {
    const auto shape = m_platform->shape();
    const std::uint64_t version = own_status().map_version;
    if (m_installed_version == version && m_installed_epoch == own_status().epoch) {
      return m_installed_map;
    }
    rank_map map(shape->layers, std::vector<std::vector<std::uint32_t>>(own_status().ranks));
    std::size_t filled = 0;
    const auto place = [&](std::uint32_t rank, const std::optional<engine_experts>& held) {
      if (!held || held->epoch != own_status().epoch || held->map_version != version ||
          held->experts.size() != map.size() || rank >= own_status().ranks) {
        return;
      }
      ++filled;
      for (std::size_t layer = 0; layer < map.size(); ++layer) {
        map[layer][rank] = held->experts[layer];
      }
    };
    place(own_status().rank, m_experts);
    for (const auto& [host, known] : m_peers) {
      if (in_group(known) && known.report.view.status.rank != own_status().rank) {
        place(known.report.view.status.rank, known.report.experts);
      }
    }
    return filled == own_status().ranks ? map : rank_map();
  }

  [[nodiscard]] std::uint32_t copies_for_a_plan(const gateway::expert_shape& shape) const {
    const double copies =
        static_cast<double>(m_settings.max_copy_time.count()) / std::max(shape.copy_ms, 1.0);
    return static_cast<std::uint32_t>(std::max(1.0, copies));
  }

  void plan(std::span<const std::optional<rank_view>> all, time_point now) {
    const auto shape = m_platform->shape();
    if (!shape || shape->layers == 0 || !m_leader.complete(all, now) || m_window.total(now) < k_min_tokens) {
      return;
    }
    const rank_map map = current_map();
    const auto loads = m_window.loads(shape->layers);
    if (map.empty() || loads.front().size() != shape->experts) {
      return;
    }
    auto planned = placement::plan_even_shares(map, loads,
                                               {.slots_per_rank = shape->slots_per_rank,
                                                .max_new_per_rank_layer = shape->max_new_per_layer,
                                                .max_copies_per_rank = copies_for_a_plan(*shape)});
    m_metrics.set("cuminpath_expert_skew", planned.cost_before / planned.ideal);
    if (planned.cost_after > (1 - m_settings.min_saving) * planned.cost_before) {
      return;
    }
    if (m_token == 0) {
      take_token(now);
      return;
    }
    const std::uint64_t version = m_token * k_versions_per_token + ++m_versions;
    if (m_leader.start(all, m_token, version, planned.map, now)) {
      m_installed_map = std::move(planned.map);
      m_installed_version = version;
      m_installed_epoch = own_status().epoch;
      telemetry::log(log_level::info, "leader", "plan",
                     {{"group", own_status().group},
                      {"version", static_cast<std::int64_t>(version)},
                      {"skew", planned.cost_before / planned.ideal},
                      {"skew_after", planned.cost_after / planned.ideal},
                      {"copies", static_cast<std::int64_t>(planned.copies)},
                      {"step", static_cast<std::int64_t>(own_status().step)}});
      m_metrics.add("cuminpath_expert_copies_total", {}, planned.copies);
      on_phase_changed(phase::idle, now);
    }
  }

  // Time and signals.

  void on_own_status(time_point now) {
    const engine_status& status = own_status();
    if (status.epoch != m_known_epoch || status.group != m_known_group) {
      telemetry::log(log_level::info, "engine", "group formed",
                     {{"group", status.group},
                      {"rank", static_cast<std::int64_t>(status.rank)},
                      {"epoch", static_cast<std::int64_t>(status.epoch)}});
      m_known_epoch = status.epoch;
      m_known_group = status.group;
      m_window.clear();
    }
    m_pass_clock.observe(status.epoch, status.step, now);
    if (m_own.working()) {
      report_to_leader(own_report(), now);
    }
    lead(now);
  }

  void schedule_tick() {
    m_tick.expires_after(k_tick_interval);
    m_tick.async_wait([this](std::error_code cancelled) {
      if (!cancelled) {
        tick(clock::now());
      }
    });
  }

  void tick(time_point now) {
    m_platform->tick(now, m_random);
    m_own.tick(now, k_status_interval);
    read_counts(now);
    if (m_own.known() && now - m_reported >= m_settings.report_interval) {
      report_to_group(now);
    }
    lead(now);
    schedule_tick();
  }

  void wait_signal() {
    m_signals.async_wait([this](std::error_code error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        telemetry::log(log_level::info, "process", "settings of a running balancer stay", {});
        wait_signal();
        return;
      }
      m_context.stop();
    });
  }

  config::balancer_settings m_settings;
  asio::io_context m_context{1};
  http::client m_client;
  std::unique_ptr<platform_port> m_platform;
  rank_driver m_own;
  load_window m_window;
  asio::steady_timer m_tick;
  asio::signal_set m_signals;
  telemetry::metrics m_metrics;
  random_source m_random;
  std::unique_ptr<net::datagram_channel> m_channel;
  std::unique_ptr<http::server> m_server;
  std::map<std::string, peer> m_peers;                             // By host.
  std::map<std::uint32_t, std::unique_ptr<rank_driver>> m_remote;  // By rank.
  switch_leader m_leader;
  pass_clock m_pass_clock;
  std::uint64_t m_passed_on_version = 0;               // Newest map that was sent to the next of the chain.
  std::map<std::string, time_point> m_prepared_hosts;  // When the map of the switch was sent, by host.
  std::optional<engine_experts> m_experts;             // Of the own rank.
  std::vector<std::uint64_t> m_last_counts;
  std::string m_known_group;
  std::uint64_t m_known_epoch = 0;
  std::uint64_t m_last_epoch = 0;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_token = 0;           // 0 while another leads.
  std::uint64_t m_followed_token = 0;  // Highest token of a directive so far.
  rank_map m_installed_map;            // Of the last switch that this process has led.
  std::uint64_t m_installed_version = 0;
  std::uint64_t m_installed_epoch = 0;
  std::uint64_t m_versions = 0;  // Of maps, with the token in use.
  bool m_taking_token = false;
  bool m_reading_counts = false;
  time_point m_started{};
  time_point m_reported{};
  time_point m_said_hello{};
  time_point m_directed_at{};
  time_point m_planned_at{};
  time_point m_token_tried_at{};
  time_point m_counts_read_at{};
};

}  // namespace

int run_balancer(const config::balancer_settings& settings, const platform_factory& make_platform) {
  return balancer_process(settings, make_platform).run();
}

}  // namespace cuminpath::balancer
