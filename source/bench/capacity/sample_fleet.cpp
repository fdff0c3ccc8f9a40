#include "bench/capacity/sample_fleet.h"

#include <fmt/format.h>

#include "core/common/hash.h"

namespace cuminpath::bench {

std::string zone_name(std::uint32_t number) {
  return fmt::format("zone-{}", number % k_zones);
}

std::string region_name(std::uint32_t zone) {
  return fmt::format("region-{}", zone % k_zones % k_regions);
}

std::string peer_address(std::uint32_t number) {
  return fmt::format("10.{}.{}.{}:7000", number >> 16U, (number >> 8U) & 255U, number & 255U);
}

storage::host_list sample_hosts(std::uint32_t entries, std::uint32_t agents) {
  storage::host_list list{.generation = 1, .hosts = {}};
  list.hosts.reserve(entries + agents);
  for (std::uint32_t i = 0; i < entries + agents; ++i) {
    const bool entry = i < entries;
    const std::uint32_t number = entry ? i : i - entries;
    list.hosts.push_back({.name = fmt::format("{}-{:05}", entry ? "entry" : "host", number),
                          .role = entry ? storage::host_role::entry : storage::host_role::agent,
                          .availability_zone = zone_name(number),
                          .region = region_name(number),
                          .address = entry ? fmt::format("10.200.{}.{}:80", number >> 8U, number & 255U) : "",
                          .peer_address = peer_address(i),
                          .admin_address = fmt::format("10.201.{}.{}:81", i >> 8U, i & 255U),
                          .leaving = false});
  }
  return list;
}

config::manifest sample_manifest(std::uint32_t upstreams, std::uint32_t workspaces) {
  config::manifest value;
  value.classes = {{"live", 0, milliseconds(910), milliseconds(0), 10, 0},
                   {"booking", 1, milliseconds(0), milliseconds(5000), 5, 0.15},
                   {"digest", 2, milliseconds(0), milliseconds(120000), 1, 0.10}};
  for (std::uint32_t i = 0; i < k_models; ++i) {
    value.models.push_back({fmt::format("model-{}", i), 60, 256, 44'000'000, 4096});
  }
  for (std::uint32_t i = 0; i < upstreams / k_ranks; ++i) {
    value.groups.push_back({fmt::format("group-{}", i), value.models[i % k_models].name, k_ranks});
  }
  for (std::uint32_t i = 0; i < upstreams; ++i) {
    const auto& group = value.groups[i / k_ranks];
    value.upstreams.push_back({.name = fmt::format("engine-{:05}", i),
                               .host = fmt::format("host-{:05}", i),
                               .kind = config::upstream_kind::engine,
                               .model_or_service = group.model,
                               .group = group.name,
                               .rank = i % k_ranks,
                               .slots = 8,
                               .checks_fencing = i % 2 == 0});
  }
  for (std::uint32_t i = 0; i < workspaces; ++i) {
    const auto name = fmt::format("workspace-{:04}", i);
    value.workspaces.push_back({name, {sha256_hex(name)}, 1.0, {"live", "booking", "digest"}, "live"});
  }
  return value;
}

}  // namespace cuminpath::bench
