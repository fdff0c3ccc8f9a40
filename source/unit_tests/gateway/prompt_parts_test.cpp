#include "core/gateway/prompt_parts.h"

#include <gmock/gmock.h>

#include <string>

namespace cuminpath::gateway {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::SizeIs;

TEST(prompt_parts, excludes_the_last_part) {
  EXPECT_THAT(shared_prompt_parts("5c1e:800,91bd:410,e440:250"), ElementsAre("5c1e", "91bd"));
  EXPECT_THAT(shared_prompt_parts(" 5c1e:800 , 91bd : 410, e440:250"), ElementsAre("5c1e", "91bd"));
  EXPECT_THAT(shared_prompt_parts("e440:250"), IsEmpty());
}

TEST(prompt_parts, ignores_what_is_not_a_list_of_parts) {
  EXPECT_THAT(shared_prompt_parts(""), IsEmpty());
  EXPECT_THAT(shared_prompt_parts(",,:1,"), IsEmpty());
  EXPECT_THAT(shared_prompt_parts("a,b,c"), ElementsAre("a", "b"));
  std::string many;
  for (int i = 0; i < 10000; ++i) {
    many += "a:1,";
  }
  EXPECT_THAT(shared_prompt_parts(many), SizeIs(k_max_shared_prompt_parts));
}

}  // namespace
}  // namespace cuminpath::gateway
