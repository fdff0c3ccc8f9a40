// Decides whether and when a request that waits for a slow upstream is sent to a second one as well.
//
// A second attempt is worth its work if it is likely to turn a late response into one on time. With the
// distribution of recent response times this is, for an attempt that has waited for t and is late after L:
//
//   gain(t) = P(response takes longer than L | it takes longer than t) x P(second response takes at most L -
//   t)
//
// A second attempt is begun at the time at which the expected number of responses saved, less k_price for
// each second attempt, is largest. Without slow upstreams hardly any wait is long enough; with many of them
// the time moves to an earlier quantile. The operator's shares and the retry budget limit the extra work
// whatever the distribution says.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/gateway/configuration.h"
#include "core/gateway/response_times.h"
#include "core/gateway/second_attempt_budget.h"
#include "core/gateway/upstream_table.h"

namespace cuminpath::gateway {

// What an attempt waits for. Kinds of responses have different usual times.
enum class awaited : std::uint8_t {
  response,     // The whole response to a repeatable request.
  first_event,  // Of a stream.
  next_event,   // Of a stream that may be resumed.
};

// Why no second attempt is begun.
enum class second_attempt_refusal : std::uint8_t {
  none,
  not_repeatable,  // The request may run only once, or has ended.
  attempts,        // The route allows no further upstream, or another attempt runs already.
  time_left,       // Less than k_min_time_for_attempt.
  quarantined,     // A part of the prompt crashes upstreams.
  no_gain,         // A second attempt is not likely to make the response on time.
  service_silent,  // No upstream of the service makes progress: a stall, which a second attempt shares.
  slots,           // Free slots are scarce, or all of them are needed for others.
  request_share,   // The operator's share of extra requests is used up.
  token_share,     // The same for tokens.
  retry_budget,
};

std::string_view refusal_name(second_attempt_refusal refusal);

// State of a request with one running attempt.
struct second_attempt_facts {
  awaited what = awaited::response;
  time_point waiting_since{};    // When the attempt was sent, or when its last event with data arrived.
  time_point late_at{};          // From then on the response is late.
  std::string_view upstream_id;  // Of the running attempt.
  bool may_run_again = false;
  bool finished = false;  // The caller has its response, or has left.
  std::uint32_t running_attempts = 0;
  std::uint32_t sent_attempts = 0;
  std::uint32_t max_attempts = 1;
  milliseconds time_left{0};
  bool quarantined = false;
  bool engine = false;                  // Batches requests; its tokens are limited, too.
  bool grouped = false;                 // The upstreams are one expert-parallel group and pause together.
  std::optional<std::uint64_t> tokens;  // Absent if unknown.
  upstream_table::service_totals totals;
  bool slot_available = false;  // At another upstream, for this request.
  bool retry_available = false;
};

struct begin_second_attempt {};
struct look_later {
  time_point at;
  second_attempt_refusal reason;
};
struct no_second_attempt {
  second_attempt_refusal reason;
};
using second_attempt_decision = std::variant<begin_second_attempt, look_later, no_second_attempt>;

// One service at one gateway.
class second_attempt_policy {
public:
  // Upstreams with more than this share of their slots in use get no second attempts, and none are begun
  // while that many of the service's slots are in use. The least urgent first attempts stop at the same
  // share (see max_utilization()), so that second attempts displace none of them.
  static constexpr double k_max_utilization = 0.7;
  // A second attempt must be expected to save this many responses from being late: at least every second one
  // is of use. With 0.25 and a target that half of them can meet, more responses were late than without any
  // (second_attempt_load test, slow by 8): upstreams whose attempts are reset early attract further requests.
  static constexpr double k_price = 0.5;

  void on_request(std::uint64_t tokens, time_point now) { m_budget.on_request(tokens, now); }
  void on_attempt_sent() { ++m_running; }
  // An attempt received what it had waited for since `since`.
  void on_answer(awaited what, std::string_view upstream_id, time_point since, time_point now);
  // The same for an attempt that on_no_answer() was called for since then.
  void on_progress(std::string_view upstream_id, time_point now);
  // An attempt has waited since `since` without an answer, and has been given up or is late.
  void on_no_answer(awaited what, std::string_view upstream_id, time_point since, time_point now);
  void on_attempt_ended() { m_running -= m_running > 0 ? 1 : 0; }

  // Returns when to call decide(): the best time for a second attempt, or, if none is worth it, the time at
  // which the response is late. Absent if a second attempt is out of the question.
  std::optional<time_point> when_to_look(const second_attempt_facts& facts, time_point now);
  // Decides at that time. If the result is begin_second_attempt, the caller begins one and calls
  // on_second_attempt().
  second_attempt_decision decide(const second_attempt_facts& facts, const second_attempt_shares& shares,
                                 time_point now, random_source& random);
  void on_second_attempt(const second_attempt_facts& facts, time_point now);
  // Ids of the upstreams that lately let an attempt wait for too long, for a first or a next event. A second
  // attempt there would be of no use, and the upstream table does not know them as failing before they lose.
  [[nodiscard]] std::vector<std::string> slow_upstreams(time_point now) const;

  // Time that a share of the recent answers took at most; absent if it is not known.
  [[nodiscard]] std::optional<duration> quantile(awaited what, double probability, time_point now) const;

private:
  struct progress {
    std::string upstream_id;
    time_point at{};
  };

  response_times& times(awaited what) { return m_times[static_cast<std::size_t>(what)]; }
  [[nodiscard]] const response_times& times(awaited what) const {
    return m_times[static_cast<std::size_t>(what)];
  }
  // Times that a second attempt takes; for the rest of a stream, that to the first event.
  [[nodiscard]] const response_times& times_of_second(awaited what) const {
    return times(what == awaited::next_event ? awaited::first_event : what);
  }
  [[nodiscard]] bool times_known(awaited what, time_point now) const;
  [[nodiscard]] second_attempt_refusal check_request(const second_attempt_facts& facts) const;
  [[nodiscard]] bool is_worth_it(const second_attempt_facts& facts, time_point now) const;
  [[nodiscard]] bool service_is_silent(const second_attempt_facts& facts, time_point now) const;
  [[nodiscard]] second_attempt_refusal check_limits(const second_attempt_facts& facts,
                                                    const second_attempt_shares& shares, time_point now);
  void note_slow(std::string_view upstream_id, time_point now);
  // Returns true while no upstream of the service makes progress. Samples that contain a stall are not
  // recorded: they say nothing about single upstreams.
  [[nodiscard]] bool in_stall(time_point now) const;

  std::array<response_times, 3> m_times;  // By what is awaited.
  second_attempt_budget m_budget;
  std::uint32_t m_running = 0;  // Attempts of this gateway at the service.
  progress m_last_progress;
  progress m_last_other_progress;  // The last one at another upstream than the above.
  time_point m_stall_ended{};
  std::vector<progress> m_slow_upstreams;  // With the time at which that was seen last.
};

}  // namespace cuminpath::gateway
