#include "core/membership/member_table.h"

#include <algorithm>
#include <array>
#include <map>
#include <unordered_map>
#include <unordered_set>

#include "core/common/hash.h"
#include "core/membership/event_queue.h"
#include "core/membership/peer_choice.h"

namespace cuminpath::membership {
namespace {

// A suspicion that is not renewed ends after this time; those who see the silence renew it more often.
constexpr seconds k_suspicion_lifetime{10};
constexpr seconds k_renewal_interval{4};
// Suspicions that were on their way when a process came back do not take effect for this time. An event is
// passed on for at most two rounds at each step, and a fleet of 1,200 takes three to four steps.
constexpr seconds k_trust_after_return{4};
// An unlisted host is forgotten after this silence.
constexpr seconds k_unlisted_lifetime{30};
constexpr std::size_t k_max_unlisted = 1024;
// Answers to peers that are not among the own ones, for each answer interval: about 13 peers have this
// process among theirs, and as an entry also the agents of about ten hosts, twice each.
constexpr std::size_t k_max_answers = 64;
constexpr milliseconds k_answer_interval = k_heartbeat_interval / 2;
// A replica of the list service may be behind another; an older list counts only if nothing newer has come
// for this long, as after a restart of the service that begins again at 1.
constexpr seconds k_older_list_after{60};
// A pause of this process that is longer says nothing about its peers.
constexpr milliseconds k_pause{500};

}  // namespace

class member_table::impl {
public:
  explicit impl(member_options options) : m_options(std::move(options)) {}

  void on_host_list(time_point now, const storage::host_list& hosts) {
    // An empty list cannot be right: this process runs on a host.
    const bool older = hosts.generation < m_list_generation && now < m_list_time + k_older_list_after;
    if (hosts.hosts.empty() || older) {
      return;
    }
    m_list_generation = hosts.generation;
    m_list_time = now;
    std::unordered_set<std::string_view> listed;
    bool changed = false;
    for (const auto& host : hosts.hosts) {
      listed.insert(host.name);
      changed = update(now, host) || changed;
    }
    for (auto& [name, value] : m_members) {
      value.listed = listed.contains(name);
    }
    const auto dropped = std::erase_if(m_members, [&](const auto& item) {
      const auto& value = item.second;
      const bool gone = !value.listed && now - value.last_heard > k_suspicion_timeout;
      if (gone) {
        forget_address(value);
      }
      return gone;
    });
    if (changed || dropped > 0) {
      members_changed();
    }
  }

  void on_message(time_point now, std::string_view peer_address, incarnation number) {
    auto* value = find_address(peer_address);
    if (value == nullptr) {
      remember_unlisted(now, peer_address, number);
      return;
    }
    value->last_heard = now;
    value->heard = true;
    if (value->number != number) {
      const bool known = value->number != incarnation{};
      set_number(*value, number);
      if (known) {
        announce(*value, wire::member_state::alive);
      }
    }
    if (value->suspected_until != time_point{}) {
      end_suspicion(*value);
      announce(*value, wire::member_state::alive);
    }
  }

  void on_heartbeat(time_point now, std::string_view peer_address, incarnation number,
                    const wire::heartbeat& message) {
    on_message(now, peer_address, number);
    if (auto* value = find_address(peer_address); value != nullptr && message.leaving && !value->left) {
      set_left(*value);
      announce(*value, wire::member_state::leaving);
    }
    std::size_t events = 0;
    for (const auto& event : message.events) {
      if (++events > k_max_events) {
        break;
      }
      on_event(now, event);
    }
    request_answer(now, peer_address);
  }

  void on_link_lost(time_point now, std::string_view peer_address) {
    // The peer may only have closed an idle link, so it gets half the time to send something.
    if (auto* value = find_address(peer_address)) {
      value->last_heard = std::min(value->last_heard, now - k_suspicion_timeout / 2);
    }
  }

  void tick(time_point now, random_source& random, std::vector<send_heartbeat>& heartbeats) {
    if (m_last_tick == time_point{}) {
      m_next_round = now + milliseconds(random_index(random, k_heartbeat_interval.count()));
    } else if (now - m_last_tick > k_pause) {
      expect_peers_from(now);
    }
    m_last_tick = now;
    if (m_targets_stale) {
      choose_targets(now);
    }
    suspect_silent_peers(now);
    expire_suspicions(now);
    expire_unlisted(now);
    for (auto& [peer, answered] : m_answers) {
      if (answered == time_point{}) {
        answered = now;
        heartbeats.push_back({peer, next_heartbeat()});
      }
    }
    std::erase_if(m_answers, [now](const auto& item) { return now - item.second >= k_answer_interval; });
    if (now >= m_next_round) {
      m_next_round = now + k_heartbeat_interval;
      for (const auto& [address, name] : m_targets) {
        heartbeats.push_back({address, next_heartbeat()});
      }
    }
  }

