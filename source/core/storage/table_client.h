// Client of the platform's transactional table service. Callbacks run on the io_context.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/common/json.h"
#include "core/common/time.h"
#include "core/http/client.h"

namespace cuminpath::storage {

struct row {
  std::string key;
  std::uint64_t version = 0;
  json value;
};

struct write_outcome {
  bool applied = false;       // False if the condition did not hold; nothing was written then.
  std::uint64_t version = 0;  // Version after the write, or the current version if the condition failed.
  json current;               // Current value if the condition failed; null if there is no row.
};

class table_client {
public:
  table_client(http::client& client, std::string base_url, milliseconds timeout = milliseconds(2000));

  // Reads a row; the result is empty if there is no such row. Errors: unreachable, timed_out, internal.
  void read(std::string_view table, std::string_view key,
            std::function<void(result<std::optional<row>>)> done);

  // Writes the row if its version is `if_version` (0: if there is no row). After the errors timed_out and
  // unreachable the write may have taken effect. The caller can tell by a unique token that it puts into
  // the value.
  void write(std::string_view table, std::string_view key, json value, std::uint64_t if_version,
             std::function<void(result<write_outcome>)> done);

  // Lists the rows whose keys start with the prefix, in the order of their keys, up to the limit.
  void list(std::string_view table, std::string_view prefix, std::uint32_t limit,
            std::function<void(result<std::vector<row>>)> done);

  // Deletes a row. An absent row is not an error.
  void remove(std::string_view table, std::string_view key, std::function<void(result<void>)> done);

private:
  http::client& m_client;
  std::string m_base_url;
  milliseconds m_timeout;
};

}  // namespace cuminpath::storage
