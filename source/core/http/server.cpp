#include "core/http/server.h"

#include <algorithm>
#include <asio.hpp>
#include <charconv>
#include <restinio/all.hpp>
#include <unordered_map>
#include <unordered_set>

namespace cuminpath::http {
struct streamed_output {};
}  // namespace cuminpath::http

namespace restinio {

// Builder for a chunked response that can also be aborted. RESTinio's own builder always sends the last
// chunk, after which the response looks complete to the client.
template <>
class response_builder_t<cuminpath::http::streamed_output> final
    : public base_response_builder_t<response_builder_t<cuminpath::http::streamed_output>> {
public:
  using base_type_t = base_response_builder_t<response_builder_t<cuminpath::http::streamed_output>>;
  using base_type_t::base_type_t;
  response_builder_t(response_builder_t&&) = default;

  void send_header() {
    m_header.add_field(http_field::transfer_encoding, "chunked");
    write_group_t group{writable_items_container_t{}};
    group.items().emplace_back(
        impl::create_header_string(m_header, impl::content_length_field_presence_t::skip_content_length));
    group.status_line_size(calculate_status_line_size());
    send(std::move(group), response_parts_attr_t::not_final_parts, m_header.should_keep_alive());
  }

  void send_chunk(std::string_view data, write_status_cb_t written) {
    write_group_t group{writable_items_container_t{}};
    group.items().emplace_back(fmt::format("{:X}\r\n{}\r\n", data.size(), data));
    group.after_write_notificator(std::move(written));
    send(std::move(group), response_parts_attr_t::not_final_parts, m_header.should_keep_alive());
  }

  void send_last_chunk() {
    write_group_t group{writable_items_container_t{}};
    group.items().emplace_back(std::string("0\r\n\r\n"));
    send(std::move(group), response_parts_attr_t::final_parts, m_header.should_keep_alive());
    m_connection.reset();
  }

  void abort_body() {
    write_group_t group{writable_items_container_t{}};
    // RESTinio closes the connection only after a write. An incomplete chunk header cannot be mistaken for
    // the end of the body.
    group.items().emplace_back(std::string("1"));
    send(std::move(group), response_parts_attr_t::final_parts, false);
    m_connection.reset();
  }

private:
  void send(write_group_t group, response_parts_attr_t parts, bool keep_alive) {
    if (m_connection) {
      m_connection->write_response_parts(m_request_id,
                                         response_output_flags_t{parts, response_connection_attr(keep_alive)},
                                         std::move(group));
    }
  }
};

}  // namespace restinio

