#include "emulator/engine_role.h"

#include <algorithm>

namespace cuminpath::emulator {
namespace {

std::string prompt_of(const json& body) {
  if (body.contains("prompt") && body["prompt"].is_string()) {
    return body["prompt"].get<std::string>();
  }
  std::string prompt;
  if (body.contains("messages") && body["messages"].is_array()) {
    for (const auto& message : body["messages"]) {
      if (message.is_object() && message.contains("content") && message["content"].is_string()) {
        prompt += message["content"].get<std::string>() + "\n";
      }
    }
  }
  return prompt;
}

std::string event_text(const std::string& id, bool chat, std::uint32_t index, const std::string& text,
                       bool last) {
  json choice = {{"index", 0}};
  if (chat) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = last ? json("length") : json();
  const json event = {{"id", id}, {"index", index}, {"choices", {choice}}};
  return "data: " + event.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

}  // namespace

engine_role::engine_role(asio::io_context& context, http::client& client, engine_options options)
    : m_context(context),
      m_client(client),
      m_options(std::move(options)),
      m_batch(m_options.slots),
      m_cache(m_options.cache),
      m_maps(m_options.experts),
      m_step_ended(clock::now()),
      m_step_time(m_options.token_interval),
      m_step_timer(context),
      m_announce_timer(context) {
  for (const auto& url : m_options.group_peers) {
    m_peers.push_back({.url = url});
  }
  record_load();
  schedule_step(m_step_ended + m_options.token_interval);
}

void engine_role::handle(const http::request& request, const responder_ptr& to) {
  const auto path = request.path();
  const bool post = request.method == "POST";
  if (post && (path == "/v1/completions" || path == "/v1/chat/completions")) {
    start_stream(request, to);
  } else if (post && path == "/v1/orders") {
    handle_order(request, to);
  } else if (post && path == "/v1/barrier") {
    on_barrier(request, to);
  } else if (path == "/v1/load") {
    respond_load(to);
  } else if (path == "/v1/cache_events") {
    const auto after = to_number(query_value(request.query(), "after"));
    respond_json(to, 200, {{"events", m_cache.events_after(clock::now(), after)}});
  } else if (path == "/v1/map_state") {
    respond_json(to, 200, m_maps.map_state(m_step + 1));
  } else if (path == "/v1/expert_load") {
    respond_json(to, 200,
                 {{"layers", m_maps.load_counts()}, {"step", m_step}, {"step_ms", m_step_time.count()}});
  } else {
    respond_not_found(to);
  }
}

void engine_role::start_stream(const http::request& request, const responder_ptr& to) {
  const auto parsed = parse_json(request.body);
  if (!parsed || !parsed.value().is_object() || prompt_of(parsed.value()).empty()) {
    respond_json(to, 400, {{"error", "no prompt"}});
    return;
  }
  if (m_refusing) {
    respond_json(to, 503, {{"error", "refused"}});
    return;
  }
  const auto& body = parsed.value();
  const auto now = clock::now();
  const auto id = std::string(request.header("X-Request-Id").value_or(""));
  stream_parameters parameters;
  parameters.prompt = prompt_of(body);
  try {
    parameters.end_index = body.value("max_tokens", m_options.default_max_tokens);
    parameters.priority = body.value("priority", 0U);
    if (body.contains("resume")) {
      ++m_resumed;
      parameters.first_index = body["resume"].value("token_index", 0U);
      m_resume_mismatches += body["resume"].value("text", std::string()) ==
                                     text_before(parameters.prompt, parameters.first_index)
                                 ? 0
                                 : 1;
    }
  } catch (const json::exception& failure) {
    respond_json(to, 400, {{"error", failure.what()}});
    return;
  }
  ++m_arrivals[id];
  if (parameters.first_index >= parameters.end_index) {
    to->respond({200, {{"Content-Type", "text/event-stream"}}, "data: [DONE]\n\n"});
    return;
  }
  parameters.prefill = m_options.prefill_time / (m_cache.touch(now, parameters.prompt) ? 4 : 1);
  auto prompt = parameters.prompt;
  const auto stream = m_batch.add(now, std::move(parameters));
  m_streams.emplace(stream, open_stream{id, std::move(prompt), to, request.path() == "/v1/chat/completions"});
  to->on_closed([this, stream] {
    ++m_cancelled;
    close_stream(stream);
  });
  record_starts();
  schedule_step(m_step_ended + m_step_time);  // Shortens the longer step interval of an idle engine.
}

void engine_role::close_stream(stream_id id) {
  m_streams.erase(id);
  m_batch.remove(clock::now(), id);
  record_starts();
}

void engine_role::record_starts() {
  for (const auto id : m_batch.take_started()) {
    const auto found = m_streams.find(id);
    if (found != m_streams.end()) {
      ++m_starts[found->second.request_id];
      ++m_starts_by_prompt[found->second.prompt];
    }
  }
  m_max_running = std::max(m_max_running, m_batch.running());
  record_load();
}

void engine_role::record_load() {
  const auto now = clock::now();
  m_load_samples.push_back({now, m_batch.running(), m_batch.waiting()});
  // Keeps the newest sample that is older than the lag, and all later ones.
  while (m_load_samples.size() > 1 && m_load_samples[1].at + m_options.load_lag <= now) {
    m_load_samples.pop_front();
  }
}

void engine_role::respond_load(const responder_ptr& to) const {
  const auto now = clock::now();
  auto reported = m_load_samples.front();
  for (const auto& sample : m_load_samples) {
    if (sample.at + m_options.load_lag <= now) {
      reported = sample;
    }
  }
  respond_json(to, 200,
               {{"running", reported.running}, {"waiting", reported.waiting}, {"slots", m_batch.slots()}});
}

void engine_role::emit(const emitted_token& token) {
  const auto found = m_streams.find(token.stream);
  if (found == m_streams.end()) {
    return;
  }
  auto& stream = found->second;
  if (!stream.head_sent) {
    stream.head_sent = true;
    stream.to->begin_stream(200,
                            {{"Content-Type", "text/event-stream"}, {"X-Request-Id", stream.request_id}});
  }
  ++m_tokens;
  stream.to->write(event_text(stream.request_id, stream.chat, token.index, token.text, token.last));
  ++stream.tokens;
  if (token.last) {
    ++m_completed;
    stream.to->write("data: [DONE]\n\n");
    stream.to->end_stream();
    m_streams.erase(found);
  } else if (m_fail_after_tokens != 0 && stream.tokens >= m_fail_after_tokens) {
    ++m_broken;
    const auto to = stream.to;
    close_stream(token.stream);
    to->abort_stream();
  }
}

json engine_role::stats() const {
  return {{"arrivals", m_arrivals},
          {"starts", m_starts},
          {"starts_by_prompt", m_starts_by_prompt},
          {"completed", m_completed},
          {"cancelled", m_cancelled},
          {"broken", m_broken},
          {"tokens", m_tokens},
          {"resumed", m_resumed},
          {"resume_mismatches", m_resume_mismatches},
          {"running", m_batch.running()},
          {"waiting", m_batch.waiting()},
          {"max_running", m_max_running},
          {"step", m_step},
          {"switch", m_maps.state()},
          {"map_history", m_maps.history()},
          {"mixed_map_steps", m_mixed_map_steps},
          {"weight_bytes", m_weight_bytes}};
}

std::optional<std::string> engine_role::control(const json& settings) {
  for (const auto& [key, value] : settings.items()) {
    if (key == "token_interval_ms") {
      m_options.token_interval = milliseconds(value.get<int>());
      m_step_time = m_options.token_interval;
    } else if (key == "first_token_ms") {
      m_options.prefill_time = milliseconds(value.get<int>());
    } else if (key == "lag_ms") {
      m_options.load_lag = milliseconds(value.get<int>());
      m_cache.set_event_lag(m_options.load_lag);
    } else if (key == "fail_after_tokens") {
      m_fail_after_tokens = value.get<std::uint32_t>();
    } else if (key == "refuse") {
      m_refusing = value.get<bool>();
    } else if (key == "ignore_fencing") {
      m_maps.set_ignore_fencing(value.get<bool>());
    } else if (key == "stall") {
      m_stalled = value.get<bool>();
      try_step();
    } else if (key == "group_peers") {
      m_peers.clear();
      for (const auto& url : value) {
        m_peers.push_back({.url = url.get<std::string>()});
      }
    } else {
      return "unknown key " + key;
    }
  }
  return std::nullopt;
}

}  // namespace cuminpath::emulator
