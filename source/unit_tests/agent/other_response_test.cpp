// Checks that an engine's response that does not continue a stream never reaches the entry as a part of it.
#include <gtest/gtest.h>

#include <ostream>

#include "unit_tests/agent/agent_harness.h"

namespace cuminpath::agent {
namespace {

using support::agent_harness;
using support::completion;

constexpr int k_statuses[] = {201, 204, 206, 301, 304, 400, 401, 404, 408, 409, 413, 421, 429, 500, 503, 599};

std::string token(int index) {
  const auto text = std::to_string(index);
  return R"(data: {"choices":[{"index":0,"text":"t)" + text + R"("}],"index":)" + text + "}\n\n";
}

struct engine_response {
  std::string name;
  std::string body;
};
std::ostream& operator<<(std::ostream& out, const engine_response& value) {
  return out << value.name;
}

class other_response : public ::testing::TestWithParam<engine_response> {
protected:
  static wire::submit_request resumed() {
    auto request = completion("resumed");
    request.resume_index = 4;
    request.resume_text = "abcd";
    return request;
  }
};

// The caller has four tokens already, from another agent.
TEST_P(other_response, is_not_joined_to_a_stream_that_is_resumed) {
  agent_harness agent;
  agent.receive(resumed());
  agent.send_head(agent.runs[0].id);
  agent.send_data(agent.runs[0].id, GetParam().body);
  agent.end_run(agent.runs[0].id);
  EXPECT_EQ(agent.last<wire::refusal>().reason, wire::refusal_reason::upstream_failed);
  EXPECT_TRUE(agent.sent<wire::response_chunk>().empty());
  EXPECT_TRUE(agent.sent<wire::response_end>().empty());
}

TEST_P(other_response, of_any_status_is_not_joined_to_a_stream_that_is_resumed) {
  for (const int status : k_statuses) {
    agent_harness agent;
    agent.receive(resumed());
    agent.send_head(agent.runs[0].id, status);
    agent.send_data(agent.runs[0].id, GetParam().body);
    agent.end_run(agent.runs[0].id);
    EXPECT_EQ(agent.last<wire::refusal>().reason, wire::refusal_reason::upstream_failed) << status;
    EXPECT_TRUE(agent.sent<wire::response_head>().empty()) << status;
    EXPECT_TRUE(agent.sent<wire::response_chunk>().empty()) << status;
    EXPECT_TRUE(agent.sent<wire::response_end>().empty()) << status;
  }
}

// The head of the first run was sent to the entry, and the request is preempted before its first token.
TEST_P(other_response, of_a_later_run_does_not_pass_for_the_first_one) {
  for (const auto& [first, second] :
       {std::pair(200, 400), {200, 404}, {200, 500}, {200, 503}, {400, 200}, {404, 400}}) {
    agent_harness agent(config::upstream_kind::engine, 1);
    agent.receive(completion("low", "digest"));
    agent.send_head(agent.runs[0].id, first);
    agent.advance(seconds(1));
    agent.receive(completion("high", "urgent"));
    agent.advance(seconds(1));
    ASSERT_TRUE(agent.is_cancelled(agent.runs[0].id));
    agent.send_head(agent.runs[1].id);
    agent.finish_stream(agent.runs[1].id);
    agent.advance(milliseconds(20));
    ASSERT_EQ(agent.runs.size(), 3U);
    agent.messages.clear();
    agent.send_head(agent.runs[2].id, second);
    agent.send_data(agent.runs[2].id, GetParam().body);
    agent.end_run(agent.runs[2].id);
    EXPECT_EQ(agent.last<wire::refusal>().reason, wire::refusal_reason::upstream_failed) << first << second;
    EXPECT_TRUE(agent.sent<wire::response_chunk>().empty()) << first << second;
    EXPECT_TRUE(agent.sent<wire::response_end>().empty()) << first << second;
  }
}

INSTANTIATE_TEST_SUITE_P(
    bodies, other_response,
    ::testing::Values(engine_response{"empty", ""}, engine_response{"text", "busy"},
                      engine_response{"json", R"({"error":"busy"})"},
                      engine_response{"error_event", "event: error\ndata: {\"error\":\"busy\"}\n\n"},
                      engine_response{"event_without_index", "data: busy\n\n"},
                      engine_response{"begins_again", token(0) + token(1) + "data: [DONE]\n\n"},
                      engine_response{"repeats_the_last_token", token(3) + token(4) + "data: [DONE]\n\n"},
                      engine_response{"skips_a_token", token(5) + "data: [DONE]\n\n"},
                      engine_response{"head_of_a_response", "HTTP/1.1 500 X\r\n\r\nbusy"}),
    [](const auto& named) { return named.param.name; });

// Guards against a part of an event that is forwarded, and against a broken stream that looks complete.
TEST(broken_run, ends_after_its_last_complete_event) {
  for (const std::string& line_end : {std::string("\n"), std::string("\r\n")}) {
    const auto event_of = [&](std::string line) { return line.append(line_end).append(line_end); };
    const std::string first = event_of(R"(data: {"index":0,"choices":[{"text":"a"}]})");
    for (const std::string& event :
         {event_of(R"(data: {"index":1,"choices":[{"text":"b"}]})"), event_of("data: [DONE]")}) {
      for (std::size_t size = 0; size + line_end.size() <= event.size(); ++size) {
        for (const bool reset : {false, true}) {
          agent_harness agent;
          agent.receive(completion("a"));
          const auto run = agent.runs[0].id;
          agent.send_head(run);
          agent.send_data(run, first + event.substr(0, size));
          reset ? agent.fail_run(run, true) : agent.end_run(run);
          ASSERT_EQ(agent.sent<wire::response_chunk>().size(), 1U) << event << size;
          EXPECT_EQ(agent.last<wire::response_chunk>().tokens, 1U) << event << size;
          EXPECT_EQ(agent.last<wire::refusal>().reason, wire::refusal_reason::upstream_failed) << size;
          EXPECT_TRUE(agent.sent<wire::response_end>().empty()) << event << size;
        }
      }
    }
  }
}

}  // namespace
}  // namespace cuminpath::agent
