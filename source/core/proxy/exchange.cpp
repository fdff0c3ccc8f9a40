#include "core/proxy/exchange.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "core/gateway/admission.h"
#include "core/gateway/prompt_parts.h"
#include "core/net/socket_options.h"
#include "core/proxy/forwarded_headers.h"
#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

using gateway::attempt_result;
using gateway::call_kind;
using gateway::next_step;
using telemetry::log_level;

// Connecting within a region takes a few milliseconds. TCP retransmits a lost SYN only after 1 s.
constexpr milliseconds k_connect_timeout{350};
// Time without progress after which the attempt is abandoned for another upstream, if one is free: a multiple
// of the latency target, within bounds that leave the caller time for a second attempt.
constexpr int k_stall_timeout_targets = 3;
constexpr milliseconds k_min_stall_timeout{500};
constexpr milliseconds k_max_stall_timeout{1300};
// Events of one read say nothing about the time of a pass, which is several milliseconds. Its record reads
// the whole list of upstreams.
constexpr milliseconds k_min_forward_pass{1};
// Time between two events of a stream after which it is resumed at another upstream, in multiples of the
// longest gap that is still on time.
constexpr int k_stall_timeout_gaps = 9;
constexpr std::size_t k_max_response_bytes = 16U << 20U;
// Of all responses together. The smallest hosts have 112 MB for a gateway.
constexpr std::size_t k_max_buffered_response_bytes = 32U << 20U;
// Events hold a few tokens each. More bytes than this without the end of an event are not an event stream.
constexpr std::size_t k_max_event_bytes = 1U << 20U;
// Limit on comments, empty lines and ids between two events with data: a peer that sends them without end
// makes no progress.
constexpr std::size_t k_max_bytes_without_data = 64U << 10U;
// Reading from the upstream is paused while more bytes than this wait to be written to the caller.
constexpr std::size_t k_max_unsent_bytes = 128U << 10U;
constexpr milliseconds k_default_service_time{500};
// Retry-After while there is no configuration: gateways read it within a second of their start.
constexpr milliseconds k_retry_after_without_service{1000};
// Weight of the newest sample in the moving average of the service time.
constexpr double k_service_time_weight = 0.1;
constexpr std::uint32_t k_max_urgency = 9;
constexpr int k_bad_request = 400;
constexpr int k_request_timeout = 408;
constexpr int k_misdirected_request = 421;
constexpr int k_too_many_requests = 429;
constexpr int k_service_unavailable = 503;
// A single event may have been sent before the upstream crashed on the request.
constexpr std::uint32_t k_events_of_sound_request = 2;
constexpr std::string_view k_event_stream = "text/event-stream";
constexpr std::string_view k_timed_out = "timeout of the route or the caller";
constexpr std::string_view k_stopping = "the gateway is being stopped";
// Another gateway can take a refused request at once; the spread keeps its callers from coming together.
constexpr milliseconds k_max_wait_for_other_gateway{50};
constexpr std::string_view k_quarantined = "a part of the prompt crashes upstreams";

// Callers read these statuses as the promise that the request has not run and will not run.
bool promises_no_execution(int status) {
  return status == k_request_timeout || status == k_misdirected_request || status == k_too_many_requests ||
         status == k_service_unavailable;
}

std::optional<std::int64_t> parse_integer(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() ? std::optional(value) : std::nullopt;
}

std::int64_t ms_between(time_point from, time_point to) {
  return std::chrono::duration_cast<milliseconds>(to - from).count();
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

std::string_view call_kind_name(call_kind kind) {
  switch (kind) {
    case call_kind::repeatable:
      return "repeatable";
    case call_kind::at_most_once:
      return "at_most_once";
    case call_kind::stream:
      return "stream";
  }
  return "";
}

std::string_view attempt_result_name(attempt_result end) {
  switch (end) {
    case attempt_result::not_sent:
      return "not_sent";
    case attempt_result::wrong_instance:
      return "wrong_instance";
    case attempt_result::not_executed:
      return "not_executed";
    case attempt_result::broken:
      return "broken";
    case attempt_result::crashed:
      return "crashed";
    case attempt_result::failed:
      return "failed";
    case attempt_result::stalled:
      return "silent";
  }
  return "";
}

}  // namespace

exchange::exchange(proxy_state& state, std::shared_ptr<caller_connection> caller, http::request request,
                   time_point arrived, std::function<void()> finished)
    : m_state(state),
      m_caller(std::move(caller)),
      m_request(std::move(request)),
      m_on_finished(std::move(finished)),
      m_arrived(arrived),
      m_deadline_timer(state.context),
      m_stall_timer(state.context) {}

exchange::~exchange() = default;

time_point exchange::end_of_time() const {
  return m_state.stop ? std::min(m_deadline, m_state.stop->respond_by()) : m_deadline;
}

milliseconds exchange::time_left(time_point now) const {
  return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(end_of_time() - now));
}

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

std::vector<std::string_view> exchange::shared_prompt_parts() const {
  return gateway::shared_prompt_parts(m_request.header(m_state.header_names.prompt_parts).value_or(""));
}

