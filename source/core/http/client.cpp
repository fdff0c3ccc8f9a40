#include "core/http/client.h"

#include <curl/curl.h>
#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <unordered_set>

#include "core/common/assert.h"
#include "core/net/socket_options.h"

namespace cuminpath::http {
namespace {

constexpr int k_max_poll_ms = 1000;
constexpr int k_informational_status_class = 1;  // 1xx, interim responses.
constexpr int k_switching_protocols = 101;
// Bytes of a response that the transfer thread may read ahead of its handler: a few reads of libcurl.
constexpr std::size_t k_max_read_ahead = 128U << 10U;
// Limits of the design (section 11) for one head or the trailers, and for all of a call. A header of a few
// bytes takes many times its size in memory.
constexpr std::size_t k_max_head_bytes = 64U << 10U;
constexpr std::size_t k_max_bytes_of_heads = 1U << 20U;

struct easy_deleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct slist_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

// Tells the transfer thread which calls may go on. Handlers that are still queued on the io_context may use
// it after the client has been destroyed.
struct resume_queue {
  std::mutex mutex;
  CURLM* multi = nullptr;  // Null once the client is being destroyed.
  std::vector<call_id> ids;

  void add(call_id id) {
    const std::lock_guard lock(mutex);
    if (multi != nullptr) {
      ids.push_back(id);
      curl_multi_wakeup(multi);
    }
  }
};

// What the transfer thread and the io_context share of one call.
struct call_state {
  std::atomic<bool> cancelled = false;
  std::atomic<bool> paused = false;        // By client::pause().
  std::atomic<bool> waits = false;         // The transfer thread has stopped reading until it is resumed.
  std::atomic<std::size_t> unhandled = 0;  // Bytes of the body that have not reached the handler.

  [[nodiscard]] bool may_read() const { return !paused && unhandled < k_max_read_ahead; }
  // With some distance to the limit, because each resumption wakes the transfer thread.
  [[nodiscard]] bool may_resume() const { return !paused && unhandled <= k_max_read_ahead / 2; }
};

// State of one call. Owned by the transfer thread; the handler runs on the io_context.
struct transfer {
  call_id id = 0;
  std::string url;
  request value;
  call_options options;
  std::shared_ptr<stream_handler> handler;
  std::unique_ptr<CURL, easy_deleter> easy;
  std::unique_ptr<curl_slist, slist_deleter> headers;
  header_list response_headers;
  // What the next line of a head belongs to.
  enum class head_part : std::uint8_t { status_line, headers, trailers } next_line = head_part::status_line;
  int response_status = 0;     // Of the last status line.
  bool malformed = false;      // The response is not valid HTTP.
  bool head_complete = false;  // Of the response, other than an interim one.
  bool head_reported = false;
  std::size_t received = 0;                  // Bytes of the body, of heads and of trailers.
  std::size_t head_bytes = 0;                // Of the current head, or of the trailers.
  std::size_t bytes_of_heads = 0;            // Of all of them.
  bool connection_has_unread_bytes = false;  // The call has been stopped before its request was sent.
  std::unordered_set<curl_socket_t>* sockets = nullptr;  // Of all connections of the client.
  asio::io_context* context = nullptr;
  std::shared_ptr<call_state> shared;
  std::shared_ptr<resume_queue> resumed;

  template <class function>
  void post(function event) {
    asio::post(*context, [event = std::move(event), handler = handler, shared = shared]() mutable {
      if (!shared->cancelled) {
        event(*handler);
      }
    });
  }

  void post_data(std::string data) {
    shared->unhandled += data.size();
    asio::post(*context, [data = std::move(data), handler = handler, shared = shared, queue = resumed,
                          id = id]() mutable {
      const std::size_t size = data.size();
      if (!shared->cancelled) {
        handler->data(std::move(data));
      }
      shared->unhandled -= size;
      if (shared->waits && shared->may_resume()) {
        queue->add(id);
      }
    });
  }

  // Returns false if the heads of the response exceed their limits.
  bool count_head(std::string_view line) {
    head_bytes += line.size();
    bytes_of_heads += line.size();
    return head_bytes <= k_max_head_bytes && bytes_of_heads <= k_max_bytes_of_heads;
  }

