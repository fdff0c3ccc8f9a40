// Table of the upstreams that an entry knows, with the bounded subset that it uses for each model or service.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/time.h"
#include "core/routing/ejection.h"
#include "core/routing/router.h"

namespace cuminpath::routing {

enum class proximity : std::uint8_t { local_availability_zone, local_region, other_region };

struct load_state {
  double reported = 0;  // Running and queued requests, moving average over the last reports.
  double slots = 1;
  bool has_report = false;
  std::uint32_t outstanding = 0;
  std::uint32_t outstanding_at_report = 0;
  bool refused_since_report = false;
};

struct health_state {
  time_point last_message_at{};
  time_point latency_updated_at{};  // Time of the last latency sample.
  std::uint32_t latency_samples = 0;
  double latency_s = 0;  // Moving average of the time to the first token; 0 without samples.
  double slowness = 1;   // Latency relative to the median of the subset, at least 1.
  ejection_state ejection;
  bool suspected = false;
  bool draining = false;
  bool upstream_healthy = true;
};

struct placement_state {
  std::uint64_t subset_weight = 0;  // Rendezvous weight for this entry.
  std::uint64_t name_hash = 0;
  proximity distance = proximity::local_availability_zone;
  bool known = false;      // False for an unused row.
  bool reachable = false;  // The address of its agent is known.
  bool in_subset = false;
};

// Ordered lists of the upstreams of one model or service.
struct pool {
  std::vector<upstream_id> near;  // Local availability zone, by descending weight.
  std::vector<upstream_id> far;   // Other availability zones, local region first, then by descending weight.
  std::vector<upstream_id> subset;  // Upstreams in use.
};

class upstream_table {
public:
  explicit upstream_table(const router_options& options);

  void replace(time_point now, std::span<const upstream_info> upstreams);
  // Adds further upstreams of the ordered lists to a subset while members of it are suspected or leaving.
  void refresh_subset(time_point now, std::string_view model_or_service);

  [[nodiscard]] const pool* find_pool(std::string_view model_or_service) const;
  [[nodiscard]] std::optional<upstream_id> find(std::string_view name) const;
  [[nodiscard]] std::span<const upstream_id> at_address(std::string_view peer_address) const;
  [[nodiscard]] const std::vector<upstream_id>& in_use() const { return m_in_use; }

  // Access to rows; `id` must have been returned by this table.
  [[nodiscard]] const upstream_info& info(upstream_id id) const { return m_info[index(id)]; }
  [[nodiscard]] const placement_state& placement(upstream_id id) const { return m_placement[index(id)]; }
  [[nodiscard]] const load_state& load(upstream_id id) const { return m_load[index(id)]; }
  [[nodiscard]] load_state& load(upstream_id id) { return m_load[index(id)]; }
  [[nodiscard]] const health_state& health(upstream_id id) const { return m_health[index(id)]; }
  [[nodiscard]] health_state& health(upstream_id id) { return m_health[index(id)]; }

  // Returns true if the upstream may receive new requests, not considering ejection.
  [[nodiscard]] bool available(upstream_id id) const;

private:
  struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
  };
  template <class value_type>
  using string_map = std::unordered_map<std::string, value_type, string_hash, std::equal_to<>>;

  [[nodiscard]] std::size_t index(upstream_id id) const;
  // Adds an upstream in the first unused row from `row` on and sets `row` to it.
  upstream_id add(const upstream_info& value, std::size_t& row);
  void sort_pools();
  void fill_subset(time_point now, pool& value);
  void collect_in_use();

  router_options m_options;
  std::uint64_t m_entry_hash = 0;
  std::vector<upstream_info> m_info;
  std::vector<placement_state> m_placement;
  std::vector<load_state> m_load;
  std::vector<health_state> m_health;
  string_map<upstream_id> m_by_name;
  string_map<std::vector<upstream_id>> m_by_address;
  string_map<pool> m_pools;
  std::vector<upstream_id> m_in_use;
};

}  // namespace cuminpath::routing
