// Engines that answer without end, or with documents that take most of the memory of a host.
#include "core/agent/engine_client.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "unit_tests/support/raw_server.h"
#include "unit_tests/support/run_until.h"

namespace cuminpath::agent {
namespace {

using support::raw_server;

class engine_client_test : public ::testing::Test {
protected:
  enum class call : std::uint8_t { state, load, order };

  // Makes a call to an engine. Returns true if it got an answer that it accepts.
  bool make(call which, const raw_server& engine) {
    engine_client client(m_client, "http://" + engine.address());
    std::optional<bool> accepted;
    switch (which) {
      case call::state:
        client.read_state([&](const auto& state) { accepted = state.has_value(); });
        break;
      case call::load:
        client.read_load([&](const auto& load) { accepted = load.has_value(); });
        break;
      case call::order:
        client.send({}, {}, [&](engine_client::order_outcome outcome, std::uint64_t) {
          accepted = outcome == engine_client::order_outcome::accepted;
        });
        break;
    }
    EXPECT_TRUE(support::run_until(m_context, [&] { return accepted.has_value(); }));
    return accepted.value_or(false);
  }

  static std::string response(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  asio::io_context m_context;
  http::client m_client{m_context};
};

// Guards against an agent that keeps whatever its engine sends until the call ends.
TEST_F(engine_client_test, an_answer_without_end_is_given_up) {
  constexpr std::size_t k_limit_and_socket_buffers = 18U << 20U;
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (const call which : {call::state, call::load, call::order}) {
    for (const auto& [start, repeated] :
         {std::pair(head + "\r\n", std::string(1U << 20U, ' ')),
          {head, "a: " + std::string(1000, 'a') + "\r\n"},
          {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "a: " + std::string(1000, 'a') + "\r\n"}}) {
      raw_server engine(m_context, [&, start = start, repeated = repeated](const auto&) {
        return raw_server::response{.bytes = start, .repeated = repeated};
      });
      EXPECT_FALSE(make(which, engine)) << start;
      EXPECT_TRUE(support::run_until(m_context, [&] { return engine.ended(); })) << start;
      EXPECT_LE(engine.repeated_bytes(), k_limit_and_socket_buffers) << start;
    }
  }
}

// Guards against documents that take more than 20 times their size in memory.
TEST_F(engine_client_test, a_document_of_many_small_objects_is_refused) {
  for (const bool many : {false, true}) {
    std::string objects = "{}";
    for (int i = 0; i < (many ? 100'000 : 100); ++i) {
      objects += ",{}";
    }
    raw_server engine(m_context, [&](const auto&) {
      return raw_server::response{
          response(R"({"step":7,"step_ms":1.5,"layers":[[1,2]],"more":[)" + objects + "]}")};
    });
    EXPECT_EQ(make(call::load, engine), !many);
  }
}

}  // namespace
}  // namespace cuminpath::agent
