// Sends requests at a configured rate for a limited time and summarizes their outcomes.
#pragma once

#include <asio/steady_timer.hpp>
#include <map>
#include <string>
#include <vector>

#include "core/common/random.h"
#include "emulator/caller.h"

namespace cuminpath::emulator {

// One kind of request in a load.
struct load_share {
  request_description request;  // Template; each request gets the URL of an entry and a unique prompt.
  std::string name;             // Name of this share in the summary.
  double weight = 1.0;          // Relative to the weights of the other shares.
};

struct load_options {
  std::vector<std::string> entry_urls;  // Used round-robin.
  std::vector<load_share> shares;
  double requests_per_second = 10;
  milliseconds time{1000};
  std::uint32_t max_in_flight = 2000;  // Requests above this limit are not sent but counted as skipped.
  std::uint64_t seed = 1;
};

class load_generator {
public:
  load_generator(asio::io_context& context, http::client& client, load_options options);
  load_generator(const load_generator&) = delete;
  load_generator& operator=(const load_generator&) = delete;

  void start();
  // Stops sending; requests in flight run to their end.
  void stop() { m_stopped = true; }
  // Returns true if no more requests will be sent and all of them have ended.
  [[nodiscard]] bool done() const { return m_stopped && m_in_flight == 0; }
  // {"sent","skipped","in_flight","not_run":[...],"shares":{NAME:{"sent","outcomes":{KIND:N},
  //  "statuses":{CODE:N},"examples":{KIND:[...]},"first_ms":{"p50","p95","p99"},"total_ms":{...}}}};
  // Latencies are those of complete requests. not_run lists the requests that were refused without being run,
  // by idempotency key or prompt. examples has the details of the first requests with each other outcome.
  [[nodiscard]] json summary() const;

private:
  struct share_result {
    std::uint64_t sent = 0;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> statuses;
    std::map<std::string, std::vector<std::string>> examples;
    std::vector<double> first_ms;
    std::vector<double> total_ms;
  };

  void schedule();
  void send_due();
  void send_one();
  void on_done(const std::string& share, const std::string& identity, const call_outcome& outcome);

  http::client& m_client;
  load_options m_options;
  random_source m_random;
  asio::steady_timer m_timer;
  time_point m_started;
  std::string m_run_id;  // Makes prompts and idempotency keys unique across runs.
  bool m_stopped = false;
  std::uint64_t m_due_requests = 0;
  std::uint64_t m_sent = 0;
  std::uint64_t m_skipped = 0;
  std::uint32_t m_in_flight = 0;
  std::map<std::string, share_result> m_results;
  std::vector<std::string> m_not_run;
};

}  // namespace cuminpath::emulator
