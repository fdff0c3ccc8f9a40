#include "core/proxy/caller_connection.h"

#include <gmock/gmock.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/write.hpp>

#include <fmt/format.h>

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

// A caller takes a status below 200 for an interim response, and knows none above 599.
TEST(caller_connection, writes_no_status_that_a_final_response_cannot_have) {
  for (const int status : {-1, 0, 99, 100, 199, 600, 999, 65736, 200, 599}) {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    asio::ip::tcp::socket caller(context);
    caller.connect(acceptor.local_endpoint());
    caller_memory_budget memory(1U << 20U);
    const auto connection = std::make_shared<caller_connection>(
        acceptor.accept(),
        caller_connection::handlers{
            .request =
                [&](const auto& to, auto&&...) {
                  to->respond({.status = status, .headers = {{"X-Stamp", "s"}}, .body = "body"});
                },
            .limits = [] { return gateway::caller_limits{}; },
            .make_room = [](const auto*) { return false; }},
        memory, clock::now());
    connection->start();
    asio::write(caller, asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    context.run_for(milliseconds{20});
    std::array<char, 1024> buffer{};
    const std::string received(buffer.data(), caller.read_some(asio::buffer(buffer)));
    if (status == 200 || status == 599) {
      EXPECT_THAT(received, StartsWith(fmt::format("HTTP/1.1 {} ", status)));
      EXPECT_THAT(received, HasSubstr("X-Stamp"));
    } else {
      EXPECT_THAT(received, StartsWith("HTTP/1.1 502 ")) << status;
      EXPECT_THAT(received, HasSubstr(R"("execution":"unknown")"));
      EXPECT_THAT(received, Not(HasSubstr("X-Stamp")));
    }
    connection->evict("end of the test", milliseconds{0});
  }
}

}  // namespace
}  // namespace cuminpath::proxy
