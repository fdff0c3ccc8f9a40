// Brings a manifest to the platform as the next version of the configuration.
#pragma once

#include <optional>
#include <string>

#include "core/config/manifest.h"
#include "core/operation/head_store.h"

namespace cuminpath::operation {

struct apply_request {
  config::manifest manifest;
  std::optional<configuration_version> based_on;  // Absent: the current version at the start.
  std::string operator_name;
};

enum class apply_outcome : std::uint8_t {
  applied,
  unchanged,    // The current version has the same content; nothing was written.
  conflict,     // Another version is current; nothing changed.
  unreachable,  // Nothing changed.
  unknown,      // The response to the write was lost and the table does not answer; see `entry.token`.
  refused,      // The platform sent something unusable; nothing changed.
};

struct apply_report {
  apply_outcome outcome = apply_outcome::refused;
  head_entry entry;    // Of the version in force (applied, unchanged, conflict) or tried (unknown).
  std::string detail;  // For operators.
};

apply_report apply(session& on, const apply_request& request);

}  // namespace cuminpath::operation
