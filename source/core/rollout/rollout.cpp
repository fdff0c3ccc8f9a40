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

constexpr milliseconds k_head_read_interval{1000};
// A read of the head row without a result after this time is repeated; the table client itself reports a
// timeout only after 2 s.
constexpr milliseconds k_head_read_timeout{900};
// An object fetch without a result after this time counts as failed. It exceeds the 5 s after which the
// object client reports a timeout.
constexpr milliseconds k_object_timeout{6000};
// Well above a round trip to another availability zone (about 3 ms), and short enough for several attempts
// within 5 s.
constexpr milliseconds k_peer_timeout{300};
// Processes that learn of a version at the same time fetch it with a random delay, so that those that receive
// it early serve the others and the store readers do not have to serve every process.
constexpr milliseconds k_max_fetch_jitter{200};
constexpr milliseconds k_base_backoff{50};
constexpr milliseconds k_max_backoff{1000};

constexpr milliseconds k_probe_interval{1000};
constexpr milliseconds k_probe_timeout{300};
constexpr std::size_t k_max_preferred_probes = 3;
constexpr std::size_t k_random_probes = 2;
// A digest that no process knows: the response to it is the index alone.
constexpr const char* k_unknown_digest = "index";

constexpr unsigned k_max_retries_of_only_source = 3;
constexpr std::size_t k_max_sources = 8;
constexpr std::size_t k_max_objects_in_flight = 8;
// Versions that are kept with all sections so that responses can be differences. At 16,000 changes a day they
// cover the last three minutes. Each version takes 18 KB for the index, 25 KB for its digests and 6 KB for
// the section that changed.
constexpr std::size_t k_max_kept_versions = 32;
// Versions that a fetch request names as possible bases of a difference.
constexpr std::size_t k_max_named_bases = 4;
constexpr std::size_t k_max_reply_bytes = 4U << 20U;

// Index of a complete version that is kept as a base for differences.
struct kept_index {
  std::string digest;
  std::string text;
  std::vector<std::string> digests;  // Digests of its sections.
};

// The newest version that is known to exist.
struct fetch_target {
  configuration_version version{};
  std::optional<std::string> digest;  // Digest of the index; known only from the head row.
  std::vector<std::string> sources;   // Peers that have this version.
};

// A version whose sections are being fetched.
struct download {
  configuration_version version{};
  std::string digest;
  std::string text;
  std::vector<std::string> digests;  // Digests of its sections.
  std::set<std::string, std::less<>> missing;
};

enum class fetch_source : std::uint8_t { none, peer, store };

