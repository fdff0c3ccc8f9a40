// The gateways that callers can be sent to, from their periodic messages.
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
#include "core/gateway/upstream_table.h"

namespace cuminpath::gateway {

enum class member_state : std::uint8_t { starting, ready, leaving };

// What a gateway says of itself, several times a second.
struct member_report {
  std::string name;
  std::uint64_t incarnation = 0;  // Random at each start.
  std::uint64_t sequence = 0;     // Grows with each report of an incarnation.
  std::string caller_address;     // IP:PORT for callers.
  std::string report_address;     // IP:PORT for these reports (UDP).
  std::string mirror_address;     // IP:PORT where other gateways read its mirror.
  std::string availability_zone;
  member_state state = member_state::starting;
  std::uint64_t mirror_version = 0;  // Newest change that its mirror holds.
  bool reads_store = false;          // It reads changes from the store, and the store answers it.
  bool store_disturbed = false;      // Calls of its own to the store failed lately.
  milliseconds interval{200};        // Until the receiver gets the next report at the latest.
  std::vector<upstream_load> loads;
};

// MessagePack, one datagram.
std::string encode_report(const member_report& report);
// Errors: invalid_input for anything but a report.
result<member_report> decode_report(std::string_view bytes);

struct member_options {
  // Without a report for this long, a member is not named to callers. Three reports may be lost.
  milliseconds silent_after{800};
  // The same for members that report less often, in intervals of their reports.
  int silent_intervals = 4;
  // Silent members are forgotten after this time; their rows in the store are removed as well.
  milliseconds forgotten_after{60000};
};

class member_list {
public:
  explicit member_list(member_options options) : m_options(options) {}

  struct member {
    member_report report;
    time_point heard_at{};
  };

  enum class outcome : std::uint8_t { ignored, known, joined, state_changed };
  // A report from the network. Reports that are older than a known one are ignored.
  outcome on_report(member_report report, time_point now);
  // A gateway that a row in the store names; it counts as silent until a report of its own arrives.
  void on_row(member_report report);

  // Names of members that fell silent since the last call; their loads no longer count.
  std::vector<std::string> take_silent(time_point now);
  // Names of members silent for so long that they are forgotten.
  std::vector<std::string> take_forgotten(time_point now);

  // Up to `limit` members that callers can use, those of `availability_zone` first, then by a hash of the
  // caller's view so that long lists are spread.
  [[nodiscard]] std::vector<const member*> usable(std::string_view availability_zone, std::size_t limit,
                                                  time_point now) const;
  // Members that report and read the store.
  [[nodiscard]] std::size_t store_readers(time_point now) const;
  [[nodiscard]] std::span<const member> all() const { return m_members; }
  // A member with a newer mirror than `version`: one of `availability_zone` that reads the store if there is
  // one, else any; at random among equals. Null if there is none.
  [[nodiscard]] const member* newer_mirror(std::uint64_t version, std::string_view availability_zone,
                                           time_point now, random_source& random) const;

  // It has reported lately.
  [[nodiscard]] bool alive(const member& value, time_point now) const {
    const milliseconds most =
        std::max(m_options.silent_after, m_options.silent_intervals * value.report.interval);
    return value.heard_at != time_point{} && now - value.heard_at <= most;
  }

private:
  member_options m_options;
  std::vector<member> m_members;
  std::vector<std::string> m_reported_silent;
};

}  // namespace cuminpath::gateway
