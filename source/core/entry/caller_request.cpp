#include "core/entry/caller_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "core/common/hash.h"
#include "core/common/json.h"

namespace cuminpath::entry {
namespace {

constexpr std::size_t k_max_request_id_bytes = 128;
constexpr std::size_t k_max_idempotency_key_bytes = 256;
// Prompts that share this many leading bytes share a cached prefix and are worth routing to the same
// upstream.
constexpr std::size_t k_prefix_bytes = 256;
constexpr std::size_t k_min_prefix_bytes = 64;
constexpr std::size_t k_max_shared_prompt_parts = 16;
// Average length of a token in English text. Only the relative size of requests matters.
constexpr std::size_t k_mean_bytes_per_token = 4;

using request_or_problem = std::variant<accepted_request, problem>;

problem refusal(int status, std::string detail) {
  return problem{status, wire::execution::not_run, std::move(detail), milliseconds(0)};
}

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

std::optional<std::string_view> bearer_key(const http::request& request) {
  constexpr std::string_view k_scheme = "Bearer ";
  const auto header = request.header("Authorization");
  if (!header || header->size() <= k_scheme.size() ||
      !http::equal_ignoring_case(header->substr(0, k_scheme.size()), k_scheme)) {
    return std::nullopt;
  }
  return header->substr(k_scheme.size());
}

// Whether a header is not forwarded: it belongs to the connection, or the entry itself acts on it.
bool is_consumed_by_entry(std::string_view name) {
  constexpr std::array<std::string_view, 15> k_names = {"authorization",
                                                        "connection",
                                                        "content-length",
                                                        "host",
                                                        "keep-alive",
                                                        "te",
                                                        "trailer",
                                                        "transfer-encoding",
                                                        "upgrade",
                                                        "proxy-authorization",
                                                        "proxy-connection",
                                                        "x-priority",
                                                        "x-request-timeout-ms",
                                                        "expect",
                                                        "x-request-id"};
  return std::any_of(k_names.begin(), k_names.end(),
                     [&](std::string_view other) { return http::equal_ignoring_case(name, other); });
}

std::optional<problem> read_priority_class(const http::request& request, const config::workspace& workspace,
                                           const manifest_index& index, accepted_request& accepted) {
  const auto header = request.header("X-Priority");
  accepted.priority_class = header ? std::string(*header) : workspace.default_class;
  if (header && std::find(workspace.classes.begin(), workspace.classes.end(), accepted.priority_class) ==
                    workspace.classes.end()) {
    return refusal(403, "the workspace may not use this priority class");
  }
  const auto* found = index.find_class(accepted.priority_class);
  accepted.is_top_priority = found != nullptr && found->priority == index.top_priority();
  return std::nullopt;
}

std::optional<problem> read_timeout(const http::request& request, const request_limits& limits,
                                    accepted_request& accepted) {
  accepted.timeout = limits.default_timeout;
  if (const auto header = request.header("X-Request-Timeout-Ms")) {
    std::uint64_t value = 0;
    const auto [end, code] = std::from_chars(header->data(), header->data() + header->size(), value);
    if (code != std::errc() || end != header->data() + header->size() || value == 0) {
      return refusal(400, "X-Request-Timeout-Ms is not a positive number of milliseconds");
    }
    const auto limit = static_cast<std::uint64_t>(limits.max_timeout.count());
    accepted.timeout = milliseconds(std::min(value, limit));
  }
  accepted.timeout = std::min(accepted.timeout, limits.max_timeout);
  return std::nullopt;
}

// Returns the text of the prompt, which gives its size and prefix, or nothing if the body has no valid
// prompt.
std::optional<std::string> extract_prompt_text(const json& document, wire::request_kind kind) {
  if (kind == wire::request_kind::completion) {
    const auto prompt = document.find("prompt");
    if (prompt == document.end() || !prompt->is_string()) {
      return std::nullopt;
    }
    return prompt->get<std::string>();
  }
  const auto messages = document.find("messages");
  if (messages == document.end() || !messages->is_array() || messages->empty()) {
    return std::nullopt;
  }
  std::string text;
  for (const json& message : *messages) {
    if (!message.is_object()) {
      return std::nullopt;
    }
    const auto content = message.find("content");
    if (content != message.end()) {
      text += content->is_string() ? content->get<std::string>()
                                   : content->dump(-1, ' ', false, json::error_handler_t::replace);
    }
    text += '\n';
  }
  return text;
}

// Returns the parts of the prompt that other requests may share.
std::vector<routing::prompt_part> shared_prompt_parts(const json& document, std::string_view model,
                                                      std::string_view prompt) {
  std::vector<routing::prompt_part> parts;
  if (const auto messages = document.find("messages"); messages != document.end() && messages->is_array()) {
    for (std::size_t i = 0; i + 1 < messages->size() && parts.size() < k_max_shared_prompt_parts; ++i) {
      parts.push_back(routing::hash_prompt_part(
          model, (*messages)[i].dump(-1, ' ', false, json::error_handler_t::replace)));
    }
  } else if (prompt.size() > k_prefix_bytes) {
    parts.push_back(routing::hash_prompt_part(model, prompt.substr(0, k_prefix_bytes)));
  }
  return parts;
}

std::optional<problem> read_generation_options(const json& document, const config::model& model,
                                               std::size_t prompt_bytes, accepted_request& accepted) {
  if (const auto stream = document.find("stream"); stream != document.end() && !stream->is_null()) {
    if (!stream->is_boolean()) {
      return refusal(400, "\"stream\" is not a boolean");
    }
    accepted.streaming = stream->get<bool>();
  }
  if (const auto count = document.find("n"); count != document.end() && !count->is_null() && *count != 1) {
    return refusal(400, "only one choice (\"n\": 1) is supported");
  }
  std::uint32_t output = model.max_tokens;
  for (const char* key : {"max_tokens", "max_completion_tokens"}) {
    if (const auto limit = document.find(key); limit != document.end() && !limit->is_null()) {
      if (!limit->is_number_unsigned() || limit->get<std::uint64_t>() == 0) {
        return refusal(400, std::string("\"") + key + "\" is not a positive integer");
      }
      output = static_cast<std::uint32_t>(std::min<std::uint64_t>(output, limit->get<std::uint64_t>()));
    }
  }
  accepted.expected_tokens = output + static_cast<std::uint32_t>(prompt_bytes / k_mean_bytes_per_token);
  return std::nullopt;
}

std::optional<problem> read_model_call(http::request& request, const manifest_index& index,
                                       accepted_request& accepted) {
  if (request.method != "POST") {
    return refusal(405, "use POST");
  }
  auto parsed = parse_json(request.body);
  if (!parsed) {
    return refusal(400, "the body is not valid JSON: " + parsed.error().message);
  }
  const json& document = parsed.value();
  const auto name = document.is_object() ? document.find("model") : document.end();
  if (!document.is_object() || name == document.end() || !name->is_string()) {
    return refusal(400, "the body is not an object with a \"model\"");
  }
  accepted.model_or_service = name->get<std::string>();
  const auto* model = index.find_model(accepted.model_or_service);
  if (model == nullptr) {
    return refusal(404, "unknown model");
  }
  const auto prompt = extract_prompt_text(document, accepted.kind);
  if (!prompt) {
    return refusal(400, accepted.kind == wire::request_kind::completion
                            ? "\"prompt\" is not a string"
                            : "\"messages\" is not a list of messages");
  }
  if (auto failure = read_generation_options(document, *model, prompt->size(), accepted)) {
    return failure;
  }
  if (prompt->size() >= k_min_prefix_bytes) {
    accepted.prefix_hash = hash64(std::string_view(*prompt).substr(0, k_prefix_bytes), 1);
  }
  accepted.prompt_parts = shared_prompt_parts(document, accepted.model_or_service, *prompt);
  accepted.headers.emplace_back("content-type", "application/json");
  accepted.body = std::move(request.body);
  return std::nullopt;
}

// Dot segments would let a path match the rule of one call but execute another. Services may decode escapes
// and treat a backslash as a slash, so encoded dots, encoded slashes and backslashes are detected as well.
bool has_dot_segment(std::string_view path) {
  std::string text;
  for (std::size_t i = 0; i < path.size(); ++i) {
    const auto escape = path[i] == '%' ? path.substr(i + 1, 2) : std::string_view();
    if (http::equal_ignoring_case(escape, "2e")) {
      text.push_back('.');
      i += 2;
    } else if (http::equal_ignoring_case(escape, "2f") || http::equal_ignoring_case(escape, "5c")) {
      text.push_back('/');
      i += 2;
    } else {
      text.push_back(path[i] == '\\' ? '/' : path[i]);
    }
  }
  text.push_back('/');
  return text.find("/./") != std::string::npos || text.find("/../") != std::string::npos;
}

std::string compute_fingerprint(const accepted_request& accepted) {
  std::string text = accepted.model_or_service;
  for (const auto* part : {&accepted.method, &accepted.path, &accepted.body}) {
    text.push_back('\0');
    text += *part;
  }
  return sha256_hex(text);
}

std::optional<problem> read_service_call(http::request& request, const manifest_index& index,
                                         accepted_request& accepted) {
  constexpr std::string_view k_prefix = "/services/";
  const std::string_view rest = std::string_view(request.target).substr(k_prefix.size());
  const std::size_t name_end = std::min(rest.find_first_of("/?"), rest.size());
  accepted.model_or_service = std::string(rest.substr(0, name_end));
  accepted.path = std::string(rest.substr(name_end));
  if (accepted.path.empty() || accepted.path.front() != '/') {
    accepted.path.insert(0, 1, '/');
  }
  const auto* service = index.find_service(accepted.model_or_service);
  if (service == nullptr) {
    return refusal(404, "unknown service");
  }
  const std::string path_only = accepted.path.substr(0, accepted.path.find('?'));
  if (has_dot_segment(path_only)) {
    return refusal(400, "the path has a dot segment");
  }
  accepted.method = std::move(request.method);
  accepted.repeatable = config::may_repeat(*service, accepted.method, path_only);
  for (auto& header : request.headers) {
    if (!is_consumed_by_entry(header.first)) {
      accepted.headers.push_back(std::move(header));
    }
  }
  accepted.body = std::move(request.body);
  if (!accepted.repeatable) {
    if (accepted.idempotency_key.empty()) {
      return refusal(400, "a call that may not be repeated needs an Idempotency-Key");
    }
    accepted.fingerprint = compute_fingerprint(accepted);
  }
  return std::nullopt;
}

std::optional<problem> read_request_target(http::request& request, const manifest_index& index,
                                           accepted_request& accepted) {
  const std::string path(request.path());
  if (path == "/v1/chat/completions") {
    accepted.kind = wire::request_kind::chat_completion;
    return read_model_call(request, index, accepted);
  }
  if (path == "/v1/completions") {
    accepted.kind = wire::request_kind::completion;
    return read_model_call(request, index, accepted);
  }
  if (path.starts_with("/services/")) {
    accepted.kind = wire::request_kind::service;
    return read_service_call(request, index, accepted);
  }
  return refusal(404, "unknown path");
}

}  // namespace

std::string caller_request_id(const http::request& request) {
  const auto header = request.header("X-Request-Id");
  return header && header->size() <= k_max_request_id_bytes && is_printable(*header) ? std::string(*header)
                                                                                     : std::string();
}

request_or_problem read_caller_request(http::request request, const manifest_index& index,
                                       const request_limits& limits) {
  if (!index.ready()) {
    return problem{503, wire::execution::not_run, "no configuration yet", seconds(1)};
  }
  const auto key = bearer_key(request);
  const auto* workspace = key ? index.workspace_of_key(*key) : nullptr;
  if (workspace == nullptr) {
    return refusal(401, "the Authorization header carries no valid key");
  }
  accepted_request accepted;
  accepted.request_id = caller_request_id(request);
  accepted.workspace = workspace->name;
  if (const auto header = request.header("Idempotency-Key")) {
    if (header->empty() || header->size() > k_max_idempotency_key_bytes) {
      return refusal(400, "Idempotency-Key is empty or longer than 256 bytes");
    }
    accepted.idempotency_key = std::string(*header);
  }
  if (auto failure = read_priority_class(request, *workspace, index, accepted)) {
    return *std::move(failure);
  }
  if (auto failure = read_timeout(request, limits, accepted)) {
    return *std::move(failure);
  }
  if (auto failure = read_request_target(request, index, accepted)) {
    return *std::move(failure);
  }
  return accepted;
}

}  // namespace cuminpath::entry
