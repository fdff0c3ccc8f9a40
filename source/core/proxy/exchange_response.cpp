// What an exchange does with the bytes that an upstream sends.

#include <algorithm>

#include <fmt/format.h>

#include "core/proxy/exchange.h"
#include "core/proxy/exchange_detail.h"
#include "core/proxy/forwarded_headers.h"
#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

using gateway::attempt_result;
using gateway::call_kind;
using telemetry::log_level;

// Events of one read say nothing about the time of a pass, which is several milliseconds. Its record reads
// the whole list of upstreams.
constexpr milliseconds k_min_forward_pass{1};
constexpr std::size_t k_max_response_bytes = 16U << 20U;
// Events hold a few tokens each. More bytes than this without the end of an event are not an event stream.
constexpr std::size_t k_max_event_bytes = 1U << 20U;
// Limit on comments, empty lines and ids between two events with data: a peer that sends them without end
// makes no progress.
constexpr std::size_t k_max_bytes_without_data = 64U << 10U;
// Reading from the upstream is paused while more bytes than this wait to be written to the caller.
constexpr std::size_t k_max_unsent_bytes = 128U << 10U;
constexpr std::size_t k_max_unsent_under_pressure = 16U << 10U;
constexpr int k_bad_request = 400;
constexpr int k_request_timeout = 408;
constexpr int k_misdirected_request = 421;
constexpr int k_too_many_requests = 429;
constexpr int k_service_unavailable = 503;
constexpr std::string_view k_event_stream = "text/event-stream";

// Callers read these statuses as the promise that the request has not run and will not run.
bool promises_no_execution(int status) {
  return status == k_request_timeout || status == k_misdirected_request || status == k_too_many_requests ||
         status == k_service_unavailable;
}

// Returns the Content-Type without its parameters; empty if there is none.
std::string_view media_type(const message_head& head) {
  const std::string_view type = http::find_header(head.headers, "Content-Type").value_or("");
  const std::string_view name = type.substr(0, type.find(';'));
  return name.substr(0, name.find_last_not_of(" \t") + 1);
}

// Returns true if the bytes between two empty lines are the head of a response.
bool is_response_head(std::string_view bytes) {
  bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
  return bytes.starts_with("HTTP/1.");
}

bool starts_with_empty_line(std::string_view bytes) {
  return bytes.starts_with('\n') || bytes.starts_with("\r\n");
}

}  // namespace

bool exchange::is_upstream_response(const message_head& head) const {
  return http::find_header(head.headers, m_state.header_names.stamp) &&
         http::find_header(head.headers, m_state.header_names.request_id) &&
         !http::find_header(head.headers, "Content-Encoding");
}

bool exchange::is_event_stream(const message_head& head) const {
  const std::string_view type = media_type(head);
  return m_response_started ? http::equal_ignoring_case(type, m_stream_media_type)
                            : type.empty() || http::equal_ignoring_case(type, k_event_stream);
}

bool exchange::is_refusal(const message_head& head) const {
  return head.status >= k_bad_request && http::find_header(head.headers, m_state.header_names.request_id) &&
         (head.status == k_misdirected_request ||
          http::find_header(head.headers, m_state.header_names.not_executed));
}

bool exchange::contradicts_itself(const message_head& head) const {
  return head.status < k_bad_request && http::find_header(head.headers, m_state.header_names.not_executed);
}

void exchange::on_head(upstream_attempt& attempt, message_head&& head) {
  attempt.head = std::move(head);
  const message_head& received = *attempt.head;
  if (http::find_header(received.headers, m_state.header_names.request_id)) {
    record_upstream_state(attempt.upstream_id, received, clock::now());
  }
  attempt.streamed = m_route->kind == call_kind::stream && m_request.method != "HEAD" &&
                     received.status == 200 && is_upstream_response(received) && is_event_stream(received) &&
                     !contradicts_itself(received);
  if (!attempt.streamed) {
    m_state.buffered_responses.begin(&attempt, [self = weak_from_this(), &attempt] {
      if (const auto locked = self.lock()) {
        locked->end_attempt(attempt, attempt_result::broken, "answers are too large together");
      }
    });
  }
}

void exchange::record_cold_statement(const std::string& upstream_id, const http::header_list& headers,
                                     time_point now) {
  if (const auto cold = http::find_header(headers, m_state.header_names.cold_for_ms)) {
    m_state.upstreams.on_cold_statement(upstream_id, milliseconds(parse_integer(*cold).value_or(0)), now);
  }
}

