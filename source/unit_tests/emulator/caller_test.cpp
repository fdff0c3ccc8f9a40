#include "emulator/caller.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "core/http/server.h"
#include "emulator/batch.h"
#include "unit_tests/support/run_until.h"

namespace cuminpath::emulator {
namespace {

using outcome = call_outcome::kind;

class caller : public ::testing::Test {
protected:
  // The outcome of a completion of two tokens when the entry sends this response.
  call_outcome judge(int status, const std::string& type, const std::string& body, bool cut = false) {
    const auto server =
        std::move(http::server::start(m_context, {}, [&](const http::request&, const auto& to) {
                    to->begin_stream(status, {{"Content-Type", type}});
                    to->write(body);
                    cut ? to->abort_stream() : to->end_stream();
                  }).value());
    std::optional<call_outcome> done;
    send_call(m_client, {.url = "http://" + server->address(), .model = "m", .prompt = "p", .max_tokens = 2},
              [&done](call_outcome value) { done = std::move(value); });
    EXPECT_TRUE(support::run_until(m_context, [&done] { return done.has_value(); }));
    return done.value_or(call_outcome{});
  }
  call_outcome judge_events(const std::string& events, bool cut = false) {
    return judge(200, "text/event-stream", events, cut);
  }

  static std::string token(std::uint32_t index, const std::string& prompt = "p") {
    const json event = {{"index", index}, {"choices", {{{"text", token_text(prompt, index)}}}}};
    return "data: " + event.dump() + "\n\n";
  }

  const std::string m_end = "data: [DONE]\n\n";
  asio::io_context m_context;
  http::client m_client{m_context};
};

// Guards against checks that take a lost, duplicated, misdelivered or cut response for a whole one.
TEST_F(caller, only_the_whole_text_to_the_own_prompt_is_complete) {
  EXPECT_EQ(judge_events(token(0) + token(1) + m_end).what, outcome::complete);
  EXPECT_EQ(judge_events(token(0) + m_end).what, outcome::wrong);
  EXPECT_EQ(judge_events(token(0) + token(0) + token(1) + m_end).what, outcome::wrong);
  EXPECT_EQ(judge_events(token(0, "q") + token(1, "q") + m_end).what, outcome::wrong);
  EXPECT_EQ(judge_events(token(0) + token(1) + m_end + m_end).what, outcome::wrong);
  EXPECT_EQ(judge_events(token(0) + token(1)).what, outcome::wrong);
  EXPECT_EQ(judge_events(token(0) + token(1) + m_end, true).what, outcome::broken);
}

// Guards against a refusal or an explicit error that counts as something else.
TEST_F(caller, refusals_are_told_apart) {
  EXPECT_EQ(judge(503, "application/problem+json", R"({"execution":"not_run"})").what, outcome::not_run);
  EXPECT_EQ(judge(502, "application/problem+json", R"({"execution":"unknown"})").what, outcome::unknown);
  EXPECT_EQ(judge(503, "text/plain", "busy").what, outcome::refused);
  const auto failed = judge_events(token(0) + "event: error\ndata: {\"execution\":\"unknown\"}\n\n");
  EXPECT_EQ(failed.what, outcome::failed);
  EXPECT_EQ(failed.problem["execution"], "unknown");
}

// Guards against a whole response of another request when no stream was asked for.
TEST_F(caller, a_response_without_a_stream_is_compared_too) {
  const json right = {{"choices", {{{"text", text_before("p", 2)}}}}};
  const json other = {{"choices", {{{"text", text_before("q", 2)}}}}};
  EXPECT_EQ(judge(200, "application/json", right.dump()).what, outcome::complete);
  EXPECT_EQ(judge(200, "application/json", other.dump()).what, outcome::wrong);
}

}  // namespace
}  // namespace cuminpath::emulator
