#include "emulator/service_role.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "core/http/client.h"
#include "unit_tests/support/run_until.h"

namespace cuminpath::emulator {
namespace {

// Guards against an emulator that does not count the second run of a booking.
TEST(service_role, counts_runs_by_idempotency_key_even_if_the_response_is_lost) {
  asio::io_context context;
  http::client client(context);
  service_role role(context, milliseconds(1));
  const auto server = std::move(emulator_server::start(context, "127.0.0.1:0", role).value());
  const auto post = [&](const std::string& target, const std::string& body) {
    std::optional<http::client::call_result> done;
    client.call("http://" + server->address(),
                {.method = "POST", .target = target, .headers = {{"Idempotency-Key", "k"}}, .body = body},
                {.never_reuse_connection = true},
                [&done](http::client::call_result response) { done = std::move(response); });
    EXPECT_TRUE(support::run_until(context, [&done] { return done.has_value(); }));
    return done.value_or(http::client::call_result{});
  };
  EXPECT_EQ(json::parse(post("/bookings", "{}").value.body)["booking"], 1);
  post("/control", R"({"lose_responses":1})");
  EXPECT_TRUE(post("/bookings", "{}").failure);
  EXPECT_EQ(role.stats()["runs"], json({{"k", 2}}));
}

}  // namespace
}  // namespace cuminpath::emulator
