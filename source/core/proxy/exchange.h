// One request of a caller from its arrival to its final answer, over one or more attempts at upstreams.
#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/gateway/attempt_policy.h"
#include "core/gateway/event_splitter.h"
#include "core/http/message.h"
#include "core/proxy/caller_connection.h"
#include "core/proxy/proxy_state.h"
#include "core/proxy/upstream_link.h"

namespace cuminpath::proxy {

// One try of a request at an upstream.
struct upstream_attempt {
  std::string upstream_id;
  std::shared_ptr<upstream_link> link;
  time_point started;
  bool sent = false;
  std::optional<message_head> head;
  std::string body;                // Of an answer that is not streamed.
  std::size_t buffered_bytes = 0;  // Of the body, as counted in proxy_state.
  bool streamed = false;
  std::uint32_t events = 0;
};

class exchange : public std::enable_shared_from_this<exchange> {
public:
  // `finished` is called once, when the final answer has been handed to the connection.
  exchange(proxy_state& state, std::shared_ptr<caller_connection> caller, http::request request,
           time_point arrived, std::function<void()> finished);
  ~exchange();
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  void start(time_point now);
  // The caller has left: cancels the work at the upstream.
  void on_caller_gone();
  // The caller has taken all bytes so far; a paused upstream goes on.
  void on_caller_drained();

private:
  // Checks of the request; each answers the caller and returns false if the request can't be served.
  bool identify(time_point now);
  bool authorize();
  bool choose_service(time_point now);

  [[nodiscard]] const gateway::upstream_table::upstream* next_upstream(time_point now) const;
  [[nodiscard]] gateway::admission_request admission(time_point now) const;
  void begin_attempt(const gateway::upstream_table::upstream& target, time_point now);
  void on_connected(std::string_view failure);
  void send_request(time_point now);
  [[nodiscard]] std::string request_text(const gateway::upstream_table::upstream& target,
                                         time_point now) const;

  void on_head(message_head&& head);
  // What any answer says of the upstream itself: that it leaves, or wants no requests for a while.
  void note_upstream_state(const message_head& head, time_point now);
  void on_body(std::string_view bytes);
  void on_answer_end();
  // An event came `gap` after the one before it.
  void observe_pass(duration gap, time_point now);
  void forward_event(const gateway::event_splitter::event& event);

  // Ends the attempt under way and does what the policy says.
  void end_attempt(gateway::attempt_end end, std::string_view reason);
  void release_attempt(bool keep_link);
  void arm_silence_timer();
  void on_silence();
  void on_deadline();

  void deliver_whole();
  void refuse(int status, std::string_view reason, time_point now);
  void fail(int status, std::string_view reason);
  void respond_problem(int status, std::string_view reason, std::string_view execution,
                       milliseconds retry_after);
  void finish(std::string_view outcome, int status, std::string_view reason);

  [[nodiscard]] milliseconds time_left(time_point now) const;
  // The answer carries what every answer of an upstream does, and its body is as the upstream wrote it.
  [[nodiscard]] bool is_upstreams_own(const message_head& head) const;
  [[nodiscard]] bool is_engine_call() const;

  proxy_state& m_state;
  std::shared_ptr<caller_connection> m_caller;
  http::request m_request;
  std::function<void()> m_finished;
  std::shared_ptr<const gateway::configuration> m_configuration;
  const gateway::route* m_route = nullptr;
  const gateway::workspace* m_workspace = nullptr;
  std::string m_request_id;
  std::string m_service;
  std::uint32_t m_rank = 0;
  bool m_returned = false;  // The caller has been refused before.
  time_point m_arrived;
  time_point m_deadline;
  asio::steady_timer m_deadline_timer;
  asio::steady_timer m_silence_timer;
  std::optional<upstream_attempt> m_attempt;
  std::vector<std::string> m_tried;  // Ids of upstreams.
  std::uint32_t m_sent = 0;
  bool m_may_have_run = false;
  std::optional<std::pair<message_head, std::string>> m_failure;  // An upstream's own failure answer.
  gateway::event_splitter m_splitter;
  std::string m_last_event_id;
  bool m_answer_begun = false;
  std::optional<time_point> m_first_byte;
  time_point m_last_event;
  bool m_done = false;
};

}  // namespace cuminpath::proxy