bool exchange::is_refusal(const message_head& head) const {
  return head.status >= k_bad_request && http::find_header(head.headers, m_state.header_names.request_id) &&
         (head.status == k_misdirected_request ||
          http::find_header(head.headers, m_state.header_names.not_executed));
}

bool exchange::contradicts_itself(const message_head& head) const {
  return head.status < k_bad_request && http::find_header(head.headers, m_state.header_names.not_executed);
}

bool exchange::is_engine_call() const {
  const gateway::service* service = m_configuration->find_service(m_service);
  return service != nullptr && service->engine.has_value();
}

void exchange::start(time_point now) {
  m_configuration = m_state.configuration;
  m_deadline = now;
  if (!m_configuration) {
    refuse(503, "no configuration yet", now);
    return;
  }
  if (!resolve_route(now) || !authorize() || !choose_service(now) || !fits_planned_stop(now)) {
    return;
  }
  arm_deadline_timer();
  if (refuse_quarantined(now)) {
    return;
  }
  m_state.budget(m_service).on_first_attempt();
  if (!gateway::keeps_passes_on_time(m_state.upstreams.totals(m_service, now), make_admission_request(now))) {
    refuse(503, "passes would get too long", now);
    return;
  }
  const auto* target = choose_upstream(now);
  if (target == nullptr) {
    refuse(503, "no upstream has a free place", now);
    return;
  }
  begin_attempt(*target, now);
}

bool exchange::resolve_route(time_point now) {
  const auto id = m_request.header(m_state.header_names.request_id);
  m_request_id = std::string(id.value_or(""));
  const auto host = m_request.header("Host");
  m_route = m_configuration->find_route(host.value_or(""), m_request.path());
  if (m_route == nullptr) {
    respond_with_problem(404, "no route", "not_run", milliseconds{0});
    finish("no_route", 404, "no route matches host and path");
    return false;
  }
  if (m_request_id.empty()) {
    respond_with_problem(400, "no request id", "not_run", milliseconds{0});
    finish("no_request_id", 400, "the request has no id");
    return false;
  }
  milliseconds timeout = m_route->timeout;
  if (const auto header = m_request.header(m_state.header_names.time_left_ms)) {
    const milliseconds caller_timeout(
        std::max<std::int64_t>(0, parse_integer(*header).value_or(timeout.count())));
    m_is_retry = m_state.caller_retries[m_route->name].observe(caller_timeout);
    timeout = std::min(timeout, caller_timeout);
  }
  m_deadline = m_arrived + timeout;
  if (m_deadline <= now) {
    refuse(503, "deadline has passed", now);
    return false;
  }
  return true;
}

bool exchange::authorize() {
  m_priority = m_route->priority;
  if (m_route->is_public || !m_configuration->keys_required) {
    return true;
  }
  m_workspace = m_configuration->find_workspace(m_request.header(m_state.header_names.api_key).value_or(""));
  if (m_workspace == nullptr) {
    respond_with_problem(401, "unknown key", "not_run", milliseconds{0});
    finish("unknown_key", 401, "no workspace has this key");
    return false;
  }
  m_priority = m_workspace->priority.value_or(m_priority);
  return true;
}

bool exchange::choose_service(time_point now) {
  double total = 0;
  for (const auto& share : m_route->shares) {
    total += share.weight;
  }
  double point = std::uniform_real_distribution<double>(0, std::max(total, 1e-9))(m_state.random);
  for (const auto& share : m_route->shares) {
    m_service = share.service;
    point -= share.weight;
    if (point < 0) {
      break;
    }
  }
  if (m_service.empty()) {
    refuse(503, "route has no service", now);
    return false;
  }
  return true;
}

bool exchange::fits_planned_stop(time_point now) {
  if (!m_state.stop) {
    return true;
  }
  const auto service_time = m_state.service_times.find(m_route->name);
  const auto longest =
      service_time == m_state.service_times.end() ? std::nullopt : service_time->second.value(now);
  const gateway::late_request request{.deadline = m_deadline,
                                      .longest_service_time = longest,
                                      .streamed = m_route->kind == call_kind::stream};
  if (m_state.stop->accepts(request, m_state.other_gateway_ready, now)) {
    return true;
  }
  refuse_for_stop();
  return false;
}

void exchange::refuse_for_stop() {
  m_state.metrics.add("cuminpath_requests_refused_by_stop_total");
  const auto random_wait = [this](milliseconds longest) {
    return milliseconds(random_index(m_state.random, static_cast<std::size_t>(longest.count())));
  };
  const milliseconds wait = m_state.other_gateway_ready
                                ? random_wait(k_max_wait_for_other_gateway) + milliseconds{1}
                                : random_wait(k_retry_after_without_service) + k_retry_after_without_service;
  respond_with_problem(503, k_stopping, "not_run", wait);
  finish("refused", 503, k_stopping);
}

