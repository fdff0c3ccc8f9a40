#include "core/balancer/balancer_process.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <map>
#include <span>

#include "core/balancer/group_roster.h"
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
// Between reads of the own engine's status outside of a switch, which cost nothing but time of this process.
// The leader goes by the length of passes; others report as often as they read.
constexpr milliseconds k_status_interval_leading{100};
constexpr milliseconds k_status_interval{200};
constexpr milliseconds k_counts_interval{100};
// Between reads of the status of a rank whose balancer is silent; these are charged like health checks.
constexpr milliseconds k_remote_status_interval{500};
constexpr milliseconds k_remote_status_interval_working{60};
// Least time between two steps of the leader. Reports of a group arrive far more often during a switch.
constexpr milliseconds k_lead_interval{10};
constexpr milliseconds k_directive_interval{60};
// Ranks that the relay has not reached get the map from the leader, one in each tick: 8 KB for 96 ranks, so
// that it takes about half of a 6 Mbit/s link and reports are not lost behind it.
constexpr std::size_t k_prepares_per_tick = 1;
constexpr milliseconds k_prepare_interval{300};  // Between two for the same rank.
constexpr std::size_t k_report_bytes = 300;      // Of a report beside its loads.
// The experts that a rank holds go with each of so many reports, and with the first two after a change.
constexpr std::uint64_t k_reports_between_experts = 5;
constexpr std::uint64_t k_reports_of_changed_experts = 2;
// A directive that the leader has not renewed for this long is given up; its ranks hear no more of a switch.
constexpr milliseconds k_directive_lifetime{2000};
// Bytes a second that a rank may get of the loads of others: a quarter of a 6 Mbit/s link. Reports of 96
// ranks take a sixth, and what is over the link's rate is lost.
constexpr std::size_t k_load_bytes_per_s = 200'000;
constexpr milliseconds k_token_retry{1000};
// A balancer that starts leads once it has heard from all ranks, or after the longer of these times. It is
// not followed before: the one that leads so far knows more.
constexpr milliseconds k_listen_before_leading{1000};
constexpr milliseconds k_longest_listening{4000};
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
    m_started = clock::now();
    wait_signal();
    schedule_tick();
    m_context.run();
    telemetry::log(log_level::info, "process", "stopped", {});
    return 0;
  }

