// The part of expert_service that responds to operators (GET and POST /expert-map).
#include "core/agent/expert_service.h"
#include "core/common/json.h"

namespace cuminpath::agent {
namespace {

constexpr int k_status_ok = 200;
constexpr int k_status_accepted = 202;
constexpr int k_status_not_found = 404;
constexpr int k_status_conflict = 409;
constexpr int k_status_unavailable = 503;

http::response json_response(int status, const json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http::response problem_response(int status, const char* title, const std::string& detail) {
  return {
      .status = status,
      .headers = {{"Content-Type", "application/problem+json"}},
      .body = json{{"type", "about:blank"}, {"title", title}, {"status", status}, {"detail", detail}}.dump()};
}

json plan_document(const placement::plan& plan) {
  return {{"worthwhile", plan.worthwhile},   {"digest", placement::digest(plan.map)},
          {"copies", plan.copies},           {"bytes", plan.bytes},
          {"skew_before", plan.skew_before}, {"skew_after", plan.skew_after},
          {"gain_s", plan.gain_s},           {"cost_s", plan.cost_s}};
}

}  // namespace

json expert_service::map_document() const {
  const auto& coordinator = m_coordinator_state->coordinator;
  json body = {{"group", m_group},
               {"state", coordinator.state_name()},
               {"fencing", to_integer(coordinator.token())},
               {"ranks", m_shape.ranks},
               {"digest", coordinator.map_digest()},
               {"map", json()}};
  if (const auto* map = m_coordinator_state->planning.map(coordinator.map_digest())) {
    body["map"] = placement::to_json(*map);
  }
  return body;
}

http::response expert_service::respond(time_point now, const http::request& request) {
  if (!m_coordinator_state) {
    return problem_response(k_status_not_found, "Not found", "this host is not rank 0 of an expert group");
  }
  if (request.method == "POST") {
    return respond_to_switch_request(now);
  }
  if (request.path() == "/expert-map") {
    return json_response(k_status_ok, map_document());
  }
  const auto plan = m_coordinator_state->planning.make_plan(now);
  if (!plan) {
    return problem_response(k_status_unavailable, "No plan", plan.error().message);
  }
  auto body = plan_document(plan.value());
  body["group"] = m_group;
  body["life_s"] = m_coordinator_state->planning.expected_lifetime_s();
  return json_response(k_status_ok, body);
}

// Plans a map and starts a switch to it. On an operator's request this is done even if the planner does not
// consider the switch worthwhile.
http::response expert_service::respond_to_switch_request(time_point now) {
  const auto reason =
      m_token_check_required ? std::string("the agent checks the group's token") : switch_block_reason();
  if (!reason.empty()) {
    return problem_response(k_status_conflict, "Conflict", reason);
  }
  const auto plan = m_coordinator_state->planning.make_plan(now);
  if (!plan) {
    return problem_response(k_status_unavailable, "No plan", plan.error().message);
  }
  auto body = plan_document(plan.value());
  body["group"] = m_group;
  body["started"] = body["digest"] != m_coordinator_state->coordinator.map_digest();
  if (body["started"] == false) {
    return json_response(k_status_ok, body);
  }
  start_switch(plan.value());
  return json_response(k_status_accepted, body);
}

}  // namespace cuminpath::agent
