// Chooses the peers to which a process sends heartbeats. Every process chooses from its own view of the
// fleet. The number of peers does not depend on the size of the fleet.
#pragma once

#include <string_view>
#include <vector>

#include "core/storage/host_list_client.h"

namespace cuminpath::membership {

using host_refs = std::vector<const storage::host_entry*>;

// Returns the peers of an entry. Within its availability zone, the entries form a ring ordered by the hashes
// of their names, and the entry chooses its successor, the second successor and the opposite entry. Of each
// other availability zone it chooses the entry with the highest rendezvous weight. The ring ensures that
// every entry is monitored by another one; the opposite entry and the entries of other availability zones
// keep the paths of events short.
host_refs entry_peers(std::string_view name, std::string_view availability_zone, const host_refs& others);

// Returns the peers of an agent: entries of its availability zone, followed by entries of other availability
// zones if there are too few.
host_refs agent_peers(std::string_view name, std::string_view availability_zone, const host_refs& entries);

// Sorts the entries for callers: those of the given availability zone come first. Within an availability zone
// each process has its own order, so that callers that use the first address are distributed over the
// entries.
void order_for_callers(std::string_view name, std::string_view availability_zone, host_refs& entries);

}  // namespace cuminpath::membership
