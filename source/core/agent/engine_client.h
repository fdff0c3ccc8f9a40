// HTTP client of an engine for map switches: sends orders and reads the engine's state and expert loads.
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

// Parses the response of GET /v1/map_state. Returns nothing if the document is not a valid state.
std::optional<group_switch::engine_state> parse_engine_state(const json& document);

// Returns a map in the format of orders to engines: "layers" lists the experts of each rank for each layer,
// "replicas" the replicas of each expert with their shares for each layer.
json to_engine_map(const placement::expert_map& map, std::uint32_t ranks);

// Returns the map that an engine uses before its first switch and reports with the digest "initial": expert E
// is on rank E modulo the number of ranks.
placement::expert_map initial_map(const placement::group_shape& shape);

// The response of GET /v1/expert_load: tokens per layer and expert since the engine started.
struct engine_load {
  std::uint64_t step = 0;
  float step_ms = 0;
  std::vector<std::vector<std::uint64_t>> layers;
};

// Sends requests to one engine. Must outlive its pending calls.
class engine_client {
public:
  engine_client(http::client& client, std::string engine_url);

  enum class order_outcome : std::uint8_t { accepted, refused, unknown };
  // `step` is the next step that the engine runs; valid only if the engine accepted or refused the order.
  using order_callback = std::function<void(order_outcome, std::uint64_t step)>;
  // Sends an order. `map` is only used for prepare_map.
  void send(const group_switch::engine_order& order, json map, order_callback done);
  // These functions read the engine's state or load. The result is absent if the call fails or the response
  // is malformed.
  void read_state(std::function<void(std::optional<group_switch::engine_state>)> done);
  void read_load(std::function<void(std::optional<engine_load>)> done);

private:
  http::client& m_client;
  std::string m_url;
};

}  // namespace cuminpath::agent
