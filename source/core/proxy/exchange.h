// One request of a caller, from its arrival to its final response, with one or more attempts at upstreams.
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
#include "core/proxy/placement.h"
#include "core/proxy/proxy_state.h"
#include "core/proxy/upstream_connection.h"

namespace cuminpath::proxy {

// State of one attempt to have an upstream serve the request.
struct upstream_attempt {
  std::string upstream_id;
  std::uint32_t upstream_hash = 0;
  std::shared_ptr<upstream_connection> connection;
  time_point started;
  bool sent = false;
  std::optional<message_head> head;
  byte_blocks body;  // Of a response that is not streamed.
  bool streamed = false;
  bool has_foreign_bytes = false;  // Those of another run or of another response follow.
  std::uint32_t events = 0;        // That the caller has received.
  gateway::event_splitter splitter;
  time_point last_progress;            // When it was sent, or when its last event with data arrived.
  bool held_back = false;              // Not sent: the upstream is cold or evacuated, which is no failure.
  bool silent = false;                 // Another attempt was begun because it made no progress.
  std::string held_bytes;              // Comments and empty lines before its first event.
  std::size_t bytes_without_data = 0;  // Since the last event with data.
  bool output_recorded = false;
  bool awaits_progress = false;     // Its silence is that of the upstream; see gateway::silent_upstreams.
  bool second = false;              // Begun by the second attempt policy.
  bool answered = false;            // Has sent an event with data or a whole response.
  bool no_answer_recorded = false;  // That it has waited too long for the next one.
};

// Authorizes and routes a request, dispatches it to upstreams, retries where that is allowed, and writes the
// response to the caller.
//
// A request that may run again has more than one attempt while its upstream is silent: the attempt goes on
// until another one has the next event or the whole response. The first that has it ends the others.
class exchange : public std::enable_shared_from_this<exchange> {
public:
  // Calls `finished` once, when the final response has been handed to the connection.
  // `request` has no body of its own; `body` is null if there is none.
  exchange(proxy_state& state, std::shared_ptr<caller_connection> caller, http::request request,
           std::shared_ptr<const byte_blocks> body, time_point arrived, std::function<void()> finished);
  ~exchange();
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  void start(time_point now);
  // Cancels the work at the upstream because the caller has disconnected.
  void on_caller_disconnected();
  // Ends the request at the end of the planned stop if its deadline is later.
  void on_stop_scheduled();
  // Logs the request as cut, because the process ends before its response is complete.
  void on_process_end();
  // Resumes reading from a paused upstream, now that everything has been written to the caller.
  void on_caller_drained();

private:
  // Checks of the request. Each responds to the caller and returns false if the request cannot be served.
  // resolve_route() also sets the request id and the deadline.
  bool resolve_route(time_point now);
  bool authorize();
  bool choose_service(time_point now);
  bool fits_planned_stop(time_point now);
  // Refuses the request because of the planned stop. It has not been sent to an upstream.
  void refuse_for_stop();

  [[nodiscard]] const gateway::upstream_table::upstream* choose_upstream(time_point now) const;
  // If no other upstream has a free place, those that have refused the request are asked again.
  [[nodiscard]] const gateway::upstream_table::upstream* choose_upstream_again(time_point now);
  [[nodiscard]] gateway::admission_request make_admission_request(time_point now) const;
  [[nodiscard]] placement_facts describe_placement(time_point now) const;
  // Returns false if the places that are free are owed to streams that wait for one.
  [[nodiscard]] bool leaves_places_to_waiting_streams(time_point now) const;

  // The queue of requests that wait for a place (exchange_admission.cpp).
  [[nodiscard]] gateway::queue_rank queue_rank() const;
  // Returns true if the places that are free now are for requests that go before this new one.
  [[nodiscard]] bool goes_behind_others(time_point now);
  // Has the request wait in the queue for a place. Returns false if it may not.
  [[nodiscard]] bool wait_for_place(time_point now);
  void arm_queue_timer(time_point at);
  void on_queue_wait_over(time_point now);
  // Returns true if the request has left the queue because it cannot be served any more.
  bool leave_queue_if_hopeless(bool upstream_left, time_point now);
  // Returns true if the request has got a place.
  bool take_place(time_point now);
  void leave_queue(std::string_view end);
  void on_place_freed(const upstream_attempt& attempt, time_point now);
  // Returns when the refused caller should return; absent if a place cannot be promised.
  [[nodiscard]] std::optional<milliseconds> promise_return(
      const gateway::upstream_table::service_totals& totals, const gateway::admission_request& admission,
      time_point now);
  static void schedule_queue_check(proxy_state& state, time_point at);
  static void serve_queue(proxy_state& state, time_point now);

