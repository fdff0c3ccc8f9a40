// Time types. Functions that make decisions receive `time_point now` as an argument and never read a clock.
#pragma once

#include <chrono>

namespace cuminpath {

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;
using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

}  // namespace cuminpath