namespace cuminpath::http {
namespace {

using connection_id = restinio::connection_id_t;

class connection_responder;

struct connection_table {
  std::unordered_set<connection_id> open;
  // Responses in progress, used to notify them when their connection closes.
  std::unordered_map<connection_id, std::weak_ptr<connection_responder>> responders;
  bool close_after_responses = false;
};

using stream_builder = restinio::response_builder_t<streamed_output>;

class connection_responder final : public responder,
                                   public std::enable_shared_from_this<connection_responder> {
public:
  connection_responder(restinio::request_handle_t request, std::shared_ptr<connection_table> table)
      : m_connection_id(request->connection_id()), m_request(std::move(request)), m_table(std::move(table)) {}

  ~connection_responder() override {
    if (m_request != nullptr && !m_closed) {
      respond(response{500, {{"Content-Type", "text/plain"}}, "no response\n"});
    } else if (m_stream && !m_closed) {
      m_stream->abort_body();
    }
  }
  connection_responder(const connection_responder&) = delete;
  connection_responder& operator=(const connection_responder&) = delete;

  void respond(response value) override {
    if (m_request == nullptr) {
      return;
    }
    auto builder = m_request->create_response(status_line(value.status));
    if (m_table->close_after_responses) {
      builder.connection_close();
    }
    for (auto& [name, text] : value.headers) {
      builder.append_header(std::move(name), std::move(text));
    }
    builder.set_body(std::move(value.body));
    builder.done();
    finish();
  }

  void begin_stream(int status, const header_list& headers) override {
    if (m_request == nullptr) {
      return;
    }
    m_stream.emplace(m_request->create_response<streamed_output>(status_line(status)));
    if (m_table->close_after_responses) {
      m_stream->connection_close();
    }
    for (const auto& [name, text] : headers) {
      m_stream->append_header(name, text);
    }
    m_stream->send_header();
    m_request.reset();
  }

  void write(std::string_view chunk) override {
    if (!m_stream || m_closed || chunk.empty()) {
      return;
    }
    const auto size = chunk.size();
    m_unsent += size;
    m_stream->send_chunk(chunk,
                         [self = weak_from_this(), size](const restinio::asio_ns::error_code& failure) {
                           if (const auto locked = self.lock()) {
                             locked->m_unsent -= size;
                             if (failure) {
                               locked->mark_closed();
                             }
                           }
                         });
  }

  void end_stream() override {
    if (m_stream) {
      m_stream->send_last_chunk();
      m_stream.reset();
      finish();
    }
  }

  void abort_stream() override {
    if (m_stream) {
      m_stream->abort_body();
      m_stream.reset();
      finish();
    }
  }

  [[nodiscard]] std::size_t unsent_bytes() const override { return m_unsent; }
  [[nodiscard]] bool closed() const override { return m_closed; }
  void on_closed(std::function<void()> callback) override { m_on_closed = std::move(callback); }

  void mark_closed() {
    if (m_closed) {
      return;
    }
    m_closed = true;
    if (m_on_closed) {
      std::exchange(m_on_closed, nullptr)();
    }
  }

private:
  static restinio::http_status_line_t status_line(int status) {
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            std::string(reason_phrase(status))};
  }

  // Releases the response; the connection may then serve another request.
  void finish() {
    m_request.reset();
    m_on_closed = nullptr;
    const auto found = m_table->responders.find(m_connection_id);
    if (found != m_table->responders.end() && found->second.lock().get() == this) {
      m_table->responders.erase(found);
    }
  }

  connection_id m_connection_id;
  restinio::request_handle_t m_request;
  std::shared_ptr<connection_table> m_table;
  std::optional<stream_builder> m_stream;
  std::size_t m_unsent = 0;
  bool m_closed = false;
  std::function<void()> m_on_closed;
};

// Keeps the table of connections, and marks the response in progress as closed when RESTinio reports that its
// connection has closed.
class state_listener {
public:
  explicit state_listener(std::shared_ptr<connection_table> table) : m_table(std::move(table)) {}

  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
      m_table->open.insert(notice.connection_id());
      return;
    }
    m_table->open.erase(notice.connection_id());
    const auto found = m_table->responders.find(notice.connection_id());
    if (found == m_table->responders.end()) {
      return;
    }
    const auto open = found->second.lock();
    m_table->responders.erase(found);
    if (open) {
      open->mark_closed();
    }
  }

private:
  std::shared_ptr<connection_table> m_table;
};

struct server_traits : public restinio::default_single_thread_traits_t {
  using timer_manager_t = restinio::asio_timer_manager_t;
  using logger_t = restinio::null_logger_t;
  using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
  using connection_state_listener_t = state_listener;
};

using restinio_server = restinio::http_server_t<server_traits>;

request to_request(const restinio::request_t& source) {
  request value;
  value.method = source.header().method().c_str();
  value.target = source.header().request_target();
  source.header().for_each_field([&value](const restinio::http_header_field_t& field) {
    value.headers.emplace_back(field.name(), field.value());
  });
  value.body = source.body();
  return value;
}

struct ip_and_port {
  std::string ip;
  std::uint16_t port = 0;
};