  void begin_attempt(const gateway::upstream_table::upstream& target, time_point now);
  void on_connected(upstream_attempt& attempt, std::string_view failure);
  void send_request(upstream_attempt& attempt, time_point now);
  // Counts a request to the upstream. Returns false if the upstream is cold and may not be sent to now.
  [[nodiscard]] bool take_cold_allowance(const gateway::upstream_table::upstream& target, time_point now);
  [[nodiscard]] std::string serialize_request(const gateway::upstream_table::upstream& target,
                                              time_point now) const;
  // Returns the head of the request as the upstream gets it.
  [[nodiscard]] std::string serialize_head(const gateway::upstream_table::upstream& target,
                                           time_point now) const;
  [[nodiscard]] bool is_running(const upstream_attempt& attempt) const;
  // Returns a callback that passes its arguments on to `method` as long as the attempt is running.
  template <typename method_type>
  [[nodiscard]] auto while_running(const std::shared_ptr<upstream_attempt>& attempt, method_type method);

  void on_head(upstream_attempt& attempt, message_head&& head);
  // Records what a response says about the upstream itself: that it is leaving, or that it rejects requests
  // for a while.
  void record_cold_statement(const std::string& upstream_id, const http::header_list& headers,
                             time_point now);
  void record_upstream_state(const std::string& upstream_id, const message_head& head, time_point now);
  void on_body(upstream_attempt& attempt, std::string_view bytes);
  // Charges what attempts hold of responses to the caller. Returns false if there is no memory for it.
  bool charge_responses();
  void on_response_end(upstream_attempt& attempt);
  // Tells gateway::silent_upstreams whether the upstream is to make progress. Only streams of engines have
  // events at known intervals.
  void set_awaits_progress(upstream_attempt& attempt, bool awaits, time_point now);
  // Records the time between two events of a stream, which is the duration of a forward pass.
  void record_forward_pass(duration gap, time_point now);
  void forward_event(upstream_attempt& attempt, const gateway::event_splitter::event& event);
  // Forwards bytes of a stream that clients ignore.
  void forward_comment(upstream_attempt& attempt, std::string_view bytes);
  // Sends the head of the response to the caller.
  void begin_stream(upstream_attempt& attempt, time_point now);
  // Returns true if another upstream may run the request, or the rest of the stream after its last event.
  [[nodiscard]] bool may_run_again() const;

  // Refuses the request and returns true if a part of its prompt crashes upstreams.
  [[nodiscard]] bool refuse_quarantined(time_point now);
  // Returns true if a part of the prompt was quarantined while the request was at an upstream.
  [[nodiscard]] bool is_quarantined(time_point now) const;
  // Records that the parts of the prompt have produced output at an upstream.
  void record_output(upstream_attempt& attempt, time_point now);
  // Called if the connection of an attempt breaks. Before the next step, checks whether the upstream has
  // ended if the request may be the cause.
  void on_broken_connection(upstream_attempt& attempt, std::string_view reason);
  void on_upstream_crash(const std::string& upstream_id, time_point crashed_at);

  // Ends an attempt and takes the step that the attempt policy decides on.
  void end_attempt(upstream_attempt& attempt, gateway::attempt_result end, std::string_view reason);
  // Ends all attempts but the one whose response the caller receives.
  void end_other_attempts(const upstream_attempt& kept);
  void release_attempt(upstream_attempt& attempt, bool keep_connection);
  void release_all_attempts();
  void arm_deadline_timer();
  [[nodiscard]] milliseconds stall_timeout() const;
  // Has on_stall() called once no attempt has made progress for the stall timeout, but not before a time.
  void arm_stall_timer(time_point not_before);
  void on_stall();
  // Called at the deadline, or earlier at the end of the planned stop.
  void on_deadline();

  // Shares among workspaces (exchange_shares.cpp). Null if they are off, and for requests that are not
  // subject to them: those without a workspace and the rest of streams that have begun.
  [[nodiscard]] gateway::workspace_shares* workspace_shares() const;
  [[nodiscard]] gateway::share_request make_share_request() const;
  void count_workspace_request(time_point now);
  // Counts the refusal if it returns false.
  [[nodiscard]] bool within_workspace_share(time_point now);
  void charge_workspace(time_point now);

  // Second attempts beside a slow one (exchange_second_attempt.cpp). Null if the operator allows none.
  [[nodiscard]] gateway::second_attempt_policy* second_attempts() const;
  [[nodiscard]] std::optional<std::uint64_t> token_count() const;
  void count_request(time_point now);
  void on_attempt_sent(time_point now);
  void on_attempt_answered(upstream_attempt& attempt, gateway::awaited what, time_point now);
  void on_attempt_released(upstream_attempt& attempt, time_point now);
  // Called for an attempt that ends because a later one has answered.
  void on_attempt_overtaken(upstream_attempt& attempt, const upstream_attempt& by, time_point now);
  [[nodiscard]] gateway::second_attempt_facts describe_wait(const upstream_attempt& attempt,
                                                            time_point now) const;
  // Returns true if a second attempt may begin between two events of the stream.
  [[nodiscard]] bool watches_event_gaps() const;
  void arm_second_attempt_timer(time_point at);
  void consider_second_attempt(time_point now);
  void begin_second_attempt(const gateway::second_attempt_facts& facts,
                            const gateway::upstream_table::upstream& target, time_point now);
  // Records that no second attempt was begun, and looks again when the response is late.
  void on_no_second_attempt(const gateway::second_attempt_facts& facts,
                            gateway::second_attempt_refusal reason, time_point now);
  void record_second_attempt_refusal(gateway::second_attempt_refusal reason);

