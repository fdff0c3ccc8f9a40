#include "core/net/send_watch.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminpath::net {
namespace {

// What happens to the peer of a connection from a moment on.
struct sample {
  milliseconds at;  // Since the bytes were handed to the socket.
  send_state state;
  send_verdict expected;
};

constexpr send_state acknowledged(std::uint64_t bytes) {
  return {.acknowledged_bytes = bytes};
}
// The peer answers, but its window is closed.
constexpr send_state closed_window(std::uint64_t acknowledged) {
  return {.acknowledged_bytes = acknowledged, .unsent_bytes = 100, .since_acknowledgement = milliseconds{90}};
}
constexpr send_state in_flight(std::uint32_t retransmissions, milliseconds since_acknowledgement) {
  return {.segments_in_flight = 1,
          .retransmissions = retransmissions,
          .since_acknowledgement = since_acknowledgement};
}
constexpr send_state unanswered_probe(milliseconds since_acknowledgement) {
  return {.unsent_bytes = 100, .unanswered_probes = 1, .since_acknowledgement = since_acknowledgement};
}

void expect_verdicts(const std::vector<sample>& samples) {
  const time_point start{seconds{100}};
  send_watch watch;
  watch.on_sent(start);
  for (const auto& each : samples) {
    EXPECT_EQ(watch.judge(each.state, start + each.at), each.expected) << each.at.count() << " ms";
  }
}

constexpr auto k_done = send_verdict::done;
constexpr auto k_waits = send_verdict::waits;

// Guards against samples of connections that have nothing to send.
TEST(send_watch, ends_once_everything_is_acknowledged) {
  const time_point start{seconds{100}};
  send_watch watch;
  EXPECT_EQ(watch.due(), time_point::max());
  watch.on_sent(start);
  EXPECT_LT(watch.due(), start + seconds{1});
  EXPECT_EQ(watch.judge(acknowledged(5), start + milliseconds{500}), k_done);
  EXPECT_FALSE(watch.active());
}

// Guards against time-outs that measure the age of the queue: nothing acknowledged here is ever older than
// the time allowed, though the queue is never empty.
TEST(send_watch, never_ends_a_peer_that_takes_something_now_and_then) {
  std::vector<sample> samples;
  for (int i = 1; i <= 20; ++i) {
    const milliseconds at = i * (k_max_unread_time - milliseconds{500});
    samples.push_back({at, closed_window(static_cast<std::uint64_t>(i)), k_waits});
  }
  samples.front().state.acknowledged_bytes = 0;
  expect_verdicts(samples);
}

TEST(send_watch, ends_a_peer_that_takes_nothing_for_the_stated_time) {
  expect_verdicts({{milliseconds{500}, closed_window(7), k_waits},
                   {k_max_unread_time - milliseconds{1}, closed_window(7), k_waits},
                   {k_max_unread_time, closed_window(7), send_verdict::unread}});
}

// Guards against a peer that is taken for gone because its last acknowledgement is old, though nothing has
// been sent since.
TEST(send_watch, counts_silence_only_while_an_answer_is_due) {
  expect_verdicts({{milliseconds{500}, in_flight(1, seconds{60}), k_waits},
                   {milliseconds{1400}, in_flight(3, seconds{60}), k_waits},
                   {milliseconds{1500}, in_flight(3, seconds{60}), send_verdict::gone}});
  // A segment that has just been sent behind others that were acknowledged.
  expect_verdicts({{milliseconds{9000}, in_flight(0, milliseconds{1600}), k_waits},
                   {milliseconds{9100}, in_flight(0, milliseconds{10}), k_waits}});
  // A probe that has just been sent. Probes are more than 1 s apart after a while.
  expect_verdicts({{milliseconds{6200}, unanswered_probe(milliseconds{3100}), k_waits},
                   {milliseconds{6300}, closed_window(0), k_waits},
                   {milliseconds{12600}, unanswered_probe(milliseconds{6300}), k_waits}});
}

TEST(send_watch, ends_a_peer_that_leaves_a_probe_unanswered) {
  expect_verdicts({{milliseconds{600}, unanswered_probe(milliseconds{100}), k_waits},
                   {milliseconds{1500}, unanswered_probe(milliseconds{1000}), k_waits},
                   {milliseconds{1600}, unanswered_probe(milliseconds{1100}), send_verdict::gone}});
}

// Guards against blame for a pause of the own process, during which the peer answered.
TEST(send_watch, takes_answers_during_a_pause_of_the_process_into_account) {
  expect_verdicts({{milliseconds{600}, unanswered_probe(milliseconds{400}), k_waits},
                   {milliseconds{9000}, unanswered_probe(milliseconds{900}), k_waits}});
}

}  // namespace
}  // namespace cuminpath::net
