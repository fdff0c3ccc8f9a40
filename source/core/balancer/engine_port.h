// Interface between the balancer and an engine that runs one rank of an expert-parallel group.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/common/error.h"
#include "core/placement/even_share_planner.h"

namespace cuminpath::balancer {

using placement::rank_map;

// A switch to a prepared map that an engine will make at a given forward pass.
struct armed_switch {
  std::uint64_t version = 0;  // Of the map.
  std::uint64_t step = 0;     // The first forward pass that uses the map.

  bool operator==(const armed_switch&) const = default;
};

// State of one rank as its engine reports it.
struct engine_status {
  std::string group;
  std::uint64_t epoch = 0;  // Grows each time the group re-forms; the engine then keeps nothing from before.
  std::uint32_t rank = 0;
  std::uint32_t ranks = 0;
  bool open = false;       // The group is complete and serves requests.
  bool busy = false;       // An order, such as copying experts, is under way.
  std::uint64_t step = 0;  // The last forward pass that has begun.
  std::uint64_t map_version = 0;
  std::optional<std::uint64_t> prepared;
  std::optional<armed_switch> armed;
  std::optional<std::uint64_t> held;  // The forward pass that does not begin until it is released.
};

// Tokens that the rank's requests have sent to each expert since the engine started.
struct engine_counts {
  std::uint64_t epoch = 0;
  std::vector<std::uint64_t> counts;  // By layer, then by expert.
};

// The experts that a rank holds at present.
struct engine_experts {
  std::uint64_t epoch = 0;
  std::uint64_t map_version = 0;
  std::vector<std::vector<std::uint32_t>> experts;  // By layer.
};

struct prepare_order {
  std::uint64_t version = 0;
  rank_map map;
};
struct arm_order {
  armed_switch value;
};
struct disarm_order {
  std::uint64_t version = 0;
};
struct hold_order {
  std::uint64_t step = 0;
};
struct go_order {
  std::uint64_t step = 0;
};
using order_body = std::variant<prepare_order, arm_order, disarm_order, hold_order, go_order>;

struct order {
  // Fencing token of the leader. Engines refuse a token that is lower than one they have seen.
  std::uint64_t token = 0;
  std::uint64_t epoch = 0;
  order_body body;
};

enum class order_result : std::uint8_t {
  accepted,     // Begun, done, or already in effect.
  conflict,     // Does not match the engine's state.
  stale,        // The engine has seen a higher fencing token.
  no_response,  // May have been executed already, or may still be executed later.
};

class engine_port {
public:
  virtual ~engine_port() = default;

  virtual void read_status(std::function<void(result<engine_status>)> done) = 0;
  virtual void read_counts(std::function<void(result<engine_counts>)> done) = 0;
  virtual void read_experts(std::function<void(result<engine_experts>)> done) = 0;
  virtual void send(const order& value, std::function<void(order_result)> done) = 0;
};

std::string_view order_name(const order_body& body);

}  // namespace cuminpath::balancer