  // Returns false if the response exceeds its limit.
  bool count_received(std::size_t bytes) {
    received += bytes;
    return received <= options.max_response_bytes;
  }

  // Whether the end of the connection ends the body of the response, which then has no length.
  [[nodiscard]] bool body_ends_with_connection() const {
    return value.method != "HEAD" && may_have_body(response_status) &&
           !find_header(response_headers, "Content-Length") &&
           !find_header(response_headers, "Transfer-Encoding");
  }

  // Whether all of the request's body has been given to the connection.
  [[nodiscard]] bool request_written() const {
    curl_off_t written = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_SIZE_UPLOAD_T, &written);
    return static_cast<std::size_t>(written) >= value.body.size();
  }

  void report_head() {
    if (head_reported) {
      return;
    }
    head_reported = true;
    post([status = response_status, headers = std::move(response_headers)](stream_handler& target) mutable {
      target.head(status, std::move(headers));
    });
  }
};

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
  target.head_complete = !interim;
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

// Runs the libcurl multi handle on a separate thread. Calls and cancellations reach it through queues.
class client::impl {
public:
  explicit impl(asio::io_context& context) : m_context(context), m_multi(curl_multi_init()) {
    CUMINPATH_ASSERT(m_multi != nullptr);
    m_resumed->multi = m_multi;
    m_thread = std::thread([this] { run(); });
  }

  ~impl() {
    m_stopping = true;
    curl_multi_wakeup(m_multi);
    m_thread.join();
    {
      const std::lock_guard lock(m_resumed->mutex);
      m_resumed->multi = nullptr;
    }
    for (auto& [id, active] : m_transfers) {
      active->shared->cancelled = true;
      curl_multi_remove_handle(m_multi, active->easy.get());
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
  }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  call_id start(std::string url, request value, call_options options, stream_handler handler) {
    auto added = std::make_unique<transfer>();
    added->id = ++m_last_id;
    added->url = std::move(url);
    added->value = std::move(value);
    added->options = options;
    added->handler = std::make_shared<stream_handler>(std::move(handler));
    added->context = &m_context;
    added->sockets = &m_sockets;
    added->shared = std::make_shared<call_state>();
    added->resumed = m_resumed;
    const auto id = added->id;
    {
      const std::lock_guard lock(m_mutex);
      m_calls.emplace(id, added->shared);
      m_queued_transfers.push_back(std::move(added));
    }
    curl_multi_wakeup(m_multi);
    return id;
  }

  void cancel(call_id id) {
    {
      const std::lock_guard lock(m_mutex);
      const auto found = m_calls.find(id);
      if (found == m_calls.end()) {
        return;
      }
      if (const auto call = found->second.lock()) {
        call->cancelled = true;
      }
      m_queued_cancellations.push_back(id);
    }
    curl_multi_wakeup(m_multi);
  }

  void set_paused(call_id id, bool paused) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_calls.find(id);
    const auto call = found == m_calls.end() ? nullptr : found->second.lock();
    if (call != nullptr && call->paused.exchange(paused) && !paused) {
      m_resumed->add(id);
    }
  }

private:
  void run() {
    while (!m_stopping) {
      process_queued_calls();
      resume_calls();
      int running = 0;
      curl_multi_perform(m_multi, &running);
      process_completions();
      curl_multi_poll(m_multi, nullptr, 0, k_max_poll_ms, nullptr);
    }
  }

  void process_queued_calls() {
    std::vector<std::unique_ptr<transfer>> added;
    std::vector<call_id> cancelled;
    {
      const std::lock_guard lock(m_mutex);
      added.swap(m_queued_transfers);
      cancelled.swap(m_queued_cancellations);
    }
    for (auto& item : added) {
      item->easy.reset(curl_easy_init());
      CUMINPATH_ASSERT(item->easy != nullptr);
      configure(*item);
      curl_multi_add_handle(m_multi, item->easy.get());
      m_transfers.emplace(item->id, std::move(item));
    }
    for (const auto id : cancelled) {
      remove(id);
    }
  }

  void resume_calls() {
    std::vector<call_id> ids;
    {
      const std::lock_guard lock(m_resumed->mutex);
      ids.swap(m_resumed->ids);
    }
    for (const call_id id : ids) {
      const auto found = m_transfers.find(id);
      if (found != m_transfers.end() && found->second->shared->waits) {
        curl_easy_pause(found->second->easy.get(), CURLPAUSE_CONT);
      }
    }
  }

