// Quarantine of prompt parts whose requests crash upstreams.
//
// If an upstream ends while requests wait for their first output, each of them may be the cause. A prompt
// part that is in flight at several such crashes and whose requests never produce output is quarantined: its
// requests are refused before they reach an upstream. Requests share workspaces and other prompt parts with
// sound requests, so only parts are judged, and a part that produces output anywhere is sound.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"

namespace cuminpath::routing {

// Hash of a model and of the id of a prompt part; the same in every process.
using prompt_part = std::uint64_t;
prompt_part hash_prompt_part(std::string_view model, std::string_view id);

// Hash of an upstream instance, which can crash only once; the same in every process.
using crash_id = std::uint32_t;
crash_id hash_crash(std::string_view upstream_id, std::uint64_t started_ms);

struct prompt_quarantine_options {
  // Crashes after which a part is quarantined if no request with it has ever produced output, as far as
  // known.
  std::size_t crashes_without_output = 2;
  // The same for a part whose requests produced output before these crashes, but none since, and for parts
  // that were all in flight at the same crashes: processes that have just started know no part as sound.
  std::size_t crashes_since_output = 5;
  std::size_t max_parts_at_same_crashes = 2;
  // Crashes within this time of each other count once: they may have a common cause outside, such as a rack.
  milliseconds simultaneous_crashes{10};
  // From the first crash until a part is quarantined. Other processes that know the part as sound respond by
  // then.
  milliseconds exchange_time{300};
  // After the quarantine, one request at a time tests the part. Each further crash doubles the duration.
  seconds base_duration{30};
  seconds max_duration{3600};
  // Random extension, as a share of the duration, so that not all processes test the part at the same time.
  double max_extension = 0.5;
  milliseconds max_trial_time{10000};
  minutes output_memory{10};  // For this long, a part that has produced output is known as sound.
};

// What a process knows about one part, for exchange with others. Ages are relative to the time of sending.
struct crash_evidence {
  crash_id id = 0;
  milliseconds age{0};
};
struct part_evidence {
  prompt_part part = 0;
  std::optional<milliseconds> last_output_age;  // Absent if no output is known.
  std::vector<crash_evidence> crashes;
};

constexpr std::size_t k_max_crashes_per_part = 8;
// Number of parts in one message.
constexpr std::size_t k_max_exchanged_parts = 16;

class prompt_quarantine {
public:
  explicit prompt_quarantine(prompt_quarantine_options options = {}, std::uint64_t seed = 0);
  ~prompt_quarantine();
  prompt_quarantine(prompt_quarantine&& other) noexcept;
  prompt_quarantine& operator=(prompt_quarantine&& other) noexcept;

  struct verdict {
    prompt_part part = 0;
    std::vector<crash_id> crashes;
    milliseconds remaining{0};  // Until the part is tested again.
  };
  // Returns why a request with these parts must not be sent to an upstream; absent if it may be. A part whose
  // quarantine has ended is tested with one request at a time.
  [[nodiscard]] std::optional<verdict> admit(std::span<const prompt_part> parts, time_point now);
  // Returns true if a part is in quarantine. For requests that admit() has let pass and that wait since, also
  // those that test a part.
  [[nodiscard]] bool quarantined(std::span<const prompt_part> parts, time_point now) const;
  // Returns what admit() would return, without beginning a test.
  [[nodiscard]] std::optional<verdict> judge(std::span<const prompt_part> parts, time_point now) const;

  // A request with these parts has produced output.
  void on_output(std::span<const prompt_part> parts, time_point now);
  // An upstream crashed while a request with these parts was in flight without output.
  void on_crash(crash_id crash, std::span<const prompt_part> parts, time_point now);
  // Returns true if no output is known of one of the parts, so that a request with them may have caused a
  // crash.
  [[nodiscard]] bool may_crash_upstreams(std::span<const prompt_part> parts, time_point now) const;

  // Returns what other processes may not know yet: recent changes, and in turn the parts in quarantine.
  [[nodiscard]] std::vector<part_evidence> evidence_to_send(time_point now);
  // Adds what another process knows. Returns true if that was new.
  bool merge(std::span<const part_evidence> evidence, time_point now);
  // Returns true once after each change that other processes do not know from elsewhere.
  [[nodiscard]] bool take_news();
  // Sends the parts in quarantine again, because a process has started.
  void resend(time_point now);

  struct change {
    enum class kind : std::uint8_t { quarantined, released } type = kind::quarantined;
    verdict evidence;
  };
  // Forgets what is outdated and returns the quarantines that have begun or ended since the last call.
  [[nodiscard]] std::vector<change> update(time_point now);
  // Number of parts that are suspected or quarantined.
  [[nodiscard]] std::size_t size() const;

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};

}  // namespace cuminpath::routing
