// Emulator of the object store.
#pragma once

#include <unordered_map>

#include "emulator/role.h"

namespace cuminpath::emulator {

class object_role final : public role {
public:
  void handle(const http::request& request, const responder_ptr& to) override;
  // {"gets","puts","objects","bytes"}
  [[nodiscard]] json stats() const override;
  // "corrupt": true makes reads return content that differs from what was stored.
  std::optional<std::string> control(const json& settings) override;

private:
  std::unordered_map<std::string, std::string> m_objects;
  bool m_corrupt = false;
  std::uint64_t m_gets = 0;
  std::uint64_t m_puts = 0;
};

}  // namespace cuminpath::emulator