bool exchange::refuse_quarantined(time_point now) {
  if (!is_engine_call()) {
    return false;
  }
  const auto model = m_request.header(m_state.header_names.model).value_or("");
  const auto ids = shared_prompt_parts();
  for (const auto id : ids) {
    m_prompt_parts.push_back(routing::hash_prompt_part(model, id));
  }
  const auto verdict = m_state.prompt_quarantine.admit(m_prompt_parts, now);
  if (!verdict) {
    return false;
  }
  const auto part = std::find(m_prompt_parts.begin(), m_prompt_parts.end(), verdict->part);
  telemetry::log(log_level::info, "quarantine", "request refused",
                 {{"request", m_request_id},
                  {"prompt_part", ids[static_cast<std::size_t>(part - m_prompt_parts.begin())]},
                  {"part", fmt::format("{:016x}", verdict->part)},
                  {"crashes", fmt::format("{:08x}", fmt::join(verdict->crashes, ","))},
                  {"retry_after_ms", verdict->remaining.count()}});
  m_state.metrics.add("cuminpath_quarantined_requests_total");
  respond_with_problem(503, k_quarantined, "not_run", verdict->remaining);
  finish("refused", 503, k_quarantined);
  return true;
}

const gateway::upstream_table::upstream* exchange::choose_upstream(time_point now) const {
  const double max_utilization = gateway::max_utilization(make_admission_request(now));
  return m_state.upstreams.choose(m_service,
                                  {.availability_zone = m_state.availability_zone,
                                   .excluded = m_tried_upstreams,
                                   .max_utilization = max_utilization},
                                  now, m_state.random);
}

void exchange::begin_attempt(const gateway::upstream_table::upstream& target, time_point now) {
  m_attempt.emplace();
  m_attempt->upstream_id = target.record.id;
  m_attempt->started = now;
  m_tried_upstreams.push_back(target.record.id);
  const std::uint32_t load = target.local_requests + target.member_requests;
  m_state.upstreams.on_started(target.record.id, now);
  telemetry::log(log_level::info, "request", "placed",
                 {{"request", m_request_id},
                  {"route", m_route->name},
                  {"kind", call_kind_name(m_route->kind)},
                  {"rank", static_cast<std::int64_t>(m_priority)},
                  {"upstream", target.record.id},
                  {"load", static_cast<std::int64_t>(load)},
                  {"attempt", static_cast<std::int64_t>(m_tried_upstreams.size())},
                  {"resume_after", std::string_view(m_last_event_id)},
                  {"prompt_parts", fmt::format("{}", fmt::join(shared_prompt_parts(), ","))},
                  {"time_left_ms", time_left(now).count()},
                  {"configuration", static_cast<std::int64_t>(m_configuration->version)}});
  // If a reused connection breaks, it is unknown whether the upstream has run the request. Only requests that
  // may be repeated can take that risk.
  if (m_route->repeatable()) {
    m_attempt->connection = m_state.upstream_connections.acquire(target.record.id, now);
  }
  if (m_attempt->connection) {
    send_request(now);
    return;
  }
  const auto peer = net::parse_endpoint(target.record.address);
  if (!peer) {
    end_attempt(attempt_result::not_sent, "upstream has no valid address");
    return;
  }
  m_state.metrics.add("cuminpath_upstream_connections_total");
  m_attempt->connection = std::make_shared<upstream_connection>(m_state.context, target.record.id);
  m_attempt->connection->connect(
      *peer, std::min(k_connect_timeout, time_left(now) + milliseconds{1}),
      [self = shared_from_this(), connection = m_attempt->connection.get()](std::string_view failure) {
        if (self->m_attempt && self->m_attempt->connection.get() == connection) {
          self->on_connected(failure);
        }
      });
}

void exchange::on_connected(std::string_view failure) {
  const time_point now = clock::now();
  if (!failure.empty()) {
    end_attempt(attempt_result::not_sent, failure);
    return;
  }
  send_request(now);
}

std::string exchange::serialize_request(const gateway::upstream_table::upstream& target,
                                        time_point now) const {
  const gateway::header_names& names = m_state.header_names;
  std::string text = fmt::format("{} {} HTTP/1.1\r\n", m_request.method, m_request.target);
  const auto set_by_gateway = [&](std::string_view name) {
    const auto matches = [name](std::string_view other) { return http::equal_ignoring_case(name, other); };
    return matches(names.api_key) || matches(names.workspace) || matches(names.target_instance) ||
           matches(names.urgency) || matches(names.time_left_ms) ||
           (!m_last_event_id.empty() && matches(names.resume_after));
  };
  for (const auto& [name, value] : end_to_end_headers(m_request.headers)) {
    if (!set_by_gateway(name)) {
      text += fmt::format("{}: {}\r\n", name, value);
    }
  }
  text +=
      fmt::format("{}: {}\r\n{}: {}\r\n", names.time_left_ms,
                  std::max<std::int64_t>(1, time_left(now).count()), names.target_instance, target.record.id);
  if (m_workspace != nullptr) {
    text += fmt::format("{}: {}\r\n", names.workspace, m_workspace->name);
  }
  if (is_engine_call()) {
    text += fmt::format("{}: {}\r\n", names.urgency, std::min(m_priority, k_max_urgency));
  }
  if (!m_last_event_id.empty()) {
    text += fmt::format("{}: {}\r\n", names.resume_after, m_last_event_id);
  }
  const bool has_body_header = m_request.header("Content-Length") || m_request.header("Transfer-Encoding");
  if (!m_request.body.empty() || has_body_header) {
    text += fmt::format("Content-Length: {}\r\n", m_request.body.size());
  }
  text += "\r\n";
  text += m_request.body;
  return text;
}