  void leave(time_point now) {
    m_leaving = true;
    m_entries_stale = true;
    m_next_round = now;  // The peers learn it at once.
    m_events.add({.name = m_options.name, .number = m_options.number, .state = wire::member_state::leaving});
  }

  std::vector<entry_address> entries_for_callers(std::size_t limit) {
    if (m_entries_stale) {
      collect_entries();
    }
    const auto count = std::min(limit, m_entries.size());
    return {m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(count)};
  }

  const std::vector<std::string>& live_zone_entries() {
    if (m_entries_stale) {
      collect_entries();
    }
    return m_zone_entries;
  }

  [[nodiscard]] std::optional<storage::host_entry> find(std::string_view host) const {
    const auto found = m_members.find(std::string(host));
    if (found == m_members.end() || found->second.leaving()) {
      return std::nullopt;
    }
    return found->second.host;
  }

  [[nodiscard]] std::vector<storage::host_entry> members(storage::host_role role) const {
    std::vector<storage::host_entry> found;
    for (const auto& [name, value] : m_members) {
      if (value.host.role == role && !value.leaving()) {
        found.push_back(value.host);
      }
    }
    return found;
  }

  [[nodiscard]] std::uint64_t generation() const { return m_generation; }

private:
  struct member {
    storage::host_entry host;
    bool listed = true;
    bool left = false;  // It has said so, for this incarnation.
    incarnation number{};
    // Older incarnations. Events about them are late.
    std::array<incarnation, 4> retired{};
    std::size_t next_retired = 0;
    time_point last_heard{};       // Of a message, or of the start of the expectation of one.
    bool heard = false;            // A message of it has come.
    time_point suspected_until{};  // Unset: not suspected.
    time_point next_renewal{};
    time_point trusted_until{};  // Suspicions of others do not count.

    [[nodiscard]] bool leaving() const { return left || host.leaving; }
  };

  struct unlisted_peer {
    incarnation number{};
    time_point last_heard{};
  };

  // Returns whether find() or members() would give another answer.
  bool update(time_point now, const storage::host_entry& host) {
    const auto [found, added] = m_members.try_emplace(host.name);
    auto& value = found->second;
    if (added) {
      value.last_heard = now;
    } else if (same(value.host, host)) {
      return false;
    } else {
      forget_address(value);
      if (value.host.peer_address != host.peer_address) {
        // Another process under the same name.
        value = {};
        value.last_heard = now;
      }
    }
    value.host = host;
    m_by_address[host.peer_address] = host.name;
    if (const auto known = m_unlisted.find(host.peer_address); known != m_unlisted.end()) {
      value.number = known->second.number;
      value.last_heard = known->second.last_heard;
      value.heard = true;
      m_unlisted.erase(known);
    }
    return true;
  }

  static bool same(const storage::host_entry& left, const storage::host_entry& right) {
    return left.role == right.role && left.availability_zone == right.availability_zone &&
           left.region == right.region && left.address == right.address &&
           left.peer_address == right.peer_address && left.admin_address == right.admin_address &&
           left.leaving == right.leaving;
  }

  member* find_address(std::string_view peer_address) {
    const auto found = m_by_address.find(std::string(peer_address));
    return found == m_by_address.end() ? nullptr : &m_members.at(found->second);
  }

  void forget_address(const member& value) {
    const auto found = m_by_address.find(value.host.peer_address);
    if (found != m_by_address.end() && found->second == value.host.name) {
      m_by_address.erase(found);
    }
  }

  void remember_unlisted(time_point now, std::string_view peer_address, incarnation number) {
    if (m_unlisted.size() < k_max_unlisted || m_unlisted.contains(std::string(peer_address))) {
      m_unlisted[std::string(peer_address)] = {number, now};
    }
  }

  void members_changed() {
    ++m_generation;
    m_entries_stale = true;
    m_targets_stale = true;
  }

  // --- State of a member ---

  void set_number(member& value, incarnation number) {
    if (value.number != incarnation{}) {
      value.retired[value.next_retired] = value.number;
      value.next_retired = (value.next_retired + 1) % value.retired.size();
    }
    value.number = number;
    if (value.left) {
      value.left = false;
      members_changed();
    }
  }

  void set_left(member& value) {
    value.left = true;
    members_changed();
  }

  void suspect(time_point now, member& value) {
    m_entries_stale = m_entries_stale || value.suspected_until == time_point{};
    value.suspected_until = now + k_suspicion_lifetime;
    m_suspected.insert(value.host.name);
  }

