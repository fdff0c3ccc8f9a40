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

// A suspicion that is not renewed expires after this time. Processes that detect the missing messages
// themselves renew it at a shorter interval.
constexpr seconds k_suspicion_lifetime{10};
constexpr seconds k_renewal_interval{4};
// After the recovery of a process, suspicions that are still in transit are ignored for this time. An event
// is forwarded for at most two rounds at each hop, and it takes three to four hops in a fleet of 1,200
// members.
constexpr seconds k_trust_after_recovery{4};
// An unlisted host from which no message arrives for this time is removed.
constexpr seconds k_unlisted_lifetime{30};
constexpr std::size_t k_max_unlisted_peers = 1024;
// Limits the answers, in each answer interval, to processes that are not heartbeat peers of the local
// process. About 13 processes choose the local process as a peer. An entry is also chosen by the agents of
// about ten hosts, counted twice because each agent chooses two entries.
constexpr std::size_t k_max_pending_answers = 64;
constexpr milliseconds k_answer_interval = k_heartbeat_interval / 2;
// A replica of the list service may lag behind another one. A list with an older generation is applied only
// if no newer one has arrived for this time, as happens when the service restarts and counts from 1 again.
constexpr seconds k_older_list_delay{60};
// After a longer suspension of the local process, missing messages do not indicate that its peers failed.
constexpr milliseconds k_suspension_threshold{500};

}  // namespace

class member_table::impl {
public:
  explicit impl(member_options options) : m_options(std::move(options)) {}

  void on_host_list(time_point now, const storage::host_list& hosts) {
    // An empty list must be wrong, because the local process runs on a host.
    const bool older = hosts.generation < m_list_generation && now < m_last_list_at + k_older_list_delay;
    if (hosts.hosts.empty() || older) {
      return;
    }
    m_list_generation = hosts.generation;
    m_last_list_at = now;
    std::unordered_set<std::string_view> listed;
    bool changed = false;
    for (const auto& host : hosts.hosts) {
      listed.insert(host.name);
      changed = update_member(now, host) || changed;
    }
    for (auto& [name, value] : m_members) {
      value.listed = listed.contains(name);
    }
    const auto dropped = std::erase_if(m_members, [&](const auto& item) {
      const auto& value = item.second;
      const bool expired = !value.listed && now - value.last_message > k_suspicion_timeout;
      if (expired) {
        remove_address(value);
      }
      return expired;
    });
    if (changed || dropped > 0) {
      on_members_changed();
    }
  }

  void on_message(time_point now, std::string_view peer_address, incarnation sender_incarnation) {
    auto* value = find_by_address(peer_address);
    if (value == nullptr) {
      record_unlisted_peer(now, peer_address, sender_incarnation);
      return;
    }
    value->last_message = now;
    value->message_received = true;
    if (value->current_incarnation != sender_incarnation) {
      const bool known = value->current_incarnation != incarnation{};
      set_incarnation(*value, sender_incarnation);
      if (known) {
        announce(*value, wire::member_state::alive);
      }
    }
    if (value->suspected_until != time_point{}) {
      end_suspicion(*value);
      announce(*value, wire::member_state::alive);
    }
  }

  void on_heartbeat(time_point now, std::string_view peer_address, incarnation sender_incarnation,
                    const wire::heartbeat& message) {
    on_message(now, peer_address, sender_incarnation);
    if (auto* value = find_by_address(peer_address);
        value != nullptr && message.leaving && !value->announced_leaving) {
      set_announced_leaving(*value);
      announce(*value, wire::member_state::leaving);
    }
    std::size_t events = 0;
    for (const auto& event : message.events) {
      if (++events > k_max_events) {
        break;
      }
      on_member_event(now, event);
    }
    schedule_answer(now, peer_address);
  }

  void on_link_lost(time_point now, std::string_view peer_address) {
    // The peer may only have closed an idle link, so half of the suspicion timeout remains for it to send a
    // message.
    if (auto* value = find_by_address(peer_address)) {
      value->last_message = std::min(value->last_message, now - k_suspicion_timeout / 2);
    }
  }

