// The command `explain`: asks gateways where they would place a request, and shows where they differ.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/common/json.h"
#include "core/operation/command_line.h"
#include "core/operation/commands.h"
#include "core/operation/platform_session.h"

namespace cuminpath::operation {

// The page of one gateway, or why there is none.
struct gateway_explanation {
  std::string address;  // IP:PORT of the metrics address.
  result<json> page = json();
};

// Returns a table with one row for each fact and one column for each gateway; rows whose values differ begin
// with "*". Gateways without a page are left out.
std::string explanation_table(const std::vector<gateway_explanation>& explanations);

// Returns exit_code::unreachable if a gateway does not answer; the others are shown all the same.
exit_code explain(platform_session& session, const explain_arguments& arguments, bool as_json,
                  std::ostream& out, std::ostream& err);

}  // namespace cuminpath::operation
