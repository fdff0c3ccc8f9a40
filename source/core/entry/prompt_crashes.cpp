// Keeps requests whose prompts crash upstreams from further upstreams.
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

#include "core/entry/entry_core.h"

namespace cuminpath::entry {
namespace {

std::string describe(const routing::prompt_quarantine::verdict& evidence) {
  return fmt::format("part {:016x}, crashes {:08x}", evidence.part, fmt::join(evidence.crashes, ","));
}

}  // namespace

bool entry_core::refuse_quarantined(event_context& context, request& value) {
  if (value.stream_begun) {
    return false;
  }
  const auto verdict = m_prompt_quarantine.admit(value.accepted.prompt_parts, context.now);
  if (!verdict) {
    return false;
  }
  context.actions.emplace_back(record_event{
      "request_quarantined", fmt::format("request {}, {}", value.request_id, describe(*verdict))});
  fail_request(
      context, value,
      problem{503, wire::execution::not_run, "a part of the prompt crashes upstreams", verdict->remaining});
  return true;
}

void entry_core::on_upstream_crash(event_context& context, request& value,
                                   const wire::upstream_crash& message) {
  if (value.accepted.prompt_parts.empty()) {
    return;
  }
  value.may_have_crashed_upstream =
      m_prompt_quarantine.may_crash_upstreams(value.accepted.prompt_parts, context.now);
  m_prompt_quarantine.on_crash(message.crash, value.accepted.prompt_parts, context.now);
  const auto silent =
      std::find_if(value.silent_attempts.begin(), value.silent_attempts.end(),
                   [&](const open_attempt& attempt) { return attempt.number == message.attempt; });
  const auto& attempt = silent == value.silent_attempts.end() ? *value.attempt : *silent;
  context.actions.emplace_back(record_event{
      "upstream_crashed", fmt::format("request {}, upstream {}, crash {:08x}, parts {:016x}",
                                      value.request_id, m_router.upstream(attempt.upstream).name,
                                      message.crash, fmt::join(value.accepted.prompt_parts, ","))});
}

void entry_core::on_crash_evidence(event_context& context, const wire::crash_evidence& message) {
  std::vector<routing::part_evidence> parts;
  for (const auto& sent : message.parts) {
    routing::part_evidence part{.part = sent.part};
    if (sent.last_output_age_ms >= 0) {
      part.last_output_age = milliseconds(sent.last_output_age_ms);
    }
    for (const auto& crash : sent.crashes) {
      part.crashes.push_back({crash.crash, milliseconds(crash.age_ms)});
    }
    part.crashes.resize(std::min(part.crashes.size(), routing::k_max_crashes_per_part));
    parts.push_back(std::move(part));
  }
  parts.resize(std::min(parts.size(), routing::k_max_exchanged_parts));
  // Each entry sends to a few others, so what is new is passed on at once.
  m_crash_news = m_prompt_quarantine.merge(parts, context.now) || m_crash_news;
}

std::optional<wire::crash_evidence> entry_core::crash_evidence_to_send(time_point now) {
  wire::crash_evidence message;
  for (const auto& known : m_prompt_quarantine.evidence_to_send(now)) {
    wire::suspected_part part{.part = known.part};
    if (known.last_output_age) {
      part.last_output_age_ms = known.last_output_age->count();
    }
    for (const auto& crash : known.crashes) {
      part.crashes.push_back({crash.id, static_cast<std::uint32_t>(crash.age.count())});
    }
    message.parts.push_back(std::move(part));
  }
  return message.parts.empty() ? std::nullopt : std::optional(std::move(message));
}

bool entry_core::take_crash_news() {
  const bool news = m_prompt_quarantine.take_news();
  return std::exchange(m_crash_news, false) || news;
}

void entry_core::record_quarantine_changes(event_context& context) {
  using kind = routing::prompt_quarantine::change::kind;
  for (const auto& change : m_prompt_quarantine.update(context.now)) {
    context.actions.emplace_back(
        record_event{change.type == kind::quarantined ? "prompt_part_quarantined" : "prompt_part_released",
                     describe(change.evidence)});
  }
}

}  // namespace cuminpath::entry
