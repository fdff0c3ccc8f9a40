// Runs property tests with a fixed seed, so that every run checks the same cases.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <cstdio>
#include <functional>
#include <sstream>

namespace cuminpath::support {

// Runs the property `rounds` times with seeds that rapidcheck generates. Prints the fixed seed and the
// failing case, if any. Returns true if all cases passed.
inline bool check_property(int rounds, const std::function<void(std::uint64_t)>& property) {
  constexpr std::uint64_t k_seed = 20261204;
  rc::detail::TestParams parameters;
  parameters.seed = k_seed;
  parameters.maxSuccess = rounds;
  const auto outcome =
      rc::detail::checkTestable([&property] { property(*rc::gen::arbitrary<std::uint64_t>()); },
                                rc::detail::TestMetadata(), parameters);
  std::ostringstream text;
  rc::detail::printResultMessage(outcome, text);
  std::printf("rapidcheck seed %llu: %s\n", static_cast<unsigned long long>(k_seed), text.str().c_str());
  return outcome.template is<rc::detail::SuccessResult>();
}

}  // namespace cuminpath::support
