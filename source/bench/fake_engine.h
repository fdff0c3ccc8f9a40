// A model engine on virtual time: slots, a prefill before the first token, a steady token rate and a small
// cache of prompt prefixes.
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

  // Resumes after `produced` tokens; their text is prefilled again. Returns whether the prefix was cached.
  bool start(time_point now, std::uint64_t id, std::uint32_t tokens, std::uint32_t produced,
             std::uint64_t prefix);
  // Returns the tokens that have been produced in all runs.
  std::uint32_t cancel(std::uint64_t id);
  // Appends what has been produced since the last call, by id of the start order.
  void step(time_point now, std::vector<engine_event>& events);

  [[nodiscard]] std::size_t running() const { return m_runs.size(); }

private:
  struct run {
    std::uint64_t id = 0;
    time_point first_token_at{};
    std::uint32_t tokens = 0;
    std::uint32_t first = 0;  // Tokens before this run.
    std::uint32_t produced = 0;
  };

  bool touch_prefix(std::uint64_t prefix);

  engine_profile m_profile;
  std::vector<run> m_runs;
  std::list<std::uint64_t> m_recent;  // Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cached;
};

}  // namespace cuminpath::bench
