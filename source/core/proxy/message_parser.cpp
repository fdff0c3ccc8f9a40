#include "core/proxy/message_parser.h"

#include <http_parser.h>

#include <algorithm>

#include "core/proxy/response_check.h"

namespace cuminpath::proxy {

class message_parser::impl {
public:
  impl(message_parser* owner, message_type type) : m_owner(owner), m_type(type) {
    m_settings.on_url = [](http_parser* parser, const char* at, std::size_t length) {
      return self(parser).target(at, length);
    };
    m_settings.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
      return self(parser).field(at, length);
    };
    m_settings.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
      return self(parser).value(at, length);
    };
    m_settings.on_headers_complete = [](http_parser* parser) { return self(parser).headers_complete(); };
    m_settings.on_body = [](http_parser* parser, const char* at, std::size_t length) {
      return self(parser).body(at, length);
    };
    m_settings.on_message_complete = [](http_parser* parser) { return self(parser).message_complete(); };
  }

  [[nodiscard]] bool is_head_request() const {
    return m_type == message_type::requests && m_parser.method == HTTP_HEAD;
  }

  void start(parse_limits limits, bool no_body) {
    http_parser_init(&m_parser, m_type == message_type::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_limits = limits;
    m_no_body = no_body;
    m_head = {};
    m_head_bytes = 0;
    m_header_capacity = 0;
    m_body_bytes = 0;
    m_head_done = m_complete = m_last_was_value = false;
    m_check.start(limits.max_head_bytes, no_body);
    m_failure = parse_status::malformed;
  }

  feed_result feed(std::string_view bytes) {
    const auto checked = m_type == message_type::responses
                             ? m_check.check(bytes)
                             : response_check::result{.valid_bytes = bytes.size()};
    // What precedes an invalid line is still passed on, such as the events of a stream. http_parser takes no
    // bytes for the end of the connection.
    const std::size_t consumed =
        checked.valid_bytes == 0
            ? 0
            : http_parser_execute(&m_parser, &m_settings, bytes.data(), checked.valid_bytes);
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (m_complete) {
      // message_complete() has paused the parser, and `consumed` includes the last byte of the message.
      // Resumes the parser for the next one.
      http_parser_pause(&m_parser, 0);
      return {parse_status::complete, consumed};
    }
    if (error == HPE_HEADER_OVERFLOW) {
      return {parse_status::head_too_large, consumed};
    }
    if (error != HPE_OK || m_parser.upgrade != 0) {
      return {m_failure, consumed};
    }
    switch (checked.found) {
      case response_check::verdict::valid:
        break;
      case response_check::verdict::malformed:
        return {parse_status::malformed, consumed};
      case response_check::verdict::line_too_long:
        return {parse_status::head_too_large, consumed};
    }
    return {parse_status::need_more, consumed};
  }

  bool finish_at_eof() {
    http_parser_execute(&m_parser, &m_settings, nullptr, 0);
    return m_complete;
  }

  [[nodiscard]] std::size_t head_memory() const {
    // Names and values are strings of their own, with what the allocator adds to each.
    constexpr std::size_t k_allocated_per_byte = 2;
    return k_allocated_per_byte * m_head_bytes +
           std::max(m_head.headers.capacity(), m_header_capacity) * sizeof(http::header_list::value_type);
  }

  message_parser* m_owner;
  bool m_head_done = false;

private:
  static impl& self(http_parser* parser) { return *static_cast<impl*>(parser->data); }

  bool exceeds_head_limit(std::size_t length) {
    m_head_bytes += length;
    if (m_head_bytes > m_limits.max_head_bytes) {
      m_failure = parse_status::head_too_large;
      return true;
    }
    return false;
  }

  int target(const char* at, std::size_t length) {
    m_head.target.append(at, length);
    return exceeds_head_limit(length) ? 1 : 0;
  }
  int field(const char* at, std::size_t length) {
    if (m_head_done) {
      return 0;  // Trailers are discarded.
    }
    if (m_last_was_value || m_head.headers.empty()) {
      m_head.headers.emplace_back();
      m_last_was_value = false;
    }
    m_head.headers.back().first.append(at, length);
    return exceeds_head_limit(length) ? 1 : 0;
  }
  int value(const char* at, std::size_t length) {
    if (m_head_done) {
      return 0;
    }
    m_last_was_value = true;
    m_head.headers.back().second.append(at, length);
    return exceeds_head_limit(length) ? 1 : 0;
  }
  int headers_complete() {
    m_head_done = true;
    // http_parser accepts spaces in names, but the next recipient could interpret a name like
    // "Transfer-Encoding " differently, which allows request smuggling.
    if (!std::all_of(m_head.headers.begin(), m_head.headers.end(),
                     [](const auto& header) { return http::is_token(header.first); })) {
      return -1;
    }
    // Only the chunked coding is removed, and Transfer-Encoding is not passed on: the caller would take a
    // body with another coding for the plain one.
    if (m_type == message_type::responses && !http::has_valid_framing(m_head.headers)) {
      return -1;
    }
    m_head.status = static_cast<int>(m_parser.status_code);
    if (m_type == message_type::requests) {
      m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
    }
    m_head.keep_alive = http_should_keep_alive(&m_parser) != 0;
    const bool bodiless =
        m_no_body || (m_type == message_type::responses && !http::may_have_body(m_head.status));
    m_head.self_delimited = bodiless || m_type == message_type::requests ||
                            (m_parser.flags & F_CHUNKED) != 0 || m_parser.content_length != ~std::uint64_t{0};
    if (m_type == message_type::requests && m_parser.content_length != ~std::uint64_t{0} &&
        m_parser.content_length > m_limits.max_body_bytes) {
      m_failure = parse_status::body_too_large;
      return -1;
    }
    m_header_capacity = m_head.headers.capacity();
    if (m_owner->on_head) {
      m_owner->on_head(std::move(m_head));
    }
    return bodiless ? 1 : 0;
  }
  int body(const char* at, std::size_t length) {
    m_body_bytes += length;
    if (m_body_bytes > m_limits.max_body_bytes) {
      m_failure = parse_status::body_too_large;
      return 1;
    }
    if (m_owner->on_body) {
      m_owner->on_body({at, length});
    }
    return 0;
  }
  int message_complete() {
    m_complete = true;
    http_parser_pause(&m_parser, 1);
    return 0;
  }

  message_type m_type;
  http_parser m_parser{};
  http_parser_settings m_settings{};
  parse_limits m_limits;
  message_head m_head;
  std::uint64_t m_head_bytes = 0;
  std::size_t m_header_capacity = 0;
  std::uint64_t m_body_bytes = 0;
  response_check m_check;
  bool m_no_body = false;
  bool m_last_was_value = false;
  bool m_complete = false;
  parse_status m_failure = parse_status::malformed;
};

message_parser::message_parser(message_type type) : m_impl(std::make_unique<impl>(this, type)) {
  m_impl->start({}, false);
}
message_parser::~message_parser() = default;

void message_parser::start(parse_limits limits, bool no_body) {
  m_impl->start(limits, no_body);
}
message_parser::feed_result message_parser::feed(std::string_view bytes) {
  return m_impl->feed(bytes);
}
bool message_parser::finish_at_eof() {
  return m_impl->finish_at_eof();
}
bool message_parser::is_head_request() const {
  return m_impl->is_head_request();
}

bool message_parser::head_done() const {
  return m_impl->m_head_done;
}
std::size_t message_parser::head_memory() const {
  return m_impl->head_memory();
}

}  // namespace cuminpath::proxy