struct fetch_state {
  fetch_source source = fetch_source::none;
  std::string peer = {};
  time_point deadline = {};
  std::set<std::string, std::less<>> objects = {};  // Digests of the outstanding objects.
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
    m_local_entries_known = !names.empty();
    names.push_back(m_options.name);
    const auto selected = select_store_readers(m_options.availability_zone, names);
    m_is_store_reader = std::find(selected.begin(), selected.end(), m_options.name) != selected.end();
  }

  void set_peers(std::span<const std::string> peers) { m_peers.assign(peers.begin(), peers.end()); }

  void on_head(const head& value) {
    m_head_read_deadline.reset();
    m_head_read_requested = false;
    raise_target(value.version, value.index_digest, {});
  }

  void on_head_failed() { m_head_read_deadline.reset(); }

  void on_peer_version(std::string_view peer, configuration_version version) {
    if (version > m_version) {
      raise_target(version, std::nullopt, peer);
    }
  }

  void on_object(std::string_view digest, std::string content, std::vector<action>& actions) {
    if (sha256_hex(content) != digest) {
      on_object_failed(digest);
      return;
    }
    if (m_target.digest == digest && (!m_download || m_download->version < m_target.version)) {
      begin_download(m_target.version, std::move(content));
    } else {
      add_section(digest, std::move(content));
    }
    on_object_finished(digest);
    put_in_force_if_complete(actions);
  }

  void on_object_failed(std::string_view digest) {
    m_fetch.object_failed = m_fetch.object_failed || m_fetch.objects.contains(digest);
    on_object_finished(digest);
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
    const bool expected = m_fetch.source == fetch_source::peer && m_fetch.peer == peer;
    if (expected) {
      m_fetch = {};
    }
    m_outstanding_probes -= m_outstanding_probes > 0 ? 1 : 0;
    const std::size_t missing_before = m_download ? m_download->missing.size() : 0;
    const std::string digest_before = m_download ? m_download->digest : "";
    if (message.version <= m_version || message.version <= m_rejected) {
      if (expected) {
        record_failure(peer);
      }
      return;
    }
    if (!apply_index(message)) {
      record_failure(peer);
      return;
    }
    raise_target(message.version, std::nullopt, peer);
    for (const auto& [digest, content] : message.sections) {
      auto whole = apply_section_delta(content, [this](std::string_view base) {
        const auto found = m_contents.find(std::string(base));
        return found == m_contents.end() ? std::string() : found->second;
      });
      if (whole && sha256_hex(whole.value()) == digest) {
        add_section(digest, std::move(whole.value()));
      }
    }
    put_in_force_if_complete(actions);
    if (expected && m_download && m_download->digest == digest_before &&
        m_download->missing.size() >= missing_before) {
      record_failure(peer);
    }
  }

  void tick(time_point now, random_source& random, std::vector<action>& actions) {
    read_head_if_due(now, random, actions);
    probe_peers(now, random, actions);
    if (m_fetch.source != fetch_source::none && now >= m_fetch.deadline) {
      // The message may have been lost, so the request to the only known source is repeated a few times.
      const bool retry_source = m_target.sources.size() <= 1 && m_failures < k_max_retries_of_only_source;
      const std::string peer = retry_source ? "" : m_fetch.peer;
      m_fetch = {};
      record_failure(peer);
    }
    if (m_target.version <= m_version || m_fetch.source != fetch_source::none) {
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

  void raise_target(configuration_version version, const std::optional<std::string>& digest,
                    std::string_view peer) {
    if (version <= m_version || version <= m_rejected || version < m_target.version) {
      return;
    }
    if (version > m_target.version) {
      m_target = {version, std::nullopt, {}};
      m_failures = 0;
    }
    if (digest) {
      m_target.digest = digest;
      if (m_download && m_download->version == version && m_download->digest != *digest) {
        m_download.reset();
      }
    }
    std::vector<std::string>& sources = m_target.sources;
    if (!peer.empty() && sources.size() < k_max_sources &&
        std::find(sources.begin(), sources.end(), peer) == sources.end()) {
      sources.emplace_back(peer);
    }
  }

  // Whether the local process reads the head row. Without a list of entries it cannot determine whether it is
  // a store reader; it then reads the head row only until it has a configuration.
  [[nodiscard]] bool should_read_head() const {
    const bool is_reader = m_local_entries_known ? m_is_store_reader : m_version == configuration_version{};
    return m_options.may_read_store && (is_reader || m_head_read_requested);
  }

  void read_head_if_due(time_point now, random_source& random, std::vector<action>& actions) {
    if (m_head_read_deadline && now >= *m_head_read_deadline) {
      m_head_read_deadline.reset();
    }
    if (!should_read_head() || m_head_read_deadline || now < m_next_head_read) {
      return;
    }
    // Later reads keep the random phase of the first, so that the store readers do not all read at once.
    const bool first = m_next_head_read == time_point{};
    m_next_head_read = now + (first ? random_up_to(k_head_read_interval, random) : k_head_read_interval);
    m_head_read_deadline = now + k_head_read_timeout;
    actions.emplace_back(read_head_row{});
  }

  // Requests the indexes of some peers until the first version is known.
  void probe_peers(time_point now, random_source& random, std::vector<action>& actions) {
    if (m_version != configuration_version{} || m_peers.empty() || now < m_next_probe ||
        m_target.version != configuration_version{}) {
      return;
    }
    m_next_probe = now + k_probe_interval;
    m_probe_deadline = now + k_probe_timeout;
    std::set<std::string> asked(
        m_peers.begin(),
        m_peers.begin() + static_cast<std::ptrdiff_t>(std::min(k_max_preferred_probes, m_peers.size())));
    for (std::size_t i = 0; i < k_random_probes; ++i) {
      asked.insert(m_peers[random_index(random, m_peers.size())]);
    }
    m_outstanding_probes = asked.size();
    for (const std::string& peer : asked) {
      actions.emplace_back(send_message{peer, wire::configuration_fetch{{k_unknown_digest}}});
    }
  }

  milliseconds fetch_delay(random_source& random) {
    if (m_failures == 0) {
      // The first configuration is needed without delay, and a download in progress had its delay at the
      // start.
      const bool at_once = m_version == configuration_version{} || m_download;
      return at_once ? milliseconds(0) : random_up_to(k_max_fetch_jitter, random);
    }
    const milliseconds limit = std::min(k_max_backoff, k_base_backoff * (1U << std::min(m_failures, 8U)));
    return limit / 2 + random_up_to(limit / 2, random);
  }

  void start_fetch(time_point now, random_source& random, std::vector<action>& actions) {
    if (m_outstanding_probes > 0 && now < m_probe_deadline) {
      return;
    }
    const bool store_possible = target_index_known() || m_target.digest;
    const bool peer_possible = !m_target.sources.empty();
    if (peer_possible && !(store_possible && m_failures % 2 == 1)) {
      const std::string peer = m_target.sources[random_index(random, m_target.sources.size())];
      m_fetch = {.source = fetch_source::peer, .peer = peer, .deadline = now + k_peer_timeout};
      actions.emplace_back(send_message{peer, wire::configuration_fetch{held_digests()}});
    } else if (store_possible) {
      m_fetch = {.source = fetch_source::store, .peer = {}, .deadline = now + k_object_timeout};
      if (!target_index_known()) {
        m_fetch.objects.insert(*m_target.digest);
      } else {
        for (const std::string& digest : m_download->missing) {
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

  // Returns true if the index of the target version is known.
  [[nodiscard]] bool target_index_known() const {
    return m_download && m_download->version == m_target.version;
  }

  // Returns the digests to name in a fetch request, see the comment on class rollout.
  [[nodiscard]] std::vector<std::string> held_digests() const {
    std::vector<std::string> held;
    if (target_index_known()) {
      std::copy_if(m_download->digests.begin(), m_download->digests.end(), std::back_inserter(held),
                   [this](const std::string& digest) { return !m_download->missing.contains(digest); });
      return held;
    }
    for (std::size_t i = 0; i < std::min(k_max_named_bases, m_kept.size()); ++i) {
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

  // Appends the sections of the version in force that the peer does not have, as differences where the peer
  // has the previous version of the section.
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

  bool apply_index(const wire::configuration_sections& message) {
    const auto text = apply_index_delta(message.index, [this](std::string_view digest) {
      const kept_index* kept = find_base({std::string(digest)});
      return kept == nullptr ? std::string() : kept->text;
    });
    if (!text || (m_target.digest && message.version == m_target.version &&
                  sha256_hex(text.value()) != *m_target.digest)) {
      return false;
    }
    return begin_download(message.version, text.value());
  }

  // Starts the download of a version unless that of a newer one is in progress. Returns false if the index is
  // malformed.
  bool begin_download(configuration_version version, std::string text) {
    const auto digests = config::referenced_digests(text);
    if (!digests) {
      // Content that matches the digest in the head row would be as malformed if it were fetched again.
      if (m_target.digest == sha256_hex(text)) {
        reject(version);
      }
      return false;
    }
    std::string digest = sha256_hex(text);
    if (m_download &&
        (m_download->version > version || (m_download->version == version && m_download->digest == digest))) {
      return true;
    }
    m_download = download{version, std::move(digest), std::move(text), digests.value(), {}};
    for (const std::string& section : m_download->digests) {
      if (!m_contents.contains(section)) {
        m_download->missing.insert(section);
      }
    }
    return true;
  }

  void add_section(std::string_view digest, std::string content) {
    if (m_download && m_download->missing.contains(digest)) {
      m_download->missing.erase(std::string(digest));
      m_contents.emplace(digest, std::move(content));
    }
  }

  void on_object_finished(std::string_view digest) {
    if (m_fetch.source != fetch_source::store) {
      return;
    }
    m_fetch.objects.erase(std::string(digest));
    if (m_fetch.objects.empty()) {
      const bool failed = m_fetch.object_failed;
      m_fetch = {};
      if (failed) {
        record_failure({});
      } else {
        m_next_fetch = time_point::min();  // Fetches the next batch without delay.
      }
    }
  }

  // Removes a peer that did not respond or sent an unusable response from the sources, until it reports its
  // version again. An empty name counts the failure only.
  void record_failure(std::string_view peer) {
    std::erase(m_target.sources, peer);
    ++m_failures;
    if (m_target.sources.empty() && !m_target.digest && !target_index_known()) {
      // No source of this version is left. Peers do not report the digest of the index, so an entry reads the
      // head row itself; on an agent the next version that a peer reports starts another attempt.
      m_head_read_requested = true;
      m_target = {};
    }
  }

  void reject(configuration_version version) {
    m_rejected = std::max(m_rejected, version);
    m_download.reset();
    if (m_target.version <= m_rejected) {
      m_target = {};
    }
  }

  void put_in_force_if_complete(std::vector<action>& actions) {
    if (!m_download || !m_download->missing.empty()) {
      return;
    }
    download done = std::move(*m_download);
    m_download.reset();
    if (done.version <= m_version) {
      return;
    }
    auto joined = m_joiner.join(done.text, m_contents);
    if (!joined) {
      if (m_target.digest == done.digest) {
        reject(done.version);
      }
      ++m_failures;
      return;
    }
    CUMINPATH_ASSERT(done.version > m_version);
    m_version = done.version;
    m_kept.push_front({std::move(done.digest), std::move(done.text), std::move(done.digests)});
    m_kept.resize(std::min(m_kept.size(), k_max_kept_versions));
    remove_unused_sections();
    if (m_target.version <= m_version) {
      m_target = {};
      m_fetch = {};
      m_next_fetch.reset();
    }
    m_failures = 0;
    m_head_read_requested = false;
    actions.emplace_back(configuration_in_force{
        m_version, std::make_shared<const config::manifest>(std::move(joined.value()))});
  }

  void remove_unused_sections() {
    std::set<std::string_view> used;
    for (const kept_index& kept : m_kept) {
      used.insert(kept.digests.begin(), kept.digests.end());
    }
    std::erase_if(m_contents, [&used](const auto& item) { return !used.contains(item.first); });
  }

  rollout_options m_options;
  bool m_local_entries_known = false;
  bool m_is_store_reader = false;
  std::vector<std::string> m_peers;

  configuration_version m_version{};
  configuration_version m_rejected{};  // Newest malformed version; it and older ones are not fetched again.
  std::deque<kept_index> m_kept;       // Newest first; the first one is that of the version in force.
  std::map<std::string, std::string> m_contents;
  config::manifest_joiner m_joiner;

  fetch_target m_target;
  std::optional<download> m_download;
  fetch_state m_fetch;
  std::optional<time_point> m_next_fetch;
  unsigned m_failures = 0;

  time_point m_next_head_read{};
  std::optional<time_point> m_head_read_deadline;
  bool m_head_read_requested = false;

  time_point m_next_probe{};
  time_point m_probe_deadline{};
  std::size_t m_outstanding_probes = 0;
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
