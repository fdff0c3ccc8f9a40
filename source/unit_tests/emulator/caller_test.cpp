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
  // Returns the outcome of a completion of two tokens to which the entry sends this response.
  call_outcome outcome_of_response(int status, const std::string& type, const std::string& body,
                                   bool aborted = false) {
    const auto server =
        std::move(http::server::start(m_context, {}, [&](const http::request&, const auto& to) {
                    to->begin_stream(status, {{"Content-Type", type}});
                    to->write(body);
                    aborted ? to->abort_stream() : to->end_stream();
                  }).value());
    std::optional<call_outcome> done;
    send_call(m_client, {.url = "http://" + server->address(), .model = "m", .prompt = "p", .max_tokens = 2},
              [&done](call_outcome value) { done = std::move(value); });
    EXPECT_TRUE(support::run_until(m_context, [&done] { return done.has_value(); }));
    return done.value_or(call_outcome{});
  }
  call_outcome outcome_of_events(const std::string& events, bool aborted = false) {
    return outcome_of_response(200, "text/event-stream", events, aborted);
  }

  static std::string token(std::uint32_t index, const std::string& prompt = "p") {
    const json event = {{"index", index}, {"choices", {{{"text", token_text(prompt, index)}}}}};
    return "data: " + event.dump() + "\n\n";
  }

  const std::string m_final_event = "data: [DONE]\n\n";
  asio::io_context m_context;
  http::client m_client{m_context};
};

// Guards against a truncated or misdelivered response, or one with lost or repeated tokens, that counts as
// complete.
TEST_F(caller, only_the_whole_text_of_the_prompt_is_complete) {
  EXPECT_EQ(outcome_of_events(token(0) + token(1) + m_final_event).what, outcome::complete);
  EXPECT_EQ(outcome_of_events(token(0) + m_final_event).what, outcome::wrong);
  EXPECT_EQ(outcome_of_events(token(0) + token(0) + token(1) + m_final_event).what, outcome::wrong);
  EXPECT_EQ(outcome_of_events(token(0, "q") + token(1, "q") + m_final_event).what, outcome::wrong);
  EXPECT_EQ(outcome_of_events(token(0) + token(1) + m_final_event + m_final_event).what, outcome::wrong);
  EXPECT_EQ(outcome_of_events(token(0) + token(1)).what, outcome::wrong);
  EXPECT_EQ(outcome_of_events(token(0) + token(1) + m_final_event, true).what, outcome::broken);
}

// Guards against a refusal or an error event that is counted as another outcome.
TEST_F(caller, refusals_are_classified_by_execution) {
  EXPECT_EQ(outcome_of_response(503, "application/problem+json", R"({"execution":"not_run"})").what,
            outcome::not_run);
  EXPECT_EQ(outcome_of_response(502, "application/problem+json", R"({"execution":"unknown"})").what,
            outcome::unknown);
  EXPECT_EQ(outcome_of_response(503, "text/plain", "busy").what, outcome::refused);
  const auto failed = outcome_of_events(token(0) + "event: error\ndata: {\"execution\":\"unknown\"}\n\n");
  EXPECT_EQ(failed.what, outcome::failed);
  EXPECT_EQ(failed.problem["execution"], "unknown");
}

// Guards against a response to another request that counts as complete if the caller did not request a
// stream.
TEST_F(caller, a_response_without_a_stream_is_checked_too) {
  const json matching = {{"choices", {{{"text", text_before("p", 2)}}}}};
  const json other = {{"choices", {{{"text", text_before("q", 2)}}}}};
  EXPECT_EQ(outcome_of_response(200, "application/json", matching.dump()).what, outcome::complete);
  EXPECT_EQ(outcome_of_response(200, "application/json", other.dump()).what, outcome::wrong);
}

}  // namespace
}  // namespace cuminpath::emulator
