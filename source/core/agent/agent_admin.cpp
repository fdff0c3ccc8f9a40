#include "core/agent/agent_admin.h"

#include "core/common/hash.h"
#include "core/common/json.h"

namespace cuminpath::agent {
namespace {

constexpr int k_status_ok = 200;
constexpr int k_status_accepted = 202;
constexpr int k_status_unauthorized = 401;
constexpr int k_status_not_found = 404;
constexpr int k_status_method_not_allowed = 405;
constexpr int k_status_unavailable = 503;

http::response text_response(int status, std::string body) {
  return {
      .status = status, .headers = {{"Content-Type", "text/plain; charset=utf-8"}}, .body = std::move(body)};
}

http::response json_response(int status, const json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http::response problem_response(int status, const char* title, const char* detail) {
  return {
      .status = status,
      .headers = {{"Content-Type", "application/problem+json"}},
      .body = json{{"type", "about:blank"}, {"title", title}, {"status", status}, {"detail", detail}}.dump()};
}

bool authorized(const http::request& request, const std::string& key_sha256) {
  constexpr std::string_view k_scheme = "Bearer ";
  const auto header = request.header("Authorization");
  // Comparing digests prevents a timing attack: the time of the comparison reveals nothing about the key.
  return header && header->starts_with(k_scheme) && !key_sha256.empty() &&
         sha256_hex(header->substr(k_scheme.size())) == key_sha256;
}

json status_document(time_point now, const admin_view& view) {
  const auto load = view.core.load(now);
  json classes = json::array();
  for (const auto& item : load.classes) {
    classes.push_back({{"class", item.priority_class},
                       {"queued", item.queued},
                       {"running", item.running},
                       {"expected_wait_ms", item.expected_wait_ms}});
  }
  return {{"name", view.name},
          {"role", "agent"},
          {"configuration_version", to_integer(view.core.version())},
          {"draining", view.core.draining()},
          {"upstream", load.upstream},
          {"upstream_healthy", load.upstream_healthy},
          {"slots", load.slots},
          {"running", load.running},
          {"queued", load.queued},
          {"classes", std::move(classes)},
          {"attempts", view.core.attempts().size()},
          {"attempts_remembered", view.core.attempts().ended_size()},
          {"subscribed_entries", view.core.subscribers()},
          {"peers", view.links.peers}};
}

}  // namespace

http::response respond_to_operator(time_point now, const http::request& request, const admin_view& view) {
  const auto path = request.path();
  if (path == "/drain") {
    if (request.method != "POST") {
      return problem_response(k_status_method_not_allowed, "Method not allowed", "use POST");
    }
    if (!authorized(request, view.operator_key_sha256)) {
      return problem_response(k_status_unauthorized, "Unauthorized", "the operator key is missing or wrong");
    }
    view.drain();
    return json_response(k_status_accepted, {{"draining", true}});
  }
  if (path == "/expert-map" && request.method == "POST") {
    return authorized(request, view.operator_key_sha256)
               ? view.expert_map(request)
               : problem_response(k_status_unauthorized, "Unauthorized",
                                  "the operator key is missing or wrong");
  }
  if (request.method != "GET") {
    return problem_response(k_status_method_not_allowed, "Method not allowed", "use GET");
  }
  if (path == "/healthz") {
    return text_response(k_status_ok, "ok\n");
  }
  if (path == "/readyz") {
    const bool ready = view.core.upstream() != nullptr && !view.core.draining();
    return ready ? text_response(k_status_ok, "ready\n") : text_response(k_status_unavailable, "not ready\n");
  }
  if (path == "/metrics") {
    return {.status = k_status_ok,
            .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
            .body = view.metrics.prometheus_text()};
  }
  if (path == "/status") {
    return json_response(k_status_ok, status_document(now, view));
  }
  if (path == "/expert-map" || path == "/expert-map/plan") {
    return view.expert_map(request);
  }
  if (path == "/timeline") {
    return json_response(k_status_ok, view.timeline.to_json());
  }
  return problem_response(k_status_not_found, "Not found", "no such resource");
}

}  // namespace cuminpath::agent
