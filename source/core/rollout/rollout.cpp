#include "core/rollout/rollout.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <set>

#include "core/common/assert.h"
#include "core/common/hash.h"
#include "core/config/manifest_parser.h"
#include "core/rollout/index_delta.h"

namespace cuminpath::rollout {
namespace {

constexpr milliseconds k_poll_interval{1000};
// A poll without a report after this time is repeated; the table client itself reports after 2 s.
constexpr milliseconds k_poll_timeout{900};
// An object fetch without a report after this time counts as failed; the object client reports after 5 s.
constexpr milliseconds k_store_timeout{6000};
// Well over a round trip to another availability zone (about 3 ms) and short enough for several tries in 5 s.
constexpr milliseconds k_peer_timeout{300};
// Processes that hear of a version at the same time fetch it at different times, so that those who have it
// early serve the others and the pollers do not serve everyone.
constexpr milliseconds k_spread{200};
constexpr milliseconds k_first_backoff{50};
constexpr milliseconds k_max_backoff{1000};

constexpr milliseconds k_probe_interval{1000};
constexpr milliseconds k_probe_window{300};
constexpr std::size_t k_preferred_probes = 3;
constexpr std::size_t k_random_probes = 2;
// A digest that no process knows, so that the answer is the index alone.
constexpr const char* k_probe_digest = "index";

constexpr unsigned k_tries_of_only_source = 3;
constexpr std::size_t k_max_sources = 8;
constexpr std::size_t k_max_objects_in_flight = 8;
// Versions kept with all sections to answer with differences. At 16,000 changes a day these are the last
// three minutes; each takes 18 KB for the index, 25 KB for its digests and 6 KB for the section that changed.
constexpr std::size_t k_kept_versions = 32;
// Versions that a fetch names as possible bases.
constexpr std::size_t k_named_versions = 4;
constexpr std::size_t k_max_reply_bytes = 4U << 20U;

struct kept_index {
  std::string digest;
  std::string text;
  std::vector<std::string> digests;  // Of its sections.
};

// The newest version that is known to exist.
struct goal {
  configuration_version version{};
  std::optional<std::string> digest;  // From the head row.
  std::vector<std::string> sources;   // Peers that have this version.
};

// The version whose parts are being collected.
struct collection {
  configuration_version version{};
  std::string digest;
  std::string text;
  std::vector<std::string> digests;  // Of its sections.
  std::set<std::string, std::less<>> missing;
};

enum class fetch_kind : std::uint8_t { none, peer, store };

struct fetch_state {
  fetch_kind kind = fetch_kind::none;
  std::string peer = {};
  time_point deadline = {};
  std::set<std::string, std::less<>> objects = {};  // Outstanding.
  bool object_failed = false;
};

using digest_set = std::set<std::string_view>;
using section_pairs = std::vector<std::pair<std::string, std::string>>;

}  // namespace

class rollout::impl {
public:
  explicit impl(rollout_options options) : m_options(std::move(options)) {}

  void set_local_entries(std::span<const std::string> entry_names) {
    std::vector<std::string> names(entry_names.begin(), entry_names.end());
    m_zone_known = !names.empty();
    names.push_back(m_options.name);
    const auto chosen = pollers(m_options.availability_zone, names);
    m_chosen = std::find(chosen.begin(), chosen.end(), m_options.name) != chosen.end();
  }

  void set_peers(std::span<const std::string> peers) { m_peers.assign(peers.begin(), peers.end()); }

  void on_head(const head& value) {
    m_poll_deadline.reset();
    m_wants_head = false;
    raise_goal(value.version, value.index_digest, {});
  }

  void on_head_failed() { m_poll_deadline.reset(); }

  void on_peer_version(std::string_view peer, configuration_version version) {
    if (version > m_version) {
      raise_goal(version, std::nullopt, peer);
    }
  }

  void on_object(std::string_view digest, std::string content, std::vector<action>& actions) {
    if (sha256_hex(content) != digest) {
      on_object_failed(digest);
      return;
    }
    if (m_goal.digest == digest && (!m_collection || m_collection->version < m_goal.version)) {
      begin_collection(m_goal.version, std::move(content));
    } else {
      take_section(digest, std::move(content));
    }
    finish_object(digest);
    put_in_force_if_complete(actions);
  }

