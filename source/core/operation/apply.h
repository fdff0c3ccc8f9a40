// Writes a manifest to the platform as the next version of the configuration.
#pragma once

#include <optional>
#include <string>

#include "core/config/manifest.h"
#include "core/operation/head_store.h"

namespace cuminpath::operation {

struct apply_request {
  config::manifest manifest;
  std::optional<configuration_version> based_on;  // If absent, the version that is current at the start.
  std::string operator_name;
};

enum class apply_outcome : std::uint8_t {
  applied,
  unchanged,    // The current version has the same content; nothing was written.
  conflict,     // Another version than the base is current; nothing was changed.
  unreachable,  // The platform cannot be reached; nothing was changed.
  unknown,      // The response to the write was lost and the table does not respond; see `entry.token`.
  refused,      // The platform sent an unusable response; nothing was changed.
};

struct apply_report {
  apply_outcome outcome = apply_outcome::refused;
  head_entry entry;    // The current version (applied, unchanged, conflict) or the attempted one (unknown).
  std::string detail;  // Message for the operator.
};

// Applies the manifest of the request and reports the result.
apply_report apply(platform_session& session, const apply_request& request);

}  // namespace cuminpath::operation
