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
constexpr std::size_t k_requests_in_flight = 16;
constexpr int k_object_tries = 3;
// With pauses of 200 ms to 1.6 s and 2 s for each try, a table outage of about 15 s is bridged.
constexpr int k_write_tries = 5;
constexpr milliseconds k_first_pause{200};
constexpr std::uint64_t k_kept_history = 1000;

std::string utc_now() {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(std::chrono::system_clock::now())));
}

// Digests that the current version refers to; they need not be stored again. Empty if it cannot be read.
std::set<std::string> stored_digests(session& on, const std::optional<stored_head>& current) {
  if (!current) {
    return {};
  }
  const auto index = on.wait<std::string>(
      [&](auto done) { on.objects.fetch(current->entry.index_digest, std::move(done)); });
  if (!index) {
    return {};
  }
  const auto digests = config::referenced_digests(index.value());
  return digests ? std::set<std::string>(digests.value().begin(), digests.value().end())
                 : std::set<std::string>();
}

std::optional<error> store_once(session& on, std::vector<std::string>& contents) {
  std::vector<std::string> failed;
  std::optional<error> failure;
  on.wait_for_all(contents.size(), k_requests_in_flight, [&](std::size_t i, auto done) {
    on.objects.put(contents[i], [&, i, done](const result<void>& stored) {
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

// Everything is stored before the head row refers to it.
std::optional<error> store_sections(session& on, const config::sections& parts,
                                    const std::optional<stored_head>& current) {
  const std::set<std::string> present = stored_digests(on, current);
  std::vector<std::string> contents{parts.index};
  for (const auto& [digest, content] : parts.contents) {
    if (!present.contains(digest)) {
      contents.push_back(content);
    }
  }
  std::optional<error> failure;
  for (int i = 0; i < k_object_tries; ++i) {
    failure = store_once(on, contents);
    if (!failure) {
      return std::nullopt;
    }
    on.pause(k_first_pause);
  }
  return failure;
}

apply_report conflict(const head_entry& current, configuration_version base) {
  return {apply_outcome::conflict, current,
          fmt::format("the change is based on version {}, but version {} is current (by {} at {})",
                      to_integer(base), to_integer(current.version), current.operator_name, current.time)};
}

// The head row has another version than the one the write was based on. Tells whether our own write took
// effect before: the history of each version is complete before its successor is written.
apply_report settle(session& on, const head_entry& ours, const json& current_row) {
  const auto current = parse_head_entry(current_row);
  if (!current) {
    return {apply_outcome::refused, ours, "the head row is " + current.error().message};
  }
  if (current.value().token == ours.token) {
    return {apply_outcome::applied, ours, ""};
  }
  if (current.value().version > ours.version) {
    const auto past = read_history(on, ours.version);
    if (!past) {
      return {apply_outcome::unknown, ours, past.error().message};
    }
    if (past.value() && past.value()->token == ours.token) {
      return {apply_outcome::applied, ours, "a later version is already current"};
    }
  }
  return conflict(current.value(), ours.base);
}

// Repeats the conditional write while its response is lost. The condition holds at most once, so a repeat
// cannot apply the change a second time.
apply_report write_head(session& on, const head_entry& entry, std::uint64_t row_version) {
  std::string failure;
  for (int i = 0; i < k_write_tries; ++i) {
    if (i > 0) {
      on.pause(k_first_pause * (1U << static_cast<unsigned>(i - 1)));
    }
    const auto written = on.wait<storage::write_outcome>(
        [&](auto done) { on.table.write(k_table, "head", to_json(entry), row_version, std::move(done)); });
    if (written && written.value().won) {
      return {apply_outcome::applied, entry, ""};
    }
    if (written) {
      return settle(on, entry, written.value().current);
    }
    failure = written.error().message;
  }
  return {apply_outcome::unknown, entry, failure};
}

apply_report not_readable(const error& cause) {
  const bool reached = cause.code == error_code::invalid_input || cause.code == error_code::internal;
  return {reached ? apply_outcome::refused : apply_outcome::unreachable, {}, cause.message};
}

}  // namespace

apply_report apply(session& on, const apply_request& request) {
  const auto current = read_head(on);
  if (!current) {
    return not_readable(current.error());
  }
  const head_entry before = current.value() ? current.value()->entry : head_entry{};
  const configuration_version base = request.based_on.value_or(before.version);
  if (base != before.version) {
    return conflict(before, base);
  }
  const config::sections parts = config::split(request.manifest);
  head_entry entry{.version = configuration_version{to_integer(base) + 1},
                   .index_digest = sha256_hex(parts.index),
                   .base = base,
                   .token = random_hex_id(),
                   .time = utc_now(),
                   .operator_name = request.operator_name};
  if (current.value() && before.index_digest == entry.index_digest) {
    return {apply_outcome::unchanged, before, ""};
  }
  if (const auto failure = store_sections(on, parts, current.value())) {
    return not_readable(*failure);
  }
  if (current.value()) {
    if (const auto kept = write_history(on, before); !kept) {
      return not_readable(kept.error());
    }
  }
  apply_report report = write_head(on, entry, current.value() ? current.value()->row_version : 0);
  if (report.outcome == apply_outcome::applied) {
    // The next apply repeats this if it fails.
    static_cast<void>(write_history(on, entry));
    if (to_integer(entry.version) > k_kept_history) {
      const std::string old = "history/" + std::to_string(to_integer(entry.version) - k_kept_history);
      static_cast<void>(on.wait<void>([&](auto done) { on.table.remove(k_table, old, std::move(done)); }));
    }
  }
  return report;
}

}  // namespace cuminpath::operation
