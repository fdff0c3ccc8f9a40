// A chunked response of RESTinio that can be aborted. For server.cpp only.
#pragma once

#include <restinio/all.hpp>
#include <string>
#include <string_view>

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
