#include "core/entry/request_table.h"

#include <utility>

#include "core/common/assert.h"

namespace cuminpath::entry {

request& request_table::insert(request value) {
  const caller_id caller = value.caller;
  const bool new_wire_id = m_wire_ids.emplace(value.wire_id, caller).second;
  CUMINPATH_ASSERT(new_wire_id);
  ++m_workspaces[value.accepted.workspace];
  const auto [position, inserted] = m_requests.emplace(caller, std::move(value));
  CUMINPATH_ASSERT(inserted);
  return position->second;
}

request* request_table::find(caller_id caller) {
  const auto found = m_requests.find(caller);
  return found == m_requests.end() || found->second.done ? nullptr : &found->second;
}

request* request_table::find_by_wire_id(std::string_view wire_id) {
  const auto found = m_wire_ids.find(std::string(wire_id));
  return found == m_wire_ids.end() ? nullptr : find(found->second);
}

void request_table::finish(request& value) {
  if (value.done) {
    return;
  }
  value.done = true;
  m_response_bytes -= std::exchange(value.response_bytes, 0);
  m_done.push_back(value.caller);
  m_wire_ids.erase(value.wire_id);
  const auto workspace = m_workspaces.find(value.accepted.workspace);
  if (--workspace->second == 0) {
    m_workspaces.erase(workspace);
  }
}

void request_table::sweep() {
  for (const caller_id caller : m_done) {
    m_requests.erase(caller);
  }
  m_done.clear();
}

void request_table::count_response(request& value) {
  const std::size_t bytes = value.done ? 0 : value.body.capacity() + value.answer.text.capacity();
  m_response_bytes = m_response_bytes - value.response_bytes + bytes;
  value.response_bytes = bytes;
}

request* request_table::largest_response() {
  request* largest = nullptr;
  for_each([&largest](request& value) {
    if (value.response_bytes > (largest == nullptr ? 0 : largest->response_bytes)) {
      largest = &value;
    }
  });
  return largest;
}

std::size_t request_table::in_flight(const std::string& workspace) const {
  const auto found = m_workspaces.find(workspace);
  return found == m_workspaces.end() ? 0 : found->second;
}

}  // namespace cuminpath::entry
