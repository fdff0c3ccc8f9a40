// Which processes live, are suspected or are leaving, from the platform's host list and from heartbeats.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/storage/host_list_client.h"
#include "core/wire/messages.h"

namespace cuminpath::membership {

struct member_options {
  std::string name;  // Host name of this process.
  storage::host_role role = storage::host_role::entry;
  std::string availability_zone;
  incarnation number{};
  std::string address = {};  // Of this process for callers; entries only. Announced before it is listed.
};

// A heartbeat goes to each peer of a process once in this interval, and each is answered.
constexpr milliseconds k_heartbeat_interval{1000};
// Section 7 of the design: silence for this long makes a peer suspected.
constexpr milliseconds k_suspicion_timeout{2000};
// Entries send to three entries of their availability zone and one of each other one, agents to two entries.
constexpr std::size_t k_zone_peers = 3;
constexpr std::size_t k_max_other_zones = 16;
constexpr std::size_t k_agent_peers = 2;
// Events in one heartbeat.
constexpr std::size_t k_max_events = 8;

struct send_heartbeat {
  std::string peer_address;
  wire::heartbeat message;
};

struct entry_address {
  std::string address;
  std::string availability_zone;
};

// An entry heartbeats a bounded number of peers, which answer, and suspects those that do not. It tells them
// of changes, which they pass on. What it hears from a process itself outranks what others say about it, and
// a suspicion that nobody renews ends by itself.
//
// The host list lags. A host in it that is dead is suspected; one that is alive but not listed yet is
// remembered by its peer address, so that it counts as alive as soon as it is listed. A host that has left
// the list stays known while it sends messages.
class member_table {
public:
  explicit member_table(member_options options);
  ~member_table();
  member_table(member_table&&) noexcept;
  member_table& operator=(member_table&&) noexcept;

  void on_host_list(time_point now, const storage::host_list& hosts);
  // Any message shows that its sender is alive.
  void on_message(time_point now, std::string_view peer_address, incarnation number);
  void on_heartbeat(time_point now, std::string_view peer_address, incarnation number,
                    const wire::heartbeat& message);
  void on_link_lost(time_point now, std::string_view peer_address);

  // Appends the heartbeats that are due: a bounded number each interval, however large the fleet.
  void tick(time_point now, random_source& random, std::vector<send_heartbeat>& heartbeats);

  // This process starts to leave: it says so in its heartbeats.
  void leave(time_point now);

  // Addresses for callers: own availability zone first, none that is leaving or suspected, at most `limit`.
  [[nodiscard]] std::vector<entry_address> entries_for_callers(std::size_t limit) const;
  // Names of the entries of the own availability zone that callers may be sent to.
  [[nodiscard]] std::vector<std::string> live_zone_entries() const;
  // The host of an agent or entry, if it is known and not leaving. Suspected hosts are included: routing
  // suspects the upstreams that it uses itself.
  [[nodiscard]] std::optional<storage::host_entry> find(std::string_view host) const;
  [[nodiscard]] std::vector<storage::host_entry> members(storage::host_role role) const;
  // Changes whenever find() or members() would give another answer.
  [[nodiscard]] std::uint64_t generation() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::membership
