// The operators' view of an expert map (GET and POST /expert-map).
#include "core/agent/expert_service.h"
#include "core/common/json.h"

namespace cuminpath::agent {
namespace {

constexpr int k_ok = 200;
constexpr int k_accepted = 202;
constexpr int k_not_found = 404;
constexpr int k_conflict = 409;
constexpr int k_unavailable = 503;

http::response document(int status, const json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http::response problem(int status, const char* title, const std::string& detail) {
  return {
      .status = status,
      .headers = {{"Content-Type", "application/problem+json"}},
      .body = json{{"type", "about:blank"}, {"title", title}, {"status", status}, {"detail", detail}}.dump()};
}

json plan_document(const placement::plan& value) {
  return {{"worthwhile", value.worthwhile},   {"digest", placement::digest(value.map)},
          {"copies", value.copies},           {"bytes", value.bytes},
          {"skew_before", value.skew_before}, {"skew_after", value.skew_after},
          {"gain_s", value.gain_s},           {"cost_s", value.cost_s}};
}

}  // namespace

json expert_service::map_document() const {
  const auto& coordinator = m_lead->coordinator;
  json body = {{"group", m_group},
               {"state", coordinator.state_name()},
               {"fencing", to_integer(coordinator.token())},
               {"ranks", m_shape.ranks},
               {"digest", coordinator.map_digest()},
               {"map", json()}};
  if (const auto* map = m_lead->planning.map(coordinator.map_digest())) {
    body["map"] = placement::to_json(*map);
  }
  return body;
}

http::response expert_service::respond(time_point now, const http::request& request) {
  if (!m_lead) {
    return problem(k_not_found, "Not found", "this host is not rank 0 of an expert group");
  }
  if (request.method == "POST") {
    return respond_order(now);
  }
  if (request.path() == "/expert-map") {
    return document(k_ok, map_document());
  }
  const auto value = m_lead->planning.make(now);
  if (!value) {
    return problem(k_unavailable, "No plan", value.error().message);
  }
  auto body = plan_document(value.value());
  body["group"] = m_group;
  body["life_s"] = m_lead->planning.expected_lifetime_s();
  return document(k_ok, body);
}

// Starts a switch to the planned map. An operator may order one that the planner does not find worthwhile.
http::response expert_service::respond_order(time_point now) {
  const auto reason = m_suspended ? std::string("the agent checks the group's token") : obstacle();
  if (!reason.empty()) {
    return problem(k_conflict, "Conflict", reason);
  }
  const auto value = m_lead->planning.make(now);
  if (!value) {
    return problem(k_unavailable, "No plan", value.error().message);
  }
  auto body = plan_document(value.value());
  body["group"] = m_group;
  body["started"] = body["digest"] != m_lead->coordinator.map_digest();
  if (body["started"] == false) {
    return document(k_ok, body);
  }
  start_switch(value.value());
  return document(k_accepted, body);
}

}  // namespace cuminpath::agent
