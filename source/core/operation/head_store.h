// Reads and writes the head row, its history and the sections of the configuration on the platform.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/common/ids.h"
#include "core/common/json.h"
#include "core/config/manifest.h"
#include "core/operation/platform_session.h"

namespace cuminpath::operation {

// Value of the row `head`, and of the row `history/N` for version N.
struct head_entry {
  configuration_version version{};
  std::string index_digest;
  configuration_version base{};
  std::string token;  // Random; identifies the write that took effect when a response is lost.
  std::string time;   // UTC, ISO 8601, by the clock of the host on which the command ran.
  std::string operator_name;
};

json to_json(const head_entry& value);
// Parses the value of a head or history row. Errors: invalid_input.
result<head_entry> parse_head_entry(const json& value);

// The head entry and the version of its row, on which a conditional write is based.
struct stored_head {
  head_entry entry;
  std::uint64_t row_version = 0;
};

// Reads the head row; absent before the first apply. Errors: those of table_client, invalid_input.
result<std::optional<stored_head>> read_head(platform_session& session);
// Reads the history entry of a version; absent if there is none. Errors: as for read_head().
result<std::optional<head_entry>> read_history(platform_session& session, configuration_version version);
// Reads the history from `newest` backwards, at most `limit` entries. Stops at the first missing entry.
result<std::vector<head_entry>> read_recent_history(platform_session& session, configuration_version newest,
                                                    std::size_t limit);
// Adds the entry to the history unless the history already has one for its version.
result<void> write_history(platform_session& session, const head_entry& entry);

// Fetches the index and its sections and joins them. Errors: those of object_client, invalid_input.
result<config::manifest> fetch_manifest(platform_session& session, const std::string& index_digest);

}  // namespace cuminpath::operation