void exchange::send_request(time_point now) {
  const auto* target = m_state.upstreams.find(m_attempt->upstream_id);
  if (target == nullptr || target->leaving()) {
    end_attempt(attempt_result::not_sent, "upstream left while the connection was being made");
    return;
  }
  if (target->rejects_requests(now)) {
    end_attempt(attempt_result::not_sent,
                "upstream asked for no requests while the connection was being made");
    return;
  }
  m_attempt->sent = true;
  ++m_sent_attempts;
  m_splitter.reset();
  const auto self = shared_from_this();
  const auto* connection = m_attempt->connection.get();
  const auto is_current = [self, connection] {
    return self->m_attempt && self->m_attempt->connection.get() == connection;
  };
  response_handlers events;
  events.head = [self, is_current](message_head&& head) {
    if (is_current()) {
      self->on_head(std::move(head));
    }
  };
  events.body = [self, is_current](std::string_view bytes) {
    if (is_current()) {
      self->on_body(bytes);
    }
  };
  events.end = [self, is_current] {
    if (is_current()) {
      self->on_response_end();
    }
  };
  events.failed = [self, is_current](std::string_view reason) {
    if (is_current()) {
      self->on_broken_connection(std::string(reason));
    }
  };
  m_attempt->connection->send(serialize_request(*target, now), m_state.header_names.request_id, m_request_id,
                              m_request.method == "HEAD", std::move(events));
  m_last_event_time = now;
  arm_stall_timer();
}

void exchange::on_head(message_head&& head) {
  m_attempt->head = std::move(head);
  const message_head& received = *m_attempt->head;
  if (http::find_header(received.headers, m_state.header_names.request_id)) {
    record_upstream_state(received, clock::now());
  }
  m_attempt->streamed = m_route->kind == call_kind::stream && m_request.method != "HEAD" &&
                        received.status == 200 && is_upstream_response(received) &&
                        is_event_stream(received) && !contradicts_itself(received);
}

