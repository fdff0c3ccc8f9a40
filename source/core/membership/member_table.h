// Tracks which processes are alive, suspected or leaving, from the platform's host list and from heartbeats.
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
  std::string name;  // Host name of the local process.
  storage::host_role role = storage::host_role::entry;
  std::string availability_zone;
  incarnation local_incarnation{};
  // The address of the local process for callers; only for entries. It is announced to callers before the
  // host list includes it.
  std::string address = {};
};

// The interval at which a process sends a heartbeat to each of its peers. Each heartbeat is answered.
constexpr milliseconds k_heartbeat_interval{1000};
// A peer from which no message arrives for this time is suspected (section 7 of the design).
constexpr milliseconds k_suspicion_timeout{2000};
// Entries send heartbeats to three entries of their availability zone and to one entry of each other
// availability zone; agents send them to two entries.
constexpr std::size_t k_local_availability_zone_peers = 3;
constexpr std::size_t k_max_other_availability_zones = 16;
constexpr std::size_t k_agent_peers = 2;
// The maximum number of events in one heartbeat.
constexpr std::size_t k_max_events = 8;

struct send_heartbeat {
  std::string peer_address;
  wire::heartbeat message;
};

struct entry_address {
  std::string address;
  std::string availability_zone;
};

// The table of all known members. An entry sends heartbeats to a bounded number of peers, which answer, and
// suspects those that do not. It reports changes to them, and they forward the changes. Messages received
// directly from a process take precedence over what others report about it, and a suspicion that no process
// renews expires.
//
// The host list lags behind. A listed host that has failed is suspected. A host that is alive but not listed
// yet is recorded by its peer address, so that it counts as alive as soon as it is listed. A host that is no
// longer listed remains a member while it sends messages.
class member_table {
public:
  explicit member_table(member_options options);
  ~member_table();
  member_table(member_table&&) noexcept;
  member_table& operator=(member_table&&) noexcept;

  void on_host_list(time_point now, const storage::host_list& hosts);
  // Records a message of any kind, which shows that its sender is alive.
  void on_message(time_point now, std::string_view peer_address, incarnation sender_incarnation);
  void on_heartbeat(time_point now, std::string_view peer_address, incarnation sender_incarnation,
                    const wire::heartbeat& message);
  void on_link_lost(time_point now, std::string_view peer_address);

  // Appends the heartbeats that are due. Their number in each interval is bounded and does not depend on the
  // size of the fleet.
  void tick(time_point now, random_source& random, std::vector<send_heartbeat>& heartbeats);

  // Starts the leaving of the local process, which announces it in its heartbeats.
  void leave(time_point now);

  // Returns at most `limit` entry addresses for callers, with the local availability zone first and without
  // entries that are leaving or suspected.
  [[nodiscard]] std::vector<entry_address> entries_for_callers(std::size_t limit) const;
  // Returns the names of the entries of the local availability zone that callers may use.
  [[nodiscard]] std::vector<std::string> alive_local_entries() const;
  // Returns the host of an agent or entry, if it is known and not leaving. Suspected hosts are included,
  // because routing detects failures of its upstreams itself.
  [[nodiscard]] std::optional<storage::host_entry> find(std::string_view host) const;
  [[nodiscard]] std::vector<storage::host_entry> members(storage::host_role role) const;
  // Returns a number that changes whenever the results of find() or members() change.
  [[nodiscard]] std::uint64_t generation() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::membership
