// The HTTP pages that an entry serves on its admin address.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/entry/entry_core.h"
#include "core/http/message.h"
#include "core/telemetry/metrics.h"
#include "core/telemetry/timeline.h"
#include "core/transport/mailbox.h"

namespace cuminpath::entry {

struct admin_view {
  const std::string& name;
  const std::string& operator_key_sha256;
  const entry_core& core;
  const telemetry::metrics& metrics;
  const telemetry::timeline& timeline;
  transport::mailbox_counters links;
  bool hosts_known = false;  // Without the host list, no agent can be reached.
  bool draining = false;
  std::size_t known_entries = 0;
  std::function<void()> drain;
};

http::response respond_to_operator(const http::request& request, const admin_view& view);

}  // namespace cuminpath::entry
