#include "core/routing/prompt_quarantine.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "core/common/hash.h"

namespace cuminpath::routing {
namespace {

// Parts whose output is remembered, in two generations of this size.
constexpr std::size_t k_output_generation_size = 4096;
constexpr std::size_t k_max_suspects = 256;
// A change is part of every message for this long: some messages are lost, and each reaches a part of the
// fleet.
constexpr milliseconds k_change_send_time{3000};
// Suspects without a further crash are forgotten after this time, or after several durations of their
// quarantine.
constexpr minutes k_suspect_memory{10};
constexpr int k_suspect_memory_durations = 3;
// Larger differences between ages of one crash come from processes that noticed it at different times.
constexpr milliseconds k_max_delivery_time{100};
// Ages are exchanged in whole milliseconds.
constexpr milliseconds k_age_precision{2};

// Bounded memory of when parts last produced output. Forgets the parts that were not seen for longest.
class output_memory {
public:
  [[nodiscard]] std::optional<time_point> find(prompt_part part) const {
    for (const auto* generation : {&m_recent, &m_earlier}) {
      if (const auto found = generation->find(part); found != generation->end()) {
        return found->second;
      }
    }
    return std::nullopt;
  }
  void record(prompt_part part, time_point at) {
    const auto known = find(part);
    if (m_recent.size() >= k_output_generation_size && !m_recent.contains(part)) {
      m_earlier = std::exchange(m_recent, {});
    }
    m_recent[part] = std::max(at, known.value_or(at));
  }

private:
  std::unordered_map<prompt_part, time_point> m_recent;
  std::unordered_map<prompt_part, time_point> m_earlier;
};

struct crash {
  crash_id id = 0;
  time_point at;
};

// A part that was in flight at a crash.
struct suspect {
  std::optional<time_point> last_output;
  std::vector<crash> crashes;  // Since the last output, ordered by time.
  time_point changed_at;
  time_point sent_at;
  double extension = 0;
  std::optional<time_point> trial_started;
  bool quarantined = false;  // As last returned by update().
};

}  // namespace

prompt_part hash_prompt_part(std::string_view model, std::string_view id) {
  return hash64(id, hash64(model));
}

crash_id hash_crash(std::string_view upstream_id, std::uint64_t started_ms) {
  return static_cast<crash_id>(hash64(upstream_id, started_ms));
}

class prompt_quarantine::implementation {
public:
  implementation(prompt_quarantine_options options, std::uint64_t seed)
      : m_options(options), m_random(seed) {}

  std::optional<verdict> admit(std::span<const prompt_part> parts, time_point now) {
    for (const prompt_part part : parts) {
      if (auto refused = judge({&part, 1}, now)) {
        return refused;
      }
      if (const auto found = m_suspects.find(part);
          found != m_suspects.end() && quarantine_applies(found->second, now)) {
        found->second.trial_started = now;
      }
    }
    return std::nullopt;
  }

  [[nodiscard]] std::optional<verdict> judge(std::span<const prompt_part> parts, time_point now) const {
    for (const prompt_part part : parts) {
      const auto found = m_suspects.find(part);
      if (found == m_suspects.end() || !quarantine_applies(found->second, now)) {
        continue;
      }
      const suspect& known = found->second;
      const auto until = quarantined_until(known);
      if (now < *until) {
        return make_verdict(part, known, *until - now);
      }
      if (known.trial_started && now < *known.trial_started + m_options.max_trial_time) {
        return make_verdict(part, known, *known.trial_started + m_options.max_trial_time - now);
      }
    }
    return std::nullopt;
  }

  [[nodiscard]] bool quarantined(std::span<const prompt_part> parts, time_point now) const {
    return std::any_of(parts.begin(), parts.end(), [&](prompt_part part) {
      const auto found = m_suspects.find(part);
      if (found == m_suspects.end()) {
        return false;
      }
      const auto until = quarantined_until(found->second);
      return until && now >= found->second.crashes.front().at + m_options.exchange_time && now < *until;
    });
  }

  void on_output(std::span<const prompt_part> parts, time_point now) {
    for (const prompt_part part : parts) {
      m_news = record_output(part, now, now) || m_news;
    }
  }

  void on_crash(crash_id id, std::span<const prompt_part> parts, time_point now) {
    // A part that is not known as sound explains the crash; the sound ones of the same request do not.
    const bool some_unknown = may_crash_upstreams(parts, now);
    for (const prompt_part part : parts) {
      if (!some_unknown || !known_sound(part, now)) {
        m_news = add_crash(part, {id, now}, now) || m_news;
      }
    }
  }