  void tick(time_point now, random_source& random, std::vector<send_heartbeat>& heartbeats) {
    if (m_last_tick == time_point{}) {
      m_next_heartbeat_round = now + milliseconds(random_index(random, k_heartbeat_interval.count()));
    } else if (now - m_last_tick > k_suspension_threshold) {
      restart_peer_timeouts(now);
    }
    m_last_tick = now;
    if (m_heartbeat_peers_stale) {
      choose_heartbeat_peers(now);
    }
    suspect_unresponsive_peers(now);
    expire_suspicions(now);
    expire_unlisted_peers(now);
    for (auto& [peer, last_answer] : m_answer_times) {
      if (last_answer == time_point{}) {
        last_answer = now;
        heartbeats.push_back({peer, next_heartbeat()});
      }
    }
    std::erase_if(m_answer_times, [now](const auto& item) { return now - item.second >= k_answer_interval; });
    if (now >= m_next_heartbeat_round) {
      m_next_heartbeat_round = now + k_heartbeat_interval;
      for (const auto& [address, name] : m_heartbeat_peers) {
        heartbeats.push_back({address, next_heartbeat()});
      }
    }
  }

  void leave(time_point now) {
    m_leaving = true;
    m_caller_entries_stale = true;
    m_next_heartbeat_round = now;  // Notifies the peers at once.
    m_events.add({.name = m_options.name,
                  .incarnation_number = m_options.local_incarnation,
                  .state = wire::member_state::leaving});
  }

  std::vector<entry_address> entries_for_callers(std::size_t limit) {
    if (m_caller_entries_stale) {
      collect_caller_entries();
    }
    const auto count = std::min(limit, m_caller_entries.size());
    return {m_caller_entries.begin(), m_caller_entries.begin() + static_cast<std::ptrdiff_t>(count)};
  }

  const std::vector<std::string>& alive_local_entries() {
    if (m_caller_entries_stale) {
      collect_caller_entries();
    }
    return m_local_entry_names;
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
    bool announced_leaving = false;  // It has announced that it leaves, in its current incarnation.
    incarnation current_incarnation{};
    // Earlier incarnations. Events about them are out of date and ignored.
    std::array<incarnation, 4> retired_incarnations{};
    std::size_t next_retired_index = 0;
    time_point last_message{};  // Time of the last message, or the time from which the first one is expected.
    bool message_received = false;  // Whether a message has arrived directly from it.
    time_point suspected_until{};   // Default value: not suspected.
    time_point next_renewal{};
    time_point trusted_until{};  // Suspicions reported by others are ignored until then.

    [[nodiscard]] bool leaving() const { return announced_leaving || host.leaving; }
  };

  struct unlisted_peer {
    incarnation current_incarnation{};
    time_point last_message{};
  };

  // Returns true if the results of find() or members() change.
  bool update_member(time_point now, const storage::host_entry& host) {
    const auto [found, added] = m_members.try_emplace(host.name);
    auto& value = found->second;
    if (added) {
      value.last_message = now;
    } else if (same_host(value.host, host)) {
      return false;
    } else {
      remove_address(value);
      if (value.host.peer_address != host.peer_address) {
        // Another process has the same name.
        value = {};
        value.last_message = now;
      }
    }
    value.host = host;
    m_names_by_address[host.peer_address] = host.name;
    if (const auto known = m_unlisted_peers.find(host.peer_address); known != m_unlisted_peers.end()) {
      value.current_incarnation = known->second.current_incarnation;
      value.last_message = known->second.last_message;
      value.message_received = true;
      m_unlisted_peers.erase(known);
    }
    return true;
  }

  static bool same_host(const storage::host_entry& left, const storage::host_entry& right) {
    return left.role == right.role && left.availability_zone == right.availability_zone &&
           left.region == right.region && left.address == right.address &&
           left.peer_address == right.peer_address && left.admin_address == right.admin_address &&
           left.leaving == right.leaving;
  }

  member* find_by_address(std::string_view peer_address) {
    const auto found = m_names_by_address.find(std::string(peer_address));
    return found == m_names_by_address.end() ? nullptr : &m_members.at(found->second);
  }

  void remove_address(const member& value) {
    const auto found = m_names_by_address.find(value.host.peer_address);
    if (found != m_names_by_address.end() && found->second == value.host.name) {
      m_names_by_address.erase(found);
    }
  }

  void record_unlisted_peer(time_point now, std::string_view peer_address, incarnation sender_incarnation) {
    if (m_unlisted_peers.size() < k_max_unlisted_peers ||
        m_unlisted_peers.contains(std::string(peer_address))) {
      m_unlisted_peers[std::string(peer_address)] = {sender_incarnation, now};
    }
  }

  void on_members_changed() {
    ++m_generation;
    m_caller_entries_stale = true;
    m_heartbeat_peers_stale = true;
  }

  // --- State of a member ---

