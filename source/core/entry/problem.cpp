#include "core/entry/problem.h"

#include <algorithm>

#include "core/common/json.h"

namespace cuminpath::entry {
namespace {

struct status_text {
  int status;
  const char* slug;
  const char* title;
};

constexpr status_text k_status_texts[] = {
    {400, "malformed-request", "Malformed request"},
    {401, "unauthenticated", "Missing or invalid key"},
    {403, "forbidden", "Not allowed for this workspace"},
    {404, "not-found", "Not found"},
    {405, "method-not-allowed", "Method not allowed"},
    {408, "slow-request", "Request took too long to arrive"},
    {409, "key-in-progress", "The same idempotency key is in progress"},
    {413, "oversized-request", "Request is too large"},
    {422, "key-reused", "The idempotency key was used with another request"},
    {429, "over-capacity", "Over the share or not feasible in time"},
    {502, "outcome-unknown", "The upstream failed; the request may have run"},
    {503, "unavailable", "No capacity at present"},
    {504, "deadline-exceeded", "The deadline has passed"},
};

const status_text& find_status_text(int status) {
  static constexpr status_text k_internal_error{500, "internal-error", "Internal error"};
  const auto* found = std::find_if(std::begin(k_status_texts), std::end(k_status_texts),
                                   [&](const status_text& text) { return text.status == status; });
  return found == std::end(k_status_texts) ? k_internal_error : *found;
}

}  // namespace

std::string problem_json(const problem& value) {
  const status_text& text = find_status_text(value.status);
  const json document = {{"type", std::string("urn:cuminpath:problem:") + text.slug},
                         {"title", text.title},
                         {"status", value.status},
                         {"detail", value.detail},
                         {"execution", value.execution == wire::execution::not_run ? "not_run" : "unknown"}};
  // Details may quote input that is not valid UTF-8.
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

http::response problem_response(const problem& value, std::string_view request_id) {
  http::response response;
  response.status = value.status;
  response.headers.emplace_back("Content-Type", "application/problem+json");
  if (!request_id.empty()) {
    response.headers.emplace_back("X-Request-Id", request_id);
  }
  const auto wait = std::chrono::ceil<seconds>(value.retry_after).count();
  if (value.status == 429 || value.status == 503 || wait > 0) {
    response.headers.emplace_back("Retry-After", std::to_string(std::max<long>(wait, 1)));
  }
  response.body = problem_json(value);
  return response;
}

}  // namespace cuminpath::entry