  [[nodiscard]] bool may_crash_upstreams(std::span<const prompt_part> parts, time_point now) const {
    return std::any_of(parts.begin(), parts.end(), [&](prompt_part part) { return !known_sound(part, now); });
  }

  std::vector<part_evidence> evidence_to_send(time_point now) {
    std::vector<std::pair<const prompt_part, suspect>*> changed;
    std::pair<const prompt_part, suspect>* unchanged = nullptr;
    for (auto& entry : m_suspects) {
      if (now - entry.second.changed_at < k_change_send_time) {
        changed.push_back(&entry);
      } else if (quarantined_until(entry.second) &&
                 (unchanged == nullptr || entry.second.sent_at < unchanged->second.sent_at)) {
        unchanged = &entry;
      }
    }
    // Parts with several crashes come first; equal ones take turns.
    std::sort(changed.begin(), changed.end(), [](const auto* left, const auto* right) {
      return std::pair(right->second.crashes.size(), left->second.sent_at) <
             std::pair(left->second.crashes.size(), right->second.sent_at);
    });
    changed.resize(std::min(changed.size(), k_max_exchanged_parts));
    if (unchanged != nullptr && changed.size() < k_max_exchanged_parts) {
      changed.push_back(unchanged);
    }
    std::vector<part_evidence> sent;
    for (auto* entry : changed) {
      entry->second.sent_at = now;
      sent.push_back(make_evidence(entry->first, entry->second, now));
    }
    return sent;
  }

  bool merge(std::span<const part_evidence> evidence, time_point now) {
    bool learned = false;
    for (const part_evidence& received : evidence) {
      if (refutes(received, now)) {
        if (suspect* known = find_or_add(received.part, now)) {
          known->changed_at = now;
          m_news = true;
        }
      }
      for (const crash_evidence& each : received.crashes) {
        learned = add_crash(received.part, {each.id, now - each.age}, now) || learned;
      }
      if (received.last_output_age) {
        const time_point at = now - *received.last_output_age - delivery_time(received, now);
        const auto known = m_outputs.find(received.part);
        if (!known || at > *known + k_age_precision) {
          learned = record_output(received.part, at, now) || learned;
        }
      }
    }
    return learned;
  }

  bool take_news() { return std::exchange(m_news, false); }

  void resend(time_point now) {
    for (auto& [part, known] : m_suspects) {
      if (quarantined_until(known)) {
        known.changed_at = now;
      }
    }
  }

  std::vector<change> update(time_point now) {
    std::vector<change> changes;
    for (auto& [part, known] : m_suspects) {
      const auto until = quarantined_until(known);
      const bool quarantined = until && now >= known.crashes.front().at + m_options.exchange_time;
      if (quarantined != known.quarantined) {
        known.quarantined = quarantined;
        changes.push_back({quarantined ? change::kind::quarantined : change::kind::released,
                           make_verdict(part, known, until ? *until - now : duration{})});
      }
    }
    std::erase_if(m_suspects, [&](const auto& entry) { return outdated(entry.second, now); });
    return changes;
  }

  [[nodiscard]] std::size_t size() const { return m_suspects.size(); }

private:
  // Returns when the part last produced output, unless that was too long ago to show anything.
  [[nodiscard]] std::optional<time_point> recent_output(prompt_part part, time_point now) const {
    const auto output = m_outputs.find(part);
    return output && now - *output < m_options.output_memory ? output : std::nullopt;
  }
  [[nodiscard]] bool known_sound(prompt_part part, time_point now) const {
    return recent_output(part, now).has_value();
  }

  // Returns by how much the received ages are too low, judged by crashes that are known here: the time on the
  // way and what the sender had added before.
  [[nodiscard]] duration delivery_time(const part_evidence& received, time_point now) const {
    duration longest{0};
    const auto found = m_suspects.find(received.part);
    if (found == m_suspects.end()) {
      return longest;
    }
    for (const crash& each : found->second.crashes) {
      for (const crash_evidence& same : received.crashes) {
        const duration late = now - same.age - each.at;
        if (same.id == each.id && late <= k_max_delivery_time) {
          longest = std::max(longest, late);
        }
      }
    }
    return longest;
  }

