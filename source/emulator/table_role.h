// Emulator of the transactional table service.
#pragma once

#include <map>

#include "emulator/role.h"

namespace cuminpath::emulator {

class table_role final : public role {
public:
  void handle(const http::request& request, const responder_ptr& to) override;
  // {"reads","writes","conflicts","deletes","rows":{TABLE:N}}
  [[nodiscard]] json stats() const override;
  std::optional<std::string> control(const json& settings) override;

private:
  struct stored_row {
    std::uint64_t version = 0;
    json value;
  };
  using table = std::map<std::string, stored_row>;

  void read(const table& rows, const std::string& key, const responder_ptr& to);
  void write(table& rows, const std::string& key, const http::request& request, const responder_ptr& to);
  void list(const table& rows, std::string_view query, const responder_ptr& to);

  std::map<std::string, table> m_tables;
  // Versions increase across the whole service, so that a row that is deleted and written again gets a new
  // one.
  std::uint64_t m_last_version = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_conflicts = 0;
  std::uint64_t m_deletes = 0;
};

}  // namespace cuminpath::emulator
