#include "core/proxy/upstream_check.h"

#include <gtest/gtest.h>

#include "core/net/socket_options.h"
#include "proxy_fixture.h"

namespace cuminpath::proxy {
namespace {

// Guards against a gateway that listens to the answer to a check without end, or keeps it.
TEST_F(proxy_fixture, a_check_of_an_upstream_that_answers_without_end_ends_in_time) {
  constexpr std::size_t k_socket_buffers = 16U << 20U;
  constexpr std::size_t k_read_in_time = 1U << 30U;  // At 2 GB/s, for the time limit of a check.
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (const auto& [start, repeated, limit] :
       {std::tuple(head + "\r\n", std::string(8192, 'b'), k_read_in_time),
        {head, std::string("a:\r\n"), k_socket_buffers},
        {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", std::string("a:\r\n"), k_socket_buffers},
        {std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n"), k_socket_buffers},
        {std::string(), std::string(8192, 'g'), k_socket_buffers}}) {
    endless_upstream upstream(m_context, start, repeated);
    upstream_check check(m_context, "/status", milliseconds{500});
    std::optional<upstream_state> state;
    check.start("i-1", net::parse_endpoint(upstream.address()).value(),
                [&](upstream_state found, const http::header_list&) { state = found; });
    ASSERT_TRUE(run_until([&] { return state.has_value(); })) << repeated.substr(0, 20);
    EXPECT_TRUE(run_until([&] { return upstream.ended(); })) << repeated.substr(0, 20);
    EXPECT_LE(upstream.sent(), limit) << repeated.substr(0, 20);
  }
}

}  // namespace
}  // namespace cuminpath::proxy
