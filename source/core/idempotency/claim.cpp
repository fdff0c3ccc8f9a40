#include "core/idempotency/claim.h"

#include <utility>

namespace cuminpath::idempotency {
namespace {

// An agent settles an attempt from memory, so one second is enough for the network and a busy process.
constexpr milliseconds k_settle_timeout{1000};
// Bounds the delay of a response while the table is slow. The write continues after the timeout.
constexpr milliseconds k_store_timeout{1000};
constexpr milliseconds k_recheck_interval{500};
constexpr milliseconds k_retry_after{1000};
constexpr int k_max_claim_writes = 6;
// Larger responses are not stored, because the table service is shared. The agent still retains them.
constexpr std::size_t k_max_stored_bytes = 256U << 10U;

refuse in_progress(std::string detail) {
  return refuse{409, false, k_retry_after, std::move(detail)};
}

refuse table_unavailable() {
  return refuse{503, true, k_retry_after, "the claim of the idempotency key could not be confirmed"};
}

}  // namespace

claim::claim(std::string token, std::string fingerprint)
    : m_token(std::move(token)), m_fingerprint(std::move(fingerprint)) {}

void claim::start(std::optional<claim_target> target, std::vector<action>& actions) {
  m_target = std::move(target);
  if (!m_target) {
    m_phase = phase::reading;
    actions.emplace_back(read_row{});
    return;
  }
  m_row.attempt = attempt_number{1};
  write_claim(0, actions);
}

void claim::write_claim(std::uint64_t if_version, std::vector<action>& actions) {
  if (++m_claim_writes > k_max_claim_writes) {
    // All earlier attempts are known not to have run, otherwise this write would not be tried.
    finish(table_unavailable(), actions);
    return;
  }
  m_row.token = m_token;
  m_row.fingerprint = m_fingerprint;
  m_row.upstream = m_target->upstream;
  m_row.peer_address = m_target->peer_address;
  m_row.agent = m_target->agent;
  m_row.state = claim_state::claimed;
  m_version = if_version;
  m_held = false;
  m_phase = phase::writing;
  actions.emplace_back(write_row{to_json(m_row), if_version});
}

void claim::start_attempt(std::uint64_t version, std::vector<action>& actions) {
  m_version = version;
  m_held = true;
  m_recheck_due = false;
  m_phase = phase::sent;
  actions.emplace_back(send_attempt{*m_target, m_row.attempt});
}

void claim::on_write_succeeded(std::uint64_t version, std::vector<action>& actions) {
  if (m_phase == phase::writing) {
    start_attempt(version, actions);
  } else if (m_phase == phase::storing) {
    finish(actions);
  }
}

void claim::on_write_conflict(time_point now, std::uint64_t version, const json& current,
                              std::vector<action>& actions) {
  if (m_phase == phase::writing) {
    handle_row(now, version, current, actions);
  } else if (m_phase == phase::storing) {
    finish(actions);
  }
}

void claim::on_write_unknown(std::vector<action>& actions) {
  if (m_phase == phase::writing) {
    m_phase = phase::verifying;
    actions.emplace_back(read_row{});
  } else if (m_phase == phase::storing) {
    finish(actions);
  }
}

void claim::on_row(time_point now, std::uint64_t version, const json& current, std::vector<action>& actions) {
  if (m_phase == phase::reading) {
    if (current.is_null()) {
      finish(refuse{503, true, k_retry_after, "no upstream is available"}, actions);
    } else {
      handle_row(now, version, current, actions);
    }
    return;
  }
  if (m_phase != phase::verifying) {
    return;
  }
  const std::uint64_t found_version = current.is_null() ? 0 : version;
  if (found_version == m_version) {
    // The write has not taken effect, but it may still arrive. The same row is written again under the same
    // condition: the second of the two writes fails and finds the token of this claim.
    write_claim(m_version, actions);
    return;
  }
  handle_row(now, version, current, actions);
}

void claim::on_row_failed(std::vector<action>& actions) {
  if (m_phase == phase::verifying || m_phase == phase::reading) {
    finish(table_unavailable(), actions);
  }
}

void claim::handle_row(time_point now, std::uint64_t version, const json& current,
                       std::vector<action>& actions) {
  if (current.is_null()) {
    // The row was removed between two operations, and its attempt may have run.
    finish(in_progress("the claim of the idempotency key has disappeared"), actions);
    return;
  }
  auto parsed = claim_row_from_json(current);
  if (!parsed) {
    finish(in_progress("the claim of the idempotency key is not readable"), actions);
    return;
  }
  claim_row row = std::move(parsed).value();
  if (row.fingerprint != m_fingerprint) {
    finish(refuse{422, true, milliseconds(0), "the idempotency key was used with another request"}, actions);
    return;
  }
  switch (row.state) {
    case claim_state::finished:
      m_response = std::move(row.response);
      finish(actions);
      return;
    case claim_state::released:
      take_over(version, row.attempt, actions);
      return;
    case claim_state::claimed:
      handle_claimed_row(now, version, std::move(row), actions);
      return;
  }
}

void claim::handle_claimed_row(time_point now, std::uint64_t version, claim_row row,
                               std::vector<action>& actions) {
  if (row.token == m_token) {
    if (row.attempt == m_row.attempt && m_target) {
      start_attempt(version, actions);  // The local write took effect and its result was lost.
    } else {
      finish(in_progress("the claim of the idempotency key was changed"), actions);
    }
    return;
  }
  m_other_row = std::move(row);
  m_other_version = version;
  m_phase = phase::settling_other;
  m_due_at = now + k_settle_timeout;
  actions.emplace_back(settle_attempt{m_other_row.token, m_other_row.attempt, m_other_row.peer_address});
}

void claim::take_over(std::uint64_t version, attempt_number last, std::vector<action>& actions) {
  m_row.attempt = attempt_number{to_integer(last) + 1};
  m_version = version;
  m_held = false;
  if (m_target) {
    write_claim(version, actions);
    return;
  }
  m_phase = phase::choosing;
  actions.emplace_back(choose_target{});
}

void claim::on_target(claim_target target, std::vector<action>& actions) {
  if (m_phase != phase::choosing) {
    return;
  }
  m_target = std::move(target);
  if (m_held) {
    m_row.attempt = attempt_number{to_integer(m_row.attempt) + 1};
  }
  write_claim(m_version, actions);
}

void claim::on_no_target(refuse refusal, std::vector<action>& actions) {
  if (m_phase != phase::choosing) {
    return;
  }
  if (m_held) {
    // The result of this write is not awaited: a retry that arrives before the write settles the attempt
    // with the agent.
    m_row.state = claim_state::released;
    actions.emplace_back(write_row{to_json(m_row), m_version});
  }
  finish(std::move(refusal), actions);
}

void claim::on_response(time_point now, stored_response response, std::vector<action>& actions) {
  if (attempt_open()) {
    store_response(now, m_row, m_version, std::move(response), actions);
  }
}

void claim::store_response(time_point now, claim_row row, std::uint64_t version, stored_response response,
                           std::vector<action>& actions) {
  m_response = std::move(response);
  if (m_response.body.size() > k_max_stored_bytes) {
    finish(actions);
    return;
  }
  row.state = claim_state::finished;
  row.response = m_response;
  m_phase = phase::storing;
  m_due_at = now + k_store_timeout;
  actions.emplace_back(write_row{to_json(row), version});
}

void claim::on_refusal(bool not_run, std::string detail, std::vector<action>& actions) {
  if (!attempt_open()) {
    return;
  }
  if (!not_run) {
    finish(refuse{502, false, milliseconds(0), std::move(detail)}, actions);
    return;
  }
  m_phase = phase::choosing;
  m_target.reset();
  actions.emplace_back(choose_target{});
}

void claim::on_attempt_lost(time_point now, std::vector<action>& actions) {
  if (m_phase != phase::sent) {
    return;
  }
  m_phase = phase::settling_local;
  m_due_at = now + k_settle_timeout;
  m_recheck_due = false;
  actions.emplace_back(settle_attempt{m_token, m_row.attempt, m_row.peer_address});
}

void claim::on_attempt_status(time_point now, incarnation agent, settled_state state,
                              stored_response response, std::vector<action>& actions) {
  if (m_phase != phase::settling_other && m_phase != phase::settling_local) {
    return;
  }
  const bool is_local = m_phase == phase::settling_local;
  const claim_row& row = is_local ? m_row : m_other_row;
  if (agent != row.agent) {
    const std::string detail = "the agent that was given the call has restarted";
    finish(is_local ? refuse{502, false, milliseconds(0), detail} : in_progress(detail), actions);
    return;
  }
  switch (state) {
    case settled_state::not_seen:
      if (is_local) {
        on_refusal(true, "", actions);
      } else {
        take_over(m_other_version, m_other_row.attempt, actions);
      }
      return;
    case settled_state::running:
      if (is_local) {
        m_phase = phase::sent;
        m_recheck_due = true;  // Frames may be missing, so the agent is asked for the response.
        m_due_at = now + k_recheck_interval;
      } else {
        finish(in_progress("a request with this idempotency key is in progress"), actions);
      }
      return;
    case settled_state::finished:
      store_response(now, row, is_local ? m_version : m_other_version, std::move(response), actions);
      return;
    case settled_state::failed:
      finish(refuse{502, false, milliseconds(0), "the upstream failed during the call"}, actions);
      return;
  }
}

void claim::tick(time_point now, std::vector<action>& actions) {
  if (now < m_due_at) {
    return;
  }
  if (m_phase == phase::settling_other) {
    finish(in_progress("the agent that was given the call does not respond"), actions);
  } else if (m_phase == phase::settling_local) {
    finish(refuse{502, false, milliseconds(0), "the agent that was given the call does not respond"},
           actions);
  } else if (m_phase == phase::storing) {
    finish(actions);
  } else if (m_phase == phase::sent && m_recheck_due) {
    on_attempt_lost(now, actions);
  }
}

void claim::expire(std::vector<action>& actions) {
  if (m_phase == phase::storing) {
    finish(actions);
  } else if (m_phase == phase::choosing) {
    on_no_target(refuse{504, true, milliseconds(0), "the deadline has passed"}, actions);
  } else if (m_phase == phase::settling_other) {
    finish(in_progress("the outcome of an earlier request is not known yet"), actions);
  } else if (m_phase != phase::done) {
    finish(refuse{504, !attempt_open(), milliseconds(0), "the deadline has passed"}, actions);
  }
}

void claim::finish(refuse refusal, std::vector<action>& actions) {
  m_phase = phase::done;
  actions.emplace_back(std::move(refusal));
}

void claim::finish(std::vector<action>& actions) {
  m_phase = phase::done;
  actions.emplace_back(respond{std::move(m_response)});
}

}  // namespace cuminpath::idempotency
