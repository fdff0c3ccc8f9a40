#include "core/entry/status_pages.h"

#include "core/common/hash.h"
#include "core/common/json.h"
#include "core/entry/problem.h"

namespace cuminpath::entry {
namespace {

http::response text_response(int status, std::string body) {
  return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

http::response json_response(int status, const json& body) {
  return {status,
          {{"Content-Type", "application/json"}},
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http::response refusal(int status, std::string detail) {
  return problem_response({status, wire::execution::not_run, std::move(detail), milliseconds(0)}, "");
}

bool is_authorized(const http::request& request, const std::string& key_sha256) {
  constexpr std::string_view k_scheme = "Bearer ";
  const auto header = request.header("Authorization");
  // Comparing digests prevents timing attacks: the duration of the comparison reveals nothing about the key.
  return header && header->starts_with(k_scheme) && !key_sha256.empty() &&
         sha256_hex(header->substr(k_scheme.size())) == key_sha256;
}

json status_document(const admin_view& view) {
  const auto& counters = view.core.counters();
  return {{"name", view.name},
          {"role", "entry"},
          {"configuration_version", to_integer(view.core.configuration().version())},
          {"ready", view.core.ready() && view.hosts_known && !view.draining},
          {"draining", view.draining},
          {"requests_in_flight", view.core.in_flight()},
          {"requests", counters.requests},
          {"first_attempts", counters.first_attempts},
          {"retries", counters.retries},
          {"free_retries", counters.free_retries},
          {"retries_denied", counters.retries_denied},
          {"resumed_streams", counters.resumed_streams},
          {"late_frames", counters.late_frames},
          {"responses_given_up", counters.responses_given_up},
          {"tokens", counters.tokens},
          {"upstream_agents", view.core.known_peers()},
          {"known_entries", view.known_entries},
          {"peers", view.links.peers}};
}

}  // namespace

http::response respond_to_operator(const http::request& request, const admin_view& view) {
  const auto path = request.path();
  if (path == "/drain") {
    if (request.method != "POST") {
      return refusal(405, "use POST");
    }
    if (!is_authorized(request, view.operator_key_sha256)) {
      return refusal(401, "the operator key is missing or wrong");
    }
    view.drain();
    return json_response(202, {{"draining", true}});
  }
  if (request.method != "GET") {
    return refusal(405, "use GET");
  }
  if (path == "/healthz") {
    return text_response(200, "ok\n");
  }
  if (path == "/readyz") {
    const bool ready = view.core.ready() && !view.draining;
    return ready ? text_response(200, "ready\n") : text_response(503, "not ready\n");
  }
  if (path == "/metrics") {
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, view.metrics.prometheus_text()};
  }
  if (path == "/status") {
    return json_response(200, status_document(view));
  }
  if (path == "/timeline") {
    return json_response(200, view.timeline.to_json());
  }
  return refusal(404, "no such resource");
}

}  // namespace cuminpath::entry