private:
  // The parts of a rank's state that the steps of a switch depend on.
  struct progress {
    std::uint64_t epoch = 0;
    bool open = false;
    bool busy = false;
    std::uint64_t map_version = 0;
    std::optional<std::uint64_t> prepared;
    std::optional<armed_switch> armed;
    std::optional<std::uint64_t> held;
    std::uint64_t disarmed_token = 0;
    std::uint64_t refused_token = 0;

    bool operator==(const progress&) const = default;
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
    const bool same_group = report.view.status.group == own_status().group;
    if (!same_group && !m_roster.peers().contains(report.host)) {
      // It would say hello again and again until it has heard of this process.
      m_channel->send(encode(own_report()), std::span(&report.report_address, 1));
    }
    const std::vector<std::uint64_t> loads = std::exchange(report.loads, {});
    if (!m_roster.on_report(std::move(report), now)) {
      return;
    }
    if (!loads.empty() && same_group) {
      take_loads(loads, now);
    }
    if (m_leader.current() != phase::idle && now - m_led_at >= k_lead_interval) {
      lead(now);
    }
  }

  // Loads go to the window of the leader, and up to it by way of other ranks.
  void take_loads(std::span<const std::uint64_t> loads, time_point now) {
    if (leads(now)) {
      m_window.add(loads, now);
      return;
    }
    if (m_gathered.size() != loads.size()) {
      m_gathered.assign(loads.size(), 0);
    }
    std::transform(loads.begin(), loads.end(), m_gathered.begin(), m_gathered.begin(), std::plus<>());
  }

  void on_directive(const group_directive& message, time_point now) {
    if (!m_own.known() || message.group != own_status().group || message.token < m_followed_token) {
      return;
    }
    m_followed_token = message.token;
    const directive* order = message.value ? &*message.value : nullptr;
    if (order != nullptr && order->kind == phase::preparing && order->version > m_passed_on_version) {
      m_passed_on_version = order->version;
      // Before the own order, so that the ranks behind this one do not wait for it.
      send_to_ranks(message, relay_targets(message.relay, own_status().rank));
      remember_map(*order);
    }
    m_directed_by_leader_at = now;
    m_own.follow(order, now);
  }

  void remember_map(const directive& order) {
    m_newest_map = {.epoch = order.epoch, .version = order.version, .map = order.map};
  }

  // Ranks of the group whose balancer has been heard lately, in ascending order.
  [[nodiscard]] std::vector<std::uint32_t> balancer_ranks(time_point now) const {
    std::vector<std::uint32_t> ranks;
    for (const auto* member : m_roster.members(position())) {
      if (m_roster.lives(*member, now)) {
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

  // Says to the group, and to hosts that have not been heard of, how this rank stands.
  void report_to_group(time_point now) {
    m_reported = now;
    m_platform->set_group_complete(group_known());
    update_may_lead(now);
    const auto often = m_roster.frequent_receivers(position(), now);
    send_report(often.addresses, often.interval);
    if (now - m_said_hello < k_hello_interval) {
      return;
    }
    m_said_hello = now;
    auto others = m_roster.other_receivers(position(), now);
    if (now - m_reported_to_others < others.interval) {
      others.addresses.clear();
    } else {
      m_reported_to_others = now;
    }
    const auto unknown = unknown_hosts();
    others.addresses.insert(others.addresses.end(), unknown.begin(), unknown.end());
    send_report(others.addresses, others.interval);
  }

  void update_may_lead(time_point now) {
    const auto running = now - m_started;
    m_may_lead = m_may_lead || running >= k_longest_listening ||
                 (running >= k_listen_before_leading && m_roster.all_live(position(), now));
  }

  void send_report(std::span<const std::string> receivers, milliseconds interval) {
    if (receivers.empty()) {
      return;
    }
    rank_report report = own_report();
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

  // During a switch the leader hears of each step of this rank at once; a report that is lost is made up for
  // by the next periodic one.
  void report_progress(time_point now) {
    const engine_status& status = own_status();
    const progress current{.epoch = status.epoch,
                           .open = status.open,
                           .busy = status.busy,
                           .map_version = status.map_version,
                           .prepared = status.prepared,
                           .armed = status.armed,
                           .held = status.held,
                           .disarmed_token = m_own.view().disarmed_token,
                           .refused_token = m_own.view().refused_token};
    const auto* leader = m_roster.leader(position(), now);
    if (leader == nullptr || current == m_progress) {
      return;
    }
    m_progress = current;
    rank_report report = own_report();
    report.interval = m_settings.report_interval;
    m_channel->send(encode(report), std::span(&leader->report.report_address, 1));
  }

  rank_report own_report() {
    return {.host = m_settings.name,
            .incarnation = m_incarnation,
            .sequence = ++m_sequence,
            .report_address = m_settings.report_address,
            .engine_address = m_settings.engine_address,
            .may_lead = m_may_lead,
            .view = m_own.view()};
  }

  [[nodiscard]] group_position position() const {
    return {.group = own_status().group, .rank = own_status().rank, .ranks = own_status().ranks};
  }

  // True once every rank of the own group has been heard of.
  [[nodiscard]] bool group_known() const {
    return m_own.known() && m_roster.members(position()).size() + 1 >= own_status().ranks;
  }

  // Balancers on hosts with engines of the service that have not reported yet.
  [[nodiscard]] std::vector<std::string> unknown_hosts() const {
    std::vector<std::string> addresses;
    for (const std::string& ip : m_platform->engine_hosts()) {
      const std::string address = ip + port_of(m_settings.report_address);
      const auto& peers = m_roster.peers();
      const bool heard = std::any_of(peers.begin(), peers.end(), [&](const auto& entry) {
        return entry.second.report.report_address == address;
      });
      if (!heard && address != m_settings.report_address) {
        addresses.push_back(address);
      }
    }
    return addresses;
  }

  [[nodiscard]] const engine_status& own_status() const { return m_own.view().status; }

  // No lower rank of the group lives.
  [[nodiscard]] bool leads(time_point now) const { return m_roster.leader(position(), now) == nullptr; }

  // Reading the engine.

  [[nodiscard]] milliseconds counts_interval() const {
    const std::size_t bytes =
        m_roster.load_senders(own_status().ranks) * (m_last_counts.size() + k_report_bytes);
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
          m_reports_with_experts = 0;
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
      take_loads(fresh, now);
      send_loads(now);
    }
    m_last_counts = counts;
    m_last_epoch = read.epoch;
  }

  void send_loads(time_point now) {
    const auto* receiver = m_roster.load_receiver(position(), now);
    if (receiver == nullptr) {
      return;
    }
    rank_report report = own_report();
    report.interval = m_settings.report_interval;
    report.loads = std::exchange(m_gathered, {});
    m_channel->send(encode(report), std::span(&receiver->report.report_address, 1));
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
    for (const auto* member : m_roster.members(position())) {
      place(member->report.view);
    }
    for (const auto& [rank, driver] : m_remote) {
      if (driver->known()) {
        place(driver->view());
      }
    }
    return all;
  }

  void lead(time_point now) {
    m_led_at = now;
    if (!m_own.known() || own_status().ranks == 0) {
      return;
    }
    if (!m_may_lead || !leads(now)) {
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

  // The leader's own order, and those of the ranks that it orders itself.
  void follow_own(const directive* order, time_point now) {
    m_directed_by_leader_at = now;
    m_own.follow(order, now);
    for (const auto& [rank, driver] : m_remote) {
      driver->follow(order, now);
    }
  }

  // Sends the directive to every rank that has still to act on it.
  void send_directive(time_point now) {
    m_directed_at = now;
    const directive* order = m_leader.order();
    group_directive message{.group = own_status().group, .token = m_token};
    if (order != nullptr) {
      message.value = *order;
      message.token = order->token;
    }
    m_followed_token = std::max(m_followed_token, message.token);
    if (order != nullptr && order->kind == phase::preparing) {
      m_passed_on_version = order->version;
      message.relay = relay_order(balancer_ranks(now), own_status().rank);
      send_to_ranks(message, relay_targets(message.relay, own_status().rank));
      for (const auto& [host, known] : m_roster.peers()) {
        m_prepared_hosts[host] = now;
      }
    } else {
      std::vector<std::string> receivers;
      for (const auto* member : m_roster.members(position())) {
        if (order == nullptr || has_to_act(member->report.view, *order)) {
          receivers.push_back(member->report.report_address);
        }
      }
      m_channel->send(encode(message), receivers);
    }
    follow_own(order, now);
  }

  // Sends the map to ranks that have not begun to copy although it was sent on its way, a few in each tick.
  void send_prepares(time_point now) {
    const directive* order = m_leader.order();
    std::vector<std::string> receivers;
    for (const auto* member : m_roster.members(position())) {
      const rank_report& report = member->report;
      auto& sent_at = m_prepared_hosts[report.host];
      if (receivers.size() < k_prepares_per_tick && report.view.status.prepared != order->version &&
          !report.view.status.busy && now - sent_at >= k_prepare_interval) {
        sent_at = now;
        receivers.push_back(report.report_address);
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
    for (const auto* member : m_roster.members(position())) {
      const std::uint32_t rank = member->report.view.status.rank;
      if (m_roster.lives(*member, now)) {
        if (m_remote.erase(rank) > 0) {
          log_silence("balancer reports again", *member, now);
        }
        continue;
      }
      auto& driver = m_remote[rank];
      if (!driver) {
        log_silence("balancer is silent, its rank is read from here", *member, now);
        driver = std::make_unique<rank_driver>(m_platform->engine(member->report.engine_address),
                                               member->report.engine_address, [](time_point) {});
        driver->follow(m_leader.order(), now);
      }
      const bool working = m_leader.current() != phase::idle;
      driver->tick(now, working ? k_remote_status_interval_working : k_remote_status_interval);
    }
  }

  void log_silence(std::string_view what, const group_roster::peer& member, time_point now) const {
    telemetry::log(log_level::warning, "leader", what,
                   {{"host", member.report.host},
                    {"rank", static_cast<std::int64_t>(member.report.view.status.rank)},
                    {"heard_ms_ago", std::chrono::duration_cast<milliseconds>(now - member.heard_at).count()},
                    {"interval_ms", member.report.interval.count()}});
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
    if (m_newest_map.version == version && m_newest_map.epoch == own_status().epoch) {
      return m_newest_map.map;
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
    for (const auto* member : m_roster.members(position())) {
      place(member->report.view.status.rank, member->report.experts);
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
      remember_map(*m_leader.order());
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
      report_progress(now);
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
    if (m_own.working() && m_leader.current() == phase::idle &&
        now - m_directed_by_leader_at >= k_directive_lifetime) {
      m_own.follow(nullptr, now);
    }
    m_own.tick(now, m_token != 0 ? k_status_interval_leading : k_status_interval);
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
  group_roster m_roster;
  std::map<std::uint32_t, std::unique_ptr<rank_driver>> m_remote;  // By rank.
  switch_leader m_leader;
  pass_clock m_pass_clock;
  std::uint64_t m_passed_on_version = 0;               // Newest map that was sent to the next of the chain.
  std::map<std::string, time_point> m_prepared_hosts;  // When the map of the switch was sent, by host.
  std::optional<engine_experts> m_experts;             // Of the own rank.
  std::uint64_t m_reports_with_experts = 0;            // Since they have changed.
  std::uint64_t m_reports_since_experts = 0;
  std::vector<std::uint64_t> m_gathered;  // Loads that wait for the next report to the leader.
  std::vector<std::uint64_t> m_last_counts;
  std::string m_known_group;
  std::uint64_t m_known_epoch = 0;
  std::uint64_t m_last_epoch = 0;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_token = 0;           // 0 while another leads.
  std::uint64_t m_followed_token = 0;  // Highest token of a directive so far.
  known_map m_newest_map;              // The last one that the group was told to prepare.
  std::uint64_t m_versions = 0;        // Of maps, with the token in use.
  bool m_may_lead = false;
  bool m_taking_token = false;
  bool m_reading_counts = false;
  time_point m_started{};
  time_point m_reported{};
  time_point m_said_hello{};
  time_point m_reported_to_others{};
  time_point m_directed_at{};            // When the leader last sent its directive.
  time_point m_directed_by_leader_at{};  // When the own rank last got one.
  progress m_progress;                   // As last reported to the leader.
  time_point m_led_at{};
  time_point m_planned_at{};
  time_point m_token_tried_at{};
  time_point m_counts_read_at{};
};

}  // namespace

int run_balancer(const config::balancer_settings& settings, const platform_factory& make_platform) {
  return balancer_process(settings, make_platform).run();
}

}  // namespace cuminpath::balancer
