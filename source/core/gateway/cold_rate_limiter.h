// Rate limit of cold upstreams. The load it addresses: upstreams that have just started seem idle to every
// gateway, and all gateways send to them at once. A cold upstream that receives well above its rate crashes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/hash.h"
#include "core/common/time.h"

namespace cuminpath::gateway {

struct cold_rate_options {
  // Senders are selected for at most this share of the bound. The rest is a reserve for gateways that select
  // themselves because their list lacks names: with lists that each lack a quarter of all names at random,
  // 13.3 senders in place of 10 are expected, and more than the 26 of the bound in one of 60,000 cases.
  double used_share = 0.4;
  // More senders spread the requests over more gateways and lose less by a dead one. Beyond this number they
  // only lower the rate of each.
  std::uint32_t max_senders = 16;
  // The bound holds in any second; the rest allows for the jitter between the check and the network.
  milliseconds window{1050};
  // A list is complete if it has not grown for this long: gateways register within about a second of their
  // start, and reports reach all of a fleet of 64 within 0.8 s.
  milliseconds settle_time{2000};
  // Growth since the beginning of the settle time that restarts it. A gateway that lacks this share of the
  // names is covered by the reserve.
  double settled_growth = 0.125;
  // The same once the list has settled: gateways that join only take senders away, but a list that was that
  // small may not have been complete.
  double unsettling_growth = 0.5;
  // A gateway that is cut off from all others still sends, so its name is kept for this long after the last
  // sign of it. Names that no longer exist lower the share of the bound that is used.
  minutes name_retention{15};
};

// Decides whether this gateway may send a request to a cold upstream. For each upstream, rendezvous hashing
// selects a few senders among the names of all known gateways, alive or not; each sender has a fixed limit in
// a sliding window, and all others send nothing. Gateways exchange no messages for this.
class cold_rate_limiter {
public:
  explicit cold_rate_limiter(std::string_view local_name, cold_rate_options options = {});

  // Adds names of gateways, the local one not included, and drops those not named for the retention time.
  // `confirmed` states that the list can be relied on to be complete now: the local gateway is listed for the
  // others, and it is in contact with the store or most other gateways. Call at least once a second.
  void set_members(std::span<const std::string> names, bool confirmed, time_point now);
  // Nothing is sent until the list has been confirmed for the settle time again.
  void restart_settling() { m_settling_since.reset(); }
  [[nodiscard]] bool settled() const { return m_settled; }

  // Returns whether a request may be sent to the cold upstream now. `bound` is the number of requests that
  // all gateways together may send to it in a second.
  [[nodiscard]] bool may_send(std::string_view upstream_id, std::uint32_t bound, time_point now) const;
  // Counts a request. To be called for warm upstreams, too, as they can turn cold within the window.
  void on_sent(std::string_view upstream_id, std::uint32_t bound, time_point now);

  struct limits {
    std::uint32_t senders = 0;
    std::uint32_t per_sender = 0;  // Requests in a window.
  };
  [[nodiscard]] limits limits_for(std::uint32_t bound) const;
  [[nodiscard]] std::size_t known_names() const { return m_names.size() + 1; }

private:
  struct upstream_entry {
    std::vector<time_point> sent;  // The latest ones, at most as many as a sender may send in a window.
    std::uint64_t generation = 0;  // Of the list for which `rank` was computed.
    std::uint32_t rank = 0;        // Number of names that precede the local one, or the maximum.
    time_point last_used{};
  };

  struct id_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view id) const { return hash64(id); }
  };

  void update_settled(bool confirmed, time_point now);
  [[nodiscard]] std::uint32_t rank(std::string_view upstream_id) const;
  upstream_entry& entry(std::string_view upstream_id, time_point now) const;

  cold_rate_options m_options;
  std::uint64_t m_local_hash;
  std::unordered_map<std::uint64_t, time_point> m_names;  // When each name was named last, by its hash.
  std::uint64_t m_generation = 1;                         // Increases with each change of the set of names.
  std::optional<time_point> m_settling_since;
  std::size_t m_settling_size = 0;  // Number of names at that time.
  bool m_settled = false;
  // By id. Mutable because ranks are computed when they are first needed.
  mutable std::unordered_map<std::string, upstream_entry, id_hash, std::equal_to<>> m_upstreams;
};

}  // namespace cuminpath::gateway
