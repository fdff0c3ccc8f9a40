// Checks what a caller receives of a stream that broke off, for each way in which the next agent may answer.
#include <gmock/gmock.h>

#include <ostream>
#include <string>
#include <tuple>

#include "unit_tests/entry/entry_fixture.h"

namespace cuminpath::entry {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

struct agent_answer {
  std::string name;
  std::uint64_t index;
  std::uint32_t tokens;
  std::string data;
};
std::ostream& operator<<(std::ostream& out, const agent_answer& value) {
  return out << value.name;
}

class resumed_stream : public entry_fixture,
                       public ::testing::WithParamInterface<std::tuple<std::uint16_t, agent_answer>> {
protected:
  // Begins a stream whose first agent is lost after two tokens. Returns the next attempt.
  submitted_attempt begin_broken_stream() {
    send_completion(true);
    const auto first = take_submitted();
    receive(first.peer, wire::response_head{first.message.request_id, first.message.attempt, 200, {}});
    send_response_tokens(first, 0, {"a", "b"});
    EXPECT_THAT(take_streamed(), HasSubstr("choices"));
    call(&entry_core::on_link_lost, std::string_view(first.peer));
    return take_submitted();
  }

  void answer(const submitted_attempt& to, std::uint16_t status, const agent_answer& value) {
    receive(to.peer, wire::response_head{to.message.request_id, to.message.attempt, status, {}});
    receive(to.peer, wire::response_chunk{to.message.request_id, to.message.attempt, value.index,
                                          value.tokens, value.data});
    send_response_end(
        to, value.index + std::max<std::uint64_t>(value.tokens, status == 200 ? 0 : value.data.size()));
  }
};

TEST_P(resumed_stream, shows_nothing_of_another_answer) {
  const auto& [status, value] = GetParam();
  answer(begin_broken_stream(), status, value);
  const std::string rest = take_streamed();
  EXPECT_THAT(rest, Not(HasSubstr("busy")));
  EXPECT_THAT(rest, Not(HasSubstr("choices")));
  EXPECT_THAT(rest, Not(HasSubstr("[DONE]")));
  EXPECT_TRUE(take<respond>().empty());
  // The stream goes on at a third agent, or ends with an explicit error.
  const auto retries = take_messages<wire::submit_request>();
  if (retries.empty()) {
    EXPECT_THAT(rest, StartsWith("event: error\n"));
    EXPECT_EQ(take<end_stream>().size(), 1U);
    return;
  }
  EXPECT_EQ(retries.front().second.resume_index, 2U);
  EXPECT_EQ(retries.front().second.resume_text, "ab");
  EXPECT_EQ(rest, "");
  EXPECT_TRUE(take<end_stream>().empty());
}

std::string token(int index) {
  return json{{"id", "e"}, {"index", index}, {"choices", {{{"index", 0}, {"text", "busy"}}}}}.dump();
}

INSTANTIATE_TEST_SUITE_P(
    answers, resumed_stream,
    ::testing::Combine(
        ::testing::Values(200, 201, 204, 301, 304, 400, 404, 409, 413, 421, 429, 500, 502, 503, 504, 599),
        ::testing::Values(agent_answer{"empty", 0, 0, ""}, agent_answer{"error_text", 0, 0, "busy"},
                          agent_answer{"error_text_as_token", 2, 1, "busy"},
                          agent_answer{"json_error_as_token", 2, 1, R"({"error":"busy"})"},
                          agent_answer{"head_of_a_response", 2, 1, "HTTP/1.1 500 X\r\n\r\nbusy"},
                          agent_answer{"skips_a_token", 3, 1, token(3)},
                          agent_answer{"repeats_tokens", 0, 3,
                                       token(0) + "\n" + token(1) + "\n{\"error\":\"busy\"}"})),
    [](const auto& named) {
      return std::get<1>(named.param).name + "_" + std::to_string(std::get<0>(named.param));
    });

}  // namespace
}  // namespace cuminpath::entry
