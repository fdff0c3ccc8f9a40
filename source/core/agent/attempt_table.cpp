#include "core/agent/attempt_table.h"

#include <algorithm>

#include "core/common/assert.h"
#include "core/common/hash.h"
#include "core/common/release_memory.h"

namespace cuminpath::agent {
namespace {

constexpr std::uint64_t k_filter_bits = 1U << 23U;
constexpr unsigned k_filter_hashes = 4;
constexpr unsigned k_word_bits = 64;

// Returns the bit of the i-th hash function, which is derived from one 64-bit hash by double hashing.
std::uint64_t filter_bit(std::uint64_t fingerprint, unsigned i) {
  const std::uint64_t step = (fingerprint >> 32U) | 1U;
  return (fingerprint + i * step) % k_filter_bits;
}

// Returns the memory of a stored response.
std::size_t held_bytes(const std::string& body) {
  return body.empty() ? 0 : body.capacity();
}

}  // namespace

void bloom_filter::add(std::uint64_t fingerprint) {
  if (m_words.empty()) {
    m_words.resize(k_filter_bits / k_word_bits);
  }
  for (unsigned i = 0; i < k_filter_hashes; ++i) {
    const auto bit = filter_bit(fingerprint, i);
    m_words[bit / k_word_bits] |= std::uint64_t{1} << (bit % k_word_bits);
  }
}

bool bloom_filter::contains(std::uint64_t fingerprint) const {
  if (m_words.empty()) {
    return false;
  }
  for (unsigned i = 0; i < k_filter_hashes; ++i) {
    const auto bit = filter_bit(fingerprint, i);
    if ((m_words[bit / k_word_bits] >> (bit % k_word_bits) & 1U) == 0) {
      return false;
    }
  }
  return true;
}

attempt_table::attempt_table(attempt_table_options options) : m_options(options) {}

std::string attempt_table::key(std::string_view request_id, attempt_number number) {
  std::string text = std::to_string(to_integer(number));
  text.append("/").append(request_id);
  return text;
}

std::size_t attempt_table::body_bytes(const wire::submit_request& request) {
  return request.body.size() + request.resume_text.size();
}

attempt& attempt_table::add(time_point now, std::string_view peer_address, wire::submit_request request) {
  auto added = std::make_unique<attempt>();
  added->job = scheduling::job_id{++m_last_job};
  added->peer_address = peer_address;
  added->arrived = now;
  added->deadline = now + milliseconds(request.remaining_ms);
  added->next_index = request.resume_index;
  added->request = std::move(request);
  m_request_bytes += body_bytes(added->request);
  m_deadlines.emplace(added->deadline, m_last_job);
  m_jobs.emplace(key(added->request.request_id, added->request.attempt), m_last_job);
  return *m_active.emplace(m_last_job, std::move(added)).first->second;
}

attempt* attempt_table::find(std::string_view request_id, attempt_number number) {
  const auto found = m_jobs.find(key(request_id, number));
  return found == m_jobs.end() ? nullptr : find(scheduling::job_id{found->second});
}

attempt* attempt_table::find(scheduling::job_id job) {
  const auto found = m_active.find(static_cast<std::uint64_t>(job));
  return found == m_active.end() ? nullptr : found->second.get();
}

attempt* attempt_table::find(run_id run) {
  const auto found = m_runs.find(static_cast<std::uint64_t>(run));
  return found == m_runs.end() ? nullptr : find(scheduling::job_id{found->second});
}

const ended_attempt* attempt_table::find_ended(std::string_view request_id, attempt_number number) const {
  const auto found = m_ended.find(key(request_id, number));
  return found == m_ended.end() ? nullptr : &found->second;
}

run_id attempt_table::begin_run(attempt& value) {
  CUMINPATH_ASSERT(value.phase == attempt_phase::queued);
  CUMINPATH_ASSERT(value.request.repeatable || !value.started);
  value.phase = attempt_phase::running;
  value.started = true;
  ++value.runs;
  value.run = run_id{++m_last_run};
  value.events = {};
  m_runs.emplace(m_last_run, static_cast<std::uint64_t>(value.job));
  if (!value.request.repeatable) {
    m_started_filter.add(hash64(key(value.request.request_id, value.request.attempt)));
  }
  return value.run;
}

void attempt_table::mark_unsent(attempt& value) {
  value.started = value.runs > 1;
}

void attempt_table::end_run(attempt& value) {
  m_runs.erase(static_cast<std::uint64_t>(value.run));
  value.run = {};
  value.phase = attempt_phase::queued;
}

void attempt_table::append_response(attempt& value, std::string_view data) {
  if (value.response_too_large) {
    return;
  }
  m_response_bytes -= held_bytes(value.body);
  value.body += data;
  m_response_bytes += held_bytes(value.body);
  drop_oldest_responses();
  if (value.body.size() > m_options.max_response_bytes ||
      m_response_bytes > m_options.max_total_response_bytes) {
    m_response_bytes -= held_bytes(value.body);
    value.response_too_large = true;
    release_memory(value.body);
  }
}

void attempt_table::end(time_point now, attempt& value, ended_state state) {
  m_runs.erase(static_cast<std::uint64_t>(value.run));
  m_response_bytes -= held_bytes(value.body);  // Counted again if it is kept.
  m_request_bytes -= body_bytes(value.request);
  ended_attempt ended{.state = state, .repeatable = value.request.repeatable};
  if (state == ended_state::finished && !value.request.repeatable) {
    if (value.response_too_large) {
      ended.state = ended_state::failed;
    } else {
      ended.status = value.status;
      ended.headers = std::move(value.headers);
      ended.body = std::move(value.body);
    }
  }
  auto name = key(value.request.request_id, value.request.attempt);
  m_jobs.erase(name);
  m_deadlines.erase({value.deadline, static_cast<std::uint64_t>(value.job)});
  m_active.erase(static_cast<std::uint64_t>(value.job));
  record_ended(now, std::move(name), std::move(ended));
}

void attempt_table::record_ended(time_point now, std::string name, ended_attempt value) {
  value.expires_at = now + m_options.retention;
  auto& order = value.repeatable ? m_repeatable_order : m_unrepeatable_order;
  order.push_back(name);
  m_unrepeatable_ended += value.repeatable ? 0 : 1;
  if (!value.body.empty()) {
    m_response_bytes += held_bytes(value.body);
    m_response_order.push_back(name);
  }
  m_ended.insert_or_assign(std::move(name), std::move(value));
  while (m_repeatable_order.size() > m_options.max_ended) {
    erase_ended(m_repeatable_order.front());
    m_repeatable_order.pop_front();
  }
  drop_oldest_responses();
}

void attempt_table::drop_oldest_responses() {
  while (m_response_bytes > m_options.max_total_response_bytes && !m_response_order.empty()) {
    const auto found = m_ended.find(m_response_order.front());
    if (found != m_ended.end() && !found->second.body.empty()) {
      m_response_bytes -= held_bytes(found->second.body);
      release_memory(found->second.body);
      found->second.headers = {};
      found->second.state = ended_state::failed;
    }
    m_response_order.pop_front();
  }
}

void attempt_table::erase_ended(const std::string& name) {
  const auto found = m_ended.find(name);
  if (found == m_ended.end()) {
    return;
  }
  m_response_bytes -= held_bytes(found->second.body);
  m_unrepeatable_ended -= found->second.repeatable ? 0 : 1;
  m_ended.erase(found);
}

void attempt_table::expire(time_point now) {
  for (auto* order : {&m_repeatable_order, &m_unrepeatable_order}) {
    while (!order->empty()) {
      const auto found = m_ended.find(order->front());
      if (found != m_ended.end() && found->second.expires_at > now) {
        break;
      }
      erase_ended(order->front());
      order->pop_front();
    }
  }
  while (!m_response_order.empty() && !m_ended.contains(m_response_order.front())) {
    m_response_order.pop_front();
  }
}

std::vector<scheduling::job_id> attempt_table::take_overdue(time_point now) {
  std::vector<scheduling::job_id> found;
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    found.push_back(scheduling::job_id{m_deadlines.begin()->second});
    m_deadlines.erase(m_deadlines.begin());
  }
  return found;
}

bool attempt_table::may_have_run(std::string_view request_id, attempt_number number) const {
  return m_started_filter.contains(hash64(key(request_id, number)));
}

void attempt_table::forbid(time_point now, std::string_view request_id, attempt_number number) {
  auto name = key(request_id, number);
  m_forbidden_filter.add(hash64(name));
  record_ended(now, std::move(name), {.state = ended_state::not_run, .repeatable = false});
}

bool attempt_table::is_forbidden(std::string_view request_id, attempt_number number) const {
  return m_forbidden_filter.contains(hash64(key(request_id, number)));
}

std::vector<scheduling::job_id> attempt_table::jobs() const {
  std::vector<scheduling::job_id> found;
  found.reserve(m_active.size());
  for (const auto& [job, value] : m_active) {
    found.push_back(scheduling::job_id{job});
  }
  std::sort(found.begin(), found.end());
  return found;
}

std::vector<scheduling::job_id> attempt_table::jobs_from(std::string_view peer_address) const {
  auto found = jobs();
  std::erase_if(found, [&](scheduling::job_id job) {
    return m_active.at(static_cast<std::uint64_t>(job))->peer_address != peer_address;
  });
  return found;
}

}  // namespace cuminpath::agent