void exchange::record_upstream_state(const std::string& id, const message_head& head, time_point now) {
  // A 421 response comes from another instance than the one that the request was sent to.
  if (head.status != k_misdirected_request &&
      http::find_header(head.headers, m_state.header_names.leaving) == "1" &&
      m_state.upstreams.on_leaving(id, now)) {
    m_state.upstream_connections.close_idle(id);
    telemetry::log(log_level::info, "upstreams", "says that it leaves",
                   {{"upstream", id}, {"request", m_request_id}});
  }
  if (head.status != k_misdirected_request) {
    record_cold_statement(id, head.headers, now);
  }
  if (head.status == k_service_unavailable) {
    const auto retry_after = http::find_header(head.headers, "Retry-After");
    const auto wait = retry_after ? http::parse_retry_after(*retry_after) : std::nullopt;
    if (wait && wait->count() > 0) {
      m_state.upstreams.on_requests_rejected(id, *wait, now);
      telemetry::log(log_level::info, "upstreams", "turns requests away",
                     {{"upstream", id}, {"request", m_request_id}, {"for_ms", wait->count()}});
    }
  }
}

void exchange::on_body(upstream_attempt& attempt, std::string_view bytes) {
  if (!attempt.streamed) {
    attempt.body.append(bytes);
    if (attempt.body.size() > k_max_response_bytes || !charge_responses()) {
      end_attempt(attempt, attempt_result::broken, "answer is too large");
      return;
    }
    m_state.buffered_responses.add(&attempt, bytes.size());
    m_state.buffered_responses.enforce_limit();
    return;
  }
  attempt.splitter.feed(bytes, [this, &attempt](const gateway::event_splitter::event& event) {
    forward_event(attempt, event);
  });
  if (!is_running(attempt)) {
    return;
  }
  if (attempt.has_foreign_bytes) {
    end_attempt(attempt, attempt_result::broken,
                "answer has bytes that are not the next event of the stream");
    return;
  }
  if (attempt.splitter.pending().size() > k_max_event_bytes) {
    end_attempt(attempt, attempt_result::broken, "event is too large");
    return;
  }
  if (!charge_responses()) {
    end_attempt(attempt, attempt_result::broken, "no memory for the answer");
    return;
  }
  const std::size_t empty_lines = attempt.splitter.inside_event() ? 0 : attempt.splitter.pending().size();
  if (attempt.bytes_without_data + empty_lines > k_max_bytes_without_data) {
    end_attempt(attempt, attempt_result::broken, "answer goes on without events");
    return;
  }
  if (m_caller->unsent_bytes() >
      (m_state.caller_memory.under_pressure() ? k_max_unsent_under_pressure : k_max_unsent_bytes)) {
    attempt.connection->pause_reading();
    set_awaits_progress(attempt, false, clock::now());
  }
}

bool exchange::charge_responses() {
  std::size_t bytes = m_failure_response ? m_failure_response->second.allocated_bytes() : 0;
  for (const auto& attempt : m_attempts) {
    bytes +=
        attempt->body.allocated_bytes() + attempt->held_bytes.capacity() + attempt->splitter.pending().size();
  }
  return m_caller->hold_response_bytes(bytes);
}

void exchange::forward_event(upstream_attempt& attempt, const gateway::event_splitter::event& event) {
  if (m_done || attempt.has_foreign_bytes) {
    return;
  }
  const bool continues = m_response_started && attempt.events == 0;
  const bool other_run = continues && (starts_with_empty_line(event.bytes) ||
                                       !gateway::is_next_event_id(m_last_event_id, event.id));
  if (other_run || (!attempt.head->self_delimited && is_response_head(event.bytes))) {
    attempt.has_foreign_bytes = true;
    return;
  }
  attempt.bytes_without_data = event.has_data ? 0 : attempt.bytes_without_data + event.bytes.size();
  if (!event.has_data && event.id.empty()) {
    forward_comment(attempt, event.bytes);
    return;
  }
  const time_point now = attempt.connection->last_read();
  if (event.has_data) {
    if (attempt.events > 0) {
      record_forward_pass(now - attempt.last_progress, now);
    }
    on_attempt_answered(
        attempt, attempt.events > 0 ? gateway::awaited::next_event : gateway::awaited::first_event, now);
    attempt.last_progress = m_last_progress = now;
    m_state.silent_upstreams.on_progress(attempt.upstream_hash, now);
  }
  end_other_attempts(attempt);
  if (!m_response_started) {
    begin_stream(attempt, now);
  }
  if (attempt.events == 0) {
    m_caller->write_chunk(std::exchange(attempt.held_bytes, {}));
  }
  ++attempt.events;
  m_refusals = 0;
  if (attempt.events == k_events_of_sound_request) {
    record_output(attempt, now);
  }
  m_caller->write_chunk(event.bytes);
  m_last_event_id = event.id;
}

void exchange::forward_comment(upstream_attempt& attempt, std::string_view bytes) {
  if (attempt.events > 0) {
    m_caller->write_chunk(bytes);
  } else {
    // Another upstream may still run the request if no event follows.
    attempt.held_bytes.append(bytes);
  }
}

