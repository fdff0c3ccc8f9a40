// The process of an entry: connects entry_core to sockets, timers and signals.
#pragma once

#include "core/config/settings.h"

namespace cuminpath::entry {

// Runs the entry until a drain is complete. SIGTERM, SIGINT and POST /drain start a drain. SIGINT after
// either signal ends the process at once with exit code 1; a repeated SIGTERM changes nothing, and SIGHUP
// reloads nothing. Returns the exit code: 0 after a drain, 1 if an address cannot be bound.
int run(const config::daemon_settings& settings);

}  // namespace cuminpath::entry
