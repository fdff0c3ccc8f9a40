// Errors as values. Only a broken invariant stops the process (see assert.h).
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>
#include <utility>

namespace cuminpath {

enum class error_code {
  invalid_input,  // The input breaks its format or a limit.
  not_found,
  conflict,     // A conditional write lost against another writer.
  unreachable,  // The peer did not answer; the operation may have taken effect.
  refused,      // The peer answered that it will not do it.
  timed_out,    // No answer in time; the operation may have taken effect.
  internal,
};

struct error {
  error_code code = error_code::internal;
  std::string message;
};

// A value or an error. Reading the value of a failed result is a broken invariant and terminates.
template <class value_type>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<value_type, error,
                                                        BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

inline error make_error(error_code code, std::string message) {
  return error{code, std::move(message)};
}

}  // namespace cuminpath
