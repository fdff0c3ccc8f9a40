// State machine of one call that must not run twice (design, section 4.4). It performs no input or output: it
// receives events and returns actions. At most one read, write or settlement is pending at a time, and its
// result must be reported exactly once. No attempt is sent to an upstream before the claim is known to be
// held.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/idempotency/claim_row.h"

namespace cuminpath::idempotency {

// The upstream that the call is sent to, and the agent that runs it.
struct claim_target {
  std::string upstream;
  std::string peer_address;
  // Must be known, because only the process with this incarnation can report the outcome of the attempt.
  incarnation agent{};
};

// The caller of the claim executes the actions and reports their results with the named functions.
struct read_row {};  // Report with on_row() or on_row_failed().
struct write_row {   // Report with on_write_succeeded(), on_write_conflict() or on_write_unknown().
  json value;
  std::uint64_t if_version = 0;
};
struct choose_target {};  // Report with on_target() or on_no_target().
struct send_attempt {     // Report with on_response(), on_refusal() or on_attempt_lost().
  claim_target target;
  attempt_number attempt{};
};
// Asks the agent for the outcome of an attempt and keeps an attempt that it has not seen from running later.
struct settle_attempt {  // Report with on_attempt_status(). Timeouts are handled in tick().
  std::string token;
  attempt_number attempt{};
  std::string peer_address;
};
struct respond {
  stored_response response;
};
struct refuse {
  int status = 503;
  bool not_run = false;  // If false, the call may have run.
  milliseconds retry_after{0};
  std::string detail;
};
using action =
    std::variant<read_row, write_row, choose_target, send_attempt, settle_attempt, respond, refuse>;

enum class settled_state : std::uint8_t { not_seen, running, finished, failed };

class claim {
public:
  // `token` is random and unique to this request.
  claim(std::string token, std::string fingerprint);

  // Begins to claim the key. Without a target, only looks up whether the key has a finished claim.
  void start(std::optional<claim_target> target, std::vector<action>& actions);

  void on_write_succeeded(std::uint64_t version, std::vector<action>& actions);
  // The row did not have the expected version. `current` is the row, or null if there is none.
  void on_write_conflict(time_point now, std::uint64_t version, const json& current,
                         std::vector<action>& actions);
  // The result of the write was lost. It may have taken effect.
  void on_write_unknown(std::vector<action>& actions);
  void on_row(time_point now, std::uint64_t version, const json& current, std::vector<action>& actions);
  void on_row_failed(std::vector<action>& actions);

  void on_target(claim_target target, std::vector<action>& actions);
  void on_no_target(refuse refusal, std::vector<action>& actions);

  void on_response(time_point now, stored_response response, std::vector<action>& actions);
  // `not_run` may be true only if the agent reported it or if nothing was sent.
  void on_refusal(bool not_run, std::string detail, std::vector<action>& actions);
  // Messages of the attempt may be lost. Asks the agent for its outcome.
  void on_attempt_lost(time_point now, std::vector<action>& actions);
  void on_attempt_status(time_point now, incarnation agent, settled_state state, stored_response response,
                         std::vector<action>& actions);

  void tick(time_point now, std::vector<action>& actions);
  // Must be called when the deadline of the caller has passed.
  void expire(std::vector<action>& actions);

  [[nodiscard]] bool done() const { return m_phase == phase::done; }
  [[nodiscard]] const std::string& token() const { return m_token; }
  // Whether an attempt that the local process sent may be running.
  [[nodiscard]] bool attempt_open() const {
    return m_phase == phase::sent || m_phase == phase::settling_local;
  }

private:
  enum class phase : std::uint8_t {
    idle,
    writing,         // A new claim, a takeover or another target is being written.
    verifying,       // The result of that write was lost; the row is being read.
    reading,         // No upstream is available; a finished claim is being looked up.
    settling_other,  // Waiting for an agent to report the outcome of another claimer's attempt.
    choosing,        // Waiting for a target.
    sent,            // Waiting for the response to the attempt.
    settling_local,  // Waiting for an agent to report the outcome of the local attempt.
    storing,         // The response is being written to the row.
    done,
  };

  void write_claim(std::uint64_t if_version, std::vector<action>& actions);
  void take_over(std::uint64_t version, attempt_number last, std::vector<action>& actions);
  // Decides how to proceed from the current row of the key.
  void handle_row(time_point now, std::uint64_t version, const json& current, std::vector<action>& actions);
  void handle_claimed_row(time_point now, std::uint64_t version, claim_row row, std::vector<action>& actions);
  // Sends the attempt after the claim is known to be held.
  void start_attempt(std::uint64_t version, std::vector<action>& actions);
  void store_response(time_point now, claim_row row, std::uint64_t version, stored_response response,
                      std::vector<action>& actions);
  void finish(refuse refusal, std::vector<action>& actions);
  void finish(std::vector<action>& actions);

  std::string m_token;
  std::string m_fingerprint;
  phase m_phase = phase::idle;
  std::optional<claim_target> m_target;
  claim_row m_row;              // Row that is held or being written.
  std::uint64_t m_version = 0;  // Version of the held row, or the version that a write expects.
  bool m_held = false;          // Whether m_row is known to be in the table at m_version.
  claim_row m_other_row;        // Claim of another process that is being settled.
  std::uint64_t m_other_version = 0;
  stored_response m_response;
  time_point m_due_at{};  // Timeout of settling and storing, or next check of a running attempt.
  bool m_recheck_due = false;
  int m_claim_writes = 0;  // Number of claim writes; bounds races with other processes.
};

}  // namespace cuminpath::idempotency
