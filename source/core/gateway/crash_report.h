// Message with which gateways tell each other which prompt parts were in flight when upstreams crashed.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/routing/prompt_quarantine.h"

namespace cuminpath::gateway {

struct crash_report {
  std::string sender;  // Name of the gateway.
  std::vector<routing::part_evidence> parts;
};

// Encodes a report as MessagePack; it fits into one datagram.
std::string encode_crash_report(const crash_report& report);
// Decodes a report. Errors: invalid_input for anything else, and for more parts or crashes than allowed.
result<crash_report> decode_crash_report(std::string_view bytes);

}  // namespace cuminpath::gateway
