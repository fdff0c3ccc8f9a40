#include <gmock/gmock.h>

#include <malloc.h>

#include <asio/write.hpp>
#include <map>
#include <random>

#include <fmt/format.h>

#include "core/proxy/caller_memory_budget.h"
#include "core/proxy/process_limits.h"
#include "proxy_fixture.h"
#include "response_text.h"
#include "unit_tests/support/property.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::StartsWith;
using action = caller_memory_budget::action;

constexpr std::size_t k_mb = 1U << 20U;
const std::array<char, 16> k_owners{};

caller_memory_budget::owner_id owner(std::size_t i) {
  return &k_owners.at(i);
}

class caller_memory : public ::testing::Test {
protected:
  // Adds a connection that has received a part of a body for which it has a claim.
  void add_body(std::size_t i, std::size_t received, std::size_t size) {
    m_budget.add(owner(i), m_now);
    m_budget.hold(owner(i), held_part::body, received);
    m_budget.claim(owner(i), size, m_now);
  }
  // Lets time pass with decisions at the intervals of the gateway, and returns them as text.
  std::string after(milliseconds time) {
    std::string text;
    for (const time_point end = m_now + time; m_now < end;) {
      m_now += milliseconds{50};
      for (const auto& each : m_budget.decide(m_now)) {
        text += fmt::format("{}{} ", "rfe"[static_cast<std::size_t>(each.to_take)],
                            static_cast<const char*>(each.owner) - k_owners.data());
        if (each.to_take != action::resume) {
          m_budget.remove(each.owner);
        }
      }
    }
    return text;
  }

  time_point m_now{seconds{100}};
  caller_memory_budget m_budget{16 * k_mb};
};

// Guards against bodies that all stop half-way because each waits for memory that the others hold.
TEST_F(caller_memory, grants_claims_only_as_long_as_all_bodies_fit) {
  for (std::size_t i = 0; i < 2; ++i) {
    add_body(i, k_unclaimed_body_bytes, 5 * k_mb);
  }
  add_body(2, k_unclaimed_body_bytes, 5 * k_mb);
  EXPECT_EQ(m_budget.waiting(), 1U);
  add_body(3, k_unclaimed_body_bytes, k_mb / 2);
  EXPECT_EQ(m_budget.waiting(), 2U);  // Claims that wait go first.
  EXPECT_EQ(after(milliseconds{50}), "r3 ");
  m_budget.remove(owner(0));
  EXPECT_EQ(after(milliseconds{50}), "r2 ");
  EXPECT_LE(m_budget.used() + m_budget.outstanding_claims(), 12 * k_mb);
}

TEST_F(caller_memory, receives_one_body_that_is_larger_than_the_limit_of_claims) {
  m_budget.set_limit(2 * k_mb);
  add_body(0, k_unclaimed_body_bytes, 4 * k_mb);
  EXPECT_EQ(m_budget.waiting(), 0U);
}

