#include "core/agent/group_record.h"

#include <utility>

namespace cuminpath::agent {
namespace {

constexpr std::string_view k_table = "groups";
constexpr milliseconds k_record_retry_interval{1000};

std::uint64_t read_unsigned(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::string read_string(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

group_record::group_record(storage::table_client& table, std::string group, std::string writer)
    : m_table(table), m_group(std::move(group)), m_writer(std::move(writer)) {}

group_record::content group_record::parse_content(const std::optional<storage::row>& value) {
  content found;
  if (value) {
    found.version = value->version;
    if (value->value.is_object()) {
      found.fencing = read_unsigned(value->value, "fencing");
      found.digest = read_string(value->value, "digest");
      found.writer = read_string(value->value, "writer");
    }
  }
  return found;
}

void group_record::read(std::function<void(const content*)> done) {
  m_table.read(k_table, m_group, [done = std::move(done)](const result<std::optional<storage::row>>& row) {
    if (!row) {
      done(nullptr);
      return;
    }
    const auto found = parse_content(row.value());
    done(&found);
  });
}

void group_record::acquire(std::function<void(fencing_token)> done) {
  if (m_acquiring) {
    return;
  }
  m_acquiring = true;
  read([this, done = std::move(done)](const content* found) {
    if (found == nullptr) {
      m_acquiring = false;
      return;
    }
    if (found->writer == m_writer) {  // The response to an earlier write was lost.
      m_acquiring = false;
      done(fencing_token{found->fencing});
      return;
    }
    const auto token = found->fencing + 1;
    m_table.write(k_table, m_group, {{"fencing", token}, {"digest", found->digest}, {"writer", m_writer}},
                  found->version, [this, token, done](const result<storage::write_outcome>& outcome) {
                    m_acquiring = false;
                    if (outcome && outcome.value().applied) {
                      done(fencing_token{token});
                    }
                  });
  });
}

void group_record::read_token(std::function<void(std::optional<fencing_token>)> done) {
  read([done = std::move(done)](const content* found) {
    done(found == nullptr ? std::nullopt : std::optional(fencing_token{found->fencing}));
  });
}

void group_record::record_digest(fencing_token token, std::string digest) {
  m_pending_digest = pending_digest{token, std::move(digest)};
  write_digest();
}

void group_record::tick(time_point now) {
  if (m_pending_digest && now >= m_next_digest_write) {
    m_next_digest_write = now + k_record_retry_interval;
    write_digest();
  }
}

void group_record::write_digest() {
  if (m_writing_digest) {
    return;
  }
  m_writing_digest = true;
  const auto wanted = *m_pending_digest;
  read([this, wanted](const content* found) {
    if (found == nullptr) {
      m_writing_digest = false;
      return;
    }
    if (found->fencing != to_integer(wanted.token) || found->writer != m_writer) {
      m_writing_digest = false;  // Another coordinator has taken over the group and owns the row.
      m_pending_digest.reset();
      return;
    }
    m_table.write(k_table, m_group,
                  {{"fencing", found->fencing}, {"digest", wanted.digest}, {"writer", m_writer}},
                  found->version, [this, wanted](const result<storage::write_outcome>& outcome) {
                    m_writing_digest = false;
                    // After a conflict or an error the next tick reads the row again and retries the write.
                    if (outcome && outcome.value().applied && m_pending_digest &&
                        m_pending_digest->digest == wanted.digest) {
                      m_pending_digest.reset();
                    }
                  });
  });
}

}  // namespace cuminpath::agent
