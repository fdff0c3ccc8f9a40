#include "emulator/load_generator.h"

#include <algorithm>

#include "core/common/assert.h"
#include "core/common/hash.h"

namespace cuminpath::emulator {
namespace {

constexpr milliseconds k_send_interval{5};
constexpr std::size_t k_max_examples_per_outcome = 3;
constexpr std::size_t k_max_listed_refusals = 5000;

json quantiles(std::vector<double> values) {
  if (values.empty()) {
    return json();
  }
  std::sort(values.begin(), values.end());
  const auto at = [&values](double share) {
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(share * static_cast<double>(values.size())))];
  };
  return {{"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}};
}

}  // namespace

load_generator::load_generator(asio::io_context& context, http::client& client, load_options options)
    : m_client(client),
      m_options(std::move(options)),
      m_random(m_options.seed),
      m_timer(context),
      m_run_id(random_hex_id().substr(0, 8)) {
  CUMINPATH_ASSERT(!m_options.shares.empty() && !m_options.entry_urls.empty());
}

void load_generator::start() {
  m_started = clock::now();
  schedule();
}

void load_generator::schedule() {
  m_timer.expires_after(k_send_interval);
  m_timer.async_wait([this](const std::error_code& failure) {
    if (!failure && !m_stopped) {
      send_due();
    }
  });
}

void load_generator::send_due() {
  const auto elapsed = std::min<duration>(clock::now() - m_started, m_options.time);
  const auto due = static_cast<std::uint64_t>(std::chrono::duration<double>(elapsed).count() *
                                              m_options.requests_per_second);
  for (; m_due_requests < due; ++m_due_requests) {
    if (m_in_flight < m_options.max_in_flight) {
      send_one();
    } else {
      ++m_skipped;
    }
  }
  if (elapsed >= m_options.time) {
    m_stopped = true;
  } else {
    schedule();
  }
}

void load_generator::send_one() {
  double total = 0;
  for (const auto& share : m_options.shares) {
    total += share.weight;
  }
  auto point = std::uniform_real_distribution<double>(0, total)(m_random);
  auto chosen = m_options.shares.begin();
  while (std::next(chosen) != m_options.shares.end() && point >= chosen->weight) {
    point -= chosen->weight;
    ++chosen;
  }
  auto request = chosen->request;
  const auto number = m_run_id + "-" + std::to_string(++m_sent);
  request.url = m_options.entry_urls[m_sent % m_options.entry_urls.size()];
  request.prompt += " " + number;
  if (request.what == request_description::kind::service && request.method != "GET") {
    request.idempotency_key = chosen->name + "-" + number;
  }
  ++m_results[chosen->name].sent;
  ++m_in_flight;
  auto identity = request.idempotency_key.empty() ? request.prompt : request.idempotency_key;
  send_call(m_client, request,
            [this, name = chosen->name, identity = std::move(identity)](const call_outcome& outcome) {
              on_done(name, identity, outcome);
            });
}

void load_generator::on_done(const std::string& share, const std::string& identity,
                             const call_outcome& outcome) {
  --m_in_flight;
  auto& result = m_results[share];
  ++result.outcomes[to_string(outcome.what)];
  ++result.statuses[std::to_string(outcome.status)];
  if (outcome.what == call_outcome::kind::complete) {
    result.first_ms.push_back(outcome.first_ms);
    result.total_ms.push_back(outcome.total_ms);
    return;
  }
  if (outcome.what == call_outcome::kind::not_run && m_not_run.size() < k_max_listed_refusals) {
    m_not_run.push_back(identity);
  }
  auto& examples = result.examples[to_string(outcome.what)];
  if (examples.size() < k_max_examples_per_outcome) {
    examples.push_back(std::string(to_string(outcome.what)) + " " + std::to_string(outcome.status) + ": " +
                       outcome.detail + " " + outcome.problem.dump());
  }
}

json load_generator::summary() const {
  json shares = json::object();
  for (const auto& [name, result] : m_results) {
    shares[name] = {{"sent", result.sent},
                    {"outcomes", result.outcomes},
                    {"statuses", result.statuses},
                    {"examples", result.examples},
                    {"first_ms", quantiles(result.first_ms)},
                    {"total_ms", quantiles(result.total_ms)}};
  }
  return {{"sent", m_sent},
          {"skipped", m_skipped},
          {"in_flight", m_in_flight},
          {"shares", std::move(shares)},
          {"not_run", m_not_run}};
}

}  // namespace cuminpath::emulator
