// Upstreams that hold requests without progress while their neighbours make progress, as known to all
// gateways together. The load it addresses: a few upstreams hang for seconds and still answer health checks,
// so each gateway would have to find every one of them by requests of its own.
//
// A gateway that sees an upstream silent suspects it and says so in its reports. Every gateway that has no
// progress of its own from that upstream then sends it no first attempts. One gateway at a time tries it with
// a single request; progress seen by any gateway ends the suspicion everywhere.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"

namespace cuminpath::gateway {

// What a gateway tells the others. Upstreams are named by upstream_table::upstream::hash.
struct silence_report {
  // Eight of 72 upstreams hanging together is the largest case known. The lowest hashes are reported, so that
  // gateways agree on them if there are more.
  static constexpr std::size_t k_max_upstreams = 8;

  std::vector<std::uint32_t> silent;       // At most k_max_upstreams.
  std::vector<std::uint32_t> progressing;  // Were called silent, but make progress. At most k_max_upstreams.

  [[nodiscard]] bool empty() const { return silent.empty() && progressing.empty(); }
};

struct silence_options {
  // Time without progress until suspicion. A first event is late after 0.4 to 0.5 s and usually takes 0.15 to
  // 0.25 s; two events are at most 0.15 s apart.
  milliseconds threshold{500};
  // An upstream counts as making progress for this long after an event; the longest passes of a shift take
  // 0.2 s. If no upstream of a service makes progress for longer than this, its group or this process is
  // paused.
  milliseconds progress_lifetime{250};
  // A suspicion ends this long after the last sign of silence if nobody tries the upstream.
  milliseconds suspicion_lifetime{2000};
  // The suspicion of a single other gateway counts for this long, as its link may be the cause. An upstream
  // that is wrongly left out is to be back within 2 s.
  milliseconds single_report_lifetime{1800};
  // One gateway tries a suspected upstream in each time slot of this length after the first trial: three
  // trials during a hang of 5 s.
  milliseconds trial_slot{1500};
  // From the suspicion until the first trial. The reports of all gateways that suspect it arrive in this
  // time.
  milliseconds first_trial_after{500};
  // Time for which a refutation is repeated, and for which suspicions are ignored after it: several reports,
  // since one of them may be lost.
  milliseconds refutation_lifetime{1000};
  // update() is called every 50 ms. Longer pauses of this process look like silence of the upstreams.
  milliseconds max_update_gap{150};
};

class silent_upstreams {
public:
  explicit silent_upstreams(silence_options options = {}) : m_options(options) {}

  // A request was sent to the upstream, and its progress depends on nobody else.
  void on_started(std::uint32_t upstream, std::string_view service, time_point now);
  // Output of a request arrived. Refusals and other errors are no progress: upstreams that hang can refuse.
  void on_progress(std::uint32_t upstream, time_point now);
  // Counterpart of on_started().
  void on_ended(std::uint32_t upstream);

  // Replaces what the gateway has said before.
  void on_report(std::string_view gateway, const silence_report& report, time_point now);
  void forget_gateway(std::string_view gateway);

  struct change {
    enum class kind : std::uint8_t {
      suspected,    // By this gateway itself.
      reported,     // By other gateways only.
      progressing,  // Output arrived here.
      refuted,      // Another gateway has seen progress.
      expired,      // No sign of silence any more.
    } type;
    std::uint32_t upstream = 0;
    std::uint32_t gateways = 0;  // That suspect it, the local one included.
  };
  // Suspects upstreams, ends suspicions and chooses trials. `gateways` are the others that callers can use.
  // Returns the changes since the last call.
  std::vector<change> update(time_point now, std::string_view local_name,
                             std::span<const std::string> gateways);

  // Upstreams that get no first attempts as of the last update().
  [[nodiscard]] std::span<const std::uint32_t> silent() const { return m_silent; }
  // Those of them to which this gateway may send one request now; on_started() uses the trial up.
  [[nodiscard]] std::span<const std::uint32_t> trials() const { return m_trials; }

  [[nodiscard]] silence_report report(time_point now) const;
  // Returns true once after report() has gained something that other gateways wait for.
  bool take_news();

private:
  struct suspicion {
    time_point since{};
    time_point last{};  // Last evidence, or last report.
  };
  struct upstream_state {
    std::string service;  // Empty if this gateway has never sent it a request.
    std::uint32_t held = 0;
    time_point silent_since{};  // Of the requests held; valid if there are any.
    time_point last_progress{};
    std::optional<suspicion> own;
    std::map<std::string, suspicion, std::less<>> reported_by;  // Of other gateways, by name.
    // Gateways that have suspected it since `suspected_from`, with the time of the first suspicion; the local
    // one has an empty name. They stay here when their own suspicions end.
    std::map<std::string, time_point, std::less<>> suspected_by;
    bool refuted = false;           // By another gateway; the own suspicion is not reported.
    time_point refuted_until{};     // Suspicions of other gateways are ignored.
    time_point reports_until{};     // Progress after a suspicion is reported.
    time_point suspected_from{};    // Start of the present suspicion by anyone.
    std::int64_t current_slot = 0;  // Of trials.
    std::int64_t tried_slot = -1;
    bool out = false;

    [[nodiscard]] std::uint32_t suspecting() const {
      return static_cast<std::uint32_t>(reported_by.size()) + (own ? 1 : 0);
    }
  };
  struct service_state {
    time_point last_progress{};
    time_point active_since{};  // Without a pause of all upstreams.
    std::uint32_t progressing = 0;
    std::uint32_t lagging = 0;
  };

  [[nodiscard]] bool progresses(const upstream_state& state, time_point now) const {
    return state.last_progress != time_point{} && now - state.last_progress < m_options.progress_lifetime;
  }
  // Time for which the upstream has held requests without progress while its service made progress.
  [[nodiscard]] duration silence(const upstream_state& state, time_point now) const;
  static void begin_suspicion(upstream_state& state, std::string_view gateway, time_point now);
  void end_suspicion(std::uint32_t upstream, upstream_state& state, change::kind reason);
  void count_services(time_point now);
  void suspect(time_point now);
  void expire(time_point now);
  [[nodiscard]] bool is_out(const upstream_state& state, time_point now) const;
  void choose_trials(time_point now, std::string_view local_name, std::span<const std::string> gateways);

  silence_options m_options;
  std::map<std::uint32_t, upstream_state> m_upstreams;  // By hash.
  std::map<std::string, service_state, std::less<>> m_services;
  std::set<std::string, std::less<>> m_reporters;  // Gateways whose last report was not empty.
  std::vector<std::uint32_t> m_silent;
  std::vector<std::uint32_t> m_trials;
  std::vector<change> m_changes;
  time_point m_last_update{};
  bool m_news = false;
};

}  // namespace cuminpath::gateway
