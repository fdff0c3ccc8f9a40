// The gateways known from their periodic membership reports, and those among them that callers can use.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/gateway/mirror.h"
#include "core/gateway/silent_upstreams.h"
#include "core/gateway/upstream_table.h"

namespace cuminpath::gateway {

enum class member_state : std::uint8_t { starting, ready, leaving };

// Membership report of a gateway, sent several times a second.
struct member_report {
  std::string name;
  std::uint64_t incarnation = 0;  // Chosen at random at each start.
  std::uint64_t sequence = 0;     // Increases with each report of an incarnation.
  std::string caller_address;     // IP:PORT that callers connect to.
  std::string report_address;     // IP:PORT that receives membership reports (UDP).
  std::string mirror_address;     // IP:PORT where other gateways read the mirror.
  std::string availability_zone;
  member_state state = member_state::starting;
  std::uint64_t mirror_version = 0;  // mirror::content_version(); what a release without eras compares.
  // mirror::newest_changes(); a gateway of a release without eras states none.
  std::optional<collection_versions> newest_changes;
  bool reads_store = false;      // The gateway reads changes from the store, and the store responds.
  milliseconds view_age{0};      // Of a gateway that reads the store: since the store confirmed its mirror.
  bool store_disturbed = false;  // Recent calls of this gateway to the store have failed.
  milliseconds interval{200};    // Maximum time until the receiver gets the next report.
  std::vector<upstream_load> loads;
  silence_report silence;
};

// Encodes a report as MessagePack; it fits into one datagram.
std::string encode_report(const member_report& report);
// Decodes a report. Errors: invalid_input for anything else.
result<member_report> decode_report(std::string_view bytes);

// The mirror of another gateway, compared with the local one.
enum class mirror_relation : std::uint8_t {
  unusable,  // It holds rows without an era, and the local one knows an era.
  older,     // It lacks a change, and has none that the local one lacks.
  equal,
  newer,  // It has a change that the local one lacks.
};
// Compares the mirrors that two reports describe. Sums of versions are compared only with a gateway that
// states nothing else: they hide a newer change of one collection, and fall when the era rises.
mirror_relation compare_mirrors(const member_report& other, const member_report& local);

struct member_list_options {
  // A member without a report for this long is suspected and not listed to callers. Up to three reports may
  // be lost.
  milliseconds suspicion_timeout{800};
  // The same limit for members that report less often, as a multiple of their report interval.
  int suspicion_intervals = 4;
  // Suspected members are removed after this time; their rows in the store are removed as well.
  milliseconds removal_timeout{60000};
};

class member_list {
public:
  explicit member_list(member_list_options options) : m_options(options) {}

  struct member {
    member_report report;
    time_point last_report_at{};
  };

  enum class outcome : std::uint8_t {
    ignored,
    known,
    joined,
    // A new process has joined under the name of one that had not announced that it leaves: it was killed, or
    // it ended by itself, with all that it served.
    replaced,
    state_changed,
  };
  // Applies a report received from the network. Reports older than the last known one are ignored.
  outcome on_report(member_report report, time_point now);
  // Applies a row of the store that names a gateway. The gateway is not alive until a report from it arrives.
  void on_store_row(member_report report);

  // Returns the names of members that became suspected since the last call; their loads no longer count.
  std::vector<std::string> take_suspected(time_point now);
  // Removes members without a report for `removal_timeout` and returns their names.
  std::vector<std::string> remove_expired(time_point now);

  // Returns up to `limit` members that callers can use. If there are more, those of `availability_zone` come
  // first, then they are ordered by a hash of the availability zone and the name, which distributes callers
  // of different zones.
  [[nodiscard]] std::vector<const member*> usable(std::string_view availability_zone, std::size_t limit,
                                                  time_point now) const;
  [[nodiscard]] std::size_t count_alive(time_point now) const;
  // Returns the number of members that are alive and read the store, and whose mirror `local` can use.
  [[nodiscard]] std::size_t count_store_readers(const member_report& local, time_point now) const;
  [[nodiscard]] std::span<const member> all() const { return m_members; }
  // Returns the member of that name; null if there is none.
  [[nodiscard]] const member* find(std::string_view name) const;
  // Returns a member whose mirror is newer than that of `local`: one of its availability zone that reads the
  // store if there is one, otherwise any; chosen at random among equals. Null if there is none.
  [[nodiscard]] const member* find_newer_mirror(const member_report& local, time_point now,
                                                random_source& random) const;

  // Returns true if a report of the member arrived within the limit that applies to it.
  [[nodiscard]] bool alive(const member& value, time_point now) const {
    const milliseconds timeout =
        std::max(m_options.suspicion_timeout, m_options.suspicion_intervals * value.report.interval);
    return value.last_report_at != time_point{} && now - value.last_report_at <= timeout;
  }

private:
  member_list_options m_options;
  std::vector<member> m_members;
  std::vector<std::string> m_notified_suspected;
};

}  // namespace cuminpath::gateway
