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
#include "core/platform/host_list_client.h"
#include "core/wire/messages.h"

namespace cuminpath::membership {

struct member_options {
  std::string name;  // Host name of this process.
  platform::host_role role = platform::host_role::entry;
  std::string availability_zone;
  incarnation number{};
};

struct send_heartbeat {
  std::string peer_address;
  wire::heartbeat message;
};

struct entry_address {
  std::string address;
  std::string availability_zone;
};

class member_table {
public:
  explicit member_table(member_options options);
  ~member_table();
  member_table(member_table&&) noexcept;
  member_table& operator=(member_table&&) noexcept;

  void on_host_list(time_point now, const platform::host_list& hosts);
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
  // The host of an agent or entry, if it is known and not leaving.
  [[nodiscard]] std::optional<platform::host_entry> find(std::string_view host) const;
  [[nodiscard]] std::vector<platform::host_entry> members(platform::host_role role) const;
  // Changes whenever find() or members() would give another answer.
  [[nodiscard]] std::uint64_t generation() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::membership