void exchange::record_upstream_state(const message_head& head, time_point now) {
  const std::string& id = m_attempt->upstream_id;
  // A 421 response comes from another instance than the one that the request was sent to.
  if (head.status != k_misdirected_request &&
      http::find_header(head.headers, m_state.header_names.leaving) == "1" &&
      m_state.upstreams.on_leaving(id, now)) {
    m_state.upstream_connections.close_idle(id);
    telemetry::log(log_level::info, "upstreams", "says that it leaves",
                   {{"upstream", id}, {"request", m_request_id}});
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

void exchange::on_body(std::string_view bytes) {
  if (!m_attempt->streamed) {
    m_attempt->body.append(bytes);
    m_attempt->buffered_bytes += bytes.size();
    m_state.buffered_response_bytes += bytes.size();
    if (m_attempt->body.size() > k_max_response_bytes ||
        m_state.buffered_response_bytes > k_max_buffered_response_bytes) {
      end_attempt(attempt_result::broken, "answer is too large");
    }
    return;
  }
  m_splitter.feed(bytes, [this](const gateway::event_splitter::event& event) { forward_event(event); });
  if (m_attempt && m_attempt->has_foreign_bytes) {
    end_attempt(attempt_result::broken, "answer has bytes that are not the next event of the stream");
    return;
  }
  if (m_attempt && m_splitter.pending().size() > k_max_event_bytes) {
    end_attempt(attempt_result::broken, "event is too large");
    return;
  }
  const std::size_t empty_lines = m_splitter.inside_event() ? 0 : m_splitter.pending().size();
  if (m_attempt && m_attempt->bytes_without_data + empty_lines > k_max_bytes_without_data) {
    end_attempt(attempt_result::broken, "answer goes on without events");
    return;
  }
  if (m_attempt && m_caller->unsent_bytes() > k_max_unsent_bytes) {
    m_attempt->connection->pause_reading();
  }
}

void exchange::forward_event(const gateway::event_splitter::event& event) {
  if (m_done || m_attempt->has_foreign_bytes) {
    return;
  }
  const bool continues = m_response_started && m_attempt->events == 0;
  const bool other_run = continues && (starts_with_empty_line(event.bytes) ||
                                       !gateway::is_next_event_id(m_last_event_id, event.id));
  if (other_run || (!m_attempt->head->self_delimited && is_response_head(event.bytes))) {
    m_attempt->has_foreign_bytes = true;
    return;
  }
  m_attempt->bytes_without_data = event.has_data ? 0 : m_attempt->bytes_without_data + event.bytes.size();
  if (!event.has_data && event.id.empty()) {
    forward_comment(event.bytes);
    return;
  }
  const time_point now = m_attempt->connection->last_read();
  if (event.has_data) {
    if (m_attempt->events > 0) {
      record_forward_pass(now - m_last_event_time, now);
    }
    m_last_event_time = now;
  }
  if (!m_response_started) {
    begin_stream(now);
  }
  ++m_attempt->events;
  if (m_attempt->events == k_events_of_sound_request) {
    record_output(now);
  }
  m_caller->write_chunk(event.bytes);
  m_last_event_id = event.id;
}

void exchange::forward_comment(std::string_view bytes) {
  if (m_response_started) {
    m_caller->write_chunk(bytes);
  } else {
    // Another upstream may still run the request if no event follows.
    m_attempt->held_bytes.append(bytes);
  }
}

void exchange::begin_stream(time_point now) {
  m_response_started = true;
  m_first_byte_time = now;
  m_stream_media_type = media_type(*m_attempt->head);
  m_caller->begin_stream(m_attempt->head->status, end_to_end_headers(m_attempt->head->headers));
  m_caller->write_chunk(std::exchange(m_attempt->held_bytes, {}));
}

bool exchange::may_run_again() const {
  return m_route->repeatable() && (!m_response_started || gateway::parse_event_id(m_last_event_id));
}

void exchange::record_output(time_point now) {
  if (!std::exchange(m_attempt->output_recorded, true)) {
    m_state.prompt_quarantine.on_output(m_prompt_parts, now);
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

gateway::admission_request exchange::make_admission_request(time_point now) const {
  gateway::admission_request request{.priority = m_priority,
                                     .engine = is_engine_call(),
                                     .time_left = time_left(now),
                                     .is_retry = m_is_retry};
  const auto limiter = m_state.concurrency_limiters.find(m_service);
  // The rest of a partly served stream is not subject to the forward-pass limit and goes before new requests.
  const bool resumes = m_response_started || m_request.header(m_state.header_names.resume_after).has_value();
  if (request.engine && !resumes && limiter != m_state.concurrency_limiters.end()) {
    const auto totals = m_state.upstreams.totals(m_service, now);
    const auto capacity = limiter->second.max_requests(
        m_route->max_event_gap, *m_configuration->find_service(m_service)->engine, now);
    if (capacity && totals.slots > 0) {
      request.slot_share = static_cast<double>(totals.upstreams) / totals.slots;
      request.max_pass_utilization = *capacity * request.slot_share;
    }
  }
  return request;
}

void exchange::on_response_end() {
  message_head& head = *m_attempt->head;
  const bool refused = is_refusal(head);
  if (refused && head.status == k_misdirected_request) {
    m_state.upstreams.on_wrong_instance(m_attempt->upstream_id);
    --m_sent_attempts;
    end_attempt(attempt_result::wrong_instance, "another instance has the address");
    return;
  }
  if (refused) {
    m_state.service_state(m_service).on_refused(clock::now());
    end_attempt(attempt_result::not_executed, fmt::format("upstream answered {}", head.status));
    return;
  }
  if (contradicts_itself(head)) {
    end_attempt(attempt_result::broken, "answer says that the request has run and that it has not");
    return;
  }
  if (!is_upstream_response(head)) {
    end_attempt(attempt_result::broken, fmt::format("answer {} is not the upstream's own", head.status));
    return;
  }
  if (!m_route->repeatable() && promises_no_execution(head.status)) {
    end_attempt(attempt_result::broken, fmt::format("upstream answered {} and may have run it", head.status));
    return;
  }
  if (head.status >= 500) {
    m_failure_response.emplace(head, m_attempt->body);
    end_attempt(attempt_result::failed, fmt::format("upstream answered {}", head.status));
    return;
  }
  if (m_response_started && !m_attempt->streamed) {
    end_attempt(attempt_result::broken,
                fmt::format("upstream answered {} to the rest of a stream", head.status));
    return;
  }
  if (head.status == 200) {
    record_output(clock::now());
  }
  m_state.upstreams.on_success(m_attempt->upstream_id, clock::now());
  m_state.service_state(m_service).on_served(clock::now());
  if (!m_attempt->streamed) {
    deliver_buffered_response();
    return;
  }
  if (m_splitter.inside_event()) {
    end_attempt(attempt_result::broken, "stream ended inside an event");
    return;
  }
  // A connection that is closed early looks the same.
  if (m_response_started && m_attempt->events == 0 && !head.self_delimited) {
    end_attempt(attempt_result::broken, "answer without a length has no event");
    return;
  }
  if (!m_response_started) {
    begin_stream(clock::now());
  }
  m_caller->write_chunk(m_splitter.pending());
  release_attempt(true);
  m_caller->end_stream();
  finish("served", 200, "");
}

void exchange::deliver_buffered_response() {
  const message_head head = std::move(*m_attempt->head);
  std::string body = std::move(m_attempt->body);
  release_attempt(true);
  m_first_byte_time = clock::now();
  http::response response{
      .status = head.status, .headers = end_to_end_headers(head.headers), .body = std::move(body)};
  if (m_request.method == "HEAD") {
    if (const auto length = http::find_header(head.headers, "Content-Length")) {
      response.headers.emplace_back("Content-Length", *length);
    }
  }
  const int status = response.status;
  m_caller->respond(response);
  finish(status < 400 ? "served" : "upstream_failure", status, "");
}

void exchange::release_attempt(bool keep_connection) {
  m_stall_timer.cancel();
  const time_point now = clock::now();
  m_state.upstreams.on_ended(m_attempt->upstream_id);
  m_state.buffered_response_bytes -= m_attempt->buffered_bytes;
  if (m_attempt->connection) {
    if (keep_connection) {
      m_state.upstream_connections.release(m_attempt->connection, now);
      auto& mean = m_state.mean_service_times.try_emplace(m_service, k_default_service_time).first->second;
      const double sample = static_cast<double>(ms_between(m_attempt->started, now));
      mean = milliseconds(static_cast<std::int64_t>(
          (1 - k_service_time_weight) * static_cast<double>(mean.count()) + k_service_time_weight * sample));
    } else {
      m_attempt->connection->close();
    }
  }
  m_attempt.reset();
}

void exchange::on_broken_connection(const std::string& reason) {
  const auto* target = m_state.upstreams.find(m_attempt->upstream_id);
  const auto peer = target == nullptr ? std::nullopt : net::parse_endpoint(target->record.address);
  const bool may_be_cause = !m_prompt_parts.empty() && m_attempt->events < k_events_of_sound_request;
  if (!may_be_cause || !peer || !m_state.upstream_checks) {
    end_attempt(attempt_result::broken, reason);
    return;
  }
  m_stall_timer.cancel();
  m_state.upstream_checks->start(
      m_attempt->upstream_id, *peer,
      [self = shared_from_this(), reason, connection = m_attempt->connection.get(),
       broken_at = clock::now()](upstream_state state) {
        if (!self->m_attempt || self->m_attempt->connection.get() != connection) {
          return;  // The deadline has passed or the caller has disconnected.
        }
        if (state != upstream_state::ended) {
          self->end_attempt(attempt_result::broken, reason);
          return;
        }
        const bool unknown =
            self->m_state.prompt_quarantine.may_crash_upstreams(self->m_prompt_parts, clock::now());
        self->on_upstream_crash(broken_at);
        self->end_attempt(unknown ? attempt_result::crashed : attempt_result::broken, reason);
      });
}

void exchange::on_upstream_crash(time_point crashed_at) {
  const auto* ended = m_state.upstreams.find(m_attempt->upstream_id);
  const auto crash =
      routing::hash_crash(m_attempt->upstream_id, ended == nullptr ? 0 : ended->record.started_ms);
  telemetry::log(log_level::warning, "quarantine", "upstream ended before it sent output",
                 {{"upstream", m_attempt->upstream_id},
                  {"crash", fmt::format("{:08x}", crash)},
                  {"request", m_request_id},
                  {"prompt_parts", fmt::format("{}", fmt::join(shared_prompt_parts(), ","))},
                  {"parts", fmt::format("{:016x}", fmt::join(m_prompt_parts, ","))}});
  m_state.metrics.add("cuminpath_requests_at_crashes_total");
  m_state.prompt_quarantine.on_crash(crash, m_prompt_parts, crashed_at);
}

void exchange::end_attempt(attempt_result end, std::string_view reason_view) {
  const std::string reason(reason_view);
  const time_point now = clock::now();
  const std::string upstream_id = m_attempt->upstream_id;
  const bool sent = m_attempt->sent;
  const std::uint32_t events = m_attempt->events;
  const bool refused = end == attempt_result::not_executed || end == attempt_result::wrong_instance;
  const bool connection_reusable = refused || end == attempt_result::failed;
  const auto* failed = m_state.upstreams.find(upstream_id);
  if (failed != nullptr && !failed->rejects_requests(now)) {
    m_state.upstreams.on_failure(upstream_id, now);
  }
  release_attempt(connection_reusable);
  m_may_have_run = m_may_have_run || (sent && end != attempt_result::not_sent && !refused);
  m_given_up_for_silence = m_given_up_for_silence || end == attempt_result::stalled;
  const auto* target = choose_upstream(now);
  gateway::attempt_facts facts{.repeatable = may_run_again(),
                               .caller_has_bytes = m_response_started,
                               .may_have_run = m_may_have_run,
                               .upstreams_sent_to = m_sent_attempts,
                               .max_attempts = m_route->max_attempts,
                               .retry_budget_available = m_state.budget(m_service).available(),
                               .other_upstream_available = target != nullptr,
                               .time_left = time_left(now)};
  // The part may have been quarantined while the request was at an upstream.
  const bool keep_from_upstreams =
      !m_response_started && m_state.prompt_quarantine.admit(m_prompt_parts, now).has_value();
  const next_step step = gateway::after_attempt(keep_from_upstreams ? attempt_result::crashed : end, facts);
  telemetry::log(log_level::info, "request", "attempt ended",
                 {{"request", m_request_id},
                  {"upstream", upstream_id},
                  {"end", attempt_result_name(end)},
                  {"reason", std::string_view(reason)},
                  {"events", static_cast<std::int64_t>(events)},
                  {"silent_ms", sent ? ms_between(m_last_event_time, now) : std::int64_t{-1}},
                  {"time_left_ms", facts.time_left.count()},
                  {"prompt_parts", fmt::format("{}", fmt::join(shared_prompt_parts(), ","))},
                  {"may_have_run", m_may_have_run},
                  {"sent", static_cast<std::int64_t>(m_sent_attempts)},
                  {"budget_left", facts.retry_budget_available},
                  {"upstream_left", facts.other_upstream_available},
                  {"retry", step == next_step::try_another}});
  m_state.metrics.add("cuminpath_attempts_failed_total", {{"end", std::string(attempt_result_name(end))}});
  switch (step) {
    case next_step::try_another:
      if (end != attempt_result::not_sent) {
        m_state.budget(m_service).try_take();
      }
      begin_attempt(*target, now);
      return;
    case next_step::forward_failure:
      break;
    case next_step::refuse:
      refuse(503, reason, now);
      return;
    case next_step::fail:
      if (!m_failure_response) {
        fail(502, reason);
        return;
      }
      break;
    case next_step::abort_response:
      m_caller->abort();
      finish("broken_off", 0, reason);
      return;
  }
  m_caller->respond({.status = m_failure_response->first.status,
                     .headers = end_to_end_headers(m_failure_response->first.headers),
                     .body = m_failure_response->second});
  finish("upstream_failure", m_failure_response->first.status, reason);
}

void exchange::arm_deadline_timer() {
  m_deadline_timer.expires_at(end_of_time());
  m_deadline_timer.async_wait([self = shared_from_this()](std::error_code cancelled) {
    if (!cancelled) {
      self->on_deadline();
    }
  });
}

void exchange::on_stop_scheduled() {
  if (!m_done && m_route != nullptr) {
    arm_deadline_timer();
  }
}

void exchange::arm_stall_timer() {
  if (!m_route->repeatable() || m_sent_attempts >= m_route->max_attempts) {
    return;
  }
  milliseconds stall_timeout =
      std::clamp(k_stall_timeout_targets * m_route->target_latency, k_min_stall_timeout, k_max_stall_timeout);
  if (m_attempt->events > 0 && m_route->max_event_gap.count() > 0) {
    stall_timeout = std::min(stall_timeout, k_stall_timeout_gaps * m_route->max_event_gap);
  }
  m_stall_timer.expires_at(m_last_event_time + stall_timeout);
  m_stall_timer.async_wait([self = shared_from_this()](std::error_code cancelled) {
    if (!cancelled && self->m_attempt) {
      self->on_stall();
    }
  });
}

void exchange::on_stall() {
  const time_point now = clock::now();
  // Events that arrived after the timer was set extend the timeout.
  if (m_stall_timer.expiry() < m_last_event_time + k_min_stall_timeout && m_attempt->events > 0) {
    arm_stall_timer();
    return;
  }
  if (may_run_again() && choose_upstream(now) != nullptr && m_state.budget(m_service).available()) {
    end_attempt(attempt_result::stalled, "no answer in time");
  }
}

void exchange::on_deadline() {
  if (m_done) {
    return;
  }
  if (m_attempt) {
    m_may_have_run = m_may_have_run || m_attempt->sent;
    release_attempt(false);
  }
  const time_point now = clock::now();
  const bool stopping = now < m_deadline;
  const std::string_view reason = stopping ? k_stopping : k_timed_out;
  if (m_response_started) {
    m_caller->abort();
    finish(stopping ? "cut" : "broken_off", 0, reason);
  } else if (m_may_have_run) {
    fail(504, reason);
  } else if (stopping) {
    refuse_for_stop();
  } else {
    refuse(503, "timeout before an upstream got the request", now);
  }
}

void exchange::on_caller_disconnected() {
  if (m_done) {
    return;
  }
  if (m_attempt) {
    release_attempt(false);
  }
  finish("caller_gone", 0, "the caller closed the connection");
}

void exchange::on_process_end() {
  finish(
      "cut", 0,
      m_response_started ? "the process ends during the response" : "the process ends before the response");
}

void exchange::on_caller_drained() {
  if (m_attempt && m_attempt->connection) {
    m_attempt->connection->resume_reading();
  }
}

void exchange::refuse(int status, std::string_view reason, time_point now) {
  milliseconds wait = k_retry_after_without_service;
  if (!m_service.empty()) {
    const auto totals = m_state.upstreams.totals(m_service, now);
    const auto mean_time = m_state.mean_service_times.find(m_service);
    const milliseconds mean =
        mean_time == m_state.mean_service_times.end() ? k_default_service_time : mean_time->second;
    const bool unavailable = m_state.service_state(m_service).unavailable(now);
    gateway::admission_request admission = make_admission_request(now);
    admission.service_unavailable = unavailable;
    wait = gateway::retry_after(totals, mean, admission, m_state.random);
    telemetry::log(log_level::info, "request", "refused",
                   {{"request", m_request_id},
                    {"reason", reason},
                    {"rank", static_cast<std::int64_t>(m_priority)},
                    {"upstreams", static_cast<std::int64_t>(totals.upstreams)},
                    {"slots", static_cast<std::int64_t>(totals.slots)},
                    {"outstanding", static_cast<std::int64_t>(totals.outstanding)},
                    {"mean_ms", mean.count()},
                    {"pass_fill", admission.max_pass_utilization.value_or(1)},
                    {"service_away", unavailable},
                    {"retry_after_ms", wait.count()}});
  }
  respond_with_problem(status, reason, "not_run", wait);
  finish("refused", status, reason);
}

void exchange::fail(int status, std::string_view reason) {
  respond_with_problem(status, reason, "unknown", milliseconds{0});
  finish("failed", status, reason);
}

void exchange::respond_with_problem(int status, std::string_view reason, std::string_view execution,
                                    milliseconds retry_after) {
  http::response response{.status = status, .headers = {{"Content-Type", "application/problem+json"}}};
  if (!m_request_id.empty()) {
    response.headers.emplace_back(m_state.header_names.request_id, m_request_id);
  }
  if (retry_after.count() > 0) {
    response.headers.emplace_back("Retry-After",
                                  fmt::format("{:.3f}", static_cast<double>(retry_after.count()) / 1000));
  }
  response.body = fmt::format(R"({{"status":{},"reason":"{}","execution":"{}"}})", status, reason, execution);
  m_caller->respond(response);
}

void exchange::finish(std::string_view outcome, int status, std::string_view reason) {
  if (m_done) {
    return;
  }
  m_done = true;
  m_deadline_timer.cancel();
  m_stall_timer.cancel();
  const time_point now = clock::now();
  const std::string_view kind = m_route == nullptr ? std::string_view("none") : call_kind_name(m_route->kind);
  telemetry::log(
      log_level::info, "request", "ended",
      {{"request", m_request_id},
       {"route", m_route == nullptr ? std::string_view() : std::string_view(m_route->name)},
       {"outcome", outcome},
       {"status", static_cast<std::int64_t>(status)},
       {"reason", reason},
       {"attempts", static_cast<std::int64_t>(m_tried_upstreams.size())},
       {"stopping", m_state.stop.has_value()},
       {"after_stop_signal_ms",
        m_state.stop ? ms_between(m_state.stop->signalled_at(), m_arrived) : std::int64_t{0}},
       {"first_byte_ms", m_first_byte_time ? ms_between(m_arrived, *m_first_byte_time) : std::int64_t{-1}},
       {"total_ms", ms_between(m_arrived, now)}});
  if (m_route != nullptr && (outcome == "broken_off" || outcome == "cut")) {
    log_cut_response(outcome, reason, now);
  }
  m_state.metrics.add("cuminpath_requests_total",
                      {{"kind", std::string(kind)}, {"outcome", std::string(outcome)}});
  m_state.metrics.observe("cuminpath_request_seconds", std::chrono::duration<double>(now - m_arrived).count(),
                          {{"kind", std::string(kind)}, {"outcome", std::string(outcome)}});
  if (m_route != nullptr && m_sent_attempts > 0 && outcome != "caller_gone") {
    m_state.service_times[m_route->name].observe(now - m_arrived, now);
  }
  if (m_first_byte_time) {
    m_state.metrics.observe("cuminpath_first_byte_seconds",
                            std::chrono::duration<double>(*m_first_byte_time - m_arrived).count(),
                            {{"kind", std::string(kind)}});
  }
  if (const auto finished = std::exchange(m_on_finished, nullptr)) {
    finished();
  }
}

std::string_view exchange::cut_cause(std::string_view outcome, std::string_view reason) const {
  if (outcome == "cut") {
    return "planned_stop";
  }
  if (reason == k_timed_out) {
    return "timeout";
  }
  return m_given_up_for_silence ? "silence" : "upstream";
}

void exchange::log_cut_response(std::string_view outcome, std::string_view reason, time_point now) {
  const std::string_view cause = cut_cause(outcome, reason);
  const auto ms_since = [now](const std::optional<time_point>& at) {
    return at ? ms_between(*at, now) : std::int64_t{-1};
  };
  telemetry::log(log_level::warning, "request", "response cut",
                 {{"request", m_request_id},
                  {"route", m_route->name},
                  {"cause", cause},
                  {"reason", reason},
                  {"last_event", std::string_view(m_last_event_id)},
                  {"silent_ms", m_sent_attempts > 0 ? ms_between(m_last_event_time, now) : -1},
                  {"time_left_ms", std::max<std::int64_t>(0, ms_between(now, m_deadline))},
                  {"after_stop_signal_ms", m_state.stop ? ms_between(m_state.stop->signalled_at(), now) : -1},
                  {"after_reload_ms", ms_since(m_state.reloaded_at)},
                  {"after_configuration_ms", ms_since(m_state.configured_at)}});
  m_state.metrics.add("cuminpath_cut_responses_total", {{"cause", std::string(cause)}});
}

}  // namespace cuminpath::proxy
