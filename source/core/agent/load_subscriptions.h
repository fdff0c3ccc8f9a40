// The entries that have subscribed to load reports, and when the next report to each is due.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/time.h"

namespace cuminpath::agent {

// The interval of load reports (section 7 of the design).
constexpr milliseconds k_load_report_interval{500};

class load_subscriptions {
public:
  // Adds or renews a subscription. Returns false if the entry is new and the table is full.
  bool subscribe(time_point now, std::string_view peer_address, duration lease);
  // Records a message of any kind, which shows that the entry is alive.
  void on_message(time_point now, std::string_view peer_address);
  void remove(std::string_view peer_address);
  // Makes a report to every subscriber due immediately.
  void make_all_due();

  // Appends the entries to which a report is due, and schedules their next report.
  void take_due(time_point now, std::vector<std::string>& peers);
  // Removes the entries whose lease expired at least the suspicion timeout ago and from which no message has
  // arrived within that timeout, and appends them to `peers`.
  void remove_expired(time_point now, std::vector<std::string>& peers);

  [[nodiscard]] std::size_t size() const { return m_subscribers.size(); }

private:
  struct subscriber {
    time_point lease_end{};
    time_point next_report{};
    time_point last_message{};
  };
  std::unordered_map<std::string, subscriber> m_subscribers;
};

}  // namespace cuminpath::agent