  void end_suspicion(member& value) {
    value.suspected_until = {};
    m_suspected.erase(value.host.name);
    m_entries_stale = true;
  }

  void announce(const member& value, wire::member_state state) {
    m_events.add({.name = value.host.name, .number = value.number, .state = state});
  }

  // Two processes of which neither has the other among its peers would answer each other's answers for ever;
  // the interval between answers ends that.
  void request_answer(time_point now, std::string_view peer_address) {
    const std::string peer(peer_address);
    if (m_targets.contains(peer) || m_answers.size() >= k_max_answers) {
      return;
    }
    const auto [found, added] = m_answers.try_emplace(peer);
    if (!added && now - found->second >= k_answer_interval) {
      found->second = {};
    }
  }

  // --- Events from others ---

  void on_event(time_point now, const wire::member_event& event) {
    if (event.name == m_options.name) {
      refute(event);
      return;
    }
    const auto found = m_members.find(event.name);
    if (found == m_members.end()) {
      return;
    }
    auto& value = found->second;
    const bool retired =
        std::find(value.retired.begin(), value.retired.end(), event.number) != value.retired.end();
    const bool unnumbered = event.number == incarnation{};  // The sender has not heard from it yet.
    if (!unnumbered && retired) {
      return;
    }
    const bool hears_it = value.heard && now - value.last_heard < k_suspicion_timeout;
    switch (event.state) {
      case wire::member_state::alive:
        on_alive(now, value, event, hears_it);
        break;
      case wire::member_state::suspected:
        on_suspected(now, value, event, hears_it);
        break;
      case wire::member_state::leaving:
        on_leaving(value, event, hears_it);
        break;
    }
  }

  // Others that took this process for dead learn that it is alive.
  void refute(const wire::member_event& event) {
    if (event.state == wire::member_state::suspected && !m_leaving) {
      m_events.add({.name = m_options.name, .number = m_options.number, .state = wire::member_state::alive});
    }
  }

  void on_alive(time_point now, member& value, const wire::member_event& event, bool hears_it) {
    bool news = false;
    if (value.number != event.number && !hears_it) {
      news = value.number != incarnation{};
      set_number(value, event.number);
    }
    if (value.suspected_until != time_point{}) {
      end_suspicion(value);
      news = true;
    }
    if (news) {
      value.trusted_until = now + k_trust_after_return;
      m_events.add(event);
    }
  }

  void on_suspected(time_point now, member& value, const wire::member_event& event, bool hears_it) {
    if (hears_it) {
      announce(value, wire::member_state::alive);
      return;
    }
    if (value.number == incarnation{}) {
      set_number(value, event.number);
    }
    const bool news = value.suspected_until < now + k_suspicion_lifetime / 2;
    if (news && now >= value.trusted_until) {
      suspect(now, value);
      m_events.add(event);
    }
  }

  void on_leaving(member& value, const wire::member_event& event, bool hears_it) {
    if (value.left || (hears_it && value.number != event.number)) {
      return;
    }
    if (value.number != event.number) {
      set_number(value, event.number);
    }
    set_left(value);
    m_events.add(event);
  }

  // --- Systems that run each tick. Their cost depends on the peers and the suspected, not on the fleet. ---

  void expect_peers_from(time_point now) {
    for (const auto& [address, name] : m_targets) {
      if (auto* value = find_address(address)) {
        value->last_heard = std::max(value->last_heard, now);
      }
    }
  }

  void choose_targets(time_point now) {
    m_targets_stale = false;
    std::map<std::string, std::string> chosen;
    std::vector<const storage::host_entry*> entries;
    for (const auto& [name, value] : m_members) {
      if (value.host.role == storage::host_role::entry && !value.leaving() && name != m_options.name) {
        entries.push_back(&value.host);
      }
    }
    const bool is_entry = m_options.role == storage::host_role::entry;
    const auto peers = is_entry ? entry_peers(m_options.name, m_options.availability_zone, entries)
                                : agent_peers(m_options.name, m_options.availability_zone, entries);
    for (const auto* host : peers) {
      chosen.emplace(host->peer_address, host->name);
      if (!m_targets.contains(host->peer_address)) {
        auto& value = m_members.at(host->name);
        value.last_heard = std::max(value.last_heard, now);
      }
    }
    m_targets = std::move(chosen);
  }

  void suspect_silent_peers(time_point now) {
    for (const auto& [address, name] : m_targets) {
      auto* value = find_address(address);
      if (value == nullptr || now - value->last_heard < k_suspicion_timeout) {
        continue;
      }
      if (value->suspected_until == time_point{} || now >= value->next_renewal) {
        suspect(now, *value);
        value->next_renewal = now + k_renewal_interval;
        announce(*value, wire::member_state::suspected);
      }
    }
  }

