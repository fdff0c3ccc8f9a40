// Handles the orders to an emulated engine that switch its expert map.
#include "emulator/engine_role.h"

namespace cuminpath::emulator {
namespace {

constexpr int k_max_parallel_weight_loads = 4;
constexpr milliseconds k_weight_request_timeout{60000};
constexpr milliseconds k_weight_retry_interval{250};

}  // namespace

// State of a prepare_map order while the weights of the new experts are loaded, a few at a time.
struct engine_role::preparation {
  std::string switch_name;
  std::vector<expert_maps::expert_position> missing;
  std::size_t next_index = 0;
  std::size_t in_flight = 0;
  std::uint64_t bytes = 0;
  responder_ptr to;
};

void engine_role::handle_order(const http::request& request, const responder_ptr& to) {
  const auto parsed = parse_json(request.body);
  if (!parsed || !parsed.value().is_object() || !parsed.value().contains("order") ||
      !parsed.value().contains("switch")) {
    respond_json(to, 400, {{"error", "malformed order"}});
    return;
  }
  const auto& body = parsed.value();
  try {
    if (!m_maps.accept_fencing_token(body.value("fencing", std::uint64_t{0}))) {
      respond_order(to, expert_maps::order_result::stale_fencing);
      return;
    }
    const auto kind = body["order"].get<std::string>();
    const auto name = body["switch"].dump();
    if (kind == "prepare_map") {
      const auto outcome =
          m_maps.prepare(name, body.value("digest", std::string()), body.value("map", json()));
      if (outcome != expert_maps::order_result::accepted) {
        respond_order(to, outcome);
        return;
      }
      auto work = std::make_shared<preparation>();
      work->switch_name = name;
      work->missing = m_options.weights_url.empty() ? decltype(work->missing)() : m_maps.missing_experts();
      work->to = to;
      load_weights(work);
    } else if (kind == "arm_map") {
      // An announced step counts as run, because the other ranks may already have run it.
      respond_order(
          to, m_maps.arm(name, body.value("step", std::uint64_t{0}), std::max(m_step, m_announced_step)));
    } else if (kind == "go_map") {
      respond_order(to, m_maps.commit(name, m_step, joined() && !m_rejoining));
      announce();
      try_step();
    } else if (kind == "abort_map") {
      respond_order(to, m_maps.abort(name));
      announce();
      try_step();
    } else {
      respond_json(to, 400, {{"error", "unknown order"}});
    }
  } catch (const json::exception& failure) {
    respond_json(to, 400, {{"error", failure.what()}});
  }
}

void engine_role::respond_order(const responder_ptr& to, expert_maps::order_result outcome) const {
  auto body = m_maps.state();
  body["step"] = m_step;
  switch (outcome) {
    case expert_maps::order_result::accepted:
      respond_json(to, 200, body);
      return;
    case expert_maps::order_result::stale_fencing:
      body["error"] = "stale fencing token";
      break;
    case expert_maps::order_result::wrong_switch:
      body["error"] = "the switch is not in the state for this order";
      break;
    case expert_maps::order_result::step_passed:
      body["error"] = "the step has passed";
      break;
  }
  respond_json(to, 409, body);
}

void engine_role::load_weights(const std::shared_ptr<preparation>& work) {
  while (work->in_flight < k_max_parallel_weight_loads && work->next_index < work->missing.size()) {
    const auto [layer, expert] = work->missing[work->next_index++];
    ++work->in_flight;
    fetch_weights(
        work, "/v1/weights/" + m_options.model + "/" + std::to_string(layer) + "/" + std::to_string(expert));
  }
  if (work->in_flight == 0) {
    if (const auto outcome = m_maps.set_prepared(work->switch_name);
        outcome != expert_maps::order_result::accepted) {
      respond_order(work->to, outcome);
      return;
    }
    auto body = m_maps.state();
    body["step"] = m_step;
    body["loaded"] = work->missing.size();
    body["bytes"] = work->bytes;
    respond_json(work->to, 200, body);
  }
}

void engine_role::fetch_weights(const std::shared_ptr<preparation>& work, const std::string& target) {
  m_client.call(m_options.weights_url, {.target = target}, {.timeout = k_weight_request_timeout},
                [this, work, target](const http::client::call_result& response) {
                  if (!response.failure && response.value.status == 200) {
                    --work->in_flight;
                    work->bytes += response.value.body.size();
                    m_weight_bytes += response.value.body.size();
                    load_weights(work);
                    return;
                  }
                  // The weight store is over its rate limit or unavailable. Retries after an interval.
                  const auto timer = std::make_shared<asio::steady_timer>(m_context, k_weight_retry_interval);
                  timer->async_wait([this, work, target, timer](const std::error_code& failure) {
                    if (!failure) {
                      fetch_weights(work, target);
                    }
                  });
                });
}

}  // namespace cuminpath::emulator
