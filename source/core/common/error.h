// Errors as values. Only a broken invariant terminates the process (see assert.h).
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>
#include <utility>

namespace cuminpath {

enum class error_code {
  invalid_input,  // The input violates its format or a limit.
  not_found,
  conflict,     // A conditional write failed because another writer was first.
  unreachable,  // The peer did not respond; the operation may have taken effect.
  refused,      // The peer refused the operation.
  timed_out,    // No response in time; the operation may have taken effect.
  internal,
};

struct error {
  error_code code = error_code::internal;
  std::string message;
};

// A value or an error. Reading the value of a failed result is a broken invariant and terminates the process.
template <class value_type>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<value_type, error,
                                                        BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

inline error make_error(error_code code, std::string message) {
  return error{code, std::move(message)};
}

}  // namespace cuminpath
