// Emulator of a model engine. Streams tokens with continuous batching, reports load and cache events with a
// delay, and accepts orders to switch expert maps. The ranks of a group run their steps in lock-step.
#pragma once

#include <asio/steady_timer.hpp>
#include <deque>
#include <unordered_map>

#include "core/http/client.h"
#include "emulator/batch.h"
#include "emulator/expert_maps.h"
#include "emulator/prefix_cache.h"
#include "emulator/role.h"

namespace cuminpath::emulator {

struct engine_options {
  std::string model = "model";
  std::uint32_t slots = 8;
  std::uint32_t default_max_tokens = 16;
  milliseconds token_interval{20};
  milliseconds prefill_time{40};  // Prefill of an uncached prompt; a cached prompt takes a quarter.
  milliseconds load_lag{200};
  prefix_cache_options cache;
  expert_options experts;
  std::string weights_url;               // If empty, new experts need no loading.
  std::vector<std::string> group_peers;  // Base URLs of the other ranks.
};

class engine_role final : public role {
public:
  engine_role(asio::io_context& context, http::client& client, engine_options options);

  void handle(const http::request& request, const responder_ptr& to) override;
  // {"arrivals":{ID:N},"starts":{ID:N},"starts_by_prompt":{PROMPT:N},"completed","cancelled",
  //  "broken","tokens","resumed","resume_mismatches","running","waiting","max_running","step","switch":{...},
  //  "map_history":[...],"mixed_map_steps","weight_bytes"}
  [[nodiscard]] json stats() const override;
  // "token_interval_ms", "first_token_ms", "lag_ms" (delay of load and cache events), "stall": true stops the
  // steps, "fail_after_tokens": N aborts each stream after N tokens (0: never), "ignore_fencing",
  // "refuse": true rejects new requests with 503 without running them, "group_peers": [URL,...].
  std::optional<std::string> control(const json& settings) override;

private:
  struct open_stream {
    std::string request_id;
    std::string prompt;
    responder_ptr to;
    bool chat = false;
    bool head_sent = false;
    std::uint32_t tokens = 0;
  };
  struct load_sample {
    time_point at;
    std::size_t running = 0;
    std::size_t waiting = 0;
  };
  // Another rank of the group.
  struct peer {
    std::string url;
    std::uint64_t confirmed_step = 0;  // Highest step announced by this rank that the peer has confirmed.
    bool in_flight = false;
  };

  void start_stream(const http::request& request, const responder_ptr& to);
  void close_stream(stream_id id);
  // Counts the streams that got a slot and samples the load.
  void record_starts();
  void record_load();
  void respond_load(const responder_ptr& to) const;
  void emit(const emitted_token& token);

  void handle_order(const http::request& request, const responder_ptr& to);
  void respond_order(const responder_ptr& to, expert_maps::order_result outcome) const;
  struct preparation;
  void load_weights(const std::shared_ptr<preparation>& work);
  void fetch_weights(const std::shared_ptr<preparation>& work, const std::string& target);

  void schedule_step(time_point at);
  void on_step_timer();
  void try_step();
  void run_step();
  // Whether the engine has no peers or has run a step.
  [[nodiscard]] bool joined() const;
  // Announces the next step to every peer, and repeats that until the step has run.
  void announce();
  void announce_to(std::size_t index);
  void on_barrier(const http::request& request, const responder_ptr& to);
  // Records the step that another rank announced, and joins the group at its step after a restart.
  void on_announcement(std::uint32_t rank, std::uint64_t step, const std::string& digest);

  asio::io_context& m_context;
  http::client& m_client;
  engine_options m_options;
  batch m_batch;
  prefix_cache m_cache;
  expert_maps m_maps;
  std::unordered_map<stream_id, open_stream> m_streams;

  std::uint64_t m_step = 0;            // The last step that has run.
  std::uint64_t m_announced_step = 0;  // Highest step announced to the other ranks.
  time_point m_step_ended;
  bool m_step_due = false;  // The time of the last step is over and the next step has been announced.
  bool m_stalled = false;
  bool m_rejoining = false;  // Restarted while the group ran on; has not run a step with it yet.
  milliseconds m_step_time{0};
  asio::steady_timer m_step_timer;
  asio::steady_timer m_announce_timer;
  std::vector<peer> m_peers;
  std::map<std::uint32_t, std::pair<std::uint64_t, std::string>>
      m_peer_announcements;  // Announced step and map digest by rank.

  std::deque<load_sample> m_load_samples;
  std::uint32_t m_fail_after_tokens = 0;
  bool m_refusing = false;
  std::map<std::string, std::uint64_t> m_arrivals;
  std::map<std::string, std::uint64_t> m_starts;
  // Entries assign new request ids, so that callers can identify their requests only by prompt.
  std::map<std::string, std::uint64_t> m_starts_by_prompt;
  std::uint64_t m_completed = 0;
  std::uint64_t m_cancelled = 0;
  std::uint64_t m_broken = 0;
  std::uint64_t m_tokens = 0;
  std::uint64_t m_resumed = 0;
  std::uint64_t m_resume_mismatches = 0;
  std::uint64_t m_mixed_map_steps = 0;
  std::uint64_t m_weight_bytes = 0;
  std::size_t m_max_running = 0;
};

}  // namespace cuminpath::emulator