  // Returns true if the part produced output that the sender does not know of and that changes its judgement.
  [[nodiscard]] bool refutes(const part_evidence& received, time_point now) const {
    const auto output = recent_output(received.part, now);
    return output && (!received.last_output_age ||
                      std::any_of(received.crashes.begin(), received.crashes.end(),
                                  [&](const crash_evidence& each) { return now - each.age < *output; }));
  }

  // Number of crashes, without those that coincide with the previous one.
  [[nodiscard]] std::size_t count_crashes(const suspect& known) const {
    std::size_t count = 0;
    std::optional<time_point> last;
    for (const crash& each : known.crashes) {
      if (!last || each.at - *last > m_options.simultaneous_crashes) {
        ++count;
        last = each.at;
      }
    }
    return count;
  }

  // Number of suspects, this one included, that were in flight at each of its crashes and are not known to
  // have produced output. If a whole group is down, parts that are known as sound soon meet all its crashes.
  [[nodiscard]] std::size_t count_parts_at_same_crashes(const suspect& known) const {
    return static_cast<std::size_t>(
        std::count_if(m_suspects.begin(), m_suspects.end(), [&known](const auto& entry) {
          const auto& others = entry.second.crashes;
          return !entry.second.last_output &&
                 std::all_of(known.crashes.begin(), known.crashes.end(), [&others](const crash& each) {
                   return std::any_of(others.begin(), others.end(),
                                      [&each](const crash& other) { return other.id == each.id; });
                 });
        }));
  }

  // Returns the end of the quarantine; absent if there are too few crashes.
  [[nodiscard]] std::optional<time_point> quarantined_until(const suspect& known) const {
    const std::size_t count = count_crashes(known);
    if (count < m_options.crashes_without_output) {
      return std::nullopt;
    }
    const bool ambiguous =
        known.last_output || count_parts_at_same_crashes(known) > m_options.max_parts_at_same_crashes;
    const std::size_t threshold =
        ambiguous ? m_options.crashes_since_output : m_options.crashes_without_output;
    if (count < threshold) {
      return std::nullopt;
    }
    return known.crashes.back().at + std::chrono::duration_cast<duration>(
                                         quarantine_duration(count - threshold) * (1 + known.extension));
  }

  // Returns true if the part is quarantined or about to be tested: until the other processes have had time to
  // say that they know it as sound, it is not.
  [[nodiscard]] bool quarantine_applies(const suspect& known, time_point now) const {
    return quarantined_until(known) && now >= known.crashes.front().at + m_options.exchange_time;
  }

  [[nodiscard]] seconds quarantine_duration(std::size_t doublings) const {
    seconds length = m_options.base_duration;
    for (std::size_t i = 0; i < doublings && length < m_options.max_duration; ++i) {
      length *= 2;
    }
    return std::min(length, m_options.max_duration);
  }

  // Returns null if there is no room, because all suspects are quarantined.
  suspect* find_or_add(prompt_part part, time_point now) {
    const auto found = m_suspects.find(part);
    if (found != m_suspects.end()) {
      return &found->second;
    }
    if (m_suspects.size() >= k_max_suspects && !drop_weakest_suspect()) {
      return nullptr;
    }
    suspect added{.last_output = recent_output(part, now),
                  .extension = std::uniform_real_distribution<double>(0, m_options.max_extension)(m_random)};
    return &m_suspects.emplace(part, std::move(added)).first->second;
  }

  // Returns false if the crash is known already, or if the part has produced output since.
  bool add_crash(prompt_part part, const crash& added, time_point now) {
    const auto output = recent_output(part, now);
    if (output && *output > added.at) {
      return false;
    }
    suspect* known = find_or_add(part, now);
    if (known == nullptr) {
      return false;
    }
    auto& crashes = known->crashes;
    if (std::any_of(crashes.begin(), crashes.end(),
                    [&added](const crash& each) { return each.id == added.id; })) {
      return false;
    }
    crashes.insert(std::upper_bound(crashes.begin(), crashes.end(), added,
                                    [](const crash& left, const crash& right) { return left.at < right.at; }),
                   added);
    if (crashes.size() > k_max_crashes_per_part) {
      crashes.erase(crashes.begin());
    }
    known->trial_started.reset();
    known->changed_at = now;
    return true;
  }

