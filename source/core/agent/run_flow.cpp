#include "core/agent/run_flow.h"

namespace cuminpath::agent {

bool run_flow::on_data(run_id run, std::string_view entry, std::size_t queued) {
  return queued > k_max_queued_for_entry && m_paused.emplace(run, entry).second;
}

std::vector<run_id> run_flow::take_resumable(
    const std::function<std::size_t(std::string_view entry)>& queued) {
  std::vector<run_id> resumable;
  std::erase_if(m_paused, [&](const auto& paused) {
    if (queued(paused.second) > k_resume_below) {
      return false;
    }
    resumable.push_back(paused.first);
    return true;
  });
  return resumable;
}

}  // namespace cuminpath::agent
