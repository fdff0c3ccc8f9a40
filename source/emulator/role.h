// Base of the emulators of platform components. A role implements the protocol of a component; the server in
// front of it injects faults and handles GET /stats and POST /control.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/common/json.h"
#include "core/common/time.h"
#include "core/http/server.h"

namespace cuminpath::emulator {

using responder_ptr = std::shared_ptr<http::responder>;

// The emulation of one component of the platform.
class role {
public:
  virtual ~role() = default;
  virtual void handle(const http::request& request, const responder_ptr& to) = 0;
  [[nodiscard]] virtual json stats() const = 0;
  // Applies the keys of POST /control that are specific to this role. Returns an error message, or nothing if
  // all keys are known and valid.
  virtual std::optional<std::string> control(const json& settings) = 0;
  // Whether a request changes state. "lose_responses" affects only such requests.
  [[nodiscard]] virtual bool is_write(const http::request& request) const { return request.method != "GET"; }
};

void respond_json(const responder_ptr& to, int status, const json& body);
void respond_not_found(const responder_ptr& to);
// Breaks the connection without sending a complete response.
void cut_off(const responder_ptr& to);

// Decodes %XX escapes. Leaves malformed escapes unchanged.
std::string decode_segment(std::string_view text);
// Returns the decoded segments of a request path.
std::vector<std::string> path_segments(std::string_view path);
// Returns the decoded value of a query parameter, or an empty string if the parameter is missing.
std::string query_value(std::string_view query, std::string_view name);
// Parses a decimal number. Returns 0 if the text is not a number.
std::uint64_t to_number(std::string_view text);

// Serves a role over HTTP. Keys of POST /control that all roles share:
//   "down": true         breaks every connection without a complete response
//   "slow_ms": N         delays the handling of each request by N ms
//   "lose_responses": N  applies the next N writes but breaks their connections
class emulator_server {
public:
  static result<std::unique_ptr<emulator_server>> start(asio::io_context& context, const std::string& address,
                                                        role& served_role);
  [[nodiscard]] std::string address() const { return m_server->address(); }

private:
  emulator_server(asio::io_context& context, role& served_role) : m_context(context), m_role(served_role) {}
  void on_request(http::request request, const responder_ptr& to);
  void on_control(const http::request& request, const responder_ptr& to);
  void serve(const http::request& request, const responder_ptr& to);

  asio::io_context& m_context;
  role& m_role;
  bool m_down = false;
  milliseconds m_handling_delay{0};
  std::uint64_t m_responses_to_lose = 0;
  std::uint64_t m_lost_responses = 0;
  std::uint64_t m_requests = 0;
  std::unique_ptr<http::server> m_server;
};

}  // namespace cuminpath::emulator
