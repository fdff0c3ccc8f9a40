#include <gmock/gmock.h>

#include <sys/resource.h>

#include <array>
#include <asio/write.hpp>

#include "proxy_fixture.h"

namespace cuminpath::proxy {
namespace {

using ::testing::StartsWith;

// Lets the process open no further descriptors while it exists.
class no_free_descriptors {
public:
  no_free_descriptors() {
    EXPECT_EQ(::getrlimit(RLIMIT_NOFILE, &m_former), 0);
    constexpr rlim_t k_standard_streams = 3;
    const rlimit lowered{.rlim_cur = k_standard_streams, .rlim_max = m_former.rlim_max};
    EXPECT_EQ(::setrlimit(RLIMIT_NOFILE, &lowered), 0);
  }
  ~no_free_descriptors() { EXPECT_EQ(::setrlimit(RLIMIT_NOFILE, &m_former), 0); }
  no_free_descriptors(const no_free_descriptors&) = delete;
  no_free_descriptors& operator=(const no_free_descriptors&) = delete;

private:
  rlimit m_former{};
};

// The event loop was busy with failed accepts, and running requests were starved.
TEST_F(proxy_fixture, does_not_accept_in_a_busy_loop_without_descriptors) {
  add_upstream("i-1", [](auto, const auto&) { return upstream_action{response_text("a", "body")}; });
  const std::string address = m_listener.address();
  asio::ip::tcp::socket caller(m_context);
  caller.connect({asio::ip::address_v4::loopback(),
                  static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)))});
  asio::write(caller, asio::buffer(request("GET", "/safe/", "a")));
  {
    const no_free_descriptors lowered;
    constexpr milliseconds k_observed{300};
    constexpr milliseconds k_min_time_per_handler{10};
    m_context.restart();
    EXPECT_LE(m_context.run_for(k_observed), static_cast<std::size_t>(k_observed / k_min_time_per_handler));
    EXPECT_EQ(m_listener.connection_count(), 0U);
  }
  m_context.restart();
  std::string received;
  std::array<char, 4096> buffer{};
  caller.async_read_some(asio::buffer(buffer),
                         [&](std::error_code, std::size_t size) { received.assign(buffer.data(), size); });
  EXPECT_TRUE(run_until([&] { return !received.empty(); }));
  EXPECT_THAT(received, StartsWith("HTTP/1.1 200"));
}

}  // namespace
}  // namespace cuminpath::proxy
