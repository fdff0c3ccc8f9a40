// Parses the server-sent events of an engine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminpath::agent {

struct stream_event {
  std::string type;  // Empty if the event has no type.
  std::string data;
};

// Incremental parser of one stream of server-sent events.
class event_stream_parser {
public:
  // Parses further bytes and appends the events that they complete. Returns false if an event is larger than
  // 1 MiB, or if 64 KiB of comments, empty lines and other fields have come without an event that has data;
  // the parser must not be used after that.
  bool feed(std::string_view bytes, std::vector<stream_event>& events);

private:
  void process_line(std::vector<stream_event>& events);

  std::string m_line;
  stream_event m_event;
  bool m_has_data = false;
  std::size_t m_bytes_without_data = 0;  // In whole lines, since the last event that has data.
};

// Returns the member "index" of a JSON object. Scans the text instead of parsing it as a document, because
// this runs for each token. Absent if the text is no object or has no such member with an unsigned integer.
std::optional<std::uint64_t> token_index(std::string_view event);

// Returns the text of an engine's event: choices[0].text or choices[0].delta.content, or an empty string if
// it has neither.
std::string token_text(std::string_view event);

}  // namespace cuminpath::agent
