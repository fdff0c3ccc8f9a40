#include "core/gateway/silent_upstreams.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/common/hash.h"

namespace cuminpath::gateway {
namespace {

// An upstream is suspected only if at least this many others of its service make progress for each one that
// does not. If more than a quarter stands still, the cause is shared: a held group, a zone, or a link.
constexpr std::uint32_t k_min_progressing_per_lagging = 3;

}  // namespace

void silent_upstreams::on_started(std::uint32_t upstream, std::string_view service, time_point now) {
  upstream_state& state = m_upstreams[upstream];
  state.service = service;
  if (state.held++ == 0) {
    state.silent_since = now;
  }
  if (state.out) {
    state.tried_slot = state.current_slot;
    std::erase(m_trials, upstream);
  }
}

void silent_upstreams::on_progress(std::uint32_t upstream, time_point now) {
  const auto found = m_upstreams.find(upstream);
  if (found == m_upstreams.end()) {
    return;
  }
  upstream_state& state = found->second;
  state.last_progress = state.silent_since = now;
  if (!state.service.empty()) {
    service_state& service = m_services[state.service];
    if (now - service.last_progress > m_options.progress_lifetime) {
      service.active_since = now;
    }
    service.last_progress = now;
  }
  if (state.suspecting() > 0) {
    m_news = true;
    state.reports_until = state.refuted_until = now + m_options.refutation_lifetime;
    end_suspicion(upstream, state, change::kind::progressing);
  }
}

void silent_upstreams::on_ended(std::uint32_t upstream) {
  const auto found = m_upstreams.find(upstream);
  if (found == m_upstreams.end() || found->second.held == 0 || --found->second.held > 0) {
    return;
  }
  if (found->second.refuted) {
    end_suspicion(upstream, found->second, change::kind::refuted);
  }
}

void silent_upstreams::on_report(std::string_view gateway, const silence_report& report, time_point now) {
  if (const auto reporter = m_reporters.find(gateway); reporter != m_reporters.end()) {
    m_reporters.erase(reporter);
    for (auto& [upstream, state] : m_upstreams) {
      const auto entry = state.reported_by.find(gateway);
      if (entry != state.reported_by.end() &&
          std::find(report.silent.begin(), report.silent.end(), upstream) == report.silent.end()) {
        state.reported_by.erase(entry);
      }
    }
  }
  if (report.empty()) {
    return;
  }
  m_reporters.emplace(gateway);
  for (const std::uint32_t upstream : report.progressing) {
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
      continue;
    }
    upstream_state& state = found->second;
    state.refuted_until = now + m_options.refutation_lifetime;
    if (state.own && state.held > 0) {
      // Requests of this gateway are stuck there: the cause is between the two, and others need not know.
      state.refuted = true;
      state.reported_by.clear();
    } else {
      end_suspicion(upstream, state, change::kind::refuted);
    }
  }
  for (const std::uint32_t upstream : report.silent) {
    upstream_state& state = m_upstreams[upstream];
    if (now >= state.refuted_until) {
      begin_suspicion(state, gateway, now);
      state.reported_by.try_emplace(std::string(gateway), suspicion{now, now}).first->second.last = now;
    }
  }
}

void silent_upstreams::forget_gateway(std::string_view gateway) {
  on_report(gateway, {}, time_point{});
}

std::vector<silent_upstreams::change> silent_upstreams::update(time_point now, std::string_view local_name,
                                                               std::span<const std::string> gateways) {
  if (now - m_last_update > m_options.max_update_gap) {
    for (auto& [name, service] : m_services) {
      service.active_since = now;
    }
  }
  m_last_update = now;
  count_services(now);
  suspect(now);
  expire(now);
  m_silent.clear();
  for (auto& [upstream, state] : m_upstreams) {
    const bool out = is_out(state, now);
    if (out && !state.out) {
      m_changes.push_back(
          {state.own ? change::kind::suspected : change::kind::reported, upstream, state.suspecting()});
    }
    state.out = out;
    if (out) {
      m_silent.push_back(upstream);
    }
  }
  choose_trials(now, local_name, gateways);
  return std::exchange(m_changes, {});
}

silence_report silent_upstreams::report(time_point now) const {
  silence_report out;
  for (const auto& [upstream, state] : m_upstreams) {
    if (state.own && !state.refuted && out.silent.size() < silence_report::k_max_upstreams) {
      out.silent.push_back(upstream);
    } else if (now < state.reports_until && out.progressing.size() < silence_report::k_max_upstreams) {
      out.progressing.push_back(upstream);
    }
  }
  return out;
}

