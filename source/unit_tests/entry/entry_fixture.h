// An entry core on virtual time, with three engines and two replicas of one service.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/entry/entry_core.h"

namespace cuminpath::entry {

inline constexpr std::string_view k_api_key = "secret-of-narmada";

std::shared_ptr<const config::manifest> sample_manifest();

class entry_fixture : public ::testing::Test {
protected:
  explicit entry_fixture(std::size_t max_requests = 1000);

  // Calls a member function of the core with the current event context and further arguments.
  template <class function, class... arguments>
  void call(function member, arguments&&... values) {
    event_context current{now, random, actions};
    (core.*member)(current, std::forward<arguments>(values)...);
  }

  // Advances the time in ticks of 10 ms, while the agents in `alive` report their load.
  void run_for(milliseconds length);
  void receive(const std::string& peer, const wire::message& message);
  void receive_load_report(const std::string& peer);

  caller_id send(http::request value);
  caller_id send_completion(bool streaming, const http::header_list& headers = {});
  caller_id send_booking(const std::string& key, const std::string& body = "{}");

  // Removes and returns all actions of one type.
  template <class action_type>
  std::vector<action_type> take() {
    std::vector<action_type> taken;
    std::vector<action> rest;
    for (auto& item : actions) {
      if (auto* value = std::get_if<action_type>(&item)) {
        taken.push_back(std::move(*value));
      } else {
        rest.push_back(std::move(item));
      }
    }
    actions = std::move(rest);
    return taken;
  }
  // Removes and returns all messages of one type, each with the address of its receiver.
  template <class message_type>
  std::vector<std::pair<std::string, message_type>> take_messages() {
    std::vector<std::pair<std::string, message_type>> taken;
    std::vector<action> rest;
    for (auto& item : actions) {
      auto* sent = std::get_if<send_message>(&item);
      auto* value = sent == nullptr ? nullptr : std::get_if<message_type>(&sent->message);
      if (value != nullptr) {
        taken.emplace_back(sent->peer_address, std::move(*value));
      } else {
        rest.push_back(std::move(item));
      }
    }
    actions = std::move(rest);
    return taken;
  }

  struct submitted_attempt {
    std::string peer;
    wire::submit_request message;
  };
  // Removes and returns the only attempt that was sent since the last call.
  submitted_attempt take_submitted();
  // Removes and returns the only response since the last call.
  http::response take_response();
  // Removes and returns the data that was streamed to callers since the last call.
  std::string take_streamed();

  void send_response_tokens(const submitted_attempt& to, std::uint64_t index,
                            const std::vector<std::string>& texts);
  void send_response_end(const submitted_attempt& to, std::uint64_t length);
  void send_refusal(const submitted_attempt& to, wire::execution execution_state,
                    wire::refusal_reason reason);

  static std::string execution_of(const http::response& response);

  time_point now{seconds(1000)};
  random_source random{7};
  std::vector<action> actions;
  entry_core core;
  std::vector<std::string> alive = {"m1", "m2", "m3", "s1", "s2"};  // Peer addresses.
  std::uint64_t agent_incarnation = 1;                              // The incarnation of every agent.
  std::uint64_t last_caller = 0;
};

}  // namespace cuminpath::entry
