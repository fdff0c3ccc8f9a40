// The engine's side of a switch of its expert map: orders to it and its state, over HTTP.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/common/json.h"
#include "core/group_switch/participant.h"
#include "core/http/client.h"
#include "core/placement/expert_map.h"

namespace cuminpath::agent {

// Absent if the document is not a state of GET /v1/map_state.
std::optional<group_switch::engine_state> to_engine_state(const json& document);

// The form of a map in orders: "layers" has the experts of each rank of each layer, "replicas" the replicas
// of each expert of each layer with their shares.
json to_engine_map(const placement::expert_map& map, std::uint32_t ranks);

// The map that an engine uses before its first switch, under the digest "initial": expert E is on rank
// E modulo the number of ranks.
placement::expert_map initial_map(const placement::group_shape& shape);

// Tokens of GET /v1/expert_load since the engine started.
struct engine_load {
  std::uint64_t step = 0;
  float step_ms = 0;
  std::vector<std::vector<std::uint64_t>> layers;
};

// Must outlive the calls that it has made.
class engine_orders {
public:
  engine_orders(http::client& client, std::string engine_url);

  enum class verdict : std::uint8_t { accepted, refused, unknown };
  // `step` is the next step that the engine runs, if the verdict is not unknown.
  using order_done = std::function<void(verdict, std::uint64_t step)>;
  // `map` is used by prepare_map only.
  void send(const group_switch::engine_order& order, json map, order_done done);
  void read_state(std::function<void(std::optional<group_switch::engine_state>)> done);
  void read_load(std::function<void(std::optional<engine_load>)> done);

private:
  http::client& m_client;
  std::string m_url;
};

}  // namespace cuminpath::agent
