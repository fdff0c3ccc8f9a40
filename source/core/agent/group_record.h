// Access to the row of an engine group in the platform's table `groups`:
// {"fencing":N,"digest":D,"writer":W}.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/storage/table_client.h"

namespace cuminpath::agent {

// Reads and writes the row of one group. Must outlive its pending calls.
class group_record {
public:
  // `writer` must be unique for each start of a process. It shows whether a write whose response was lost has
  // taken effect.
  group_record(storage::table_client& table, std::string group, std::string writer);

  // Raises the fencing token with a compare-and-set. Calls `done` with the token only if this succeeds.
  // Ignored while an earlier call is pending.
  void acquire(std::function<void(fencing_token)> done);
  // Reads the group's token: 0 if there is no row, absent if the table could not be read.
  void read_token(std::function<void(std::optional<fencing_token>)> done);
  // Writes the digest to the row if `token` is still the group's token. tick() retries until the table has
  // responded.
  void record_digest(fencing_token token, std::string digest);
  void tick(time_point now);

private:
  struct content {
    std::uint64_t version = 0;
    std::uint64_t fencing = 0;
    std::string digest;
    std::string writer;
  };
  struct pending_digest {
    fencing_token token{};
    std::string digest;
  };

  static content parse_content(const std::optional<storage::row>& value);
  void read(std::function<void(const content*)> done);
  void write_digest();

  storage::table_client& m_table;
  std::string m_group;
  std::string m_writer;
  bool m_acquiring = false;
  bool m_writing_digest = false;
  std::optional<pending_digest> m_pending_digest;
  time_point m_next_digest_write{};
};

}  // namespace cuminpath::agent
