#include "core/proxy/forwarded_headers.h"

#include <gmock/gmock.h>

#include "unit_tests/support/cost.h"

namespace cuminpath::proxy {
namespace {

using ::testing::ElementsAre;
using ::testing::Pair;

TEST(forwarded_headers, leaves_out_hop_by_hop_headers_and_those_that_connection_names) {
  EXPECT_THAT(end_to_end_headers({{"X-A", "1"},
                                  {"Connection", "x-hop , X-Other"},
                                  {"X-Hop", "2"},
                                  {"transfer-encoding", "chunked"},
                                  {"connection", "x-third"},
                                  {"x-other", "3"},
                                  {"X-Third", "4"},
                                  {"X-B", "5"}}),
              ElementsAre(Pair("X-A", "1"), Pair("X-B", "5")));
}

// Guards against a head that occupies the gateway: its many headers were each compared to all others.
TEST(forwarded_headers, the_cost_grows_with_the_size_of_the_head_only) {
  const auto make_head = [](std::size_t size) {
    http::header_list headers;
    std::string options;
    for (std::size_t i = 0; i < size; ++i) {
      headers.emplace_back("n" + std::to_string(i), "");
      options += "o" + std::to_string(i) + ",";
    }
    headers.emplace_back("Connection", options);
    return headers;
  };
  constexpr std::size_t k_headers = 1000;
  const auto small = make_head(k_headers);
  const auto large = make_head(support::k_growth * k_headers);
  EXPECT_EQ(end_to_end_headers(large).size(), support::k_growth * k_headers);
  EXPECT_LE(support::cost_ratio([&] { end_to_end_headers(small); }, [&] { end_to_end_headers(large); }),
            support::k_max_growth);
}

}  // namespace
}  // namespace cuminpath::proxy
