#include "emulator/role.h"

#include <charconv>

namespace cuminpath::emulator {
namespace {

// Discards the response to a write and breaks the connection instead. The write itself takes effect.
class dropping_responder final : public http::responder {
public:
  explicit dropping_responder(responder_ptr inner) : m_inner(std::move(inner)) {}
  void respond(http::response) override { cut_off(m_inner); }
  void begin_stream(int, const http::header_list&) override {}
  void write(std::string_view) override {}
  void end_stream() override { cut_off(m_inner); }
  void abort_stream() override { cut_off(m_inner); }
  [[nodiscard]] std::size_t unsent_bytes() const override { return 0; }
  [[nodiscard]] bool closed() const override { return m_inner->closed(); }
  void on_closed(std::function<void()> callback) override { m_inner->on_closed(std::move(callback)); }

private:
  responder_ptr m_inner;
};

}  // namespace

void respond_json(const responder_ptr& to, int status, const json& body) {
  to->respond({status,
               {{"Content-Type", "application/json"}},
               body.dump(-1, ' ', false, json::error_handler_t::replace)});
}

void respond_not_found(const responder_ptr& to) {
  respond_json(to, 404, {{"error", "not found"}});
}

void cut_off(const responder_ptr& to) {
  to->begin_stream(500, {});
  to->abort_stream();
}

std::string decode_segment(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned byte = 0;
    if (text[i] == '%' && i + 2 < text.size()) {
      const auto* first = text.data() + i + 1;
      if (std::from_chars(first, first + 2, byte, 16).ptr == first + 2) {
        decoded += static_cast<char>(byte);
        i += 2;
        continue;
      }
    }
    decoded += text[i];
  }
  return decoded;
}

std::vector<std::string> path_segments(std::string_view path) {
  std::vector<std::string> segments;
  while (!path.empty()) {
    path.remove_prefix(path.front() == '/' ? 1 : 0);
    const auto end = path.find('/');
    segments.push_back(decode_segment(path.substr(0, end)));
    path = end == std::string_view::npos ? std::string_view() : path.substr(end);
  }
  return segments;
}

std::string query_value(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const auto end = query.find('&');
    const auto pair = query.substr(0, end);
    if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=') {
      return decode_segment(pair.substr(name.size() + 1));
    }
    query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
  }
  return {};
}

std::uint64_t to_number(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

result<std::unique_ptr<emulator_server>> emulator_server::start(asio::io_context& context,
                                                                const std::string& address,
                                                                role& served_role) {
  std::unique_ptr<emulator_server> value(new emulator_server(context, served_role));
  http::server_options options;
  options.address = address;
  options.max_body_bytes = 64U << 20U;
  auto server = http::server::start(context, options,
                                    [self = value.get()](http::request request, const responder_ptr& to) {
                                      self->on_request(std::move(request), to);
                                    });
  if (!server) {
    return server.error();
  }
  value->m_server = std::move(server.value());
  return value;
}

void emulator_server::on_request(http::request request, const responder_ptr& to) {
  if (request.path() == "/control" && request.method == "POST") {
    on_control(request, to);
    return;
  }
  if (request.path() == "/stats") {
    auto body = m_role.stats();
    body["requests"] = m_requests;
    body["lost_responses"] = m_lost_responses;
    respond_json(to, 200, body);
    return;
  }
  ++m_requests;
  if (m_handling_delay.count() == 0) {
    serve(request, to);
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(m_context, m_handling_delay);
  timer->async_wait(
      [this, timer, to, delayed = std::move(request)](const std::error_code&) { serve(delayed, to); });
}

void emulator_server::serve(const http::request& request, const responder_ptr& to) {
  if (m_down) {
    cut_off(to);
  } else if (m_responses_to_lose > 0 && m_role.is_write(request)) {
    --m_responses_to_lose;
    ++m_lost_responses;
    m_role.handle(request, std::make_shared<dropping_responder>(to));
  } else {
    m_role.handle(request, to);
  }
}

void emulator_server::on_control(const http::request& request, const responder_ptr& to) {
  auto parsed = parse_json(request.body);
  if (!parsed || !parsed.value().is_object()) {
    respond_json(to, 400, {{"error", "not a JSON object"}});
    return;
  }
  auto settings = std::move(parsed.value());
  try {
    m_down = settings.value("down", m_down);
    m_handling_delay = milliseconds(settings.value("slow_ms", m_handling_delay.count()));
    m_responses_to_lose = settings.value("lose_responses", m_responses_to_lose);
    for (const auto* key : {"down", "slow_ms", "lose_responses"}) {
      settings.erase(key);
    }
    if (const auto problem = m_role.control(settings)) {
      respond_json(to, 400, {{"error", *problem}});
      return;
    }
  } catch (const json::exception& failure) {
    respond_json(to, 400, {{"error", failure.what()}});
    return;
  }
  respond_json(to, 200, {{"ok", true}});
}

}  // namespace cuminpath::emulator
