// What the balancer needs of an engine that runs one rank of an expert-parallel group.
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

struct armed_switch {
  std::uint64_t version = 0;  // Of the map.
  std::uint64_t step = 0;     // The pass that is the first to use it.

  bool operator==(const armed_switch&) const = default;
};

// State of one rank as its engine reports it.
struct engine_status {
  std::string group;
  std::uint64_t epoch = 0;  // Grows each time the group forms anew; the engine then holds nothing of before.
  std::uint32_t rank = 0;
  std::uint32_t ranks = 0;
  bool open = false;       // The group is complete and serves.
  bool busy = false;       // An order, such as copying experts, is under way.
  std::uint64_t step = 0;  // The last pass that was begun.
  std::uint64_t map_version = 0;
  std::optional<std::uint64_t> prepared;
  std::optional<armed_switch> armed;
  std::optional<std::uint64_t> held;  // The pass that is not begun until it is released.
};

// Tokens that this rank's requests sent to each expert since the engine started.
struct engine_counts {
  std::uint64_t epoch = 0;
  std::vector<std::uint64_t> counts;  // By layer, then by expert.
};

// The experts that a rank holds now.
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
  std::uint64_t token =
      0;  // Fencing token of the leader; engines refuse one that is lower than another they saw.
  std::uint64_t epoch = 0;
  order_body body;
};

enum class order_result : std::uint8_t {
  accepted,   // Begun, done, or in force already.
  conflict,   // Does not fit the engine's state.
  stale,      // A higher fencing token has been seen.
  no_answer,  // May have been carried out, or may be later.
};

class engine_port {
public:
  virtual ~engine_port() = default;

  virtual void read_status(std::function<void(result<engine_status>)> done) = 0;
  virtual void read_counts(std::function<void(result<engine_counts>)> done) = 0;
  virtual void read_experts(std::function<void(result<engine_experts>)> done) = 0;
  virtual void give(const order& value, std::function<void(order_result)> done) = 0;
};

std::string_view order_name(const order_body& body);

}  // namespace cuminpath::balancer