  void process_completions() {
    int remaining = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      transfer* done = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &done);
      if (std::exchange(done->connection_has_unread_bytes, false)) {
        curl_multi_remove_handle(m_multi, done->easy.get());
        curl_easy_setopt(done->easy.get(), CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(done->easy.get(), CURLOPT_PREREQFUNCTION, nullptr);
        curl_multi_add_handle(m_multi, done->easy.get());
        continue;
      }
      if (done->malformed) {
        done->post([](stream_handler& to) { to.failure({.message = "response is not valid HTTP"}); });
      } else if (message->data.result == CURLE_OK && !done->head_complete) {
        // libcurl takes the end of the connection inside a head for the end of a response without a body.
        done->post([](stream_handler& to) { to.failure({.message = "connection ended inside a head"}); });
      } else if (message->data.result == CURLE_OK && done->body_ends_with_connection() &&
                 !done->request_written()) {
        // A write that fails takes the error of the connection, and a read behind it sees an orderly end.
        done->post([](stream_handler& to) {
          to.failure({.message = "connection ended before the request was written", .sent = true});
        });
      } else if (message->data.result == CURLE_OK) {
        done->report_head();
        done->post([](stream_handler& to) { to.end(); });
      } else {
        done->post([failure = to_failure(message->easy_handle, message->data.result)](stream_handler& to) {
          to.failure(failure);
        });
      }
      remove(done->id);
    }
  }

  void remove(call_id id) {
    const auto found = m_transfers.find(id);
    if (found != m_transfers.end()) {
      curl_multi_remove_handle(m_multi, found->second->easy.get());
      m_transfers.erase(found);
    }
    const std::lock_guard lock(m_mutex);
    m_calls.erase(id);
  }

  asio::io_context& m_context;
  CURLM* m_multi;
  const std::shared_ptr<resume_queue> m_resumed = std::make_shared<resume_queue>();
  std::thread m_thread;
  std::atomic<bool> m_stopping = false;
  std::atomic<call_id> m_last_id = 0;
  std::unordered_set<curl_socket_t> m_sockets;                         // Used by the transfer thread only.
  std::unordered_map<call_id, std::unique_ptr<transfer>> m_transfers;  // Used by the transfer thread only.
  std::mutex m_mutex;                                                  // Guards the members below.
  std::unordered_map<call_id, std::weak_ptr<call_state>> m_calls;
  std::vector<std::unique_ptr<transfer>> m_queued_transfers;
  std::vector<call_id> m_queued_cancellations;
};

std::string escape_query_value(std::string_view text) {
  if (text.empty()) {
    return {};  // libcurl takes the length 0 as that of a null-terminated string.
  }
  const std::unique_ptr<char, decltype(&curl_free)> escaped(
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free);
  CUMINPATH_ASSERT(escaped != nullptr);
  return escaped.get();
}

client::client(asio::io_context& context) : m_impl(std::make_unique<impl>(context)) {}
client::~client() = default;

call_id client::stream(std::string_view base_url, request value, call_options options,
                       stream_handler handler) {
  auto url = std::string(base_url) + value.target;
  return m_impl->start(std::move(url), std::move(value), options, std::move(handler));
}

call_id client::call(std::string_view base_url, request value, call_options options,
                     std::function<void(call_result)> done) {
  const auto collected = std::make_shared<call_result>();
  const auto finish = [collected, done = std::move(done)] { done(std::move(*collected)); };
  return stream(base_url, std::move(value), options,
                {.head =
                     [collected](int status, header_list headers) {
                       collected->value.status = status;
                       collected->value.headers = std::move(headers);
                     },
                 .data = [collected](const std::string& data) { collected->value.body += data; },
                 .end = finish,
                 .failure =
                     [collected, finish](call_failure failure) {
                       collected->failure = std::move(failure);
                       finish();
                     }});
}

void client::cancel(call_id id) {
  m_impl->cancel(id);
}

void client::pause(call_id id) {
  m_impl->set_paused(id, true);
}

void client::resume(call_id id) {
  m_impl->set_paused(id, false);
}

}  // namespace cuminpath::http
