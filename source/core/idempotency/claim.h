// State machine of one call that may not be repeated (design, section 4.4). Without input or output: events
// come in, actions go out. At most one read, write or settlement is open at a time; its result is reported
// once. Nothing is sent to an upstream before the claim is known to be held.
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

struct claim_target {
  std::string upstream;
  std::string peer_address;
  // Must be known: only the process that was claimed for can tell what became of the attempt.
  incarnation agent{};
};

struct read_row {};  // Report with on_row() or on_row_failed().
struct write_row {   // Report with on_write_won(), on_write_lost() or on_write_unknown().
  json value;
  std::uint64_t if_version = 0;
};
struct choose_target {};  // Report with on_target() or on_no_target().
struct send_attempt {     // Report with on_answer(), on_refusal() or on_attempt_lost().
  claim_target target;
  attempt_number attempt{};
};
struct settle {  // Report with on_attempt_status(). Time-outs are handled in tick().
  std::string token;
  attempt_number attempt{};
  std::string peer_address;
};
struct respond {
  stored_response response;
};
struct refuse {
  int status = 503;
  bool not_run = false;  // False: the call may have run.
  milliseconds retry_after{0};
  std::string detail;
};
using action = std::variant<read_row, write_row, choose_target, send_attempt, settle, respond, refuse>;

enum class settled_state : std::uint8_t { not_seen, running, finished, failed };

class claim {
public:
  // `token` is random and unique to this request.
  claim(std::string token, std::string fingerprint);

  // Without a target, a finished claim is still looked up.
  void start(std::optional<claim_target> target, std::vector<action>& actions);

  void on_write_won(std::uint64_t version, std::vector<action>& actions);
  // `current` is null if there is no row.
  void on_write_lost(time_point now, std::uint64_t version, const json& current,
                     std::vector<action>& actions);
  // The write may have taken effect.
  void on_write_unknown(std::vector<action>& actions);
  void on_row(time_point now, std::uint64_t version, const json& current, std::vector<action>& actions);
  void on_row_failed(std::vector<action>& actions);

  void on_target(claim_target target, std::vector<action>& actions);
  void on_no_target(refuse refusal, std::vector<action>& actions);

  void on_answer(time_point now, stored_response response, std::vector<action>& actions);
  // `not_run` only on the agent's word, or if nothing has left this process.
  void on_refusal(bool not_run, std::string detail, std::vector<action>& actions);
  // Messages of the attempt may be lost: asks the agent what became of it.
  void on_attempt_lost(time_point now, std::vector<action>& actions);
  void on_attempt_status(time_point now, incarnation agent, settled_state state, stored_response response,
                         std::vector<action>& actions);

  void tick(time_point now, std::vector<action>& actions);
  // The caller's deadline has passed.
  void expire(std::vector<action>& actions);

  [[nodiscard]] bool done() const { return m_phase == phase::done; }
  [[nodiscard]] const std::string& token() const { return m_token; }
  // Whether an attempt of this process may be running.
  [[nodiscard]] bool attempt_open() const { return m_phase == phase::sent || m_phase == phase::settling_own; }

private:
  enum class phase : std::uint8_t {
    idle,
    writing,         // A claim, takeover or move is being written.
    verifying,       // The result of that write was lost; the row is being read back.
    reading,         // No upstream is available; looking for a finished claim.
    settling_other,  // Waiting for an agent's word on another claimer's attempt.
    choosing,
    sent,
    settling_own,
    storing,  // The response is being written to the row.
    done,
  };

  void write_claim(std::uint64_t if_version, std::vector<action>& actions);
  void take_over(std::uint64_t version, attempt_number last, std::vector<action>& actions);
  void inspect(time_point now, std::uint64_t version, const json& current, std::vector<action>& actions);
  void inspect_claimed(time_point now, std::uint64_t version, claim_row row, std::vector<action>& actions);
  void hold(std::uint64_t version, std::vector<action>& actions);
  void store(time_point now, claim_row row, std::uint64_t version, stored_response response,
             std::vector<action>& actions);
  void finish(refuse refusal, std::vector<action>& actions);
  void finish(std::vector<action>& actions);

  std::string m_token;
  std::string m_fingerprint;
  phase m_phase = phase::idle;
  std::optional<claim_target> m_target;
  claim_row m_row;              // Held, or being written.
  std::uint64_t m_version = 0;  // Of the row: the held one, or the one that a write expects.
  bool m_held = false;          // m_row is known to be in the table at m_version.
  claim_row m_other;            // The claim of another process, while it is being settled.
  std::uint64_t m_other_version = 0;
  stored_response m_response;
  time_point m_due{};  // Time-out of settling and storing; next check of a running attempt.
  bool m_recheck = false;
  int m_rounds = 0;  // Writes of a claim so far; bounds races with other processes.
};

}  // namespace cuminpath::idempotency
