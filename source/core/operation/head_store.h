// The head row, its history and the sections of the configuration on the platform.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/common/ids.h"
#include "core/common/json.h"
#include "core/config/manifest.h"
#include "core/operation/session.h"

namespace cuminpath::operation {

// Value of row `head`, and of row `history/N` for the version N.
struct head_entry {
  configuration_version version{};
  std::string index_digest;
  configuration_version base{};
  std::string token;  // Random; tells whose write took effect when a response is lost.
  std::string time;   // UTC, ISO 8601, by the clock of the operator's machine.
  std::string operator_name;
};

json to_json(const head_entry& value);
// Errors: invalid_input.
result<head_entry> parse_head_entry(const json& value);

struct stored_head {
  head_entry entry;
  std::uint64_t row_version = 0;
};

// Absent before the first apply. Errors: those of table_client, invalid_input.
result<std::optional<stored_head>> read_head(session& on);
result<std::optional<head_entry>> read_history(session& on, configuration_version version);
// The last entries, newest first, at most `limit`. Entries that are missing are left out.
result<std::vector<head_entry>> read_recent_history(session& on, configuration_version newest,
                                                    std::size_t limit);
// Adds the entry to the history unless it is there.
result<void> write_history(session& on, const head_entry& entry);

// Errors: those of object_client, invalid_input.
result<config::manifest> fetch_manifest(session& on, const std::string& index_digest);

}  // namespace cuminpath::operation
