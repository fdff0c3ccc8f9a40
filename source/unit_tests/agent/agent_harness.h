// An agent's core on virtual time, with its actions sorted for the tests.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/agent/agent_core.h"

namespace cuminpath::agent::support {

constexpr std::string_view k_entry = "10.0.0.1:1";
constexpr incarnation k_agent_incarnation{7};
constexpr std::string_view k_other_entry = "10.0.0.2:1";

wire::submit_request completion(std::string id, std::string priority_class = "urgent");
wire::submit_request booking(std::string id);

struct agent_harness {
  explicit agent_harness(config::upstream_kind kind = config::upstream_kind::engine, std::uint32_t slots = 2);

  void configure(std::uint64_t version);
  void message(wire::message value, std::string_view from = k_entry, std::uint64_t version = 1);
  void advance(duration time);  // In ticks of 10 ms.
  void head(run_id run, int status = 200);
  void tokens(run_id run, std::uint64_t first, std::uint64_t count);
  void data(run_id run, std::string_view bytes);
  void done(run_id run) { data(run, "data: [DONE]\n\n"); }
  void end(run_id run);
  void fail(run_id run, bool sent);
  void lose(std::string_view peer);
  void drain();

  // All messages of a type, in order.
  template <class type>
  [[nodiscard]] std::vector<type> sent() const {
    std::vector<type> found;
    for (const auto& item : messages) {
      if (const auto* value = std::get_if<type>(&item.message)) {
        found.push_back(*value);
      }
    }
    return found;
  }
  template <class type>
  [[nodiscard]] type last() const {
    const auto all = sent<type>();
    return all.empty() ? type{} : all.back();
  }
  [[nodiscard]] bool is_cancelled(run_id run) const;

  config::upstream_kind kind;
  std::uint32_t slots;
  time_point now = time_point() + std::chrono::hours(1);
  agent_core core;
  std::vector<send_message> messages;
  std::vector<start_run> runs;
  std::vector<run_id> cancelled;

private:
  void take(std::vector<action>& actions);
};

}  // namespace cuminpath::agent::support