std::optional<ip_and_port> split_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  ip_and_port value{.ip = std::string(text.substr(0, colon)), .port = 0};
  const auto digits = text.substr(colon + 1);
  const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), value.port);
  if (failure != std::errc{} || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

class server::impl {
public:
  impl(asio::io_context& context, const server_options& options, const ip_and_port& address,
       request_handler handler)
      : m_table(std::make_shared<connection_table>()), m_handler(std::move(handler)) {
    m_server = std::make_unique<restinio_server>(
        restinio::external_io_context(context), [&](restinio::server_settings_t<server_traits>& settings) {
          settings.address(address.ip)
              .port(address.port)
              .request_handler(
                  [this](restinio::request_handle_t handle) { return on_request(std::move(handle)); })
              .connection_state_listener(std::make_shared<state_listener>(m_table))
              .read_next_http_message_timelimit(options.read_timeout)
              .handle_request_timeout(options.response_timeout)
              .write_http_response_timelimit(options.read_timeout)
              .max_pipelined_requests(1)
              .buffer_size(16U << 10U)
              .socket_options_setter(
                  [](auto& socket) { socket.set_option(restinio::asio_ns::ip::tcp::no_delay{true}); })
              .acceptor_options_setter([](auto& acceptor) {
                acceptor.set_option(restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
              })
              .acceptor_post_bind_hook([this](restinio::asio_ns::ip::tcp::acceptor& acceptor) {
                const auto endpoint = acceptor.local_endpoint();
                m_address = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
              })
              .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                            .max_url_size(options.max_header_bytes)
                                            .max_field_name_size(options.max_header_bytes)
                                            .max_field_value_size(options.max_header_bytes)
                                            .max_field_count(128)
                                            .max_body_size(options.max_body_bytes));
        });
    m_server->open_sync();
  }

  ~impl() { m_server->close_sync(); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  [[nodiscard]] const std::string& address() const { return m_address; }
  void close_after_responses() { m_table->close_after_responses = true; }
  void stop_accepting() { m_server->close_sync(); }
  [[nodiscard]] std::size_t connection_count() const { return m_table->open.size(); }

private:
  restinio::request_handling_status_t on_request(restinio::request_handle_t handle) {
    auto value = to_request(*handle);
    const auto id = handle->connection_id();
    auto open = std::make_shared<connection_responder>(std::move(handle), m_table);
    m_table->responders[id] = open;
    m_handler(std::move(value), std::move(open));
    return restinio::request_accepted();
  }

  std::shared_ptr<connection_table> m_table;
  request_handler m_handler;
  std::string m_address;
  std::unique_ptr<restinio_server> m_server;
};

result<std::unique_ptr<server>> server::start(asio::io_context& context, const server_options& options,
                                              request_handler handler) {
  const auto address = split_address(options.address);
  if (!address) {
    return make_error(error_code::invalid_input, "not an IP:PORT address: " + options.address);
  }
  try {
    return std::unique_ptr<server>(
        new server(std::make_unique<impl>(context, options, *address, std::move(handler))));
  } catch (const std::exception& failure) {
    return make_error(error_code::unreachable, "cannot listen on " + options.address + ": " + failure.what());
  }
}

server::server(std::unique_ptr<impl> implementation) : m_impl(std::move(implementation)) {}
server::~server() = default;
std::string server::address() const {
  return m_impl->address();
}
void server::close_after_responses() {
  m_impl->close_after_responses();
}
void server::stop_accepting() {
  m_impl->stop_accepting();
}
std::size_t server::connection_count() const {
  return m_impl->connection_count();
}

result<std::unique_ptr<server>> serve_pages(asio::io_context& context, const std::string& address,
                                            std::vector<page> pages) {
  return server::start(
      context, {.address = address},
      [pages = std::move(pages)](const request& value, const std::shared_ptr<responder>& out) {
        const auto found = std::find_if(pages.begin(), pages.end(),
                                        [&value](const page& each) { return each.path == value.path(); });
        out->respond(found == pages.end() ? response{.status = 404} : found->handler(value));
      });
}

result<std::unique_ptr<server>> serve_page(asio::io_context& context, const std::string& address,
                                           std::string path, page_handler handler) {
  return serve_pages(context, address, {{std::move(path), std::move(handler)}});
}

}  // namespace cuminpath::http
