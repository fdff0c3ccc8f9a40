// Checks that the explanation of a request tells what the gateway does with the request right afterwards.
#include "core/proxy/placement_explanation.h"

#include <gmock/gmock.h>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "core/gateway/evacuation.h"
#include "unit_tests/proxy/proxy_fixture.h"
#include "unit_tests/support/property.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

constexpr std::size_t k_upstreams = 4;
constexpr std::size_t k_slots = 2;

class placement_explanation_test : public proxy_fixture {
protected:
  placement_explanation_test() {
    use_engine();
    for (std::size_t i = 0; i < k_upstreams; ++i) {
      add_upstream(fmt::format("i-{}", i), [](auto, const auto&) {
        return upstream_action{response_text("a", "body", "Content-Type: text/plain\r\n")};
      });
    }
  }

  // Returns true with a probability of one in `n`.
  bool one_in(std::size_t n) { return random_index(m_draw, n) == 0; }

  void draw_upstreams(time_point now) {
    m_state.upstreams = {};
    m_state.upstreams.set_cold_policies({{"s", {.cold_start = milliseconds{0}, .max_per_s = 26}}});
    m_state.cold_limiter = gateway::cold_rate_limiter("");
    if (one_in(2)) {
      m_state.cold_limiter.set_members({}, true, now - seconds{3});
      m_state.cold_limiter.set_members({}, true, now);
    }
    for (auto& record : m_records) {
      record.slots = k_slots;
      record.leaving = one_in(8);
      record.availability_zone = one_in(2) ? "z" : "y";
    }
    m_state.upstreams.apply(m_records, now, false);
    gateway::evacuation evacuations;
    if (one_in(4)) {
      const gateway::evacuation_list requests{.requests = {{"y", 1}}};
      (void)evacuations.apply(requests, now);
    }
    m_state.upstreams.set_evacuations(evacuations);
    std::vector<gateway::upstream_load> loads;
    gateway::silence_report silence;
    for (const auto& record : m_records) {
      const std::uint32_t hash = m_state.upstreams.find(record.id)->hash;
      loads.push_back({hash, static_cast<std::uint32_t>(random_index(m_draw, k_slots + 1))});
      if (one_in(6)) {
        m_state.upstreams.on_cold_statement(record.id, milliseconds{60'000}, now);
      }
      if (one_in(8)) {
        m_state.upstreams.on_requests_rejected(record.id, milliseconds{60'000}, now);
      }
      if (one_in(12)) {
        m_state.upstreams.on_wrong_instance(record.id);
      }
      for (int i = 0; one_in(2) && i < 3; ++i) {
        m_state.upstreams.on_failure(record.id, now);
      }
      if (one_in(3)) {
        silence.silent.push_back(hash);
      }
    }
    m_state.upstreams.set_member_loads("other", loads);
    m_state.silent_upstreams = gateway::silent_upstreams({.first_trial_after = milliseconds{0}});
    m_state.silent_upstreams.on_report("other", silence, now - milliseconds{100});
    const std::vector<std::string> others{"other"};
    (void)m_state.silent_upstreams.update(now - milliseconds{100}, "local", others);
    (void)m_state.silent_upstreams.update(now, "local", others);
    m_state.upstreams.set_silent(m_state.silent_upstreams.silent());
  }

  void draw_gateway(time_point now) {
    m_state.waiting_streams["s"] = one_in(4) ? 4 : 0;
    m_state.retry_budgets.clear();
    m_state.budget("s");
    m_state.limits.served_requests = one_in(12) ? 0 : 100;
    m_state.concurrency_limiters.clear();
    if (one_in(3)) {
      // Passes of 100 ms at half load leave room for few more requests under the limit of the route.
      m_state.concurrency_limiters["s"].observe(milliseconds{100}, 1, k_cost, now - milliseconds{10});
    }
    m_state.prompt_quarantine = routing::prompt_quarantine({}, 1);
    const std::vector<routing::prompt_part> parts{routing::hash_prompt_part("m", "p1")};
    if (one_in(3)) {
      const time_point crashed = now - (one_in(2) ? seconds{2} : seconds{120});
      m_state.prompt_quarantine.on_crash(1, parts, crashed);
      m_state.prompt_quarantine.on_crash(2, parts, crashed + milliseconds{100});
    }
    m_state.stop.reset();
    m_state.other_gateway_ready = one_in(2);
    if (one_in(10)) {
      m_state.stop.emplace(now - (one_in(2) ? seconds{1} : seconds{3}), milliseconds{4000},
                           milliseconds{100});
    }
  }

  void configure() {
    auto configuration = std::make_shared<gateway::configuration>(*m_state.configuration);
    configuration->services[0].engine = k_cost;
    for (auto& route : configuration->routes) {
      route.max_event_gap = milliseconds{110};
      route.priority = static_cast<std::uint32_t>(random_index(m_draw, 3));
    }
    m_state.configuration = std::move(configuration);
  }

  http::header_list draw_request(std::string& path) {
    const std::array<std::string, 5> paths{"/safe/x", "/once/x", "/stream/x", "/stream/y", "/fragile/x"};
    path = one_in(16) ? "/none" : paths.at(random_index(m_draw, paths.size()));
    http::header_list headers{{"X-Key", one_in(16) ? "wrong" : "secret"}, {"X-Model", "m"}};
    headers.emplace_back("X-Left", one_in(16) ? "0" : one_in(3) ? "1000" : "1500");
    if (one_in(2)) {
      headers.emplace_back("X-Prompt-Parts", "p1:100,own:5");
    }
    if (one_in(8)) {
      headers.emplace_back("Last-Event-Id", "3");
    }
    return headers;
  }

  [[nodiscard]] json explain(const std::string& path, const http::header_list& headers,
                             time_point now) const {
    http::request page{.target = "/explain", .headers = {{"X-Explain-Host", "h"}, {"X-Explain-Path", path}}};
    for (const auto& [name, value] : headers) {
      page.headers.emplace_back(name == "X-Key" ? "X-Explain-Key" : "X-Explain-Header-" + name, value);
    }
    const http::response response = explain_page(m_state, "g", page, now);
    EXPECT_EQ(response.status, 200);
    EXPECT_THAT(response.body, Not(HasSubstr("secret")));
    EXPECT_THAT(response.body, Not(HasSubstr("p1")));
    return parse_json(response.body).value();
  }

  std::string send(const std::string& path, const http::header_list& headers) {
    std::string text = fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nX-Id: a\r\n", path);
    for (const auto& [name, value] : headers) {
      text += fmt::format("{}: {}\r\n", name, value);
    }
    return call(text + "\r\n", is_complete).bytes;
  }

  // Index of the upstream that got the request after `before` were counted; k_upstreams if none did.
  [[nodiscard]] std::size_t receiver(const std::vector<std::size_t>& before) const {
    for (std::size_t i = 0; i < k_upstreams; ++i) {
      if (m_upstreams[i]->requests().size() > before[i]) {
        return i;
      }
    }
    return k_upstreams;
  }

  static constexpr gateway::engine_cost k_cost{.step_ms = 20, .per_sequence_ms = 1};
  random_source m_draw;
};

void expect_refusal(const json& expected, const std::string& response) {
  EXPECT_THAT(response, HasSubstr(fmt::format("HTTP/1.1 {} ", expected["status"].get<int>())));
  EXPECT_THAT(response, HasSubstr(fmt::format("\"reason\":\"{}\"", expected["reason"].get<std::string>())));
  constexpr std::string_view k_name = "Retry-After: ";
  const std::size_t at = response.find(k_name);
  ASSERT_EQ(at != std::string::npos, expected.contains("retry_after_ms"));
  if (at != std::string::npos) {
    const double wait_ms = 1000 * std::stod(response.substr(at + k_name.size(), 8));
    EXPECT_LE(wait_ms, expected["retry_after_ms"]["max"].get<double>() + 1);
    // The time left of the request has become shorter since the explanation.
    EXPECT_GE(wait_ms, expected["retry_after_ms"]["min"].get<double>() - 100);
  }
}

// Guards against an explanation with rules of its own: outcome, reason, bounds of Retry-After and eligible
// upstreams must be those of the placement, in random states.
TEST_F(placement_explanation_test, tells_what_the_gateway_then_does) {
  std::map<std::string, int> seen;
  const bool passed = support::check_property(400, [&](std::uint64_t seed) {
    m_draw.seed(seed);
    const time_point now = clock::now();
    configure();
    draw_upstreams(now);
    draw_gateway(now);
    std::string path;
    const http::header_list headers = draw_request(path);
    const random_source random_before = m_state.random;
    const json explained = explain(path, headers, now);
    RC_ASSERT(explained == explain(path, headers, now));
    RC_ASSERT(m_state.random == random_before);
    std::vector<std::size_t> before;
    for (const auto& upstream : m_upstreams) {
      before.push_back(upstream->requests().size());
    }
    const std::string response = send(path, headers);
    const json& outcome = explained.contains("outcome") ? explained : explained["services"][0];
    const std::size_t got = receiver(before);
    std::set<std::string> eligible;
    std::set<std::string> trials;
    for (const json& service : explained["services"]) {
      for (const json& upstream : service["upstreams"]) {
        if (upstream["excluded"].is_null()) {
          (upstream["trial"] == true ? trials : eligible).insert(upstream["id"]);
        }
        ++seen[upstream["excluded"].is_null() ? "eligible" : upstream["excluded"]];
      }
    }
    if (outcome["outcome"] == "placed") {
      ++seen[trials.empty() ? "placed" : "placed as a trial"];
      RC_ASSERT(got < k_upstreams);
      RC_ASSERT((trials.empty() ? eligible : trials).contains(fmt::format("i-{}", got)));
    } else {
      ++seen[outcome["reason"]];
      RC_ASSERT(got == k_upstreams);
      expect_refusal(outcome, response);
    }
    RC_ASSERT(!HasFailure());
  });
  EXPECT_TRUE(passed);
  // A reason that no state has would not be checked.
  for (const std::string_view expected :
       {"placed", "placed as a trial", "leaving", "evacuated", "wrong instance", "rejects", "ejected",
        "silent", "full", "cold", "eligible"}) {
    EXPECT_GT(seen[std::string(expected)], 0) << expected;
  }
  for (const std::string_view expected :
       {k_no_route, k_deadline_passed, k_unknown_key, k_stopping, k_no_descriptor, k_quarantined,
        k_passes_too_long, k_no_free_place}) {
    EXPECT_GT(seen[std::string(expected)], 0) << expected;
  }
}

// Guards against an explanation that uses up the trial of a quarantined part.
TEST_F(placement_explanation_test, leaves_the_trial_of_a_quarantined_part_to_a_request) {
  const time_point now = clock::now();
  const std::vector<routing::prompt_part> parts{routing::hash_prompt_part("m", "p1")};
  m_state.prompt_quarantine.on_crash(1, parts, now - seconds{120});
  m_state.prompt_quarantine.on_crash(2, parts, now - seconds{119});
  const http::header_list headers{{"X-Key", "secret"}, {"X-Model", "m"}, {"X-Prompt-Parts", "p1:9,own:5"}};
  EXPECT_EQ(explain("/stream/x", headers, now)["services"][0]["outcome"], "placed");
  EXPECT_EQ(explain("/stream/x", headers, now)["services"][0]["outcome"], "placed");
  EXPECT_FALSE(m_state.prompt_quarantine.admit(parts, now));
  const json refused = explain("/stream/x", headers, now)["services"][0];
  EXPECT_EQ(refused["reason"], k_quarantined);
  EXPECT_EQ(refused["quarantined_part"], fmt::format("{:016x}", parts[0]));
}

// Guards against an explanation for another workspace than the one that is named.
TEST_F(placement_explanation_test, takes_a_workspace_by_name) {
  http::request page{.target = "/explain",
                     .headers = {{"X-Explain-Host", "h"}, {"X-Explain-Path", "/safe/x"}}};
  page.headers.emplace_back("X-Explain-Workspace", "alpha");
  EXPECT_THAT(explain_page(m_state, "g", page, clock::now()).body, HasSubstr("\"workspace\":\"alpha\""));
  page.headers.back().second = "beta";
  EXPECT_THAT(explain_page(m_state, "g", page, clock::now()).body, HasSubstr("unknown workspace"));
}

// Guards against a gateway that crashes on the page before it has read a configuration, and against a page
// that explains a request nobody has described.
TEST_F(placement_explanation_test, needs_a_request_but_no_configuration) {
  EXPECT_EQ(explain_page(m_state, "g", {.target = "/explain"}, clock::now()).status, 400);
  m_state.configuration = nullptr;
  EXPECT_EQ(explain("/safe/x", {}, clock::now())["reason"], k_no_configuration);
}

// Guards against a page of several MB for a service with thousands of upstreams.
TEST_F(placement_explanation_test, lists_a_bounded_number_of_upstreams_and_counts_all) {
  for (std::size_t i = 0; i < 3000; ++i) {
    m_records.push_back({.id = fmt::format("n-{:05}", i),
                         .service = "s",
                         .address = fmt::format("10.0.0.1:{}", i + 1),
                         .availability_zone = "z"});
  }
  m_state.upstreams.apply(m_records, clock::now(), false);
  const json service = explain("/safe/x", {{"X-Key", "secret"}}, clock::now())["services"][0];
  EXPECT_EQ(service["upstreams"].size(), 1000U);
  EXPECT_EQ(service["upstreams_not_listed"], 2004);
  EXPECT_EQ(service["counts"]["eligible"], 3004);
}

}  // namespace
}  // namespace cuminpath::proxy
