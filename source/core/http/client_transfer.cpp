#include "core/http/client_transfer.h"

#include <unistd.h>

#include <algorithm>

#include "core/net/send_watch.h"
#include "core/net/socket_options.h"

namespace cuminpath::http {
namespace {

constexpr int k_informational_status_class = 1;  // 1xx, interim responses.
constexpr int k_switching_protocols = 101;

// Handles a line of a head. Returns false if it is not valid HTTP. libcurl would pass over it, so that a
// misspelled length, for example, would change where the body ends.
bool accept_line(transfer& target, std::string_view line) {
  if (target.next_line == transfer::head_part::trailers) {
    return true;  // Trailers are discarded.
  }
  line.remove_suffix(line.ends_with('\n') ? 1 : 0);
  line.remove_suffix(line.ends_with('\r') ? 1 : 0);
  if (target.next_line == transfer::head_part::status_line) {
    const auto status = parse_status_line(line);
    target.response_status = status.value_or(0);
    target.response_headers.clear();
    target.next_line = transfer::head_part::headers;
    return status && *status != k_switching_protocols;  // No call asks for another protocol.
  }
  if (!line.empty()) {
    const auto header = parse_header_line(line);
    if (header) {
      target.response_headers.emplace_back(header->first, header->second);
    }
    return header.has_value();
  }
  const bool interim = target.response_status / 100 == k_informational_status_class;
  if (!interim) {
    target.complete_head();
  }
  target.next_line = interim ? transfer::head_part::status_line : transfer::head_part::trailers;
  target.head_bytes = 0;
  return has_valid_framing(target.response_headers);
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* user) {
  auto& target = *static_cast<transfer*>(user);
  const std::string_view line(data, size * count);
  if (!target.count_head(line) || !target.count_received(line.size())) {
    return 0;  // Makes libcurl fail the transfer with CURLE_WRITE_ERROR.
  }
  target.malformed = !accept_line(target, line);
  return target.malformed ? 0 : size * count;
}

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user) {
  auto& target = *static_cast<transfer*>(user);
  const auto bytes = size * count;
  // Set before the check, so that a handler that finishes meanwhile resumes the call.
  target.shared->waits = true;
  if (!target.shared->may_read()) {
    return CURL_WRITEFUNC_PAUSE;  // libcurl passes the same bytes again later.
  }
  target.shared->waits = false;
  if (!target.count_received(bytes)) {
    return 0;
  }
  target.report_head();
  target.post_data(std::string(data, bytes));
  return bytes;
}

// Sets the socket options that end a dead connection within a few seconds, even while a call waits for a slow
// response.
int on_socket(void* user, curl_socket_t socket, curlsocktype /*purpose*/) {
  net::set_connection_options(socket);
  net::limit_unacknowledged_time(socket, net::k_max_silence);
  static_cast<transfer*>(user)->sockets->insert(socket);
  return CURL_SOCKOPT_OK;
}

int on_socket_closed(void* user, curl_socket_t socket) {
  static_cast<std::unordered_set<curl_socket_t>*>(user)->erase(socket);
  return ::close(socket);
}

// Stops a call whose reused connection has bytes that no call has asked for: libcurl would take them for the
// response.
int on_request(void* user, char* /*remote_address*/, char* /*local_address*/, int remote_port,
               int local_port) {
  auto& target = *static_cast<transfer*>(user);
  target.connection_has_unread_bytes =
      std::any_of(target.sockets->begin(), target.sockets->end(), [&](curl_socket_t socket) {
        return net::local_port(socket) == local_port && net::remote_port(socket) == remote_port &&
               net::has_unread_bytes(socket);
      });
  return target.connection_has_unread_bytes ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

call_failure to_failure(CURL* easy, CURLcode code) {
  call_failure failure;
  failure.message = curl_easy_strerror(code);
  failure.code = code == CURLE_OPERATION_TIMEDOUT ? error_code::timed_out : error_code::unreachable;
  long request_bytes = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_off_t connect_time = 0;
  curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connect_time);
  const bool connected = connect_time > 0;
  failure.sent = code != CURLE_COULDNT_CONNECT && (connected || request_bytes > 0);
  return failure;
}

}  // namespace

void configure(transfer& target) {
  CURL* easy = target.easy.get();
  curl_easy_setopt(easy, CURLOPT_URL, target.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &target);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &on_socket);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &target);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &on_socket_closed);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, target.sockets);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(target.options.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(target.options.connect_timeout.count()));
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, target.value.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &target);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &target);
  if (target.options.never_reuse_connection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  } else {
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &on_request);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &target);
  }
  if (target.value.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (!target.value.body.empty() || target.value.method == "POST" || target.value.method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, target.value.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(target.value.body.size()));
  }
  // An empty Expect header stops libcurl from waiting for "100 Continue" before it sends a large body.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const auto& [name, text] : target.value.headers) {
    std::string line = name;
    line.append(": ").append(text);
    list = curl_slist_append(list, line.c_str());
  }
  target.headers.reset(list);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
}

std::optional<call_failure> find_failure(const transfer& ended, CURLcode result) {
  if (ended.malformed) {
    return call_failure{.message = "response is not valid HTTP"};
  }
  if (result != CURLE_OK) {
    return to_failure(ended.easy.get(), result);
  }
  if (!ended.head_complete) {
    // libcurl takes the end of the connection inside a head for the end of a response without a body.
    return call_failure{.message = "connection ended inside a head"};
  }
  if (ended.body_ends_with_connection && !ended.request_written()) {
    // A write that fails takes the error of the connection, and a read behind it sees an orderly end.
    return call_failure{.message = "connection ended before the request was written"};
  }
  return {};
}

}  // namespace cuminpath::http