  void on_object_failed(std::string_view digest) {
    m_fetch.object_failed = m_fetch.object_failed || m_fetch.objects.contains(digest);
    finish_object(digest);
  }

  void on_fetch(std::string_view peer, const wire::configuration_fetch& message,
                std::vector<action>& actions) {
    if (m_kept.empty()) {
      return;
    }
    wire::configuration_sections reply;
    reply.version = m_version;
    reply.index = m_kept.front().text;
    digest_set held(message.digests.begin(), message.digests.end());
    const kept_index* base = find_base(message.digests);
    if (base != nullptr) {
      reply.index = make_index_delta(base->digest, base->text, reply.index);
      held.insert(base->digests.begin(), base->digests.end());
    }
    const std::vector<std::string>& digests = m_kept.front().digests;
    const bool any_known =
        base != nullptr || held.empty() ||
        std::any_of(digests.begin(), digests.end(), [&held](const auto& d) { return held.contains(d); });
    if (any_known) {
      const auto changed =
          base == nullptr ? section_pairs{} : changed_sections(base->text, m_kept.front().text);
      append_sections(held, changed, reply);
    }
    actions.emplace_back(send_message{std::string(peer), std::move(reply)});
  }

  void on_sections(std::string_view peer, const wire::configuration_sections& message,
                   std::vector<action>& actions) {
    const bool expected = m_fetch.kind == fetch_kind::peer && m_fetch.peer == peer;
    if (expected) {
      m_fetch = {};
    }
    m_probes_open -= m_probes_open > 0 ? 1 : 0;
    const std::size_t missing_before = m_collection ? m_collection->missing.size() : 0;
    const std::string digest_before = m_collection ? m_collection->digest : "";
    if (message.version <= m_version || message.version <= m_rejected) {
      if (expected) {
        record_failure(peer);
      }
      return;
    }
    if (!take_index(message)) {
      record_failure(peer);
      return;
    }
    raise_goal(message.version, std::nullopt, peer);
    for (const auto& [digest, content] : message.sections) {
      auto whole = apply_section_delta(content, [this](std::string_view base) {
        const auto found = m_contents.find(std::string(base));
        return found == m_contents.end() ? std::string() : found->second;
      });
      if (whole && sha256_hex(whole.value()) == digest) {
        take_section(digest, std::move(whole.value()));
      }
    }
    put_in_force_if_complete(actions);
    if (expected && m_collection && m_collection->digest == digest_before &&
        m_collection->missing.size() >= missing_before) {
      record_failure(peer);
    }
  }

  void tick(time_point now, random_source& random, std::vector<action>& actions) {
    poll(now, random, actions);
    probe(now, random, actions);
    if (m_fetch.kind != fetch_kind::none && now >= m_fetch.deadline) {
      // The message may have been lost, so an only source is asked again a few times.
      const bool keep = m_goal.sources.size() <= 1 && m_failures < k_tries_of_only_source;
      const std::string peer = keep ? "" : m_fetch.peer;
      m_fetch = {};
      record_failure(peer);
    }
    if (m_goal.version <= m_version || m_fetch.kind != fetch_kind::none) {
      return;
    }
    if (!m_next_fetch) {
      m_next_fetch = now + fetch_delay(random);
    }
    if (now >= *m_next_fetch) {
      m_next_fetch.reset();
      start_fetch(now, random, actions);
    }
  }

  [[nodiscard]] configuration_version version() const { return m_version; }

private:
  static milliseconds random_up_to(milliseconds limit, random_source& random) {
    return milliseconds(random_index(random, static_cast<std::size_t>(limit.count()) + 1));
  }

  void raise_goal(configuration_version version, const std::optional<std::string>& digest,
                  std::string_view peer) {
    if (version <= m_version || version <= m_rejected || version < m_goal.version) {
      return;
    }
    if (version > m_goal.version) {
      m_goal = {version, std::nullopt, {}};
      m_failures = 0;
    }
    if (digest) {
      m_goal.digest = digest;
      if (m_collection && m_collection->version == version && m_collection->digest != *digest) {
        m_collection.reset();
      }
    }
    std::vector<std::string>& sources = m_goal.sources;
    if (!peer.empty() && sources.size() < k_max_sources &&
        std::find(sources.begin(), sources.end(), peer) == sources.end()) {
      sources.emplace_back(peer);
    }
  }