  // Returns true if this changes what is known of a suspect.
  bool record_output(prompt_part part, time_point at, time_point now) {
    m_outputs.record(part, at);
    const auto found = m_suspects.find(part);
    if (found == m_suspects.end()) {
      return false;
    }
    suspect& known = found->second;
    const bool first = !known.last_output;
    known.last_output = std::max(at, known.last_output.value_or(at));
    const auto refuted =
        std::erase_if(known.crashes, [&known](const crash& each) { return each.at < *known.last_output; });
    if (!first && refuted == 0) {
      return false;
    }
    known.changed_at = now;
    return true;
  }

  // Removes the suspect with the fewest crashes, the oldest of these. Returns false if all are quarantined.
  bool drop_weakest_suspect() {
    const auto weakest = std::min_element(m_suspects.begin(), m_suspects.end(), [](auto& left, auto& right) {
      return std::pair(left.second.crashes.size(), left.second.changed_at) <
             std::pair(right.second.crashes.size(), right.second.changed_at);
    });
    if (quarantined_until(weakest->second)) {
      return false;
    }
    m_suspects.erase(weakest);
    return true;
  }

  [[nodiscard]] bool outdated(const suspect& known, time_point now) const {
    if (known.crashes.empty()) {
      return now - known.changed_at >= k_change_send_time;
    }
    const auto until = quarantined_until(known);
    const duration quarantine = until ? *until - known.crashes.back().at : duration{};
    return now - known.crashes.back().at >=
           std::max<duration>(k_suspect_memory, k_suspect_memory_durations * quarantine);
  }

  [[nodiscard]] verdict make_verdict(prompt_part part, const suspect& known, duration remaining) const {
    verdict out{.part = part, .remaining = std::chrono::ceil<milliseconds>(remaining)};
    for (const crash& each : known.crashes) {
      out.crashes.push_back(each.id);
    }
    return out;
  }

  [[nodiscard]] static part_evidence make_evidence(prompt_part part, const suspect& known, time_point now) {
    const auto age = [now](time_point at) { return std::chrono::duration_cast<milliseconds>(now - at); };
    part_evidence out{.part = part};
    if (known.last_output) {
      out.last_output_age = age(*known.last_output);
    }
    for (const crash& each : known.crashes) {
      out.crashes.push_back({each.id, age(each.at)});
    }
    return out;
  }

  prompt_quarantine_options m_options;
  random_source m_random;
  output_memory m_outputs;
  std::unordered_map<prompt_part, suspect> m_suspects;
  bool m_news = false;
};

prompt_quarantine::prompt_quarantine(prompt_quarantine_options options, std::uint64_t seed)
    : m_implementation(std::make_unique<implementation>(options, seed)) {}
prompt_quarantine::~prompt_quarantine() = default;
prompt_quarantine::prompt_quarantine(prompt_quarantine&& other) noexcept = default;
prompt_quarantine& prompt_quarantine::operator=(prompt_quarantine&& other) noexcept = default;

std::optional<prompt_quarantine::verdict> prompt_quarantine::admit(std::span<const prompt_part> parts,
                                                                   time_point now) {
  return m_implementation->admit(parts, now);
}
bool prompt_quarantine::quarantined(std::span<const prompt_part> parts, time_point now) const {
  return m_implementation->quarantined(parts, now);
}
std::optional<prompt_quarantine::verdict> prompt_quarantine::judge(std::span<const prompt_part> parts,
                                                                   time_point now) const {
  return m_implementation->judge(parts, now);
}
void prompt_quarantine::on_output(std::span<const prompt_part> parts, time_point now) {
  m_implementation->on_output(parts, now);
}
void prompt_quarantine::on_crash(crash_id crash, std::span<const prompt_part> parts, time_point now) {
  m_implementation->on_crash(crash, parts, now);
}
bool prompt_quarantine::may_crash_upstreams(std::span<const prompt_part> parts, time_point now) const {
  return m_implementation->may_crash_upstreams(parts, now);
}
std::vector<part_evidence> prompt_quarantine::evidence_to_send(time_point now) {
  return m_implementation->evidence_to_send(now);
}
bool prompt_quarantine::merge(std::span<const part_evidence> evidence, time_point now) {
  return m_implementation->merge(evidence, now);
}
bool prompt_quarantine::take_news() {
  return m_implementation->take_news();
}
void prompt_quarantine::resend(time_point now) {
  m_implementation->resend(now);
}
std::vector<prompt_quarantine::change> prompt_quarantine::update(time_point now) {
  return m_implementation->update(now);
}
std::size_t prompt_quarantine::size() const {
  return m_implementation->size();
}

}  // namespace cuminpath::routing
