// One row of the platform's list of upstreams.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "core/common/time.h"
#include "core/gateway/store_version.h"

namespace cuminpath::gateway {

struct upstream_record {
  std::string id;
  std::string service;
  std::string address;  // IP:PORT.
  std::string availability_zone;
  std::uint32_t slots = 1;
  bool leaving = false;
  // Unix time of the start, which distinguishes restarts under the same id; 0 if unknown.
  std::uint64_t started_ms = 0;
  // For how long it stays cold after the row was written; absent if the row does not say.
  std::optional<milliseconds> cold_for;
  store_version row_version;  // Number of the last write of the row, in the era in which it was read.

  // Compares all but the last two, which change with each write of the row.
  [[nodiscard]] bool describes_same_upstream(const upstream_record& other) const {
    const auto fields = [](const upstream_record& record) {
      return std::tie(record.id, record.service, record.address, record.availability_zone, record.slots,
                      record.leaving, record.started_ms);
    };
    return fields(*this) == fields(other);
  }
};

// The platform's list at a version of the store.
struct upstream_list {
  std::vector<upstream_record> records;
  store_version version;
};

}  // namespace cuminpath::gateway
