#include <unistd.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <random>
#include <regex>

#include "core/common/json.h"
#include "core/telemetry/log.h"
#include "core/telemetry/log_limiter.h"
#include "core/telemetry/metrics.h"
#include "core/telemetry/timeline.h"

namespace cuminpath::telemetry {
namespace {

using ::testing::HasSubstr;

// Guards against log lines that are not valid JSON because of quotes, line feeds or bytes that are not UTF-8.
TEST(log, each_line_is_a_json_object_for_any_text) {
  start_logging("entry-1", log_level::info);
  testing::internal::CaptureStdout();
  log(log_level::warning, "http", "bad \"request\"\n\xff",
      {{"count", std::int64_t{3}}, {"ok", false}, {"level", std::string_view("x")}});
  const std::string text = testing::internal::GetCapturedStdout();
  ASSERT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
  const json line = parse_json(text).value();
  EXPECT_EQ(line["level"], "warning");
  EXPECT_EQ(line["process"], "entry-1");
  EXPECT_EQ(line["count"], 3);
  EXPECT_EQ(line["field_level"], "x");
}

// Guards against a process that stops because its log is not read: a write to a full pipe blocks forever.
TEST(log, full_output_pipe_does_not_block) {
  std::array<int, 2> ends{};
  ASSERT_EQ(::pipe(ends.data()), 0);
  const int saved = ::dup(STDOUT_FILENO);
  ::dup2(ends[1], STDOUT_FILENO);
  start_logging("entry-1", log_level::info);
  for (int i = 0; i < 3000; ++i) {
    // Each line is of a different kind, so that no rate limit applies.
    log(log_level::info, "test", "line " + std::to_string(i), {{"text", std::string(200, 'x')}});
  }
  std::string text(1U << 20U, '\0');
  const auto size = ::read(ends[0], text.data(), text.size());
  ASSERT_GT(size, 0);
  log(log_level::info, "test", "after", {});
  const auto second_size = ::read(ends[0], text.data(), text.size());
  ::dup2(saved, STDOUT_FILENO);
  ::close(saved);
  ::close(ends[0]);
  ::close(ends[1]);
  ASSERT_GT(second_size, 0);
  const json line =
      parse_json(std::string_view(text).substr(0, static_cast<std::size_t>(second_size) - 1)).value();
  EXPECT_EQ(line["message"], "after");
  EXPECT_GT(line["lost"].get<int>(), 0);
}

// Guards against a process that is terminated by SIGPIPE because the reader of its log has exited.
TEST(log, closed_output_pipe_does_not_terminate_the_process) {
  const auto log_without_reader = [] {
    std::signal(SIGPIPE, SIG_DFL);
    std::array<int, 2> ends{};
    if (::pipe(ends.data()) != 0 || ::dup2(ends[1], STDOUT_FILENO) < 0) {
      std::_Exit(1);
    }
    ::close(ends[1]);
    ::close(ends[0]);
    start_logging("entry-1", log_level::info);
    log(log_level::info, "test", "nobody reads this");
    std::_Exit(0);
  };
  EXPECT_EXIT(log_without_reader(), testing::ExitedWithCode(0), "");
}

TEST(log_limiter, limits_each_kind_and_counts_suppressed_lines) {
  log_limiter limiter({.lines_per_s = 10, .burst = 5});
  const time_point start{seconds{100}};
  int written = 0;
  for (int i = 0; i < 100; ++i) {
    written += limiter.admit("a", start).has_value() ? 1 : 0;
  }
  EXPECT_EQ(written, 5);
  EXPECT_TRUE(limiter.admit("b", start).has_value());
  EXPECT_EQ(limiter.admit("a", start + milliseconds{100}), std::optional<std::uint64_t>(95));
  EXPECT_FALSE(limiter.admit("a", start + milliseconds{110}).has_value());
}

// Guards against the level of a subsystem that applies to another subsystem or to none.
TEST(log, drops_lines_below_the_level_of_their_subsystem) {
  start_logging("entry-1", log_level::info);
  set_log_level("router", log_level::debug);
  testing::internal::CaptureStdout();
  log(log_level::debug, "http", "dropped");
  log(log_level::debug, "router", "kept");
  const std::string text = testing::internal::GetCapturedStdout();
  EXPECT_EQ(text.find("dropped"), std::string::npos);
  EXPECT_THAT(text, HasSubstr("kept"));
}

// Guards against values in the wrong bucket, and against buckets that can't be added over processes: each
// must count exactly the values up to its bound.
TEST(metrics, histograms_count_the_values_up_to_each_bound) {
  metrics sample_metrics;
  for (const double value : {0.4, 0.1, 0.35, 9.0, -1.0}) {
    sample_metrics.observe("t_seconds", value, {{"kind", "stream"}});
  }
  const std::string text = sample_metrics.prometheus_text();
  EXPECT_THAT(text, HasSubstr("# TYPE t_seconds histogram\n"));
  EXPECT_THAT(text, HasSubstr("t_seconds_bucket{kind=\"stream\",le=\"0.1\"} 2\n"));
  EXPECT_THAT(text, HasSubstr("t_seconds_bucket{kind=\"stream\",le=\"0.3\"} 2\n"));
  EXPECT_THAT(text, HasSubstr("t_seconds_bucket{kind=\"stream\",le=\"0.4\"} 4\n"));
  EXPECT_THAT(text, HasSubstr("t_seconds_bucket{kind=\"stream\",le=\"8\"} 4\n"));
  EXPECT_THAT(text, HasSubstr("t_seconds_bucket{kind=\"stream\",le=\"+Inf\"} 5\n"));
  EXPECT_THAT(text, HasSubstr("t_seconds_count{kind=\"stream\"} 5\n"));

  metrics random_metrics;
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> uniform(0, 10);
  std::vector<double> values;
  double sum = 0;
  for (int i = 0; i < 20000; ++i) {
    values.push_back(uniform(random));
    sum += values.back();
    random_metrics.observe("t_seconds", values.back());
  }
  const std::string all = random_metrics.prometheus_text();
  std::size_t bounds = 0;
  const std::regex bucket("t_seconds_bucket\\{le=\"([0-9.]+)\"\\} ([0-9]+)");
  for (std::sregex_iterator found(all.begin(), all.end(), bucket), end; found != end; ++found) {
    ++bounds;
    const double bound = std::stod((*found)[1]);
    const auto within = std::count_if(values.begin(), values.end(), [bound](double v) { return v <= bound; });
    EXPECT_EQ(std::stol((*found)[2]), within) << bound;
  }
  EXPECT_EQ(bounds, 15U);
  const std::string prefix = "t_seconds_sum ";
  EXPECT_NEAR(std::stod(all.substr(all.find(prefix) + prefix.size())), sum, sum * 1e-5);
}

// Guards against label values that break the exposition format, and against counters that decrease.
TEST(metrics, escapes_labels_and_never_decreases_counters) {
  metrics value;
  value.add("c_total", {{"name", "a\"b\\c\nd"}}, 2);
  value.add("c_total", {{"name", "a\"b\\c\nd"}}, -1);
  value.set("g", 1.5);
  EXPECT_THAT(value.prometheus_text(),
              HasSubstr("# TYPE c_total counter\nc_total{name=\"a\\\"b\\\\c\\nd\"} 2\n"));
  EXPECT_THAT(value.prometheus_text(), HasSubstr("# TYPE g gauge\ng 1.5\n"));
}

// Guards against an effect that is ordered before its cause when the receiver's clock is behind, and against
// a wrong clock of one host that spreads to others.
TEST(hybrid_clock, follows_the_sender_but_not_a_clock_far_ahead) {
  hybrid_clock sender;
  hybrid_clock receiver;
  const std::uint64_t cause = sender.tick(10'000);
  EXPECT_GT(receiver.receive(5'000, cause), cause);
  EXPECT_GT(receiver.tick(4'000), cause);
  EXPECT_LT(receiver.receive(5'000, ~std::uint64_t{0}), 20'000ULL << 16U);
}

// Guards against unbounded growth, and against a wrong order after the ring has wrapped.
TEST(timeline, keeps_the_newest_events_and_merges_by_time) {
  timeline a("a", 3);
  timeline b("b", 3);
  for (std::uint64_t time = 1; time <= 5; ++time) {
    a.record(time * 2, "even", std::to_string(time));
  }
  b.record(7, "odd", "");
  const std::vector<std::vector<event>> rings{a.events(), b.events()};
  std::vector<std::uint64_t> times;
  for (const event& value : merge(rings)) {
    times.push_back(value.time);
  }
  EXPECT_EQ(times, (std::vector<std::uint64_t>{6, 7, 8, 10}));
  EXPECT_EQ(a.to_json()["events"][0]["detail"], "3");
}

}  // namespace
}  // namespace cuminpath::telemetry