  void set_incarnation(member& value, incarnation new_incarnation) {
    if (value.current_incarnation != incarnation{}) {
      value.retired_incarnations[value.next_retired_index] = value.current_incarnation;
      value.next_retired_index = (value.next_retired_index + 1) % value.retired_incarnations.size();
    }
    value.current_incarnation = new_incarnation;
    if (value.announced_leaving) {
      value.announced_leaving = false;
      on_members_changed();
    }
  }

  void set_announced_leaving(member& value) {
    value.announced_leaving = true;
    on_members_changed();
  }

  void suspect(time_point now, member& value) {
    m_caller_entries_stale = m_caller_entries_stale || value.suspected_until == time_point{};
    value.suspected_until = now + k_suspicion_lifetime;
    m_suspected.insert(value.host.name);
  }

  void end_suspicion(member& value) {
    value.suspected_until = {};
    m_suspected.erase(value.host.name);
    m_caller_entries_stale = true;
  }

  void announce(const member& value, wire::member_state state) {
    m_events.add({.name = value.host.name, .incarnation_number = value.current_incarnation, .state = state});
  }

  // Schedules an answer to a heartbeat. Two processes that are not heartbeat peers of each other would answer
  // each other's answers forever; the minimum interval between answers prevents that.
  void schedule_answer(time_point now, std::string_view peer_address) {
    const std::string peer(peer_address);
    if (m_heartbeat_peers.contains(peer) || m_answer_times.size() >= k_max_pending_answers) {
      return;
    }
    const auto [found, added] = m_answer_times.try_emplace(peer);
    if (!added && now - found->second >= k_answer_interval) {
      found->second = {};
    }
  }

  // --- Events reported by others ---

  void on_member_event(time_point now, const wire::member_event& event) {
    if (event.name == m_options.name) {
      refute(event);
      return;
    }
    const auto found = m_members.find(event.name);
    if (found == m_members.end()) {
      return;
    }
    auto& value = found->second;
    const bool retired = std::find(value.retired_incarnations.begin(), value.retired_incarnations.end(),
                                   event.incarnation_number) != value.retired_incarnations.end();
    // The sender has not received a message from the member yet.
    const bool incarnation_unknown = event.incarnation_number == incarnation{};
    if (!incarnation_unknown && retired) {
      return;
    }
    const bool recently_received = value.message_received && now - value.last_message < k_suspicion_timeout;
    switch (event.state) {
      case wire::member_state::alive:
        on_alive(now, value, event, recently_received);
        break;
      case wire::member_state::suspected:
        on_suspected(now, value, event, recently_received);
        break;
      case wire::member_state::leaving:
        on_leaving(value, event, recently_received);
        break;
    }
  }

  // Notifies processes that suspect the local process that it is alive.
  void refute(const wire::member_event& event) {
    if (event.state == wire::member_state::suspected && !m_leaving) {
      m_events.add({.name = m_options.name,
                    .incarnation_number = m_options.local_incarnation,
                    .state = wire::member_state::alive});
    }
  }

  void on_alive(time_point now, member& value, const wire::member_event& event, bool recently_received) {
    bool is_new = false;
    if (value.current_incarnation != event.incarnation_number && !recently_received) {
      is_new = value.current_incarnation != incarnation{};
      set_incarnation(value, event.incarnation_number);
    }
    if (value.suspected_until != time_point{}) {
      end_suspicion(value);
      is_new = true;
    }
    if (is_new) {
      value.trusted_until = now + k_trust_after_recovery;
      m_events.add(event);
    }
  }

  void on_suspected(time_point now, member& value, const wire::member_event& event, bool recently_received) {
    if (recently_received) {
      announce(value, wire::member_state::alive);
      return;
    }
    if (value.current_incarnation == incarnation{}) {
      set_incarnation(value, event.incarnation_number);
    }
    const bool is_new = value.suspected_until < now + k_suspicion_lifetime / 2;
    if (is_new && now >= value.trusted_until) {
      suspect(now, value);
      m_events.add(event);
    }
  }

  void on_leaving(member& value, const wire::member_event& event, bool recently_received) {
    if (value.announced_leaving ||
        (recently_received && value.current_incarnation != event.incarnation_number)) {
      return;
    }
    if (value.current_incarnation != event.incarnation_number) {
      set_incarnation(value, event.incarnation_number);
    }
    set_announced_leaving(value);
    m_events.add(event);
  }

  // --- Periodic work in tick(). Its cost depends on the number of heartbeat peers and suspected members, not
  // on the size of the fleet. ---

