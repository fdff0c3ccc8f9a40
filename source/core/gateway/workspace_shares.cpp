#include "core/gateway/workspace_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <vector>

namespace cuminpath::gateway {
namespace {

// Longer than a usual request runs, so that the sums follow what workspaces hold and not single requests;
// short enough that a workspace whose burst has ended is served as before within some seconds.
constexpr seconds k_half_life{4};
// All sums decay together. Shares depend on their ratios only, so decay in steps has no effect on decisions.
constexpr milliseconds k_decay_interval{50};
// Sums below this are dropped with their workspace. A request costs 1 or more.
constexpr double k_negligible_cost = 0.001;
// Time during which nobody is refused after the first request: shares of a few requests are random.
constexpr milliseconds k_min_observation{500};
// While slots are as scarce as this, the admitted cost stays as it is: the rest of the headroom is left for
// requests of workspaces within their shares. At 0.5, shares left 1.2% of 720 slots unused at a load of 1.2.
constexpr double k_balanced_scarcity = 0.7;
// If no more than this part of the cost was refused lately, there is no overload: a burst has used up the
// slots for a moment, and they are free again before shares have an effect.
constexpr double k_negligible_refusals = 0.1;
// Part of the capacity that is divided in proportion to what is asked for. Requests of every workspace are
// served at least this many times as often as all requests; callers accept a quarter.
constexpr double k_proportional_part = 1.0 / 3;
// A second refusal is final for a caller, so returning callers may exceed the share a little and go before
// new requests of their workspace.
constexpr double k_retry_allowance = 1.1;

template <std::size_t ranks>
double sum_up_to(const std::array<double, ranks>& values, std::size_t rank) {
  return std::accumulate(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank) + 1, 0.0);
}

}  // namespace

void workspace_shares::on_request(const share_request& request, time_point now) {
  decay(now);
  if (m_workspaces.empty()) {
    m_observed_since = now;
  }
  const std::size_t rank = std::min<std::size_t>(request.rank, k_ranks - 1);
  m_workspaces[std::string(request.workspace)].requested.at(rank) += request.cost;
}

void workspace_shares::on_admitted(const share_request& request, time_point now) {
  decay(now);
  const std::size_t rank = std::min<std::size_t>(request.rank, k_ranks - 1);
  const auto found = m_workspaces.find(std::string(request.workspace));
  if (found != m_workspaces.end()) {
    found->second.admitted.at(rank) += request.cost;
  }
}

bool workspace_shares::may_admit(const share_request& request, double scarcity, time_point now) const {
  const auto found = m_workspaces.find(std::string(request.workspace));
  if (scarcity <= 0 || found == m_workspaces.end() || now - m_observed_since < k_min_observation) {
    return true;
  }
  const std::size_t rank = std::min<std::size_t>(request.rank, k_ranks - 1);
  const double allowance = request.is_retry ? k_retry_allowance : 1;
  return sum_up_to(found->second.admitted, rank) <= allowance * share(found->second, rank, scarcity);
}

void workspace_shares::decay(time_point now) {
  const duration elapsed = now - m_decayed_at;
  if (elapsed < k_decay_interval) {
    return;
  }
  const double factor = std::exp2(-std::chrono::duration<double>(elapsed) / k_half_life);
  m_decayed_at = now;
  for (auto& [name, sums] : m_workspaces) {
    for (std::size_t rank = 0; rank < k_ranks; ++rank) {
      sums.requested.at(rank) *= factor;
      sums.admitted.at(rank) *= factor;
    }
  }
  std::erase_if(m_workspaces, [](const auto& each) {
    return sum_up_to(each.second.requested, k_ranks - 1) < k_negligible_cost;
  });
}

double workspace_shares::share(const use& workspace, std::size_t rank, double scarcity) const {
  std::vector<double> requested;
  requested.reserve(m_workspaces.size());
  double admitted = 0;
  for (const auto& [name, sums] : m_workspaces) {
    if (const double cost = sum_up_to(sums.requested, rank); cost >= k_negligible_cost) {
      requested.push_back(cost);
      admitted += sum_up_to(sums.admitted, rank);
    }
  }
  constexpr double k_unlimited = std::numeric_limits<double>::infinity();
  const double all_requested = std::accumulate(requested.begin(), requested.end(), 0.0);
  const double capacity = admitted * (1 + k_balanced_scarcity - scarcity);
  const double own_requested = sum_up_to(workspace.requested, rank);
  const bool overload = admitted < (1 - k_negligible_refusals) * all_requested;
  const bool within_equal_share = own_requested * static_cast<double>(requested.size()) <= admitted;
  // With one workspace there is nobody to leave capacity to.
  if (requested.size() < 2 || admitted <= 0 || !overload || within_equal_share || capacity >= all_requested) {
    return k_unlimited;
  }
  const double proportion = k_proportional_part * capacity / all_requested;
  double rest = (1 - k_proportional_part) * capacity;
  double even_share = 0;
  std::sort(requested.begin(), requested.end());
  for (std::size_t i = 0; i < requested.size(); ++i) {
    const double unserved = (1 - proportion) * requested[i];
    even_share = rest / static_cast<double>(requested.size() - i);
    if (unserved >= even_share) {
      break;
    }
    rest -= unserved;
  }
  return proportion * own_requested + even_share;
}

}  // namespace cuminpath::gateway
