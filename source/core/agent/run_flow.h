// Decides when runs have to wait because the link to their entry does not keep up. An upstream can send much
// faster than a link carries; without this, its response would fill the queue of the link until the link is
// dropped, and with it the responses to all other requests of that entry.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/agent/actions.h"

namespace cuminpath::agent {

// A run is paused while more than this is queued for its entry. Everything else that is sent to the entry
// waits behind it: at 100 MB/s for 10 ms.
constexpr std::size_t k_max_queued_for_entry = 1U << 20U;
// Paused runs go on once no more than this is queued for their entry.
constexpr std::size_t k_resume_below = k_max_queued_for_entry / 4;

class run_flow {
public:
  // A run has received data, and `queued` bytes wait for its entry. Returns true if the run is to be paused
  // now.
  bool on_data(run_id run, std::string_view entry, std::size_t queued);
  void on_ended(run_id run) { m_paused.erase(run); }

  // Removes and returns the runs that may go on. `queued` returns the bytes that wait for an entry.
  std::vector<run_id> take_resumable(const std::function<std::size_t(std::string_view entry)>& queued);

  [[nodiscard]] std::size_t paused() const { return m_paused.size(); }

private:
  std::unordered_map<run_id, std::string> m_paused;  // Address of the entry by run.
};

}  // namespace cuminpath::agent