  // Without a list of entries this process cannot know whether it is chosen; it then polls only while it has
  // no configuration at all.
  [[nodiscard]] bool should_poll() const {
    const bool chosen = m_zone_known ? m_chosen : m_version == configuration_version{};
    return m_options.may_read_store && (chosen || m_wants_head);
  }

  void poll(time_point now, random_source& random, std::vector<action>& actions) {
    if (m_poll_deadline && now >= *m_poll_deadline) {
      m_poll_deadline.reset();
    }
    if (!should_poll() || m_poll_deadline || now < m_next_poll) {
      return;
    }
    // Later polls keep the random phase of the first, so that pollers do not read all at once.
    const bool first = m_next_poll == time_point{};
    m_next_poll = now + (first ? random_up_to(k_poll_interval, random) : k_poll_interval);
    m_poll_deadline = now + k_poll_timeout;
    actions.emplace_back(read_head_row{});
  }

  // Asks peers for their indexes while nothing is known yet.
  void probe(time_point now, random_source& random, std::vector<action>& actions) {
    if (m_version != configuration_version{} || m_peers.empty() || now < m_next_probe ||
        m_goal.version != configuration_version{}) {
      return;
    }
    m_next_probe = now + k_probe_interval;
    m_probe_end = now + k_probe_window;
    std::set<std::string> asked(m_peers.begin(), m_peers.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                                       k_preferred_probes, m_peers.size())));
    for (std::size_t i = 0; i < k_random_probes; ++i) {
      asked.insert(m_peers[random_index(random, m_peers.size())]);
    }
    m_probes_open = asked.size();
    for (const std::string& peer : asked) {
      actions.emplace_back(send_message{peer, wire::configuration_fetch{{k_probe_digest}}});
    }
  }

  milliseconds fetch_delay(random_source& random) {
    if (m_failures == 0) {
      // A first configuration is needed at once, and a collection that goes on was spread at its start.
      const bool at_once = m_version == configuration_version{} || m_collection;
      return at_once ? milliseconds(0) : random_up_to(k_spread, random);
    }
    const milliseconds limit = std::min(k_max_backoff, k_first_backoff * (1U << std::min(m_failures, 8U)));
    return limit / 2 + random_up_to(limit / 2, random);
  }

  void start_fetch(time_point now, random_source& random, std::vector<action>& actions) {
    if (m_probes_open > 0 && now < m_probe_end) {
      return;
    }
    const bool store_possible = collecting() || m_goal.digest;
    const bool peer_possible = !m_goal.sources.empty();
    if (peer_possible && !(store_possible && m_failures % 2 == 1)) {
      const std::string peer = m_goal.sources[random_index(random, m_goal.sources.size())];
      m_fetch = {.kind = fetch_kind::peer, .peer = peer, .deadline = now + k_peer_timeout};
      actions.emplace_back(send_message{peer, wire::configuration_fetch{held_digests()}});
    } else if (store_possible) {
      m_fetch = {.kind = fetch_kind::store, .peer = {}, .deadline = now + k_store_timeout};
      if (!collecting()) {
        m_fetch.objects.insert(*m_goal.digest);
      } else {
        for (const std::string& digest : m_collection->missing) {
          if (m_fetch.objects.size() < k_max_objects_in_flight) {
            m_fetch.objects.insert(digest);
          }
        }
      }
      for (const std::string& digest : m_fetch.objects) {
        actions.emplace_back(fetch_object{digest});
      }
    } else {
      record_failure({});
    }
  }

  // True if the index of the goal is known.
  [[nodiscard]] bool collecting() const { return m_collection && m_collection->version == m_goal.version; }

  // Digests to name in a fetch, see the comment on class rollout.
  [[nodiscard]] std::vector<std::string> held_digests() const {
    std::vector<std::string> held;
    if (collecting()) {
      std::copy_if(m_collection->digests.begin(), m_collection->digests.end(), std::back_inserter(held),
                   [this](const std::string& digest) { return !m_collection->missing.contains(digest); });
      return held;
    }
    for (std::size_t i = 0; i < std::min(k_named_versions, m_kept.size()); ++i) {
      held.push_back(m_kept[i].digest);
    }
    return held;
  }

  [[nodiscard]] const kept_index* find_base(const std::vector<std::string>& digests) const {
    for (const std::string& digest : digests) {
      for (const kept_index& kept : m_kept) {
        if (kept.digest == digest) {
          return &kept;
        }
      }
    }
    return nullptr;
  }

  // Appends the sections in force that are not held, as differences where the peer has the section's
  // predecessor.
  void append_sections(const digest_set& held, const section_pairs& changed,
                       wire::configuration_sections& reply) const {
    std::size_t bytes = 0;
    for (const std::string& digest : m_kept.front().digests) {
      if (held.contains(digest) || bytes > k_max_reply_bytes) {
        continue;
      }
      std::string content = m_contents.at(digest);
      const auto pair = std::find_if(changed.begin(), changed.end(),
                                     [&digest](const auto& candidate) { return candidate.second == digest; });
      const auto old = pair == changed.end() ? m_contents.end() : m_contents.find(pair->first);
      if (old != m_contents.end()) {
        content = make_section_delta(old->first, old->second, content);
      }
      bytes += content.size();
      reply.sections.emplace_back(digest, std::move(content));
    }
  }

  bool take_index(const wire::configuration_sections& message) {
    const auto text = apply_index_delta(message.index, [this](std::string_view digest) {
      const kept_index* kept = find_base({std::string(digest)});
      return kept == nullptr ? std::string() : kept->text;
    });
    if (!text ||
        (m_goal.digest && message.version == m_goal.version && sha256_hex(text.value()) != *m_goal.digest)) {
      return false;
    }
    return begin_collection(message.version, text.value());
  }

  // Starts to collect a version unless a newer one is being collected. False if the index is malformed.
  bool begin_collection(configuration_version version, std::string text) {
    const auto digests = config::referenced_digests(text);
    if (!digests) {
      // Content that matches the digest of the head row cannot become well-formed by fetching it again.
      if (m_goal.digest == sha256_hex(text)) {
        reject(version);
      }
      return false;
    }
    std::string digest = sha256_hex(text);
    if (m_collection && (m_collection->version > version ||
                         (m_collection->version == version && m_collection->digest == digest))) {
      return true;
    }
    m_collection = collection{version, std::move(digest), std::move(text), digests.value(), {}};
    for (const std::string& section : m_collection->digests) {
      if (!m_contents.contains(section)) {
        m_collection->missing.insert(section);
      }
    }
    return true;
  }

  void take_section(std::string_view digest, std::string content) {
    if (m_collection && m_collection->missing.contains(digest)) {
      m_collection->missing.erase(std::string(digest));
      m_contents.emplace(digest, std::move(content));
    }
  }

  void finish_object(std::string_view digest) {
    if (m_fetch.kind != fetch_kind::store) {
      return;
    }
    m_fetch.objects.erase(std::string(digest));
    if (m_fetch.objects.empty()) {
      const bool failed = m_fetch.object_failed;
      m_fetch = {};
      if (failed) {
        record_failure({});
      } else {
        m_next_fetch = time_point::min();  // The next batch follows at once.
      }
    }
  }

  // A peer that did not answer or sent something unusable is not asked again until it reports its version.
  void record_failure(std::string_view peer) {
    std::erase(m_goal.sources, peer);
    ++m_failures;
    if (m_goal.sources.empty() && !m_goal.digest && !collecting()) {
      // Nobody who has this version is left to ask. Peers report no digest, so an entry reads the head row
      // itself; otherwise the next report of a peer starts again.
      m_wants_head = true;
      m_goal = {};
    }
  }

  void reject(configuration_version version) {
    m_rejected = std::max(m_rejected, version);
    m_collection.reset();
    if (m_goal.version <= m_rejected) {
      m_goal = {};
    }
  }

  void put_in_force_if_complete(std::vector<action>& actions) {
    if (!m_collection || !m_collection->missing.empty()) {
      return;
    }
    collection done = std::move(*m_collection);
    m_collection.reset();
    if (done.version <= m_version) {
      return;
    }
    auto joined = m_joiner.join(done.text, m_contents);
    if (!joined) {
      if (m_goal.digest == done.digest) {
        reject(done.version);
      }
      ++m_failures;
      return;
    }
    CUMINPATH_ASSERT(done.version > m_version);
    m_version = done.version;
    m_kept.push_front({std::move(done.digest), std::move(done.text), std::move(done.digests)});
    m_kept.resize(std::min(m_kept.size(), k_kept_versions));
    forget_old_sections();
    if (m_goal.version <= m_version) {
      m_goal = {};
      m_fetch = {};
      m_next_fetch.reset();
    }
    m_failures = 0;
    m_wants_head = false;
    actions.emplace_back(configuration_in_force{
        m_version, std::make_shared<const config::manifest>(std::move(joined.value()))});
  }

  void forget_old_sections() {
    std::set<std::string_view> used;
    for (const kept_index& kept : m_kept) {
      used.insert(kept.digests.begin(), kept.digests.end());
    }
    std::erase_if(m_contents, [&used](const auto& item) { return !used.contains(item.first); });
  }

  rollout_options m_options;
  bool m_zone_known = false;
  bool m_chosen = false;
  std::vector<std::string> m_peers;

  configuration_version m_version{};
  configuration_version m_rejected{};  // Versions up to this one that are not in force are malformed.
  std::deque<kept_index> m_kept;       // Newest first; the first one is in force.
  std::map<std::string, std::string> m_contents;
  config::joiner m_joiner;

  goal m_goal;
  std::optional<collection> m_collection;
  fetch_state m_fetch;
  std::optional<time_point> m_next_fetch;
  unsigned m_failures = 0;

  time_point m_next_poll{};
  std::optional<time_point> m_poll_deadline;
  bool m_wants_head = false;

  time_point m_next_probe{};
  time_point m_probe_end{};
  std::size_t m_probes_open = 0;
};

