#include "core/http/client.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <unordered_set>

#include "core/common/assert.h"
#include "core/http/client_transfer.h"

namespace cuminpath::http {
namespace {

constexpr int k_max_poll_ms = 1000;

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
      if (auto failure = find_failure(*done, message->data.result)) {
        done->post([failure = std::move(*failure)](stream_handler& to) { to.failure(failure); });
      } else {
        done->report_head();
        done->post([](stream_handler& to) { to.end(); });
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