void exchange::begin_stream(upstream_attempt& attempt, time_point now) {
  m_response_started = true;
  m_first_byte_time = now;
  m_stream_media_type = media_type(*attempt.head);
  m_caller->begin_stream(attempt.head->status, end_to_end_headers(attempt.head->headers));
}

void exchange::record_output(upstream_attempt& attempt, time_point now) {
  if (!std::exchange(attempt.output_recorded, true)) {
    m_state.prompt_quarantine.on_output(m_prompt_parts, now);
  }
}

void exchange::set_awaits_progress(upstream_attempt& attempt, bool awaits, time_point now) {
  if (attempt.awaits_progress == awaits || m_route->kind != call_kind::stream || !is_engine_call()) {
    return;
  }
  attempt.awaits_progress = awaits;
  if (awaits) {
    m_state.silent_upstreams.on_started(attempt.upstream_hash, m_service, now);
  } else {
    m_state.silent_upstreams.on_ended(attempt.upstream_hash);
  }
}

void exchange::record_forward_pass(duration gap, time_point now) {
  if (gap < k_min_forward_pass) {
    return;
  }
  const gateway::service* service = m_configuration->find_service(m_service);
  const auto totals = m_state.upstreams.totals(m_service, now);
  if (service != nullptr && service->engine && totals.upstreams > 0) {
    m_state.concurrency_limiters[m_service].observe(
        gap, static_cast<double>(totals.outstanding) / totals.upstreams, *service->engine, now);
  }
}

void exchange::on_response_end(upstream_attempt& attempt) {
  const message_head& head = *attempt.head;
  const bool refused = is_refusal(head);
  if (refused && head.status == k_misdirected_request) {
    m_state.upstreams.on_wrong_instance(attempt.upstream_id);
    --m_sent_attempts;
    end_attempt(attempt, attempt_result::wrong_instance, "another instance has the address");
    return;
  }
  if (refused) {
    m_state.service_state(m_service).on_refused(clock::now());
    end_attempt(attempt, attempt_result::not_executed, fmt::format("upstream answered {}", head.status));
    return;
  }
  if (contradicts_itself(head)) {
    end_attempt(attempt, attempt_result::broken, "answer says that the request has run and that it has not");
    return;
  }
  if (!is_upstream_response(head)) {
    end_attempt(attempt, attempt_result::broken,
                fmt::format("answer {} is not the upstream's own", head.status));
    return;
  }
  if (!m_route->repeatable() && promises_no_execution(head.status)) {
    end_attempt(attempt, attempt_result::broken,
                fmt::format("upstream answered {} and may have run it", head.status));
    return;
  }
  if (head.status >= 500) {
    m_failure_response.emplace(head, std::move(attempt.body));
    end_attempt(attempt, attempt_result::failed, fmt::format("upstream answered {}", head.status));
    return;
  }
  if (m_response_started && !attempt.streamed) {
    end_attempt(attempt, attempt_result::broken,
                fmt::format("upstream answered {} to the rest of a stream", head.status));
    return;
  }
  if (head.status == 200) {
    record_output(attempt, clock::now());
    m_state.silent_upstreams.on_progress(attempt.upstream_hash, clock::now());
  }
  m_state.upstreams.on_success(attempt.upstream_id, clock::now());
  m_state.service_state(m_service).on_served(clock::now());
  if (!attempt.streamed) {
    on_attempt_answered(attempt, gateway::awaited::response, clock::now());
    end_other_attempts(attempt);
    deliver_buffered_response(attempt);
    return;
  }
  if (attempt.splitter.inside_event()) {
    end_attempt(attempt, attempt_result::broken, "stream ended inside an event");
    return;
  }
  // A connection that is closed early looks the same.
  if (m_response_started && attempt.events == 0 && !head.self_delimited) {
    end_attempt(attempt, attempt_result::broken, "answer without a length has no event");
    return;
  }
  end_other_attempts(attempt);
  if (!m_response_started) {
    begin_stream(attempt, clock::now());
  }
  m_caller->write_chunk(std::exchange(attempt.held_bytes, {}));
  m_caller->write_chunk(attempt.splitter.pending());
  release_attempt(attempt, true);
  m_caller->end_stream();
  finish("served", 200, "");
}

http::header_list exchange::forwarded_headers(const message_head& head) const {
  http::header_list headers = end_to_end_headers(head.headers);
  if (m_request.method == "HEAD") {
    if (const auto length = http::find_header(head.headers, "Content-Length")) {
      headers.emplace_back("Content-Length", *length);
    }
  }
  return headers;
}

void exchange::deliver_buffered_response(upstream_attempt& attempt) {
  const message_head head = std::move(*attempt.head);
  byte_blocks body = std::move(attempt.body);
  release_attempt(attempt, true);
  m_first_byte_time = clock::now();
  const int status = head.status;
  m_caller->respond(status, forwarded_headers(head), std::move(body));
  finish(status < 400 ? "served" : "upstream_failure", status, "");
}

}  // namespace cuminpath::proxy
