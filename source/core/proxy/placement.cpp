#include "core/proxy/placement.h"

#include <algorithm>

#include "core/gateway/prompt_parts.h"
#include "core/proxy/exchange_detail.h"

namespace cuminpath::proxy {
namespace {

// Another gateway can take a refused request at once; the spread keeps its callers from coming together.
constexpr milliseconds k_max_wait_for_other_gateway{50};

}  // namespace

std::optional<milliseconds> stated_time_left(const proxy_state& state, const http::request& request,
                                             const gateway::route& route) {
  const auto header = request.header(state.header_names.time_left_ms);
  if (!header) {
    return std::nullopt;
  }
  return milliseconds(std::max<std::int64_t>(0, parse_integer(*header).value_or(route.timeout.count())));
}

milliseconds time_left(const proxy_state& state, time_point deadline, time_point now) {
  const time_point end = state.stop ? std::min(deadline, state.stop->respond_by()) : deadline;
  return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(end - now));
}

bool requires_key(const gateway::configuration& configuration, const gateway::route& route) {
  return !route.is_public && configuration.keys_required;
}

std::uint32_t priority_of(const gateway::route& route, const gateway::workspace* workspace) {
  return workspace == nullptr ? route.priority : workspace->priority.value_or(route.priority);
}

bool is_engine(const gateway::configuration& configuration, std::string_view service) {
  const gateway::service* found = configuration.find_service(service);
  return found != nullptr && found->engine.has_value();
}

bool fits_planned_stop(const proxy_state& state, const gateway::route& route, time_point deadline,
                       time_point now) {
  if (!state.stop) {
    return true;
  }
  const auto service_time = state.service_times.find(route.name);
  const auto longest =
      service_time == state.service_times.end() ? std::nullopt : service_time->second.value(now);
  const gateway::late_request request{.deadline = deadline,
                                      .longest_service_time = longest,
                                      .streamed = route.kind == gateway::call_kind::stream};
  return state.stop->accepts(request, state.other_gateway_ready, now);
}

bool lacks_descriptors(const proxy_state& state, std::size_t requests) {
  return requests > state.limits.served_requests;
}

std::vector<routing::prompt_part> hash_prompt_parts(const proxy_state& state, const http::request& request) {
  const auto model = request.header(state.header_names.model).value_or("");
  std::vector<routing::prompt_part> parts;
  for (const auto id :
       gateway::shared_prompt_parts(request.header(state.header_names.prompt_parts).value_or(""))) {
    parts.push_back(routing::hash_prompt_part(model, id));
  }
  return parts;
}

gateway::admission_request make_admission_request(const proxy_state& state, const placement_facts& facts,
                                                  time_point now) {
  const std::uint32_t most_urgent = facts.configuration.most_urgent_priority(facts.service);
  gateway::admission_request request{.priority = facts.priority - std::min(facts.priority, most_urgent),
                                     .engine = is_engine(facts.configuration, facts.service),
                                     .time_left = facts.time_left,
                                     .is_retry = facts.is_retry};
  const auto limiter = state.concurrency_limiters.find(std::string(facts.service));
  // The rest of a partly served stream is not subject to the forward-pass limit and goes before new requests.
  request.resumes = facts.resumes;
  if (request.engine && !request.resumes && limiter != state.concurrency_limiters.end()) {
    const auto totals = state.upstreams.totals(facts.service, now);
    const auto capacity = limiter->second.max_requests(
        facts.route.max_event_gap, *facts.configuration.find_service(facts.service)->engine, now);
    if (capacity && totals.slots > 0) {
      request.slot_share = static_cast<double>(totals.upstreams) / totals.slots;
      request.max_pass_utilization = *capacity * request.slot_share;
    }
  }
  return request;
}

bool leaves_places_to_waiting_streams(const proxy_state& state, const placement_facts& facts,
                                      time_point now) {
  // Streams without a retry left could not use the places.
  const std::string service(facts.service);
  const auto retries = state.retry_budgets.find(service);
  const std::uint32_t waiting = std::min(
      state.waiting(service), retries == state.retry_budgets.end() ? 0U : retries->second.retries_left());
  return waiting == 0 || facts.resumed_by_caller ||
         gateway::leaves_places(state.upstreams.totals(service, now), waiting);
}

gateway::choice_options make_choice_options(const proxy_state& state, const placement_facts& facts,
                                            time_point now) {
  // Trials use streams of engines that have not run anywhere yet: their progress is seen at once, and another
  // upstream may take them over.
  const bool may_try = facts.first_attempt && facts.route.kind == gateway::call_kind::stream &&
                       is_engine(facts.configuration, facts.service);
  return {.availability_zone = state.availability_zone,
          .excluded = facts.tried_upstreams,
          .trials = may_try ? state.silent_upstreams.trials() : std::span<const std::uint32_t>{},
          .max_utilization = gateway::max_utilization(make_admission_request(state, facts, now)),
          .cold_limiter = &state.cold_limiter};
}

refusal_facts describe_refusal(const proxy_state& state, const placement_facts& facts, time_point now) {
  const std::string service(facts.service);
  const auto mean = state.mean_service_times.find(service);
  const auto known = state.service_states.find(service);
  refusal_facts refusal{
      .totals = state.upstreams.totals(service, now),
      .mean_service = mean == state.mean_service_times.end() ? k_default_service_time : mean->second,
      .admission = make_admission_request(state, facts, now)};
  refusal.admission.service_unavailable =
      known != state.service_states.end() && known->second.unavailable(now);
  return refusal;
}

wait_range wait_after_stop(const proxy_state& state) {
  return state.other_gateway_ready
             ? wait_range{milliseconds{1}, k_max_wait_for_other_gateway}
             : wait_range{k_retry_after_without_service, 2 * k_retry_after_without_service - milliseconds{1}};
}

}  // namespace cuminpath::proxy