  void expire_suspicions(time_point now) {
    std::vector<std::string> ended;
    for (const auto& name : m_suspected) {
      const auto found = m_members.find(name);
      if (found == m_members.end() || found->second.suspected_until <= now) {
        ended.push_back(name);
      }
    }
    for (const auto& name : ended) {
      m_suspected.erase(name);
      if (const auto found = m_members.find(name); found != m_members.end()) {
        end_suspicion(found->second);
      }
    }
  }

  void expire_unlisted(time_point now) {
    std::erase_if(m_unlisted,
                  [now](const auto& item) { return now - item.second.last_heard > k_unlisted_lifetime; });
  }

  wire::heartbeat next_heartbeat() { return {.leaving = m_leaving, .events = m_events.take(k_max_events)}; }

  void collect_entries() {
    m_entries_stale = false;
    std::vector<const storage::host_entry*> usable;
    bool listed = false;
    for (const auto& [name, value] : m_members) {
      listed = listed || name == m_options.name;
      const bool live = !value.leaving() && value.suspected_until == time_point{};
      const bool own = name == m_options.name;
      if (value.host.role == storage::host_role::entry && (own ? !m_leaving && !value.host.leaving : live)) {
        usable.push_back(&value.host);
      }
    }
    storage::host_entry self{.name = m_options.name,
                             .role = m_options.role,
                             .availability_zone = m_options.availability_zone,
                             .region = {},
                             .address = m_options.address,
                             .peer_address = {},
                             .admin_address = {}};
    if (!listed && !m_leaving && !m_options.address.empty()) {
      usable.push_back(&self);
    }
    order_for_callers(m_options.name, m_options.availability_zone, usable);
    m_entries.clear();
    m_zone_entries.clear();
    for (const auto* host : usable) {
      m_entries.push_back({host->address, host->availability_zone});
      if (host->availability_zone == m_options.availability_zone) {
        m_zone_entries.push_back(host->name);
      }
    }
  }

  member_options m_options;
  bool m_leaving = false;
  std::uint64_t m_generation = 0;
  std::uint64_t m_list_generation = 0;
  time_point m_list_time{};
  std::unordered_map<std::string, member> m_members;          // By name.
  std::unordered_map<std::string, std::string> m_by_address;  // Peer address to name.
  std::unordered_map<std::string, unlisted_peer> m_unlisted;  // By peer address.
  std::map<std::string, std::string> m_targets;               // Own peers: peer address to name.
  std::unordered_set<std::string> m_suspected;                // Names.
  // Peer addresses to answer, or with the time of the last answer.
  std::unordered_map<std::string, time_point> m_answers;
  event_queue m_events;
  std::vector<entry_address> m_entries;     // For callers.
  std::vector<std::string> m_zone_entries;  // Names of those in the own availability zone.
  bool m_entries_stale = true;
  bool m_targets_stale = true;
  time_point m_last_tick{};
  time_point m_next_round{};
};

member_table::member_table(member_options options) : m_impl(std::make_unique<impl>(std::move(options))) {}
member_table::~member_table() = default;
member_table::member_table(member_table&&) noexcept = default;
member_table& member_table::operator=(member_table&&) noexcept = default;

void member_table::on_host_list(time_point now, const storage::host_list& hosts) {
  m_impl->on_host_list(now, hosts);
}
void member_table::on_message(time_point now, std::string_view peer_address, incarnation number) {
  m_impl->on_message(now, peer_address, number);
}
void member_table::on_heartbeat(time_point now, std::string_view peer_address, incarnation number,
                                const wire::heartbeat& message) {
  m_impl->on_heartbeat(now, peer_address, number, message);
}
void member_table::on_link_lost(time_point now, std::string_view peer_address) {
  m_impl->on_link_lost(now, peer_address);
}
void member_table::tick(time_point now, random_source& random, std::vector<send_heartbeat>& heartbeats) {
  m_impl->tick(now, random, heartbeats);
}
void member_table::leave(time_point now) {
  m_impl->leave(now);
}
std::vector<entry_address> member_table::entries_for_callers(std::size_t limit) const {
  return m_impl->entries_for_callers(limit);
}
std::vector<std::string> member_table::live_zone_entries() const {
  return m_impl->live_zone_entries();
}
std::optional<storage::host_entry> member_table::find(std::string_view host) const {
  return m_impl->find(host);
}
std::vector<storage::host_entry> member_table::members(storage::host_role role) const {
  return m_impl->members(role);
}
std::uint64_t member_table::generation() const {
  return m_impl->generation();
}

}  // namespace cuminpath::membership