rollout::rollout(rollout_options options) : m_impl(std::make_unique<impl>(std::move(options))) {}
rollout::~rollout() = default;
rollout::rollout(rollout&&) noexcept = default;
rollout& rollout::operator=(rollout&&) noexcept = default;

void rollout::set_local_entries(std::span<const std::string> entry_names) {
  m_impl->set_local_entries(entry_names);
}

void rollout::set_peers(std::span<const std::string> peer_addresses) {
  m_impl->set_peers(peer_addresses);
}

void rollout::on_head(time_point /*now*/, const head& value, std::vector<action>& /*actions*/) {
  m_impl->on_head(value);
}

void rollout::on_head_failed(time_point /*now*/, std::vector<action>& /*actions*/) {
  m_impl->on_head_failed();
}

void rollout::on_object(time_point /*now*/, std::string_view digest, std::string content,
                        std::vector<action>& actions) {
  m_impl->on_object(digest, std::move(content), actions);
}

void rollout::on_object_failed(time_point /*now*/, std::string_view digest,
                               std::vector<action>& /*actions*/) {
  m_impl->on_object_failed(digest);
}

void rollout::on_peer_version(time_point /*now*/, std::string_view peer_address,
                              configuration_version version, std::vector<action>& /*actions*/) {
  m_impl->on_peer_version(peer_address, version);
}

void rollout::on_fetch(time_point /*now*/, std::string_view peer_address,
                       const wire::configuration_fetch& message, std::vector<action>& actions) {
  m_impl->on_fetch(peer_address, message, actions);
}

void rollout::on_sections(time_point /*now*/, std::string_view peer_address,
                          const wire::configuration_sections& message, std::vector<action>& actions) {
  m_impl->on_sections(peer_address, message, actions);
}

void rollout::tick(time_point now, random_source& random, std::vector<action>& actions) {
  m_impl->tick(now, random, actions);
}

configuration_version rollout::version() const {
  return m_impl->version();
}

}  // namespace cuminpath::rollout
