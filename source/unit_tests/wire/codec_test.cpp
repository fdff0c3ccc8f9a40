#include "core/wire/codec.h"

#include <gtest/gtest.h>

#include <random>

namespace cuminpath::wire {
namespace {

std::span<const std::byte> as_bytes(const std::string& text) {
  return std::as_bytes(std::span(text));
}

envelope sample_envelope() {
  envelope value{.sender = "entry-1",
                 .sender_address = "127.0.0.1:7000",
                 .sender_incarnation = incarnation{7},
                 .sequence = 3,
                 .version = configuration_version{9},
                 .logical_time = 11};
  submit_request submit;
  submit.request_id = "r1";
  submit.attempt = attempt_number{2};
  submit.headers = {{"content-type", "application/json"}};
  submit.body = "{}";
  submit.repeatable = false;
  value.messages.emplace_back(submit);
  load_report report;
  report.classes.push_back({.priority_class = "urgent", .queued = 1, .running = 2, .expected_wait_ms = 3});
  value.messages.emplace_back(report);
  expert_load load;
  load.layers = {{1, 2}, {3, 4}};
  value.messages.emplace_back(load);
  value.messages.emplace_back(upstream_crash{"r1", attempt_number{2}, 77});
  value.messages.emplace_back(
      crash_evidence{.parts = {{.part = ~0ULL, .last_output_age_ms = -1, .crashes = {{77, 1500}, {78, 0}}}}});
  return value;
}

// Guards against a field that is encoded but not decoded, or that is decoded in another order.
TEST(codec, round_trip_keeps_every_field) {
  const auto text = encode(sample_envelope());
  const auto decoded = decode(as_bytes(text));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(encode(decoded.value()), text);
  const auto& submit = std::get<submit_request>(decoded.value().messages.at(0));
  EXPECT_EQ(submit.attempt, attempt_number{2});
  EXPECT_FALSE(submit.repeatable);
  EXPECT_EQ(std::get<expert_load>(decoded.value().messages.at(2)).layers.at(1).at(1), 4U);
  EXPECT_EQ(std::get<upstream_crash>(decoded.value().messages.at(3)).crash, 77U);
  const auto& part = std::get<crash_evidence>(decoded.value().messages.at(4)).parts.at(0);
  EXPECT_EQ(part.part, ~0ULL);
  EXPECT_EQ(part.last_output_age_ms, -1);
  EXPECT_EQ(part.crashes.at(0).age_ms, 1500U);
}

// Guards against truncated input that is accepted or that crashes the decoder.
TEST(codec, every_truncation_is_an_error) {
  const auto text = encode(sample_envelope());
  for (std::size_t size = 0; size < text.size(); ++size) {
    EXPECT_FALSE(decode(as_bytes(text.substr(0, size))).has_value()) << size;
  }
}

// Guards against corrupted input that crashes the decoder.
TEST(codec, corrupted_bytes_never_crash) {
  constexpr unsigned k_seed = 20260101;
  std::mt19937 random(k_seed);
  const auto text = encode(sample_envelope());
  for (int round = 0; round < 20000; ++round) {
    auto corrupted = text;
    for (int change = 0; change < 3; ++change) {
      corrupted[random() % corrupted.size()] = static_cast<char>(random());
    }
    const auto decoded = decode(as_bytes(corrupted));
    if (decoded.has_value()) {
      EXPECT_LE(decoded.value().messages.size(), 16U) << "seed " << k_seed << " round " << round;
    }
  }
}

// Guards against deeply nested arrays that exhaust the stack.
TEST(codec, deep_nesting_is_an_error) {
  const std::string nested(100000, '\x91');
  EXPECT_FALSE(decode(as_bytes(nested)).has_value());
}

}  // namespace
}  // namespace cuminpath::wire
