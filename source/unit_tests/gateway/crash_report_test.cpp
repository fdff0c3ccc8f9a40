#include "core/gateway/crash_report.h"

#include <gmock/gmock.h>

#include <string>

#include "unit_tests/support/nested_input.h"
#include "unit_tests/support/small_stack.h"

namespace cuminpath::gateway {
namespace {

using ::testing::SizeIs;

crash_report full_report() {
  crash_report report{.sender = "front-ankleshwar-125"};
  for (std::size_t i = 0; i < routing::k_max_exchanged_parts; ++i) {
    routing::part_evidence part{.part = ~std::uint64_t{i}, .last_output_age = hours{24}};
    for (std::size_t number = 0; number < routing::k_max_crashes_per_part; ++number) {
      part.crashes.push_back({~std::uint32_t{0}, hours{24}});
    }
    report.parts.push_back(part);
  }
  return report;
}

TEST(crash_report, survives_encoding_and_decoding) {
  const crash_report sent{.sender = "a",
                          .parts = {{.part = 1, .crashes = {{7, milliseconds{1500}}, {8, milliseconds{0}}}},
                                    {.part = ~std::uint64_t{0}, .last_output_age = milliseconds{20}}}};
  const auto received = decode_crash_report(encode_crash_report(sent));
  ASSERT_TRUE(received);
  EXPECT_EQ(received.value().sender, "a");
  ASSERT_THAT(received.value().parts, SizeIs(2));
  const auto& first = received.value().parts[0];
  EXPECT_EQ(first.part, 1U);
  EXPECT_FALSE(first.last_output_age);
  ASSERT_THAT(first.crashes, SizeIs(2));
  EXPECT_EQ(first.crashes[0].id, 7U);
  EXPECT_EQ(first.crashes[0].age, milliseconds{1500});
  EXPECT_EQ(received.value().parts[1].part, ~std::uint64_t{0});
  EXPECT_EQ(received.value().parts[1].last_output_age, milliseconds{20});
}

TEST(crash_report, size_is_bounded) {
  EXPECT_LE(encode_crash_report(full_report()).size(), 2048U);
  auto large = full_report();
  large.parts.push_back(large.parts[0]);
  EXPECT_FALSE(decode_crash_report(encode_crash_report(large)));
  large = full_report();
  large.parts[0].crashes.push_back({});
  EXPECT_FALSE(decode_crash_report(encode_crash_report(large)));
}

// Decoding recurses once a level; the bytes are as many as a datagram can have.
TEST(crash_report, rejects_deep_nesting) {
  EXPECT_FALSE(decode_crash_report(std::string(65'507, '\x91')));
}

TEST(crash_report, rejects_malformed_bytes) {
  EXPECT_FALSE(decode_crash_report(""));
  EXPECT_FALSE(decode_crash_report("\x91\x01"));
  const std::string whole = encode_crash_report(full_report());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(decode_crash_report(std::string_view(whole).substr(0, size)));
  }
  for (std::size_t at = 0; at < whole.size(); ++at) {
    for (const char byte : {'\x00', '\x7f', '\x92', '\xc0', '\xff'}) {
      std::string changed = whole;
      changed[at] = byte;
      static_cast<void>(decode_crash_report(changed));  // Must neither crash nor throw.
    }
  }
}

TEST(crash_report, deeply_nested_reports_do_not_exhaust_the_stack) {
  ASSERT_TRUE(support::run_on_small_stack([] {
    for (const std::size_t depth : support::k_nesting_depths) {
      for (const std::string& bytes : support::nested_msgpack(depth)) {
        EXPECT_FALSE(decode_crash_report(bytes)) << depth;
      }
    }
  }));
}

}  // namespace
}  // namespace cuminpath::gateway