// What happens to a body for which there is no memory, by what the two before it do.
TEST_F(caller_memory, takes_memory_from_bodies_without_progress) {
  struct {
    std::size_t bytes_per_100_ms;  // That the first receives; the second makes progress.
    std::string expected;
  } const cases[] = {{10'000, "f2 "}, {1, "e0 r2 "}, {0, "e0 r2 "}};
  for (const auto& [bytes, expected] : cases) {
    m_budget = caller_memory_budget(16 * k_mb);
    for (std::size_t i = 0; i < 3; ++i) {
      add_body(i, k_unclaimed_body_bytes, 5 * k_mb);
    }
    std::string decisions;
    for (int i = 0; i < 11; ++i) {
      m_budget.on_progress(owner(0), bytes, m_now);
      m_budget.on_progress(owner(1), 10'000, m_now);
      decisions += after(milliseconds{100});
    }
    EXPECT_EQ(decisions, expected) << bytes;
  }
}

// After a pause of the process all callers looked as if they had sent nothing.
TEST_F(caller_memory, blames_no_caller_for_a_pause_of_the_process) {
  for (std::size_t i = 0; i < 3; ++i) {
    add_body(i, k_unclaimed_body_bytes, 5 * k_mb);
  }
  EXPECT_EQ(after(milliseconds{100}), "");
  m_now += seconds{2};
  m_budget.release_claim(owner(2));
  m_budget.claim(owner(2), 5 * k_mb, m_now);
  EXPECT_EQ(after(milliseconds{400}), "");
  m_budget.on_step(owner(1), m_now);
  EXPECT_EQ(after(milliseconds{200}), "e0 r2 ");
}

TEST_F(caller_memory, closes_those_first_that_have_never_been_served) {
  for (std::size_t i = 0; i < 4; ++i) {
    m_budget.add(owner(i), m_now + milliseconds{static_cast<int>(i)});
  }
  m_budget.set_served(owner(0), true);
  m_budget.set_served(owner(0), false);
  m_budget.set_served(owner(1), true);
  EXPECT_EQ(m_budget.find_idle(m_now + milliseconds{400}), nullptr);
  m_now += seconds{1};
  EXPECT_EQ(m_budget.find_idle(m_now), owner(2));
  m_budget.remove(owner(2));
  m_budget.remove(owner(3));
  EXPECT_EQ(m_budget.find_idle(m_now), owner(0));
  m_budget.remove(owner(0));
  EXPECT_EQ(m_budget.find_idle(m_now), nullptr);  // A request that is served is not given up,
  m_budget.hold(owner(1), held_part::output, 1);
  EXPECT_EQ(m_budget.find_idle(m_now), owner(1));  // unless its caller does not read the response.
}

// Guards against bytes that are credited twice or never.
TEST(caller_memory_property, charges_exactly_what_is_held) {
  EXPECT_TRUE(support::check_property(2000, [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto below = [&](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
    caller_memory_budget budget(8 * k_mb);
    std::map<std::size_t, std::array<std::size_t, k_held_part_count>> held;
    time_point now{seconds{1}};
    for (int step = 0; step < 200; ++step) {
      const std::size_t i = below(k_owners.size());
      now += milliseconds{static_cast<int>(below(100))};
      if (held.find(i) == held.end()) {
        budget.add(owner(i), now);
        held[i] = {k_connection_bytes};
      }
      switch (below(7)) {
        case 0:
          budget.remove(owner(i));
          held.erase(i);
          break;
        case 1:
          budget.claim(owner(i), below(4 * k_mb), now);
          break;
        case 2:
          budget.release_claim(owner(i));
          break;
        case 3:
          budget.on_progress(owner(i), below(20'000), now);
          break;
        case 4:
          for (const auto& each : budget.decide(now)) {
            if (each.to_take == action::evict) {
              budget.remove(each.owner);
              held.erase(static_cast<std::size_t>(static_cast<const char*>(each.owner) - k_owners.data()));
            }
          }
          break;
        default:
          const std::size_t part = below(k_held_part_count);
          held[i].at(part) = below(k_mb);
          budget.hold(owner(i), static_cast<held_part>(part), held[i].at(part));
      }
      std::size_t sum = 0;
      for (const auto& [key, parts] : held) {
        sum += std::accumulate(parts.begin(), parts.end(), std::size_t{0});
      }
      RC_ASSERT(budget.used() == sum);
      RC_ASSERT(budget.holders() == held.size());
      RC_ASSERT(budget.outstanding_claims() <= k_owners.size() * 5 * k_mb);
    }
    for (std::size_t i = 0; i < k_owners.size(); ++i) {
      budget.remove(owner(i));
    }
    RC_ASSERT(budget.used() + budget.outstanding_claims() + budget.waiting() == 0U);
  }));
}

// The hosts of the deployments that need the limits, and one that is too small for any.
TEST(derive_process_limits, leaves_a_share_to_callers) {
  struct {
    double memory_mb;
    std::uint32_t descriptors;
    process_limits expected;
  } const cases[] = {{112, 2870, {56 * k_mb, 1148, 717}},
                     {512, 8192, {356 * k_mb, 3276, 2048}},
                     {16, 64, {2 * k_mb, 25, 16}}};
  for (const auto& [memory_mb, descriptors, expected] : cases) {
    const process_limits limits = derive_process_limits(memory_mb, descriptors);
    EXPECT_EQ(limits.caller_memory, expected.caller_memory);
    EXPECT_EQ(limits.caller_connections, expected.caller_connections);
    EXPECT_EQ(limits.served_requests, expected.served_requests);
  }
  EXPECT_GT(derive_process_limits(0, 0).caller_memory, 56 * k_mb);
}

class proxy_memory : public proxy_fixture {
protected:
  asio::ip::tcp::socket& connect() {
    const std::string address = m_listener.address();
    auto& socket = *m_sockets.emplace_back(std::make_unique<asio::ip::tcp::socket>(m_context));
    socket.connect({asio::ip::address_v4::loopback(),
                    static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)))});
    return socket;
  }
  static std::size_t allocated() {
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
  }
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> m_sockets;
};

// Guards against memory that no part of the budget stands for.
TEST_F(proxy_memory, charges_what_connections_allocate) {
  std::string tiny_headers = "GET /safe/ HTTP/1.1\r\n";
  for (int i = 0; i < 4000; ++i) {
    tiny_headers += "a:b\r\n";
  }
  struct test_case {
    std::string name;
    std::string sent;
  };
  const test_case cases[] = {
      {"idle", ""},
      {"head of tiny headers", tiny_headers},
      {"body", request("POST", "/safe/", "a", "Content-Length: 60000\r\n") + std::string(50'000, 'x')}};
  for (const test_case& each : cases) {
    const std::string& name = each.name;
    const std::string& sent = each.sent;
    constexpr std::size_t k_connections = 40;
    m_sockets.reserve(k_connections);
    const std::size_t before = allocated();
    for (std::size_t i = 0; i < k_connections; ++i) {
      connect();
    }
    for (const auto& socket : m_sockets) {
      asio::write(*socket, asio::buffer(sent));
    }
    EXPECT_TRUE(run_until([&] {
      return m_state.caller_memory.holders() == k_connections &&
             m_state.caller_memory.used() >= k_connections * (sent.size() + k_connection_bytes);
    })) << name;
    const auto grown = static_cast<double>(allocated() - before);
    const auto charged = static_cast<double>(m_state.caller_memory.used());
    std::printf("%s: allocated %.0f, charged %.0f\n", name.c_str(), grown, charged);
    EXPECT_GT(charged, 0.8 * grown) << name;
    EXPECT_LT(charged, 2 * grown + k_connections * k_connection_bytes) << name;
    m_sockets.clear();
    EXPECT_TRUE(run_until([&] { return m_state.caller_memory.holders() == 0; })) << name;
    EXPECT_EQ(m_state.caller_memory.used(), 0U) << name;
    m_listener.tick(clock::now());
  }
}

// A refusal states that the request has not run, so no upstream may get it.
TEST_F(proxy_memory, refuses_a_body_without_memory_before_it_runs) {
  auto& upstream =
      add_upstream("i-1", [](auto, const auto&) { return upstream_action{response_text("b", "x")}; });
  m_state.caller_memory.set_limit(k_mb);
  const std::string head = request("POST", "/once/", "a", "Content-Length: 4000000\r\n");
  const std::string bytes = head + std::string(100'000, 'x');
  asio::async_write(connect(), asio::buffer(bytes), [](std::error_code, std::size_t) {});
  EXPECT_TRUE(run_until([&] { return m_state.caller_memory.outstanding_claims() > 0; }));
  // The first makes progress, so that the second has to wait.
  asio::ip::tcp::socket& second = connect();
  asio::async_write(second, asio::buffer(bytes), [](std::error_code, std::size_t) {});
  std::array<char, 1024> buffer{};
  std::string received;
  second.async_read_some(asio::buffer(buffer),
                         [&](std::error_code, std::size_t size) { received.assign(buffer.data(), size); });
  EXPECT_TRUE(run_until([&] {
    std::error_code ignored;
    m_sockets.front()->non_blocking(true);
    m_sockets.front()->write_some(asio::buffer(std::string(1024, 'x')), ignored);
    m_listener.tick(clock::now());
    return !received.empty();
  }));
  EXPECT_THAT(received, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(received, HasSubstr("not_run"));
  EXPECT_THAT(received, HasSubstr("Retry-After: "));
  EXPECT_THAT(received, HasSubstr("X-Id: a"));
  EXPECT_EQ(upstream.requests().size(), 0U);
  const auto small = call(request("GET", "/safe/", "b"), is_complete);
  EXPECT_THAT(small.bytes, StartsWith("HTTP/1.1 200"));
}

// Each pipelined request had its response stored, whether or not the caller read any. The socket buffers take
// at most 4 MB of the 12.5 MB.
TEST_F(proxy_memory, serves_no_further_requests_of_a_caller_that_reads_no_responses) {
  constexpr std::size_t k_requests = 400;
  auto& upstream = add_upstream("i-1", [](auto, const auto&) {
    return upstream_action{response_text("a", std::string(32U << 10U, 'x'))};
  });
  asio::ip::tcp::socket& caller = connect();
  caller.set_option(asio::socket_base::receive_buffer_size(4096));
  std::string requests;
  for (std::size_t i = 0; i < k_requests; ++i) {
    requests += request("GET", "/safe/", "a");
  }
  asio::async_write(caller, asio::buffer(requests), [](std::error_code, std::size_t) {});
  std::size_t seen = 0;
  time_point last_change = clock::now();
  EXPECT_TRUE(run_until([&] {
    if (upstream.requests().size() != seen) {
      seen = upstream.requests().size();
      last_change = clock::now();
    }
    return seen > 0 && clock::now() - last_change > milliseconds{500};
  }));
  EXPECT_LT(seen, k_requests);
}

// Connections that were opened and left took up all descriptors.
TEST_F(proxy_memory, closes_idle_connections_for_new_ones) {
  add_upstream("i-1", [](auto, const auto&) { return upstream_action{response_text("a", "body")}; });
  m_state.limits.caller_connections = 3;
  for (int i = 0; i < 10; ++i) {
    connect();
  }
  const auto served = call(request("GET", "/safe/", "a"), is_complete);
  EXPECT_THAT(served.bytes, StartsWith("HTTP/1.1 200"));
  EXPECT_LE(m_state.caller_memory.holders(), 3U);
}

}  // namespace
}  // namespace cuminpath::proxy
