// Reads the server-sent events of an engine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminpath::agent {

struct stream_event {
  std::string type;  // Empty for a plain message.
  std::string data;
};

class event_stream {
public:
  // Appends the events that end in these bytes. Returns false if an event is larger than 1 MiB; the stream is
  // then unusable.
  bool feed(std::string_view bytes, std::vector<stream_event>& events);

private:
  void end_line(std::vector<stream_event>& events);

  std::string m_line;
  stream_event m_event;
  bool m_has_data = false;
};

// Value of the member "index" of a JSON object, without building the document: this runs for each token.
// Absent if the text is no object or has no such member of unsigned integer value.
std::optional<std::uint64_t> token_index(std::string_view event);

// Text of an engine's event: choices[0].text or choices[0].delta.content. Empty if there is none.
std::string token_text(std::string_view event);

}  // namespace cuminpath::agent
