#include "core/operation/platform_session.h"

namespace cuminpath::operation {

void platform_session::run_while(const std::function<bool()>& condition) {
  constexpr milliseconds k_check_interval{50};
  while (condition()) {
    m_context.restart();
    m_context.run_one_for(k_check_interval);
  }
}

void platform_session::pause(milliseconds duration) {
  const time_point end = clock::now() + duration;
  run_while([end] { return clock::now() < end; });
}

void platform_session::wait_for_all(
    std::size_t count, std::size_t max_in_flight,
    const std::function<void(std::size_t index, std::function<void()> done)>& start) {
  std::size_t started = 0;
  std::size_t finished = 0;
  while (finished < count) {
    while (started < count && started - finished < max_in_flight) {
      start(started++, [&finished] { ++finished; });
    }
    const std::size_t before = finished;
    run_while([&] { return finished == before && finished < started; });
  }
}

}  // namespace cuminpath::operation
