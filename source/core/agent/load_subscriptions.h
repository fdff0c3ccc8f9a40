// Entries that have asked for load reports, and when each is due.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/time.h"

namespace cuminpath::agent {

// The interval of the reports of section 7 of the design.
constexpr milliseconds k_load_interval{500};

class load_subscriptions {
public:
  // Returns false if the entry is new and the table is full.
  bool subscribe(time_point now, std::string_view peer_address, duration lease);
  // Any message shows that the entry lives.
  void on_message(time_point now, std::string_view peer_address);
  void remove(std::string_view peer_address);
  // Makes a report to every subscriber due at once.
  void expedite();

  // Appends the entries to which a report is due.
  void due(time_point now, std::vector<std::string>& peers);
  // Removes and appends the entries that have let their lease run out and been silent since.
  void lapsed(time_point now, std::vector<std::string>& peers);

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
