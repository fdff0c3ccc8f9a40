#include "core/proxy/placement_explanation.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "core/proxy/exchange_detail.h"

namespace cuminpath::proxy {
namespace {

// A service may have 12,000 upstreams; a page with all of them has several MB, and its text would delay the
// requests of the gateway.
constexpr std::size_t k_max_listed_upstreams = 1000;
constexpr std::string_view k_unknown_workspace = "unknown workspace";

wait_range to_range(const gateway::retry_wait& wait) {
  const auto scaled = [&wait](double factor) {
    return milliseconds(static_cast<std::int64_t>(wait.base_ms * factor));
  };
  return {scaled(wait.min_factor), scaled(wait.max_factor)};
}

const gateway::workspace* find_workspace(const proxy_state& state, const explained_request& explained) {
  const gateway::configuration& configuration = *state.configuration;
  if (!explained.workspace) {
    return configuration.find_workspace(explained.request.header(state.header_names.api_key).value_or(""));
  }
  const auto found = std::find_if(
      configuration.workspaces.begin(), configuration.workspaces.end(),
      [&explained](const gateway::workspace& each) { return each.name == *explained.workspace; });
  return found == configuration.workspaces.end() ? nullptr : &*found;
}

// The checks of exchange::start() after the choice of the service, in the same order.
std::optional<refusal_explanation> explain_refusal(const proxy_state& state, const placement_facts& facts,
                                                   const service_explanation& service,
                                                   const http::request& request, time_point deadline,
                                                   time_point now) {
  if (!fits_planned_stop(state, facts.route, deadline, now)) {
    return refusal_explanation{.reason = k_stopping, .retry_after = wait_after_stop(state)};
  }
  const auto refused = [&](std::string_view reason) {
    const refusal_facts refusal = describe_refusal(state, facts, now);
    return refusal_explanation{.reason = reason,
                               .retry_after = to_range(gateway::retry_wait_range(
                                   refusal.totals, refusal.mean_service, refusal.admission))};
  };
  if (lacks_descriptors(state, state.served_requests + 1)) {
    return refused(k_no_descriptor);
  }
  if (is_engine(facts.configuration, facts.service)) {
    if (const auto verdict = state.prompt_quarantine.judge(hash_prompt_parts(state, request), now)) {
      return refusal_explanation{.reason = k_quarantined,
                                 .retry_after = {verdict->remaining, verdict->remaining},
                                 .quarantined_part = verdict->part};
    }
  }
  if (!gateway::keeps_passes_on_time(service.totals, service.admission)) {
    return refused(k_passes_too_long);
  }
  const bool some_eligible = std::any_of(service.upstreams.begin(), service.upstreams.end(),
                                         [](const upstream_explanation& each) { return !each.excluded; });
  if (!leaves_places_to_waiting_streams(state, facts, now) || !some_eligible) {
    return refused(k_no_free_place);
  }
  return std::nullopt;
}

service_explanation explain_service(const proxy_state& state, placement_facts facts,
                                    const http::request& request, time_point now) {
  const time_point deadline = now + facts.time_left;
  facts.time_left = proxy::time_left(state, deadline, now);
  service_explanation service{.service = facts.service,
                              .totals = state.upstreams.totals(facts.service, now),
                              .admission = make_admission_request(state, facts, now),
                              .waiting_streams = state.waiting(std::string(facts.service))};
  const gateway::choice_options options = make_choice_options(state, facts, now);
  service.max_utilization = options.max_utilization;
  for (const auto& known : state.upstreams.all()) {
    if (known.record.service == facts.service) {
      service.upstreams.push_back({.known = &known,
                                   .load = gateway::upstream_table::placement_load(known, options, now),
                                   .other_zone = known.record.availability_zone != options.availability_zone,
                                   .trial = gateway::upstream_table::gets_trial(known, options),
                                   .excluded = gateway::upstream_table::why_excluded(known, options, now)});
    }
  }
  service.refused = explain_refusal(state, facts, service, request, deadline, now);
  return service;
}

json to_json(const std::optional<refusal_explanation>& refused) {
  if (!refused) {
    return {{"outcome", "placed"}};
  }
  json out{{"outcome", "refused"}, {"status", refused->status}, {"reason", refused->reason}};
  if (refused->retry_after.max.count() > 0) {
    out["retry_after_ms"] = {{"min", refused->retry_after.min.count()},
                             {"max", refused->retry_after.max.count()}};
  }
  if (refused->quarantined_part != 0) {
    out["quarantined_part"] = fmt::format("{:016x}", refused->quarantined_part);
  }
  return out;
}

json to_json(const upstream_explanation& upstream) {
  const gateway::upstream_table::upstream& known = *upstream.known;
  return {{"id", known.record.id},
          {"availability_zone", known.record.availability_zone},
          {"other_zone", upstream.other_zone},
          {"slots", known.record.slots},
          {"local_requests", known.local_requests},
          {"requests_of_other_gateways", known.member_requests},
          {"load", upstream.load},
          {"trial", upstream.trial},
          {"excluded", upstream.excluded ? json(exclusion_name(*upstream.excluded)) : json()}};
}

json to_json(const service_explanation& service) {
  json out = to_json(service.refused);
  const gateway::upstream_table::service_totals& totals = service.totals;
  out["service"] = service.service;
  out["probability"] = service.probability;
  out["slots"] = totals.slots;
  out["outstanding"] = totals.outstanding;
  out["limits"] = {
      {"max_utilization", service.max_utilization},
      {"max_pass_utilization",
       service.admission.max_pass_utilization ? json(*service.admission.max_pass_utilization) : json()},
      {"relative_rank", service.admission.priority},
      {"waiting_streams", service.waiting_streams}};
  std::vector<const upstream_explanation*> order;
  std::map<std::string_view, std::size_t> counts;
  for (const upstream_explanation& each : service.upstreams) {
    order.push_back(&each);
    ++counts[each.excluded ? exclusion_name(*each.excluded) : "eligible"];
  }
  const std::size_t listed = std::min(order.size(), k_max_listed_upstreams);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(listed), order.end(),
                    [](const upstream_explanation* left, const upstream_explanation* right) {
                      const auto key = [](const upstream_explanation& each) {
                        return std::pair(each.excluded.has_value(), std::string_view(each.known->record.id));
                      };
                      return key(*left) < key(*right);
                    });
  json upstreams = json::array();
  for (std::size_t i = 0; i < listed; ++i) {
    upstreams.push_back(to_json(*order[i]));
  }
  out["counts"] = json::object();
  for (const auto& [name, count] : counts) {
    out["counts"][std::string(name)] = count;
  }
  out["upstreams"] = std::move(upstreams);
  out["upstreams_not_listed"] = order.size() - listed;
  return out;
}

http::response json_response(int status, const json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

}  // namespace

std::string_view exclusion_name(gateway::exclusion reason) {
  using gateway::exclusion;
  switch (reason) {
    case exclusion::leaving:
      return "leaving";
    case exclusion::evacuated:
      return "evacuated";
    case exclusion::wrong_instance:
      return "wrong instance";
    case exclusion::superseded:
      return "superseded";
    case exclusion::rejects:
      return "rejects";
    case exclusion::ejected:
      return "ejected";
    case exclusion::silent:
      return "silent";
    case exclusion::tried:
      return "tried";
    case exclusion::full:
      return "full";
    case exclusion::cold:
      return "cold";
  }
  return "";
}

placement_explanation explain_placement(const proxy_state& state, const explained_request& explained,
                                        time_point now) {
  const wait_range short_wait{k_retry_after_without_service, k_retry_after_without_service};
  placement_explanation out;
  const auto refuse = [&out](const refusal_explanation& refusal) {
    out.refused = refusal;
    return out;
  };
  if (!state.configuration) {
    return refuse({.reason = k_no_configuration, .retry_after = short_wait});
  }
  const gateway::configuration& configuration = *state.configuration;
  const http::request& request = explained.request;
  out.configuration_version = configuration.version;
  out.route = configuration.find_route(request.header("Host").value_or(""), request.path());
  if (out.route == nullptr) {
    return refuse({.status = 404, .reason = k_no_route});
  }
  out.priority = out.route->priority;
  out.time_left = out.route->timeout;
  if (const auto stated = stated_time_left(state, request, *out.route)) {
    const auto detector = state.caller_retries.find(out.route->name);
    out.is_retry = detector != state.caller_retries.end() && detector->second.is_retry(*stated);
    out.time_left = std::min(out.time_left, *stated);
  }
  if (out.time_left.count() == 0) {
    return refuse({.reason = k_deadline_passed, .retry_after = short_wait});
  }
  if (requires_key(configuration, *out.route)) {
    out.workspace = find_workspace(state, explained);
    if (out.workspace == nullptr) {
      return refuse({.status = 401, .reason = explained.workspace ? k_unknown_workspace : k_unknown_key});
    }
    out.priority = priority_of(*out.route, out.workspace);
  }
  double total = 0;
  for (const auto& share : out.route->shares) {
    total += share.weight;
  }
  const bool resumes = request.header(state.header_names.resume_after).has_value();
  for (const auto& share : out.route->shares) {
    // Without weights, exchange::choose_service() takes the last one.
    if (share.weight > 0 || (total <= 0 && &share == &out.route->shares.back())) {
      out.services.push_back(explain_service(state,
                                             {.configuration = configuration,
                                              .route = *out.route,
                                              .service = share.service,
                                              .priority = out.priority,
                                              .time_left = out.time_left,
                                              .is_retry = out.is_retry,
                                              .resumes = resumes,
                                              .resumed_by_caller = resumes},
                                             request, now));
      out.services.back().probability = total > 0 ? share.weight / total : 1;
    }
  }
  if (out.services.empty()) {
    return refuse({.reason = k_no_service, .retry_after = short_wait});
  }
  return out;
}

json to_json(const placement_explanation& explanation) {
  json out{{"configuration_version",
            explanation.configuration_version ? json(*explanation.configuration_version) : json()},
           {"workspace", explanation.workspace == nullptr ? json() : json(explanation.workspace->name)},
           {"rank", explanation.priority},
           {"time_left_ms", explanation.time_left.count()},
           {"is_retry", explanation.is_retry},
           {"services", json::array()}};
  if (explanation.refused) {
    out.update(to_json(explanation.refused));
  }
  if (const gateway::route* route = explanation.route) {
    out["route"] = {{"name", route->name},
                    {"kind", call_kind_name(route->kind)},
                    {"timeout_ms", route->timeout.count()},
                    {"target_ms", route->target_latency.count()},
                    {"max_event_gap_ms", route->max_event_gap.count()},
                    {"max_attempts", route->max_attempts}};
  }
  for (const service_explanation& service : explanation.services) {
    out["services"].push_back(to_json(service));
  }
  return out;
}

http::response explain_page(const proxy_state& state, std::string_view gateway_name,
                            const http::request& page_request, time_point now) {
  const auto host = page_request.header(k_explain_host_header);
  const auto target = page_request.header(k_explain_target_header);
  if (!host || !target || !target->starts_with('/')) {
    return json_response(400, {{"detail", "the host or the path of the request is missing"}});
  }
  explained_request explained;
  explained.request.method = page_request.header(k_explain_method_header).value_or("GET");
  explained.request.target = *target;
  explained.request.headers = {{"Host", std::string(*host)}};
  if (const auto key = page_request.header(k_explain_key_header)) {
    explained.request.headers.emplace_back(state.header_names.api_key, *key);
  }
  if (const auto workspace = page_request.header(k_explain_workspace_header)) {
    explained.workspace = *workspace;
  }
  for (const auto& [name, value] : page_request.headers) {
    if (name.size() > k_explain_header_prefix.size() &&
        http::equal_ignoring_case(std::string_view(name).substr(0, k_explain_header_prefix.size()),
                                  k_explain_header_prefix)) {
      explained.request.headers.emplace_back(name.substr(k_explain_header_prefix.size()), value);
    }
  }
  json body = to_json(explain_placement(state, explained, now));
  body["gateway"] = gateway_name;
  body["availability_zone"] = state.availability_zone;
  body["stopping"] = state.stop.has_value();
  return json_response(200, body);
}

}  // namespace cuminpath::proxy
