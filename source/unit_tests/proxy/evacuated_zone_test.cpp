// Requests during the evacuation of an availability zone.

#include <gmock/gmock.h>

#include "core/gateway/evacuation.h"
#include "unit_tests/proxy/proxy_fixture.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::StartsWith;

class evacuated_zone : public proxy_fixture {
protected:
  void evacuate() {
    const gateway::evacuation_list requests{.requests = {{"z", 1}}};
    m_zones.apply(requests, clock::now());
    m_state.upstreams.set_evacuations(m_zones);
  }
  gateway::evacuation m_zones;
};

// Guards against requests that were placed before the evacuation was known and reach the zone after it, as a
// connect can take several round trips.
TEST_F(evacuated_zone, gets_no_request_whose_connection_was_being_made) {
  const auto& upstream =
      add_upstream("i-1", [](auto, const auto&) { return upstream_action{response_text("a", "body")}; });
  bool evacuated = false;
  const auto response = call(request("GET", "/safe/x", "a"), [&](const std::string& bytes) {
    if (!evacuated && m_state.upstreams.local_requests_in("z") == 1) {
      evacuated = true;
      evacuate();
    }
    return is_complete(bytes);
  });
  EXPECT_TRUE(evacuated);
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(response.bytes, HasSubstr("Retry-After: "));
  EXPECT_THAT(response.bytes, HasSubstr("not_run"));
  EXPECT_EQ(upstream.requests().size(), 0U);
  // Guards against an upstream that counts as failed after its zone is restored, because it got no request.
  EXPECT_EQ(m_state.upstreams.find("i-1")->health.recent_failures(clock::now()), 0);
}

// Guards against streams that are cut because their zone is evacuated, and against the rest of a lost stream
// that goes back there while its gateway waits for another place.
TEST_F(evacuated_zone, keeps_the_streams_that_run_there_and_gets_no_rest_of_a_lost_one) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  auto& upstream = add_upstream("i-1", [&](std::size_t number, const auto&) {
    return upstream_action{number == 1 ? head + "f\r\nid: 1\ndata: x\n\n\r\n" : ""};
  });
  bool evacuated = false;
  bool broken = false;
  const auto response = call(request("GET", "/stream/x", "a"), [&](const std::string& bytes) {
    if (!evacuated && bytes.find("data: x") != std::string::npos) {
      evacuated = true;
      evacuate();
      upstream.send_to_last("f\r\nid: 2\ndata: y\n\n\r\n");
    }
    if (evacuated && !broken && bytes.find("data: y") != std::string::npos) {
      broken = true;
      upstream.send_to_last("bytes that are no chunk");
    }
    return broken && m_state.waiting("s") == 1;
  });
  EXPECT_THAT(response.bytes, HasSubstr("data: y"));
  EXPECT_FALSE(response.ended);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

}  // namespace
}  // namespace cuminpath::proxy