  // Waits for an upstream that continues the stream. All attempts have ended.
  void await_upstream(milliseconds wait, time_point now);
  void try_again(time_point now);
  void stop_waiting();

  void deliver_buffered_response(upstream_attempt& attempt);
  void refuse(int status, std::string_view reason, time_point now);
  void fail(int status, std::string_view reason);
  // Returns the headers of an upstream's response that the caller gets.
  [[nodiscard]] http::header_list forwarded_headers(const message_head& head) const;
  void respond_with_problem(int status, std::string_view reason, std::string_view execution,
                            milliseconds retry_after);
  void finish(std::string_view outcome, int status, std::string_view reason);
  // Logs why the caller did not receive a whole response, and what happened to the gateway before.
  void log_cut_response(std::string_view outcome, std::string_view reason, time_point now);
  [[nodiscard]] std::string_view cut_cause(std::string_view outcome, std::string_view reason) const;

  // The deadline, or the end of the planned stop if that is earlier.
  [[nodiscard]] time_point end_of_time() const;
  [[nodiscard]] milliseconds time_left(time_point now) const;
  // Returns true if the response was written by an upstream: it carries the headers that every upstream sets,
  // and no intermediary has encoded its body.
  [[nodiscard]] bool is_upstream_response(const message_head& head) const;
  // Returns true if the response states that the upstream has not run this request. A response without the
  // id of the request may belong to another one; those with another id do not get here.
  [[nodiscard]] bool is_refusal(const message_head& head) const;
  // Returns true if the response is a success and states that the upstream has not run the request.
  [[nodiscard]] bool contradicts_itself(const message_head& head) const;
  // Returns true if the body is a stream of events: of the same type as the one that the caller receives, if
  // that has begun. A first response without a type is taken for one.
  [[nodiscard]] bool is_event_stream(const message_head& head) const;
  [[nodiscard]] bool is_engine_call() const;
  // Ids of the parts of the prompt that other requests may share.
  [[nodiscard]] std::vector<std::string_view> shared_prompt_parts() const;

  proxy_state& m_state;
  std::shared_ptr<caller_connection> m_caller;
  http::request m_request;
  std::shared_ptr<const byte_blocks> m_body;
  std::function<void()> m_on_finished;
  std::shared_ptr<const gateway::configuration> m_configuration;
  const gateway::route* m_route = nullptr;
  const gateway::workspace* m_workspace = nullptr;
  std::string m_request_id;
  std::string m_service;
  std::vector<routing::prompt_part> m_prompt_parts;  // That other requests may share.
  std::uint32_t m_priority = 0;
  bool m_is_retry = false;  // An earlier try of the caller has been refused.
  time_point m_arrived;
  time_point m_deadline;
  asio::steady_timer m_deadline_timer;
  asio::steady_timer m_stall_timer;
  asio::steady_timer m_wait_timer;
  asio::steady_timer m_second_attempt_timer;
  std::vector<std::shared_ptr<upstream_attempt>>
      m_attempts;                              // That are running, in the order of their start.
  std::vector<std::string> m_tried_upstreams;  // Ids.
  std::vector<std::string> m_full_upstreams;   // Ids of those that have refused the rest of the stream.
  std::uint32_t m_started_attempts = 0;
  std::uint32_t m_sent_attempts = 0;  // Without those that were refused after the response had begun.
  std::uint32_t m_refusals = 0;       // Of the rest of the stream, in a row.
  bool m_waiting = false;             // Counted in proxy_state::waiting_streams.
  std::optional<gateway::admission_queue::ticket> m_queue_ticket;  // While it waits for a place.
  time_point m_queued_at;
  time_point m_queue_until;
  bool m_may_have_run = false;
  std::optional<std::pair<message_head, byte_blocks>> m_failure_response;  // Last 5xx response.
  std::string m_last_event_id;  // Of the last event that was forwarded; empty if it had none.
  std::string m_stream_media_type;
  bool m_response_started = false;
  std::optional<time_point> m_first_byte_time;
  time_point m_last_progress;  // The latest of all attempts.
  bool m_second_attempt_begun = false;
  bool m_second_attempt_refusal_recorded = false;
  bool m_done = false;
};

}  // namespace cuminpath::proxy
