// Generates fleets of any size with the proportions of section 1.4 of the design: 13 models, groups of 32
// ranks, 11 availability zones in 3 regions, and ten agents per entry.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/config/manifest.h"
#include "core/storage/host_list_client.h"

namespace cuminpath::bench {

constexpr time_point k_start{std::chrono::hours(1)};
constexpr std::uint32_t k_zones = 11;
constexpr std::uint32_t k_regions = 3;
constexpr std::uint32_t k_models = 13;
constexpr std::uint32_t k_ranks = 32;
constexpr std::uint32_t k_agents_per_entry = 10;
constexpr std::uint32_t k_full_size_upstreams = 12000;
constexpr std::uint32_t k_full_size_workspaces = 2100;

std::string zone_name(std::uint32_t number);
std::string region_name(std::uint32_t zone);
std::string peer_address(std::uint32_t number);

// Returns the entries, followed by the agents. Entry 0 is in availability zone 0.
storage::host_list sample_hosts(std::uint32_t entries, std::uint32_t agents);
// Returns a manifest with the given numbers of upstreams and workspaces. `upstreams` must be a multiple of
// k_ranks.
config::manifest sample_manifest(std::uint32_t upstreams, std::uint32_t workspaces);

}  // namespace cuminpath::bench
