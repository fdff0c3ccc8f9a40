#include "core/operation/apply.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <set>

#include "core/common/hash.h"
#include "core/config/manifest_parser.h"

namespace cuminpath::operation {
namespace {

constexpr const char* k_table = "configuration";
constexpr std::size_t k_max_requests_in_flight = 16;
constexpr int k_max_object_attempts = 3;
// With pauses of 200 ms to 1.6 s and 2 s for each attempt, an apply survives a table outage of about 15 s.
constexpr int k_max_write_attempts = 5;
constexpr milliseconds k_base_pause{200};
constexpr std::uint64_t k_max_history_entries = 1000;

std::string utc_now() {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(std::chrono::system_clock::now())));
}

// Returns the digests of the sections of the current version, which need not be stored again. Empty if its
// index cannot be read.
std::set<std::string> stored_digests(platform_session& session, const std::optional<stored_head>& current) {
  if (!current) {
    return {};
  }
  const auto index = session.wait<std::string>(
      [&](auto done) { session.objects.fetch(current->entry.index_digest, std::move(done)); });
  if (!index) {
    return {};
  }
  const auto digests = config::referenced_digests(index.value());
  return digests ? std::set<std::string>(digests.value().begin(), digests.value().end())
                 : std::set<std::string>();
}

// Stores all contents once, and leaves those that failed in `contents`. Returns the last error.
std::optional<error> store_once(platform_session& session, std::vector<std::string>& contents) {
  std::vector<std::string> failed;
  std::optional<error> failure;
  session.wait_for_all(contents.size(), k_max_requests_in_flight, [&](std::size_t i, auto done) {
    session.objects.put(contents[i], [&, i, done](const result<void>& stored) {
      if (!stored) {
        failed.push_back(contents[i]);
        failure = stored.error();
      }
      done();
    });
  });
  contents = std::move(failed);
  return failure;
}

// Stores the index and the new sections, so that all objects exist before the head row refers to them.
std::optional<error> store_sections(platform_session& session, const config::sections& parts,
                                    const std::optional<stored_head>& current) {
  const std::set<std::string> stored = stored_digests(session, current);
  std::vector<std::string> contents{parts.index};
  for (const auto& [digest, content] : parts.contents) {
    if (!stored.contains(digest)) {
      contents.push_back(content);
    }
  }
  std::optional<error> failure;
  for (int i = 0; i < k_max_object_attempts; ++i) {
    failure = store_once(session, contents);
    if (!failure) {
      return std::nullopt;
    }
    session.pause(k_base_pause);
  }
  return failure;
}

apply_report make_conflict_report(const head_entry& current, configuration_version base) {
  return {apply_outcome::conflict, current,
          fmt::format("the change is based on version {}, but version {} is current (by {} at {})",
                      to_integer(base), to_integer(current.version), current.operator_name, current.time)};
}

// Decides whether an earlier attempt of the write took effect, after the head row was found with another row
// version than the write expected. The history entry of a version is written before its successor, so the
// history has the entry of `attempted` if a later version is current.
apply_report resolve_lost_response(platform_session& session, const head_entry& attempted,
                                   const json& current_row) {
  const auto current = parse_head_entry(current_row);
  if (!current) {
    return {apply_outcome::refused, attempted, "cannot read the head row: " + current.error().message};
  }
  if (current.value().token == attempted.token) {
    return {apply_outcome::applied, attempted, ""};
  }
  if (current.value().version > attempted.version) {
    const auto recorded = read_history(session, attempted.version);
    if (!recorded) {
      return {apply_outcome::unknown, attempted, recorded.error().message};
    }
    if (recorded.value() && recorded.value()->token == attempted.token) {
      return {apply_outcome::applied, attempted, "a later version is already current"};
    }
  }
  return make_conflict_report(current.value(), attempted.base);
}

// Writes the head row on condition of its row version, and repeats the write while the response is lost. The
// condition holds at most once, so a repeated write cannot apply the change twice.
apply_report write_head(platform_session& session, const head_entry& entry, std::uint64_t row_version) {
  std::string failure;
  for (int i = 0; i < k_max_write_attempts; ++i) {
    if (i > 0) {
      session.pause(k_base_pause * (1U << static_cast<unsigned>(i - 1)));
    }
    const auto written = session.wait<storage::write_outcome>([&](auto done) {
      session.table.write(k_table, "head", to_json(entry), row_version, std::move(done));
    });
    if (written && written.value().applied) {
      return {apply_outcome::applied, entry, ""};
    }
    if (written) {
      return resolve_lost_response(session, entry, written.value().current);
    }
    failure = written.error().message;
  }
  return {apply_outcome::unknown, entry, failure};
}

apply_report make_failure_report(const error& cause) {
  const bool reached = cause.code == error_code::invalid_input || cause.code == error_code::internal;
  return {reached ? apply_outcome::refused : apply_outcome::unreachable, {}, cause.message};
}

}  // namespace

apply_report apply(platform_session& session, const apply_request& request) {
  const auto current = read_head(session);
  if (!current) {
    return make_failure_report(current.error());
  }
  const head_entry before = current.value() ? current.value()->entry : head_entry{};
  const configuration_version base = request.based_on.value_or(before.version);
  if (base != before.version) {
    return make_conflict_report(before, base);
  }
  const config::sections parts = config::split_into_sections(request.manifest);
  head_entry entry{.version = configuration_version{to_integer(base) + 1},
                   .index_digest = sha256_hex(parts.index),
                   .base = base,
                   .token = random_hex_id(),
                   .time = utc_now(),
                   .operator_name = request.operator_name};
  if (current.value() && before.index_digest == entry.index_digest) {
    return {apply_outcome::unchanged, before, ""};
  }
  if (const auto failure = store_sections(session, parts, current.value())) {
    return make_failure_report(*failure);
  }
  if (current.value()) {
    if (const auto kept = write_history(session, before); !kept) {
      return make_failure_report(kept.error());
    }
  }
  apply_report report = write_head(session, entry, current.value() ? current.value()->row_version : 0);
  if (report.outcome == apply_outcome::applied) {
    // The next apply repeats this write if it fails.
    static_cast<void>(write_history(session, entry));
    if (to_integer(entry.version) > k_max_history_entries) {
      const std::string old = "history/" + std::to_string(to_integer(entry.version) - k_max_history_entries);
      static_cast<void>(
          session.wait<void>([&](auto done) { session.table.remove(k_table, old, std::move(done)); }));
    }
  }
  return report;
}

}  // namespace cuminpath::operation
