#include "core/proxy/silence_exchange.h"

#include <utility>
#include <vector>

#include <fmt/format.h>

#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

using kind = gateway::silent_upstreams::change::kind;
using telemetry::log_level;

// Reports about silent upstreams are sent at most this often, twice as often as the regular ones.
constexpr milliseconds k_min_report_interval{100};

std::string_view name(kind type) {
  switch (type) {
    case kind::suspected:
      return "suspected";
    case kind::reported:
      return "reported";
    case kind::progressing:
      return "progressing";
    case kind::refuted:
      return "refuted";
    case kind::expired:
      return "expired";
  }
  return "";
}

}  // namespace

silence_exchange::silence_exchange(proxy_state& state, std::string local_name)
    : m_state(state), m_local_name(std::move(local_name)) {}

bool silence_exchange::tick(const gateway::member_list& members, time_point now) {
  auto& silent = m_state.silent_upstreams;
  std::vector<std::string> gateways;
  if (!silent.silent().empty()) {
    for (const auto* member : members.usable(m_state.availability_zone, members.all().size(), now)) {
      gateways.push_back(member->report.name);
    }
  }
  const auto changes = silent.update(now, m_local_name, gateways);
  m_state.upstreams.set_silent(silent.silent());
  for (const auto& change : changes) {
    log_change(change);
  }
  m_news = silent.take_news() || m_news;
  return m_news && now - m_last_report >= k_min_report_interval;
}

gateway::silence_report silence_exchange::report(time_point now) {
  m_news = false;
  m_last_report = now;
  return m_state.silent_upstreams.report(now);
}

void silence_exchange::log_change(const gateway::silent_upstreams::change& change) {
  const bool silent = change.type == kind::suspected || change.type == kind::reported;
  const auto* upstream = m_state.upstreams.find_by_hash(change.upstream);
  telemetry::log(
      log_level::info, "upstreams", silent ? "upstream is silent" : "upstream is no longer silent",
      {{"upstream", upstream == nullptr ? fmt::format("{:08x}", change.upstream) : upstream->record.id},
       {"cause", name(change.type)},
       {"gateways", static_cast<std::int64_t>(change.gateways)},
       {"left_out", upstream != nullptr && upstream->silent},
       {"requests_there",
        upstream == nullptr ? std::int64_t{0} : static_cast<std::int64_t>(upstream->local_requests)}});
  m_state.metrics.add("cuminpath_silent_upstream_changes_total", {{"cause", std::string(name(change.type))}});
  m_state.metrics.set("cuminpath_silent_upstreams",
                      static_cast<double>(m_state.silent_upstreams.silent().size()));
}

}  // namespace cuminpath::proxy
