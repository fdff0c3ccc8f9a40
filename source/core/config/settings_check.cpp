#include "core/config/settings_check.h"

#include "core/config/balancer_settings.h"
#include "core/config/gateway_settings.h"
#include "core/config/settings.h"

namespace cuminpath::config {

std::vector<diagnostic> check_settings(std::string_view text, std::string_view file) {
  const std::string role = read_role(text);
  if (role == "gateway") {
    return parse_gateway_settings(text, file).errors;
  }
  if (role == "balancer") {
    return parse_balancer_settings(text, file).errors;
  }
  return parse_settings(text, file).errors;
}

}  // namespace cuminpath::config
