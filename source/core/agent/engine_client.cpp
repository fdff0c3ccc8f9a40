#include "core/agent/engine_client.h"

#include <array>
#include <utility>

#include "core/common/engine_limits.h"

namespace cuminpath::agent {
namespace {

constexpr int k_status_ok = 200;
constexpr int k_status_conflict = 409;
// Preparing a map takes the longest, because the engine loads weights. Equals the coordinator's timeout.
constexpr milliseconds k_prepare_timeout{120000};
constexpr milliseconds k_request_timeout{2000};

http::call_options options(milliseconds timeout) {
  return {.timeout = timeout, .max_response_bytes = k_max_engine_response_bytes};
}

struct phase_name {
  std::string_view name;
  wire::switch_phase phase;
};
constexpr std::array<phase_name, 6> k_phase_names{{{"idle", wire::switch_phase::idle},
                                                   {"preparing", wire::switch_phase::preparing},
                                                   {"prepared", wire::switch_phase::prepared},
                                                   {"armed", wire::switch_phase::armed},
                                                   {"committed", wire::switch_phase::committed},
                                                   {"aborted", wire::switch_phase::aborted}}};

const char* command_name(group_switch::engine_command command) {
  switch (command) {
    case group_switch::engine_command::prepare_map:
      return "prepare_map";
    case group_switch::engine_command::arm_map:
      return "arm_map";
    case group_switch::engine_command::go_map:
      return "go_map";
    case group_switch::engine_command::abort_map:
      return "abort_map";
  }
  return "";
}

std::optional<json> parse_document(const http::client::call_result& response, int status) {
  if (response.failure || response.value.status != status) {
    return std::nullopt;
  }
  auto parsed = parse_json(response.value.body, k_max_engine_containers_and_strings);
  if (!parsed || !parsed.value().is_object()) {
    return std::nullopt;
  }
  return std::move(parsed.value());
}

std::optional<engine_load> parse_engine_load(const json& document) {
  try {
    return engine_load{document.at("step").get<std::uint64_t>(), document.at("step_ms").get<float>(),
                       document.at("layers").get<std::vector<std::vector<std::uint64_t>>>()};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::optional<group_switch::engine_state> parse_engine_state(const json& document) {
  try {
    group_switch::engine_state state;
    state.token = fencing_token{document.at("fencing").get<std::uint64_t>()};
    state.switch_id = document.at("switch").get<std::uint64_t>();
    state.switch_step = document.at("switch_step").get<std::uint64_t>();
    state.step = document.at("step").get<std::uint64_t>();
    state.digest = document.at("digest").get<std::string>();
    state.new_digest = document.at("new_digest").get<std::string>();
    const auto name = document.at("phase").get<std::string>();
    for (const auto& item : k_phase_names) {
      if (item.name == name) {
        state.phase = item.phase;
        return state;
      }
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return std::nullopt;
}

json to_engine_map(const placement::expert_map& map, std::uint32_t ranks) {
  auto layers = json::array();
  for (const auto& layer : map.layers) {
    std::vector<std::vector<std::size_t>> experts_of(ranks);
    for (std::size_t expert = 0; expert < layer.experts.size(); ++expert) {
      for (const auto& replica : layer.experts[expert]) {
        experts_of[replica.rank].push_back(expert);
      }
    }
    layers.emplace_back(experts_of);
  }
  return {{"layers", std::move(layers)}, {"replicas", placement::to_json(map)["layers"]}};
}

placement::expert_map initial_map(const placement::group_shape& shape) {
  placement::layer_map layer;
  for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
    layer.experts.push_back({placement::replica{.rank = expert % shape.ranks, .share = 1.0F}});
  }
  return placement::expert_map{std::vector<placement::layer_map>(shape.layers, layer)};
}

engine_client::engine_client(http::client& client, std::string engine_url)
    : m_client(client), m_url(std::move(engine_url)) {}

void engine_client::send(const group_switch::engine_order& order, json map, order_callback done) {
  json body = {{"order", command_name(order.command)},
               {"fencing", to_integer(order.token)},
               {"switch", order.switch_id}};
  const bool prepare = order.command == group_switch::engine_command::prepare_map;
  if (prepare) {
    body["digest"] = order.digest;
    body["map"] = std::move(map);
  } else if (order.command == group_switch::engine_command::arm_map) {
    body["step"] = order.step;
  }
  http::call_options order_options = options(prepare ? k_prepare_timeout : k_request_timeout);
  order_options.never_reuse_connection = true;
  m_client.call(m_url, {.method = "POST", .target = "/v1/orders", .body = body.dump()}, order_options,
                [done = std::move(done)](const http::client::call_result& response) {
                  const auto accepted = parse_document(response, k_status_ok);
                  const auto refused = parse_document(response, k_status_conflict);
                  const auto& response_body = accepted ? accepted : refused;
                  if (!response_body || !response_body->contains("step") ||
                      !(*response_body)["step"].is_number_unsigned()) {
                    done(order_outcome::unknown, 0);
                    return;
                  }
                  // The response contains the last step that the engine has run.
                  done(accepted ? order_outcome::accepted : order_outcome::refused,
                       (*response_body)["step"].get<std::uint64_t>() + 1);
                });
}

void engine_client::read_state(std::function<void(std::optional<group_switch::engine_state>)> done) {
  m_client.call(m_url, {.target = "/v1/map_state"}, options(k_request_timeout),
                [done = std::move(done)](const http::client::call_result& response) {
                  const auto document = parse_document(response, k_status_ok);
                  done(document ? parse_engine_state(*document) : std::nullopt);
                });
}

void engine_client::read_load(std::function<void(std::optional<engine_load>)> done) {
  m_client.call(m_url, {.target = "/v1/expert_load"}, options(k_request_timeout),
                [done = std::move(done)](const http::client::call_result& response) {
                  const auto document = parse_document(response, k_status_ok);
                  done(document ? parse_engine_load(*document) : std::nullopt);
                });
}

}  // namespace cuminpath::agent
