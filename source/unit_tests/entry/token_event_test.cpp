#include <gmock/gmock.h>

#include <string>

#include "core/common/json.h"
#include "core/entry/model_answer.h"

namespace cuminpath::entry {
namespace {

// Guards against a parser that reads fields of the same name from another position in the event.
TEST(token_event, reads_the_fields_of_the_first_choice_only) {
  const auto event = parse_token_event(
      R"({"text":"no","usage":{"id":"no","text":"no","choices":[{"text":"no"}]},"id":"r1","index":4,)"
      R"("choices":[{"index":0,"logprobs":{"text":"no","content":["no"]},"text":"a\u00e9\n\"b","finish_reason":)"
      R"("stop"},{"text":"second","finish_reason":"length"}],"content":"no"})");
  ASSERT_TRUE(event);
  EXPECT_EQ(event.value().id, "r1");
  EXPECT_EQ(event.value().text, "a\u00e9\n\"b");
  EXPECT_EQ(event.value().finish_reason, "stop");
}

// Guards against chat tokens that are lost or mixed with the text field of completions.
TEST(token_event, prefers_a_delta) {
  const auto text_of = [](std::string_view line) {
    const auto event = parse_token_event(line);
    return event ? event.value().text : "error";
  };
  EXPECT_EQ(text_of(R"({"choices":[{"text":"t","delta":{"role":"r","content":"c","x":{"content":"n"}}}]})"),
            "c");
  EXPECT_EQ(text_of(R"({"choices":[{"delta":"d","text":"t"}]})"), "d");
  EXPECT_EQ(text_of(R"({"choices":[{"delta":{},"text":"t"}]})"), "");
  EXPECT_EQ(text_of(R"({"choices":[{"delta":null,"text":"t"}]})"), "t");
  EXPECT_EQ(text_of(R"({"choices":[{"text":7,"finish_reason":null}]})"), "");
}

// Guards against malformed engine events that are accepted as tokens, and against deep nesting.
TEST(token_event, rejects_malformed_events) {
  for (const char* line :
       {"", "{", "[]", "7", R"("text")", "{}", R"({"choices":{}})", R"({"choices":[]})",
        R"({"choices":["a",{"text":"b"}]})", R"({"choices":[[{"text":"b"}]]})",
        R"({"choices":[{"text":"b"}]} x)", R"({"choices":[{"text":"b}]})", R"({"x":[{"text":"b"}]})",
        R"([{"choices":[{"text":"b"}]}])", "{\"choices\":[{\"text\":\"\xff\"}]}"}) {
    EXPECT_FALSE(parse_token_event(line)) << line;
  }
  const auto nested = [](int depth) {
    return R"({"choices":[{"text":"b"}],"x":)" + std::string(static_cast<std::size_t>(depth), '[') +
           std::string(static_cast<std::size_t>(depth), ']') + "}";
  };
  EXPECT_TRUE(parse_token_event(nested(k_max_json_depth - 1)));
  EXPECT_FALSE(parse_token_event(nested(k_max_json_depth + 1)));
  EXPECT_FALSE(parse_token_event(nested(100000)));
}

}  // namespace
}  // namespace cuminpath::entry
