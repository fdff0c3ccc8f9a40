// The queue of requests that wait in the gateway for a place at an upstream, and the times at which refused
// callers return. Without the setting `admission_queue_share` nothing here changes what an exchange does.

#include "core/gateway/admission.h"
#include "core/proxy/exchange.h"
#include "core/proxy/exchange_detail.h"
#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

using telemetry::log_level;

// Places that end at other gateways, and upstreams that return, are seen at this interval; the target
// latencies that waits are a share of are hundreds of milliseconds.
constexpr milliseconds k_queue_check_interval{25};
constexpr std::string_view k_no_place = "no upstream has a free place";

}  // namespace

gateway::queue_rank exchange::queue_rank() const {
  // A caller that asks for the rest of a stream goes before new requests, as it does for free places.
  return {.priority = m_priority,
          .returning = m_is_retry || m_request.header(m_state.header_names.resume_after).has_value()};
}

bool exchange::goes_behind_others(time_point now) {
  gateway::admission_queue& queue = m_state.admission_queue;
  if (!queue.enabled()) {
    return false;
  }
  if (m_is_retry) {
    queue.on_return(m_service, m_priority, now);
  }
  if (queue.count_before(m_service, queue_rank()) > 0) {
    return true;
  }
  const std::uint32_t promised = queue.promised_places(m_service, queue_rank(), now);
  if (promised == 0) {
    return false;
  }
  auto totals = m_state.upstreams.totals(m_service, now);
  totals.outstanding += promised;
  const auto request = make_admission_request(now);
  return !gateway::keeps_passes_on_time(totals, request) ||
         totals.outstanding >= gateway::max_utilization(request) * totals.slots;
}

bool exchange::wait_for_place(time_point now) {
  gateway::admission_queue& queue = m_state.admission_queue;
  if (!queue.enabled() || m_state.stop || m_state.service_state(m_service).unavailable(now) ||
      m_state.upstreams.totals(m_service, now).upstreams == 0) {
    return false;
  }
  const auto outcome = queue.join({.service = m_service,
                                   .rank = queue_rank(),
                                   .target_latency = m_route->target_latency,
                                   .arrived = m_arrived,
                                   .deadline = end_of_time()},
                                  now);
  const auto* place = std::get_if<gateway::admission_queue::place>(&outcome);
  if (place == nullptr) {
    return false;
  }
  m_queue_ticket = place->id;
  m_queued_at = now;
  m_queue_until = place->wait_until;
  m_state.queued_requests.emplace(place->id, weak_from_this());
  telemetry::log(log_level::info, "request", "waits for a place",
                 {{"request", m_request_id},
                  {"service", m_service},
                  {"rank", static_cast<std::int64_t>(m_priority)},
                  {"returning", queue_rank().returning},
                  {"position", static_cast<std::int64_t>(place->position)},
                  {"expected_wait_ms", place->expected_wait.count()},
                  {"longest_wait_ms", ms_between(now, place->wait_until)},
                  {"freed_per_s", queue.freed_per_s(m_service, now)}});
  arm_queue_timer(m_queue_until);
  if (place->displaced) {
    if (const auto displaced = m_state.queued_requests.at(*place->displaced).lock()) {
      displaced->arm_queue_timer(now);
    }
  }
  if (queue.size() == 1) {
    schedule_queue_check(m_state, now + k_queue_check_interval);
  }
  return true;
}

void exchange::arm_queue_timer(time_point at) {
  m_wait_timer.expires_at(at);
  m_wait_timer.async_wait([self = shared_from_this()](std::error_code cancelled) {
    if (!cancelled && self->m_queue_ticket) {
      self->on_queue_wait_over(clock::now());
    }
  });
}

void exchange::on_queue_wait_over(time_point now) {
  if (m_state.stop) {
    refuse_for_stop();
  } else {
    refuse(503, now < m_queue_until ? "more urgent requests fill the queue" : k_no_place, now);
  }
}

bool exchange::leave_queue_if_hopeless(bool upstream_left, time_point now) {
  if (m_state.stop || now >= m_queue_until) {
    on_queue_wait_over(now);
    return true;
  }
  if (!upstream_left) {
    refuse(503, k_no_place, now);
    return true;
  }
  if (m_state.prompt_quarantine.quarantined(m_prompt_parts, now)) {
    m_prompt_parts.clear();  // They are read again.
    return refuse_quarantined(now);
  }
  return false;
}

bool exchange::take_place(time_point now) {
  if (!gateway::keeps_passes_on_time(m_state.upstreams.totals(m_service, now), make_admission_request(now)) ||
      !leaves_places_to_waiting_streams(now)) {
    return false;
  }
  const auto* target = choose_upstream(now);
  if (target == nullptr) {
    return false;
  }
  leave_queue("slot");
  charge_workspace(now);
  begin_attempt(*target, now);
  return true;
}

void exchange::leave_queue(std::string_view end) {
  const auto id = std::exchange(m_queue_ticket, std::nullopt);
  if (!id) {
    return;
  }
  m_wait_timer.cancel();
  m_state.admission_queue.leave(*id);
  m_state.queued_requests.erase(*id);
  m_state.metrics.add("cuminpath_admission_queue_waits_total", {{"end", std::string(end)}});
  m_state.metrics.observe("cuminpath_admission_queue_wait_seconds",
                          std::chrono::duration<double>(clock::now() - m_queued_at).count(),
                          {{"end", std::string(end)}});
}

void exchange::on_place_freed(const upstream_attempt& attempt, time_point now) {
  if (!m_state.admission_queue.enabled()) {
    return;
  }
  // Requests that upstreams refuse would count as places that become free, and callers would be promised
  // places at the rate of refusals.
  if (attempt.answered) {
    m_state.admission_queue.on_place_freed(m_service, now);
  }
  // Not at once: the exchange that ends may send its request to another upstream.
  schedule_queue_check(m_state, now);
}

std::optional<milliseconds> exchange::promise_return(const gateway::upstream_table::service_totals& totals,
                                                     const gateway::admission_request& admission,
                                                     time_point now) {
  if (!m_state.admission_queue.enabled() || m_state.stop || admission.service_unavailable ||
      totals.all_reject_for || totals.cold == totals.upstreams) {
    return std::nullopt;  // retry_after() knows how long this may last.
  }
  return m_state.admission_queue.promise_return(m_service, queue_rank(), admission.time_left, now,
                                                m_state.random);
}

void exchange::schedule_queue_check(proxy_state& state, time_point at) {
  if (state.admission_queue.size() == 0) {
    return;
  }
  state.queue_timer.expires_at(at);
  state.queue_timer.async_wait([&state](std::error_code cancelled) {
    if (!cancelled) {
      serve_queue(state, clock::now());
    }
  });
}

void exchange::serve_queue(proxy_state& state, time_point now) {
  for (const std::string& service : state.admission_queue.services()) {
    const bool upstream_left = state.upstreams.totals(service, now).upstreams > 0;
    bool blocked = false;  // The others do not overtake the first that finds no place.
    for (const auto id : state.admission_queue.order(service)) {
      const auto found = state.queued_requests.find(id);
      const auto waiting = found == state.queued_requests.end() ? nullptr : found->second.lock();
      if (!waiting) {
        continue;  // It has ended while those before it were served.
      }
      if (!waiting->leave_queue_if_hopeless(upstream_left, now) && !blocked) {
        blocked = !waiting->take_place(now);
      }
    }
  }
  schedule_queue_check(state, now + k_queue_check_interval);
}

}  // namespace cuminpath::proxy
