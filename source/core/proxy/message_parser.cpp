#include "core/proxy/message_parser.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>

namespace cuminpath::proxy {
namespace {

// Characters of a field name (RFC 9110, 5.6.2). http_parser lets spaces through, and a name like
// "Transfer-Encoding " could mean something else to the next recipient.
bool is_token(std::string_view name) {
  constexpr std::string_view k_marks = "!#$%&'*+-.^_`|~";
  return !name.empty() && std::all_of(name.begin(), name.end(), [&](unsigned char c) {
    return std::isalnum(c) != 0 || k_marks.find(static_cast<char>(c)) != std::string_view::npos;
  });
}

}  // namespace

class message_parser::impl {
public:
  impl(message_parser* owner, side kind) : m_owner(owner), m_kind(kind) {
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

  void start(parse_limits limits, bool no_body) {
    http_parser_init(&m_parser, m_kind == side::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_limits = limits;
    m_no_body = no_body;
    m_head = {};
    m_head_bytes = 0;
    m_body_bytes = 0;
    m_head_done = m_complete = m_value_last = false;
    m_failure = parse_status::malformed;
  }

  outcome feed(std::string_view bytes) {
    const std::size_t consumed = http_parser_execute(&m_parser, &m_settings, bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (m_complete) {
      // A pause leaves the last byte of the message to be counted.
      http_parser_pause(&m_parser, 0);
      return {parse_status::complete, consumed};
    }
    if (error == HPE_HEADER_OVERFLOW) {
      return {parse_status::head_too_large, consumed};
    }
    if (error != HPE_OK || m_parser.upgrade != 0) {
      return {m_failure, consumed};
    }
    return {parse_status::need_more, consumed};
  }

  bool finish() {
    http_parser_execute(&m_parser, &m_settings, nullptr, 0);
    return m_complete;
  }

  message_parser* m_owner;
  bool m_head_done = false;

private:
  static impl& self(http_parser* parser) { return *static_cast<impl*>(parser->data); }

  bool over_head_limit(std::size_t length) {
    m_head_bytes += length;
    if (m_head_bytes > m_limits.max_head_bytes) {
      m_failure = parse_status::head_too_large;
      return true;
    }
    return false;
  }

  int target(const char* at, std::size_t length) {
    m_head.target.append(at, length);
    return over_head_limit(length) ? 1 : 0;
  }
  int field(const char* at, std::size_t length) {
    if (m_head_done) {
      return 0;  // Trailers are dropped.
    }
    if (m_value_last || m_head.headers.empty()) {
      m_head.headers.emplace_back();
      m_value_last = false;
    }
    m_head.headers.back().first.append(at, length);
    return over_head_limit(length) ? 1 : 0;
  }
  int value(const char* at, std::size_t length) {
    if (m_head_done) {
      return 0;
    }
    m_value_last = true;
    m_head.headers.back().second.append(at, length);
    return over_head_limit(length) ? 1 : 0;
  }
  int headers_complete() {
    m_head_done = true;
    if (!std::all_of(m_head.headers.begin(), m_head.headers.end(),
                     [](const auto& header) { return is_token(header.first); })) {
      return -1;
    }
    m_head.status = static_cast<int>(m_parser.status_code);
    if (m_kind == side::requests) {
      m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
    }
    m_head.keep_alive = http_should_keep_alive(&m_parser) != 0;
    const bool bodiless =
        m_no_body || m_head.status / 100 == 1 || m_head.status == 204 || m_head.status == 304;
    m_head.self_delimited = bodiless || m_kind == side::requests || (m_parser.flags & F_CHUNKED) != 0 ||
                            m_parser.content_length != ~std::uint64_t{0};
    if (m_kind == side::requests && m_parser.content_length != ~std::uint64_t{0} &&
        m_parser.content_length > m_limits.max_body_bytes) {
      m_failure = parse_status::body_too_large;
      return -1;
    }
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

  side m_kind;
  http_parser m_parser{};
  http_parser_settings m_settings{};
  parse_limits m_limits;
  message_head m_head;
  std::uint64_t m_head_bytes = 0;
  std::uint64_t m_body_bytes = 0;
  bool m_no_body = false;
  bool m_value_last = false;
  bool m_complete = false;
  parse_status m_failure = parse_status::malformed;
};

message_parser::message_parser(side kind) : m_impl(std::make_unique<impl>(this, kind)) {
  m_impl->start({}, false);
}
message_parser::~message_parser() = default;

void message_parser::start(parse_limits limits, bool no_body) {
  m_impl->start(limits, no_body);
}
message_parser::outcome message_parser::feed(std::string_view bytes) {
  return m_impl->feed(bytes);
}
bool message_parser::finish() {
  return m_impl->finish();
}
bool message_parser::head_done() const {
  return m_impl->m_head_done;
}

}  // namespace cuminpath::proxy
