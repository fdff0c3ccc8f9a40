// Runs an agent_core on virtual time and collects its actions by type.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/agent/agent_core.h"

namespace cuminpath::agent::support {

constexpr std::string_view k_entry = "10.0.0.1:1";
constexpr incarnation k_agent_incarnation{7};
constexpr std::string_view k_other_entry = "10.0.0.2:1";

// Return requests of a model and of a service; the latter may not be repeated.
wire::submit_request completion(std::string id, std::string priority_class = "urgent");
wire::submit_request booking(std::string id);

struct agent_harness {
  explicit agent_harness(config::upstream_kind kind = config::upstream_kind::engine, std::uint32_t slots = 2);

  void configure(std::uint64_t version);
  void receive(wire::message value, std::string_view from = k_entry, std::uint64_t version = 1);
  void advance(duration time);  // In ticks of 10 ms.
  void send_head(run_id run, int status = 200);
  void send_tokens(run_id run, std::uint64_t first, std::uint64_t count);
  void send_data(run_id run, std::string_view bytes);
  void finish_stream(run_id run) { send_data(run, "data: [DONE]\n\n"); }
  void end_run(run_id run);
  void fail_run(run_id run, bool sent, bool upstream_ended = false);
  void lose_link(std::string_view peer);
  void drain();

  // Returns all messages of a type that were sent, in order.
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
  // Returns the last of them, or a default value if there is none.
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
  void collect(std::vector<action>& actions);
};

}  // namespace cuminpath::agent::support
