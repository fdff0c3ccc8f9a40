// A simulated model engine on virtual time, with a prefill before the first token, a constant token rate and
// a small cache of prompt prefixes. The scheduler limits the runs to its slots.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "core/common/time.h"

namespace cuminpath::bench {

struct engine_profile {
  double prefill_s = 0.15;
  double cached_prefill_s = 0.15;
  double token_s = 0.025;
  double slowness = 1;  // Multiplies all times.
  std::size_t cached_prefixes = 0;
};

struct engine_event {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
  bool finished = false;
};

class fake_engine {
public:
  explicit fake_engine(engine_profile profile) : m_profile(profile) {}

  // Starts a run. A run that was preempted after `produced` tokens resumes there, and their text is prefilled
  // again. Returns whether the prefix was cached.
  bool start(time_point now, std::uint64_t id, std::uint32_t tokens, std::uint32_t produced,
             std::uint64_t prefix);
  // Ends a run. Returns the number of tokens that were produced for `id`, including earlier runs; 0 if it
  // does not run.
  std::uint32_t cancel(std::uint64_t id);
  // Appends one event per run that has produced tokens since the last call, in the order of the starts.
  void step(time_point now, std::vector<engine_event>& events);

  [[nodiscard]] std::size_t running() const { return m_runs.size(); }

private:
  struct run {
    std::uint64_t id = 0;
    time_point first_token_time{};
    std::uint32_t tokens = 0;
    std::uint32_t first_token = 0;  // Tokens that earlier runs produced.
    std::uint32_t produced = 0;
  };

  // Puts the prefix first in the cache. Returns whether it was cached.
  bool touch_prefix(std::uint64_t prefix);

  engine_profile m_profile;
  std::vector<run> m_runs;
  std::list<std::uint64_t> m_recent_prefixes;  // Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cached_prefixes;
};

}  // namespace cuminpath::bench
