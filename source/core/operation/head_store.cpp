#include "core/operation/head_store.h"

#include <algorithm>
#include <map>

#include "core/config/manifest_parser.h"
#include "core/rollout/rollout.h"

namespace cuminpath::operation {
namespace {

constexpr const char* k_table = "configuration";
constexpr std::size_t k_max_requests_in_flight = 16;
constexpr int k_max_history_attempts = 3;
constexpr milliseconds k_retry_pause{200};

std::string history_key(configuration_version version) {
  return "history/" + std::to_string(to_integer(version));
}

std::string get_string(const json& value, const char* key) {
  const auto found = value.find(key);
  return found != value.end() && found->is_string() ? found->get<std::string>() : std::string();
}

result<std::optional<storage::row>> read_row(platform_session& session, const std::string& key) {
  return session.wait<std::optional<storage::row>>(
      [&](auto done) { session.table.read(k_table, key, std::move(done)); });
}

}  // namespace

json to_json(const head_entry& value) {
  return {{"version", to_integer(value.version)},
          {"index", value.index_digest},
          {"base", to_integer(value.base)},
          {"token", value.token},
          {"time", value.time},
          {"operator", value.operator_name}};
}

result<head_entry> parse_head_entry(const json& value) {
  const auto head = rollout::parse_head(value);
  if (!head) {
    return head.error();
  }
  const auto base = value.find("base");
  const bool has_base = base != value.end() && base->is_number_unsigned();
  return head_entry{head.value().version,
                    head.value().index_digest,
                    configuration_version{has_base ? base->get<std::uint64_t>() : 0},
                    get_string(value, "token"),
                    get_string(value, "time"),
                    get_string(value, "operator")};
}

result<std::optional<stored_head>> read_head(platform_session& session) {
  auto row = read_row(session, "head");
  if (!row) {
    return row.error();
  }
  if (!row.value()) {
    return std::optional<stored_head>();
  }
  auto entry = parse_head_entry(row.value()->value);
  if (!entry) {
    return entry.error();
  }
  return std::optional<stored_head>(stored_head{std::move(entry.value()), row.value()->version});
}

result<std::optional<head_entry>> read_history(platform_session& session, configuration_version version) {
  auto row = read_row(session, history_key(version));
  if (!row) {
    return row.error();
  }
  if (!row.value()) {
    return std::optional<head_entry>();
  }
  auto entry = parse_head_entry(row.value()->value);
  if (!entry) {
    return entry.error();
  }
  return std::optional<head_entry>(std::move(entry.value()));
}

result<std::vector<head_entry>> read_recent_history(platform_session& session, configuration_version newest,
                                                    std::size_t limit) {
  std::vector<head_entry> entries;
  for (std::uint64_t version = to_integer(newest); version > 0 && entries.size() < limit; --version) {
    auto entry = read_history(session, configuration_version{version});
    if (!entry) {
      return entry.error();
    }
    if (!entry.value()) {
      break;
    }
    entries.push_back(std::move(*entry.value()));
  }
  return entries;
}

result<void> write_history(platform_session& session, const head_entry& entry) {
  std::optional<error> failure;
  for (int i = 0; i < k_max_history_attempts; ++i) {
    const auto written = session.wait<storage::write_outcome>([&](auto done) {
      session.table.write(k_table, history_key(entry.version), to_json(entry), 0, std::move(done));
    });
    if (written) {
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    failure = written.error();
    session.pause(k_retry_pause);
  }
  return *failure;
}

result<config::manifest> fetch_manifest(platform_session& session, const std::string& index_digest) {
  const auto fetch = [&session](const std::string& digest, std::function<void(result<std::string>)> done) {
    session.objects.fetch(digest, std::move(done));
  };
  const auto index = session.wait<std::string>([&](auto done) { fetch(index_digest, std::move(done)); });
  if (!index) {
    return index.error();
  }
  const auto digests = config::referenced_digests(index.value());
  if (!digests) {
    return digests.error();
  }
  std::map<std::string, std::string> contents;
  std::optional<error> failure;
  session.wait_for_all(digests.value().size(), k_max_requests_in_flight, [&](std::size_t i, auto done) {
    const std::string& digest = digests.value()[i];
    fetch(digest, [&contents, &failure, &digest, done](result<std::string> content) {
      if (content) {
        contents.emplace(digest, std::move(content.value()));
      } else {
        failure = content.error();
      }
      done();
    });
  });
  if (failure) {
    return *failure;
  }
  return config::join_sections(index.value(), contents);
}

}  // namespace cuminpath::operation
