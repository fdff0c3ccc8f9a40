// What every emulator of a part of the platform has in common: a role answers the protocol of its part, and
// the server in front of it handles faults, GET /stats and POST /control.
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

class role {
public:
  virtual ~role() = default;
  virtual void handle(const http::request& request, const responder_ptr& to) = 0;
  [[nodiscard]] virtual json stats() const = 0;
  // Keys of POST /control that are not common to all roles. Absent means that all keys were understood.
  virtual std::optional<std::string> control(const json& orders) = 0;
  // Whether a request changes state; only those count for "lose_responses".
  [[nodiscard]] virtual bool is_write(const http::request& request) const { return request.method != "GET"; }
};

void respond_json(const responder_ptr& to, int status, const json& body);
void respond_not_found(const responder_ptr& to);
// Breaks the connection before a whole response has been sent.
void cut_off(const responder_ptr& to);

// Decodes %XX. Malformed escapes stay as they are.
std::string decode_segment(std::string_view text);
// Segments of the path of a request, decoded.
std::vector<std::string> path_segments(std::string_view path);
// Value of a query parameter, decoded; empty if it is missing.
std::string query_value(std::string_view query, std::string_view name);
// 0 if the text is not a number.
std::uint64_t to_number(std::string_view text);

// Puts a role behind an HTTP server. Common keys of POST /control:
//   "down": true         every connection is cut off without a whole response
//   "slow_ms": N         each request is handled N ms later
//   "lose_responses": N  the next N writes take effect and their connections are cut off
class emulator_server {
public:
  static result<std::unique_ptr<emulator_server>> start(asio::io_context& context, const std::string& address,
                                                        role& served);
  [[nodiscard]] std::string address() const { return m_server->address(); }

private:
  emulator_server(asio::io_context& context, role& served) : m_context(context), m_role(served) {}
  void on_request(http::request request, const responder_ptr& to);
  void on_control(const http::request& request, const responder_ptr& to);
  void serve(const http::request& request, const responder_ptr& to);

  asio::io_context& m_context;
  role& m_role;
  bool m_down = false;
  milliseconds m_slow{0};
  std::uint64_t m_lose_responses = 0;
  std::uint64_t m_lost_responses = 0;
  std::uint64_t m_requests = 0;
  std::unique_ptr<http::server> m_server;
};

}  // namespace cuminpath::emulator
