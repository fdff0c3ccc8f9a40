// The row of an engine group in the platform's table `groups`: {"fencing":N,"digest":D,"writer":W}.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/storage/table_client.h"

namespace cuminpath::agent {

// Must outlive the calls that it has made.
class group_record {
public:
  // `writer` is unique for each start of a process. It tells whether a write whose response was lost has
  // taken effect.
  group_record(storage::table_client& table, std::string group, std::string writer);

  // Raises the fencing token by compare-and-set. `done` is called with the token if that succeeded, and not
  // at all otherwise. Ignored while a call is under way.
  void acquire(std::function<void(fencing_token)> done);
  // The group's token, 0 if there is no row. Absent if the table could not be read.
  void read_token(std::function<void(std::optional<fencing_token>)> done);
  // Keeps the digest in the row as long as the token is still the group's. Repeated by tick() until the table
  // has responded.
  void record_digest(fencing_token token, std::string digest);
  void tick(time_point now);

private:
  struct content {
    std::uint64_t version = 0;
    std::uint64_t fencing = 0;
    std::string digest;
    std::string writer;
  };
  struct unrecorded {
    fencing_token token{};
    std::string digest;
  };

  static content to_content(const std::optional<storage::row>& value);
  void read(std::function<void(const content*)> done);
  void write_digest();

  storage::table_client& m_table;
  std::string m_group;
  std::string m_writer;
  bool m_acquiring = false;
  bool m_recording = false;
  std::optional<unrecorded> m_unrecorded;
  time_point m_next_record{};
};

}  // namespace cuminpath::agent