bool silent_upstreams::take_news() {
  return std::exchange(m_news, false);
}

duration silent_upstreams::silence(const upstream_state& state, time_point now) const {
  const auto service = m_services.find(state.service);
  return service == m_services.end() ? duration{0}
                                     : now - std::max(state.silent_since, service->second.active_since);
}

void silent_upstreams::begin_suspicion(upstream_state& state, std::string_view gateway, time_point now) {
  if (state.suspecting() == 0) {
    state.suspected_from = now;
    state.current_slot = 0;
    state.tried_slot = -1;
    state.suspected_by.clear();
  }
  state.suspected_by.try_emplace(std::string(gateway), now);
}

void silent_upstreams::end_suspicion(std::uint32_t upstream, upstream_state& state, change::kind reason) {
  const std::uint32_t gateways = state.suspecting();
  state.own.reset();
  state.refuted = false;
  state.reported_by.clear();
  if (std::exchange(state.out, false)) {
    m_changes.push_back({reason, upstream, gateways});
  }
}

void silent_upstreams::count_services(time_point now) {
  for (auto& [name, service] : m_services) {
    service.progressing = service.lagging = 0;
  }
  for (const auto& [upstream, state] : m_upstreams) {
    const auto service = m_services.find(state.service);
    if (service == m_services.end()) {
      continue;
    }
    if (progresses(state, now)) {
      ++service->second.progressing;
    } else if (state.held > 0 && silence(state, now) >= m_options.progress_lifetime) {
      ++service->second.lagging;
    }
  }
}

void silent_upstreams::suspect(time_point now) {
  for (auto& [upstream, state] : m_upstreams) {
    if (state.held == 0 || silence(state, now) < m_options.threshold) {
      continue;
    }
    const service_state& service = m_services[state.service];
    if (service.progressing < k_min_progressing_per_lagging * service.lagging) {
      continue;
    }
    if (!state.own) {
      begin_suspicion(state, {}, now);
      state.own = {now, now};
      m_news = true;
    }
    state.own->last = now;
  }
}

void silent_upstreams::expire(time_point now) {
  for (auto& [upstream, state] : m_upstreams) {
    std::erase_if(state.reported_by,
                  [&](const auto& entry) { return now - entry.second.last > m_options.suspicion_lifetime; });
    if (state.own && now - state.own->last > m_options.suspicion_lifetime) {
      state.own.reset();
      state.refuted = false;
    }
    if (state.out && state.suspecting() == 0) {
      end_suspicion(upstream, state, change::kind::expired);
    }
  }
  std::erase_if(m_upstreams, [&](const auto& entry) {
    const upstream_state& state = entry.second;
    return state.held == 0 && state.suspecting() == 0 &&
           now > std::max({state.last_progress, state.refuted_until, state.reports_until}) +
                     m_options.suspicion_lifetime;
  });
}

bool silent_upstreams::is_out(const upstream_state& state, time_point now) const {
  if (state.own) {
    return true;
  }
  if (state.reported_by.empty() || progresses(state, now)) {
    return false;
  }
  return state.suspected_by.size() > 1 ||
         now - state.reported_by.begin()->second.since < m_options.single_report_lifetime;
}

void silent_upstreams::choose_trials(time_point now, std::string_view local_name,
                                     std::span<const std::string> gateways) {
  m_trials.clear();
  for (auto& [upstream, state] : m_upstreams) {
    const time_point first_trial_at = state.suspected_from + m_options.first_trial_after;
    if (!state.out || now < first_trial_at) {
      continue;
    }
    state.current_slot = (now - first_trial_at) / m_options.trial_slot;
    if (state.tried_slot >= state.current_slot) {
      continue;
    }
    // A gateway that suspects the upstream may be behind a slow link, so the others come first. A suspicion
    // that has begun in this slot may be the result of its trial, and must not call for another one.
    const time_point slot_began = first_trial_at + state.current_slot * m_options.trial_slot;
    const std::string key = fmt::format("{}/{}", upstream, state.current_slot);
    const auto order = [&suspected_by = state.suspected_by, &key, slot_began](std::string_view known_as,
                                                                              std::string_view name) {
      const auto first = suspected_by.find(known_as);
      return std::pair(first == suspected_by.end() || first->second >= slot_began,
                       rendezvous_weight(key, name));
    };
    const auto local = order({}, local_name);
    const bool chosen = std::none_of(gateways.begin(), gateways.end(),
                                     [&](const std::string& name) { return order(name, name) > local; });
    if (chosen) {
      m_trials.push_back(upstream);
    }
  }
}

}  // namespace cuminpath::gateway