  void restart_peer_timeouts(time_point now) {
    for (const auto& [address, name] : m_heartbeat_peers) {
      if (auto* value = find_by_address(address)) {
        value->last_message = std::max(value->last_message, now);
      }
    }
  }

  void choose_heartbeat_peers(time_point now) {
    m_heartbeat_peers_stale = false;
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
      if (!m_heartbeat_peers.contains(host->peer_address)) {
        auto& value = m_members.at(host->name);
        value.last_message = std::max(value.last_message, now);
      }
    }
    m_heartbeat_peers = std::move(chosen);
  }

  void suspect_unresponsive_peers(time_point now) {
    for (const auto& [address, name] : m_heartbeat_peers) {
      auto* value = find_by_address(address);
      if (value == nullptr || now - value->last_message < k_suspicion_timeout) {
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

  void expire_unlisted_peers(time_point now) {
    std::erase_if(m_unlisted_peers,
                  [now](const auto& item) { return now - item.second.last_message > k_unlisted_lifetime; });
  }

  wire::heartbeat next_heartbeat() { return {.leaving = m_leaving, .events = m_events.take(k_max_events)}; }

  void collect_caller_entries() {
    m_caller_entries_stale = false;
    std::vector<const storage::host_entry*> usable_entries;
    bool listed = false;
    for (const auto& [name, value] : m_members) {
      listed = listed || name == m_options.name;
      const bool alive = !value.leaving() && value.suspected_until == time_point{};
      const bool is_local = name == m_options.name;
      if (value.host.role == storage::host_role::entry &&
          (is_local ? !m_leaving && !value.host.leaving : alive)) {
        usable_entries.push_back(&value.host);
      }
    }
    storage::host_entry local_host{.name = m_options.name,
                                   .role = m_options.role,
                                   .availability_zone = m_options.availability_zone,
                                   .region = {},
                                   .address = m_options.address,
                                   .peer_address = {},
                                   .admin_address = {}};
    if (!listed && !m_leaving && !m_options.address.empty()) {
      usable_entries.push_back(&local_host);
    }
    order_for_callers(m_options.name, m_options.availability_zone, usable_entries);
    m_caller_entries.clear();
    m_local_entry_names.clear();
    for (const auto* host : usable_entries) {
      m_caller_entries.push_back({host->address, host->availability_zone});
      if (host->availability_zone == m_options.availability_zone) {
        m_local_entry_names.push_back(host->name);
      }
    }
  }

  member_options m_options;
  bool m_leaving = false;
  std::uint64_t m_generation = 0;
  std::uint64_t m_list_generation = 0;
  time_point m_last_list_at{};
  std::unordered_map<std::string, member> m_members;                // By name.
  std::unordered_map<std::string, std::string> m_names_by_address;  // Peer address to name.
  std::unordered_map<std::string, unlisted_peer> m_unlisted_peers;  // By peer address.
  std::map<std::string, std::string> m_heartbeat_peers;             // Peer address to name.
  std::unordered_set<std::string> m_suspected;                      // Names of suspected members.
  // Time of the last answer to each peer address. The default value means that an answer is due.
  std::unordered_map<std::string, time_point> m_answer_times;
  event_queue m_events;
  std::vector<entry_address> m_caller_entries;   // Sorted for callers.
  std::vector<std::string> m_local_entry_names;  // Names of those in the local availability zone.
  bool m_caller_entries_stale = true;
  bool m_heartbeat_peers_stale = true;
  time_point m_last_tick{};
  time_point m_next_heartbeat_round{};
};

member_table::member_table(member_options options) : m_impl(std::make_unique<impl>(std::move(options))) {}
member_table::~member_table() = default;
member_table::member_table(member_table&&) noexcept = default;
member_table& member_table::operator=(member_table&&) noexcept = default;

void member_table::on_host_list(time_point now, const storage::host_list& hosts) {
  m_impl->on_host_list(now, hosts);
}
void member_table::on_message(time_point now, std::string_view peer_address, incarnation sender_incarnation) {
  m_impl->on_message(now, peer_address, sender_incarnation);
}
void member_table::on_heartbeat(time_point now, std::string_view peer_address, incarnation sender_incarnation,
                                const wire::heartbeat& message) {
  m_impl->on_heartbeat(now, peer_address, sender_incarnation, message);
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
std::vector<std::string> member_table::alive_local_entries() const {
  return m_impl->alive_local_entries();
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
