// Which peers a process sends heartbeats to. Every process chooses from its own view of the fleet; the number
// does not depend on the size of the fleet.
#pragma once

#include <string_view>
#include <vector>

#include "core/storage/host_list_client.h"

namespace cuminpath::membership {

using host_refs = std::vector<const storage::host_entry*>;

// Peers of an entry: on the ring of its availability zone, in the order of hashed names, the next, the second
// next and the opposite entry; of each other availability zone the one of the highest rendezvous weight. The
// ring gives every entry someone who watches it, the other two kinds keep the paths of events short.
host_refs entry_peers(std::string_view name, std::string_view zone, const host_refs& others);

// Peers of an agent: entries of its availability zone, or of any if there are none.
host_refs agent_peers(std::string_view name, std::string_view zone, const host_refs& entries);

// Own availability zone first. Within a zone each process has an order of its own, so that callers that use
// the first address spread over the entries.
void order_for_callers(std::string_view name, std::string_view zone, host_refs& entries);

}  // namespace cuminpath::membership
